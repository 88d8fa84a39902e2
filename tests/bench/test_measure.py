"""Tests the reproducibility and capacity bounds of `bench.measure`."""

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


def run_measure(out: pathlib.Path, hash_seed: int) -> dict:
    env = dict(os.environ, PYTHONHASHSEED=str(hash_seed))
    env["PYTHONPATH"] = os.pathsep.join(
        [*PATHS, str(ROOT / "tests"), str(ROOT)]
    )
    options = ["--deployment", "tabla", "--scenario", "peak_faults"]
    options += ["--policy", "product", "--jobs", "1", "--out", str(out)]
    command = [sys.executable, "-m", "bench.measure", "--short", *options]
    subprocess.run(command, check=True, env=env, cwd=ROOT)
    return json.loads((out / "measure.json").read_text())


def test_same_seed_gives_same_file_for_any_hash_seed(tmp_path):
    first = run_measure(tmp_path / "a", 1)
    assert run_measure(tmp_path / "b", 2) == first
    figures = first["tabla"]["peak_faults"]["product"]
    assert set(figures) == FIGURES
    assert all(0.0 <= share <= 1.0 for share in figures.values())
    assert figures["goodput_urgent"] > 0.3


@pytest.mark.parametrize("deployment", measure_load.DEPLOYMENTS.values())
def test_pool_split_maximizes_request_rate(deployment):
    def request_rate_per_s(prefill: int) -> float:
        decode = (
            sum(deployment.decode_engines)
            + sum(deployment.prefill_engines)
            - prefill
        )
        return min(
            deployment.prefill_rate_per_s
            / sum(deployment.prefill_engines)
            * prefill,
            deployment.decode_rate_per_s
            / sum(deployment.decode_engines)
            * decode,
        )

    workers = sum(deployment.decode_engines) + sum(deployment.prefill_engines)
    best = max(range(1, workers), key=request_rate_per_s)
    assert best == sum(deployment.prefill_engines)


def test_flood_bound_keeps_floor_of_other_rank():
    scenario = measure_load.SCENARIOS["flood_most"]
    urgent, other = measure_bound.bounds(measure_load.TABLA, scenario)
    offered_urgent, offered_other = scenario.shares()
    assert urgent * offered_urgent == pytest.approx(0.9)
    assert other * offered_other == pytest.approx(0.1)
