"""Plots each measured scenario over time from results of `bench.measure`."""

import pathlib
import pickle
from typing import Annotated

from matplotlib import figure
import typer

from bench import measure
from bench import measure_run

IMAGES = pathlib.Path("docs/img")
BIN_S = 2.0
DPI = 70
SIZE_INCHES = (7.0, 5.5)


def main(
    build: Annotated[
        pathlib.Path, typer.Option(help="Folder of the results.")
    ] = measure.BUILD,
    out: Annotated[pathlib.Path, typer.Option(help="Output folder.")] = IMAGES,
    policy: Annotated[
        str, typer.Option(help="Policy whose runs are plotted.")
    ] = "product",
) -> None:
    """Writes one image for each deployment and scenario."""
    results = pickle.loads((build / "measure.pickle").read_bytes())
    out.mkdir(parents=True, exist_ok=True)
    for (deployment, scenario, run_policy), result in results.items():
        if run_policy == policy:
            path = out / f"measure-{deployment}-{scenario}.png"
            draw(result).savefig(path, dpi=DPI, metadata={"Software": None})
            print(path)


def draw(result: measure_run.Result) -> figure.Figure:
    """Returns a figure of queue, running streams and refusals over time."""
    job = result.job
    fig = figure.Figure(figsize=SIZE_INCHES, layout="constrained")
    queue, running, refused = fig.subplots(3, sharex=True)
    queue.set_title(f"{job.deployment}, {job.scenario}, seed {job.seed}")
    times = [each.at_s for each in result.samples]
    queue.plot(times, [each.queued for each in result.samples])
    queue.set_ylabel("requests queued\nfor a slot")
    running.plot(times, [each.running for each in result.samples])
    running.set_ylabel("running streams")
    for rank, end_times_s in result.refused.items():
        rates = _rates(end_times_s, times[-1])
        refused.step(
            [BIN_S * number for number in range(len(rates))],
            rates,
            where="post",
            label=rank,
        )
    refused.set_ylabel("refusals per second")
    refused.legend()
    refused.set_xlabel("seconds; measurement starts at the dashed line")
    for axes in (queue, running, refused):
        axes.set_ylim(bottom=0)
        axes.axvline(job.span.warm_up_s, linestyle="--", linewidth=0.8)
    return fig


def _rates(end_times_s: tuple[float, ...], until_s: float) -> list[float]:
    counts = [0] * (int(until_s / BIN_S) + 1)
    for at_s in end_times_s:
        if at_s <= until_s:
            counts[int(at_s / BIN_S)] += 1
    return [count / BIN_S for count in counts]


if __name__ == "__main__":
    typer.run(main)
