"""Random faults around a fleet of real processes.

`SOAK_SEEDS=N` plays N seeds of each kind; CI plays one.
"""

import asyncio
import collections
import json
import os
import pathlib
import random
import time

import pytest
from soak import backends
from soak import call_faults
from soak import callers
from soak import checks
from soak import faults
from soak import fleet as soak_fleet

from standins import forward_process

SEEDS = range(1, 1 + int(os.environ.get("SOAK_SEEDS", "1")))
ONCE_RED_DEADLY_SEEDS = (11, 12)
"""Two engines crash together before anything has started: the part that sound
prompts share was blamed, and stayed so."""
CALL_FAULT_SHARE = 0.5
COPY_SHARE = 0.4
ROOT = pathlib.Path(os.environ.get("SOAK_ROOT", forward_process.ROOT))
"""The checkout whose instances are played."""
CALLERS = 3 * soak_fleet.INSTANCES
SETTLE_S = 2.0
FAULTS_S = 9.0
MAX_PAUSE_S = 1.5
RECOVERY_S = 12.0
LIMIT = 2.0
STABLE_S = 3.0
APPLY_S = 4.0
ONCE_RED_RESTORE_SEEDS = (18,)
"""A process that was frozen is killed before it is to go on."""
MIN_ANSWERED = 100


class Soak:
    """One play: callers, faults and what became of the requests."""

    def __init__(
        self, folder, seed, deadly_share=0.0, root=ROOT, caller_count=CALLERS
    ):
        self.rng = random.Random(seed)
        self.call_faults = call_faults.CallFaults(random.Random(seed))
        self.fleet = soak_fleet.Fleet(folder, root, self.call_faults)
        self.counts = collections.Counter()
        self._callers = [
            callers.SoakCaller(self.fleet, self.rng, deadly_share)
            for _ in range(caller_count)
        ]

    @property
    def outcomes(self):
        return [each for c in self._callers for each in c.outcomes]

    async def play(self, script):
        """Runs the script while callers send requests, then recovers."""
        await self.fleet.start()
        tasks = []
        try:
            await asyncio.sleep(SETTLE_S)
            tasks += [asyncio.ensure_future(c.run()) for c in self._callers]
            await script(self)
            await self._recover()
            for each in self._callers:
                each.stopping = True
            await asyncio.gather(*tasks)
        finally:
            # After a failure, the callers still run.
            for each in tasks:
                each.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self.fleet.close()

    async def strike(self, kinds, overlap):
        """Draws faults, one after the other or overlapping."""
        ends_at = time.monotonic() + FAULTS_S
        running = []
        while time.monotonic() < ends_at:
            fault = self.rng.choice(kinds)
            task = asyncio.ensure_future(
                fault(self.fleet, self.rng, self.counts)
            )
            running.append(task)
            if overlap:
                await asyncio.sleep(self.rng.uniform(0.2, MAX_PAUSE_S))
            else:
                await task
        await asyncio.gather(*running)

    async def _recover(self):
        """Waits until each instance has served a request of each kind."""
        since = time.monotonic()
        for each in self._callers:
            each.keeps_connections = False
        async with asyncio.timeout(RECOVERY_S):
            while missing := self._missing(since):
                for each in self._callers:
                    each.wanted = missing
                await asyncio.sleep(0.1)

    def _missing(self, since):
        """Returns the instances and kinds that have not been served yet."""
        served = {
            (each.member, each.kind)
            for each in self.outcomes
            if each.sent_at > since and each.status == 200 and each.complete
        }
        return [
            (member, kind)
            for member in self.fleet.members
            for kind in sorted(set(callers.KINDS))
            if (member.name, kind) not in served
        ]

    def check(self):
        """Checks what must hold in every play."""
        every = self.fleet.all_backends
        answered = [each for each in self.outcomes if each.complete]
        print(f"faults {dict(self.counts)}, {len(self.outcomes)} requests")
        print(f"call faults {dict(self.call_faults.counts)}")
        assert checks.violations(self.outcomes, every) == []
        assert checks.late_runs(self.fleet.left) == []
        assert len(answered) >= MIN_ANSWERED


async def copy_refusals(soak):
    """Has endpoints refuse and send the refusal once more, some time later."""
    soak.call_faults.kinds = ("copy a refusal",)
    soak.call_faults.share = COPY_SHARE
    await soak.strike((faults.pause,), overlap=True)
    soak.call_faults.share = 0.0


def played(tmp_path, seed, script, announced=soak_fleet.BACKENDS, **options):
    """Plays a script and checks what must hold in every play."""
    soak = Soak(tmp_path, seed, **options)
    soak.fleet.announced = announced
    asyncio.run(soak.play(script))
    soak.check()
    return soak


@pytest.mark.parametrize("seed", SEEDS)
def test_any_faults_overlapping(tmp_path, seed):
    async def script(soak):
        await soak.strike(faults.ALL, overlap=True)

    played(tmp_path, seed, script)


