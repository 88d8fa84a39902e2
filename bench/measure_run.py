"""Runs one combination of deployment, scenario and policy."""

import asyncio
import collections

import attrs

from bench import measure_bound
from bench import measure_caller
from bench import measure_fleet
from bench import measure_load
from seam_model import config_check
from seam_model import endpoints
from seam_model import requests
from standins import virtual_loop

SAMPLE_S = 0.5
DRAIN_TIMEOUT_S = 20.0
"""Time limit for requests to finish after the last arrival."""
LINK_LOSS_SHARE = 0.002
"""Share of messages lost while links are lossy."""
STALLED_TRANSFERS = 8


@attrs.frozen
class Span:
    """Length of a run, in virtual seconds."""

    warm_up_s: float = 10.0
    measured_s: float = 60.0

    def at(self, share: float) -> float:
        """Returns the time at a share of the measured part."""
        return self.warm_up_s + self.measured_s * share


SHORT = Span(4.0, 8.0)


@attrs.frozen
class Job:
    """Parameters of one run."""

    deployment: str
    scenario: str
    policy: str
    seed: int
    span: Span


@attrs.frozen
class Sample:
    """State of the fleet at one moment."""

    at_s: float
    queued: int
    prefill_tokens: int
    """Prompt tokens queued at the prefill engines."""
    running: int


@attrs.frozen
class RankCount:
    """Counts of one rank's requests that arrived in the measured part."""

    offered: int
    good: int
    bound: float
    misses: dict[str, int]
    """Counts of requests that missed a target, by reason."""


@attrs.frozen
class Result:
    """Results of one run."""

    job: Job
    urgent: RankCount
    other: RankCount
    wasted_prefill: float
    samples: tuple[Sample, ...]
    refused: dict[str, tuple[float, ...]]
    """Times of refusals, by rank."""
    missed: tuple[measure_caller.Outcome, ...]
    """Requests that missed a target, with their traces."""


def run(job: Job) -> Result:
    """Runs one job on its own virtual-time event loop."""
    return virtual_loop.run(_Run(job).run())


