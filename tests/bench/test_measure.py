"""The measuring tool: same seed, same file; bounds from capacity."""

import json
import os
import pathlib
import subprocess
import sys

import pytest

from bench import measure_bound
from bench import measure_load

ROOT = pathlib.Path(__file__).resolve().parents[2]
PATHS = [str(each) for each in sorted(ROOT.glob("packages/*"))]
FIGURES = {
    "goodput_urgent",
    "goodput_other",
    "bound_urgent",
    "bound_other",
    "wasted_prefill",
    "flood_share",
}


def measure(out: pathlib.Path, hash_seed: int) -> dict:
    env = dict(os.environ, PYTHONHASHSEED=str(hash_seed))
    env["PYTHONPATH"] = os.pathsep.join(
        [*PATHS, str(ROOT / "tests"), str(ROOT)]
    )
    options = ["--deployment", "tabla", "--scenario", "peak_faults"]
    options += ["--policy", "product", "--jobs", "1", "--out", str(out)]
    command = [sys.executable, "-m", "bench.measure", "--short", *options]
    subprocess.run(command, check=True, env=env, cwd=ROOT)
    return json.loads((out / "measure.json").read_text())


def test_same_seed_gives_the_same_file_whatever_the_hash_seed(tmp_path):
    first = measure(tmp_path / "a", 1)
    assert measure(tmp_path / "b", 2) == first
    figures = first["tabla"]["peak_faults"]["product"]
    assert set(figures) == FIGURES
    assert all(0.0 <= share <= 1.0 for share in figures.values())
    assert figures["goodput_urgent"] > 0.3


@pytest.mark.parametrize("deployment", measure_load.DEPLOYMENTS.values())
def test_pools_are_split_where_the_mix_is_served_best(deployment):
    def rate(prefill: int) -> float:
        decode = sum(deployment.decode) + sum(deployment.prefill) - prefill
        return min(
            deployment.prefill_rate / sum(deployment.prefill) * prefill,
            deployment.decode_rate / sum(deployment.decode) * decode,
        )

    workers = sum(deployment.decode) + sum(deployment.prefill)
    best = max(range(1, workers), key=rate)
    assert best == sum(deployment.prefill)


def test_bound_of_a_flood_keeps_the_floor_of_the_other_rank():
    scenario = measure_load.SCENARIOS["flood_most"]
    urgent, other = measure_bound.bounds(measure_load.TABLA, scenario)
    offered_urgent, offered_other = scenario.shares()
    assert urgent * offered_urgent == pytest.approx(0.9)
    assert other * offered_other == pytest.approx(0.1)