@pytest.mark.parametrize("seed", SEEDS)
def test_planned_stops_in_series_cut_nothing(tmp_path, seed):
    async def script(soak):
        await soak.strike(faults.PLANNED, overlap=False)

    soak = played(tmp_path, seed, script)
    every = soak.fleet.all_backends
    assert checks.cut_requests(soak.outcomes, every) == []


@pytest.mark.parametrize("seed", sorted({*SEEDS, *ONCE_RED_DEADLY_SEEDS}))
def test_deadly_prompts_through_restarts(tmp_path, seed):
    kinds = (faults.restart, faults.freeze, faults.kill, faults.store_forgets)

    async def script(soak):
        await soak.strike(kinds, overlap=False)

    soak = played(tmp_path, seed, script, deadly_share=0.2)
    runs = checks.deadly_runs(soak.fleet.all_backends)
    assert 1 <= runs <= checks.MAX_DEADLY_RUNS


@pytest.mark.parametrize("seed", sorted({*SEEDS, *ONCE_RED_RESTORE_SEEDS}))
def test_restores_of_the_store_overlapping(tmp_path, seed):
    in_force = []

    async def script(soak):
        await soak.strike(faults.RESTORED, overlap=True)
        await asyncio.sleep(APPLY_S)
        in_force.extend(soak.fleet.versions_in_force())

    soak = played(tmp_path, seed, script)
    assert set(in_force) == {soak.fleet.version}


@pytest.mark.parametrize("seed", SEEDS)
def test_a_limit_through_planned_restarts(tmp_path, seed):
    limited_from = []

    async def script(soak):
        plain = next(b for b in soak.fleet.backends if b.id == "plain-1")
        plain.fields["Server-Limit"] = json.dumps(LIMIT)
        limited_from.append((plain, time.monotonic()))
        await soak.strike((faults.restart,), overlap=False)
        del plain.fields["Server-Limit"]
        limited_from.append((plain, time.monotonic()))

    played(tmp_path, seed, script)
    (plain, since), (_, until) = limited_from
    times = [each.at for each in plain.arrivals]
    arrivals = [at for at in times if since + STABLE_S < at < until]
    allowed = 1.5 * LIMIT * checks.WINDOW_S + 5
    assert checks.most_in_window(arrivals) <= allowed


@pytest.mark.parametrize("seed", SEEDS)
def test_refusals_and_late_copies_through_pauses_and_stops(tmp_path, seed):
    async def script(soak):
        soak.call_faults.share = CALL_FAULT_SHARE
        await soak.strike(faults.STOPS, overlap=True)
        soak.call_faults.share = 0.0

    played(tmp_path, seed, script, soak_fleet.FEW_BACKENDS)


@pytest.mark.parametrize("seed", SEEDS)
def test_late_copies_of_refusals_while_instances_pause(tmp_path, seed):
    played(tmp_path, seed, copy_refusals, soak_fleet.FEW_BACKENDS)


@pytest.mark.parametrize("seed", SEEDS)
def test_runs_that_fail_with_a_status_that_promises(tmp_path, seed):
    async def script(soak):
        soak.call_faults.kinds = call_faults.FAILURES
        soak.call_faults.share = CALL_FAULT_SHARE
        await soak.strike((faults.pause,), overlap=True)
        soak.call_faults.share = 0.0

    played(tmp_path, seed, script)


@pytest.mark.parametrize("seed", SEEDS)
def test_signs_of_endpoints_while_the_store_goes_away(tmp_path, seed):
    async def script(soak):
        await soak.strike(faults.SIGNS, overlap=True)

    soak = played(tmp_path, seed, script)
    signed, every = soak.fleet.signed, soak.fleet.all_backends
    assert checks.arrivals_after_sign(signed, soak.outcomes) == []
    most = checks.arrivals_in_pauses(every, soak.outcomes)
    assert most <= checks.MAX_IN_PAUSE


def test_the_checks_find_planted_faults():
    backend = backends.Backend("plain-1")
    for _ in range(2):
        backend.runs.append(backends.Run("s-1", 1.0, False))
    twice = callers.Outcome("write", "s-1", "one", False, 0.0)
    refused = callers.Outcome("write", "s-1", "one", False, 0.0, 503, True)
    foreign = callers.Outcome(
        "read", "s-2", "one", False, 0.0, 200, True, b"answer to s-1"
    )
    found = checks.violations([twice, refused, foreign], [backend])
    assert len(found) == 5
    assert checks.late_runs([(backend, -9.0)]) != []
    assert checks.most_in_window([0.0, 1.0, 9.0]) == 2
    backend.arrivals = [backends.Arrival("s-1", at) for at in (2.0, 2.6, 3.0)]
    backend.pauses = backend.arrivals[:1]
    sent = [twice, refused, foreign]
    assert len(checks.arrivals_after_sign([(backend, 1.0)], sent)) == 2
    assert checks.arrivals_in_pauses([backend], sent) == 2