class _Run:
    def __init__(self, job: Job):
        self._job = job
        self._deployment = measure_load.DEPLOYMENTS[job.deployment]
        self._scenario = measure_load.SCENARIOS[job.scenario]
        self._samples: list[Sample] = []

    async def run(self) -> Result:
        """Starts the fleet, sends the load, and counts."""
        job = self._job
        self._fleet = measure_fleet.Fleet(
            self._deployment, job.policy, job.seed
        )
        await self._fleet.start()
        self._started_at_s = asyncio.get_running_loop().time()
        self._callers = measure_caller.Callers(self._fleet, job.seed)
        sampler = asyncio.ensure_future(self._sample())
        faults = asyncio.ensure_future(self._inject_faults())
        await self._send_all()
        await faults
        sampler.cancel()
        result = self._result()
        await self._fleet.close()
        return result

    # Load

    async def _send_all(self) -> None:
        until_s = self._job.span.at(1.0)
        sends = []
        for arrival in measure_load.arrivals(
            self._deployment, self._scenario, until_s, self._job.seed
        ):
            await self._sleep_until(arrival.at_s)
            sends.append(asyncio.ensure_future(self._callers.send(arrival)))
        done, unfinished = await asyncio.wait(sends, timeout=DRAIN_TIMEOUT_S)
        for each in unfinished:
            each.cancel()
        for each in done:
            each.result()

    async def _sleep_until(self, at_s: float) -> None:
        now_s = asyncio.get_running_loop().time() - self._started_at_s
        if at_s > now_s:
            await asyncio.sleep(at_s - now_s)

    async def _inject_faults(self) -> None:
        if not self._scenario.faults:
            return
        fleet, at = self._fleet, self._job.span.at
        engine = self._engine_names(endpoints.EngineRole.DECODE)[0]
        instance = sorted(fleet.nodes)[1]
        await self._sleep_until(at(0.1))
        fleet.stalls.remaining = STALLED_TRANSFERS
        await self._sleep_until(at(measure_bound.ENGINE_DOWN_AT_SHARE))
        await fleet.kill_engine(engine)
        await self._sleep_until(at(0.4))
        fleet.kill_instance(instance)
        self._callers.reset(instance)
        await self._sleep_until(at(measure_bound.ENGINE_UP_AT_SHARE))
        fleet.cores[engine].set_faults(down=False)
        await self._sleep_until(at(0.65))
        fleet.links.loss = LINK_LOSS_SHARE
        await self._sleep_until(at(0.75))
        fleet.links.loss = 0.0
        fleet.store.down = True
        await self._sleep_until(at(0.9))
        fleet.store.down = False

    # Sampling and counting

    async def _sample(self) -> None:
        decode = self._engine_names(endpoints.EngineRole.DECODE)
        prefill = self._engine_names(endpoints.EngineRole.PREFILL)
        cores = self._fleet.cores
        while True:
            now_s = asyncio.get_running_loop().time() - self._started_at_s
            queued = sum(
                book.waiting
                for each in self._fleet.nodes.values()
                for book in each.owner.ledgers().values()
            )
            backlog = sum(cores[name].queued_tokens() for name in prefill)
            running = sum(len(cores[name].held()) for name in decode)
            self._samples.append(Sample(now_s, queued, backlog, running))
            await asyncio.sleep(SAMPLE_S)

    def _engine_names(self, role: endpoints.EngineRole) -> list[str]:
        engines = self._deployment.engines().items()
        return sorted(
            name for name, (_, engine_role) in engines if engine_role is role
        )

    def _result(self) -> Result:
        measured = [
            each
            for each in self._callers.outcomes
            if each.at_s - self._started_at_s >= self._job.span.warm_up_s
        ]
        targets = config_check.initial().defaults.targets
        bounds = measure_bound.bounds(self._deployment, self._scenario)
        ranks = {}
        missed = []
        refused: dict[str, list[float]] = {"urgent": [], "other": []}
        for rank, bound in zip(requests.Rank, bounds, strict=True):
            offered = [each for each in measured if each.rank is rank]
            missed_targets = [
                each
                for each in offered
                if not each.meets(targets.for_rank(rank))
            ]
            reasons = collections.Counter(
                _reason(each, targets.for_rank(rank)) for each in missed_targets
            )
            count = RankCount(
                len(offered),
                len(offered) - len(missed_targets),
                bound,
                dict(sorted(reasons.items())),
            )
            ranks[rank] = count
            missed.extend(missed_targets)
        for each in self._callers.outcomes:
            if each.refused:
                name = each.rank.name.lower()
                refused[name].append(each.end_s - self._started_at_s)
        return Result(
            self._job,
            ranks[requests.Rank.URGENT],
            ranks[requests.Rank.OTHER],
            self._wasted_prefill(),
            tuple(self._samples),
            {name: tuple(times) for name, times in refused.items()},
            tuple(missed),
        )

    def _wasted_prefill(self) -> float:
        """Returns the share of prefill work that contributed to no answer.

        Only the last prefill of a fully answered request counts as used.
        """
        answered = {e.request_id for e in self._callers.outcomes if e.done}
        work = [
            entry
            for core in self._fleet.cores.values()
            for entry in core.finished_prefills
        ]
        used = dict(entry for entry in work if entry[0] in answered)
        total = sum(tokens for _, tokens in work)
        return 1.0 - sum(used.values()) / total if total else 0.0


def _reason(outcome: measure_caller.Outcome, targets: requests.Targets) -> str:
    if outcome.refused:
        return outcome.refused
    if not outcome.done:
        return "not_done"
    late = outcome.first_token_s() > targets.first_token_s
    return "late_first_token" if late else "slow_tokens"
