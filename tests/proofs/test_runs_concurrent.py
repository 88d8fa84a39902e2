"""Concurrent runs under schedules of failures that hypothesis draws."""

import asyncio
import os

import hypothesis
from hypothesis import strategies

from proofs import callers
from proofs import test_runs_faults

EXAMPLES = int(os.environ.get("SOAK_SEEDS", "8"))
TENTHS_PER_S = 10
STEPS = strategies.tuples(
    strategies.integers(0, 4 * TENTHS_PER_S),
    strategies.sampled_from(test_runs_faults.FAULTS),
)


async def _strike(flt, clients, at_tenths, fault):
    await asyncio.sleep(at_tenths / TENTHS_PER_S)
    if len(flt.instances) > 3 or fault is not test_runs_faults.kill:
        await fault(flt, clients)


@hypothesis.settings(
    max_examples=EXAMPLES, derandomize=True, deadline=None, database=None
)
@hypothesis.given(
    seed=strategies.integers(1, 1000),
    steps=strategies.lists(STEPS, min_size=1, max_size=4),
)
def test_schedules_of_failures_break_no_promise(seed, steps):
    async def scenario(flt, clients):
        struck = [
            asyncio.ensure_future(_strike(flt, clients, *step))
            for step in steps
        ]
        asked = [
            asyncio.ensure_future(test_runs_faults.ask(flt, clients))
            for _ in range(test_runs_faults.REQUESTS)
        ]
        leavers = [
            clients.leave_after(flt.names[n], 5 * n, max_tokens=400)
            for n in range(3)
        ]
        await asyncio.gather(*leavers)
        answers = await asyncio.gather(*asked)
        await asyncio.gather(*struck)
        await asyncio.sleep(20.0)
        await flt.quiet()
        return answers, callers.taken(flt)

    found, (answers, used) = callers.session(seed, scenario)
    assert not found
    assert not used
    assert all(answer.done or answer.refusals for answer in answers)
