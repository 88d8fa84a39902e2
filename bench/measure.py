"""Compares placement policies on the users' deployments in virtual time.

Prints a table and writes `build/measure.json`; the same seed gives the same
file.
"""

import concurrent.futures
import json
import multiprocessing
import pathlib
import pickle
from typing import Annotated

import typer

from bench import measure_fleet
from bench import measure_load
from bench import measure_run

JOBS = 4
SEED = 1
DIGITS = 4
BUILD = pathlib.Path("build")
_UNFLOODED_RANKS = {"flood_least": "urgent", "flood_most": "other"}
"""Rank that is not flooded, by flood scenario."""

Results = dict[tuple[str, str, str], measure_run.Result]


def main(
    seed: Annotated[int, typer.Option(help="Seed of load and faults.")] = SEED,
    short: Annotated[bool, typer.Option(help="Run a few seconds.")] = False,
    jobs: Annotated[int, typer.Option(help="Processes at once.")] = JOBS,
    deployment: Annotated[str, typer.Option(help="Run only this one.")] = "",
    scenario: Annotated[str, typer.Option(help="Run only this one.")] = "",
    policy: Annotated[str, typer.Option(help="Run only this one.")] = "",
    out: Annotated[pathlib.Path, typer.Option(help="Output folder.")] = BUILD,
) -> None:
    """Runs every selected deployment, scenario and policy."""
    span = measure_run.SHORT if short else measure_run.Span()
    job_list = [
        measure_run.Job(d, s, p, seed, span)
        for d in _select(measure_load.DEPLOYMENTS, deployment)
        for s in _select(measure_load.SCENARIOS, scenario)
        for p in _select(measure_fleet.POLICIES, policy)
    ]
    results = run_all(job_list, jobs)
    figures = compute_figures(results)
    out.mkdir(parents=True, exist_ok=True)
    text = json.dumps(figures, indent=2, sort_keys=True) + "\n"
    (out / "measure.json").write_text(text)
    (out / "measure.pickle").write_bytes(pickle.dumps(results))
    print(table(results, figures))


def _select(known: dict[str, object], only: str) -> list[str]:
    return [name for name in known if not only or name == only]


def run_all(job_list: list[measure_run.Job], jobs: int) -> Results:
    """Runs the jobs in up to `jobs` processes."""
    if jobs <= 1:
        done = [measure_run.run(job) for job in job_list]
    else:
        spawn = multiprocessing.get_context("spawn")
        with concurrent.futures.ProcessPoolExecutor(jobs, spawn) as pool:
            done = list(pool.map(measure_run.run, job_list))
    return {
        (each.job.deployment, each.job.scenario, each.job.policy): each
        for each in done
    }


# Figures


def compute_figures(results: Results) -> dict:
    """Returns the figures by deployment, scenario and policy."""
    figures: dict = {}
    for (deployment, scenario, policy), result in results.items():
        steady = results.get((deployment, "steady", policy))
        shares = {
            "goodput_urgent": _goodput(result.urgent),
            "goodput_other": _goodput(result.other),
            "bound_urgent": result.urgent.bound,
            "bound_other": result.other.bound,
            "wasted_prefill": result.wasted_prefill,
            "flood_share": _flood_share(result, steady),
        }
        rounded = {name: round(share, DIGITS) for name, share in shares.items()}
        scenarios = figures.setdefault(deployment, {})
        scenarios.setdefault(scenario, {})[policy] = rounded
    return figures


def _goodput(count: measure_run.RankCount) -> float:
    return count.good / count.offered if count.offered else 0.0


def _flood_share(
    result: measure_run.Result, steady: measure_run.Result | None
) -> float:
    """Returns the unflooded rank's goodput relative to the steady load."""
    unflooded = _UNFLOODED_RANKS.get(result.job.scenario)
    if unflooded is None or steady is None:
        return 1.0
    steady_goodput = _goodput(getattr(steady, unflooded))
    flood_goodput = _goodput(getattr(result, unflooded))
    return min(1.0, flood_goodput / steady_goodput) if steady_goodput else 0.0


def table(results: Results, figures: dict) -> str:
    """Returns the figures as lines of a Markdown table."""
    lines = [
        "| deployment | scenario | policy | urgent | of bound | other "
        "| of bound | wasted | flood share | misses |",
        "|---|---|---|---|---|---|---|---|---|---|",
    ]
    for (deployment, scenario, policy), result in results.items():
        shares = figures[deployment][scenario][policy]
        urgent, other = shares["goodput_urgent"], shares["goodput_other"]
        cells = (
            deployment,
            scenario,
            policy,
            f"{urgent:.3f}",
            f"{urgent / shares['bound_urgent']:.3f}",
            f"{other:.3f}",
            f"{other / shares['bound_other']:.3f}",
            f"{shares['wasted_prefill']:.4f}",
            f"{shares['flood_share']:.3f}",
            _misses(result),
        )
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _misses(result: measure_run.Result) -> str:
    parts = [
        f"{rank[0]}:{reason}={count}"
        for rank in ("urgent", "other")
        for reason, count in getattr(result, rank).misses.items()
    ]
    return " ".join(parts)


if __name__ == "__main__":
    typer.run(main)
