"""Tests of the guarantees on runs under each fault, twice and in pairs."""

import asyncio
import itertools

import pytest

from proofs import callers
from proofs import fleet

TOKENS = 120
REQUESTS = 8


async def kill(flt, clients):
    await flt.kill(flt.rng.choice(sorted(flt.instances)))


async def freeze(flt, clients):
    name = flt.rng.choice(sorted(flt.instances))
    flt.freeze(name)
    await asyncio.sleep(8.0)
    flt.thaw(name)


async def cut(flt, clients):
    flt.partition(flt.rng.choice(flt.names))
    await asyncio.sleep(6.0)
    flt.links.heal()


async def silence(flt, clients):
    for conn in clients.connections:
        conn.silent |= flt.rng.random() < 0.5


async def loss(flt, clients):
    flt.links.loss = 0.05
    await asyncio.sleep(5.0)
    flt.links.loss = 0.0


async def outage(flt, clients):
    flt.store.down = True
    await asyncio.sleep(20.0)
    flt.store.down = False


async def transfers_fail(flt, clients):
    for core in flt.engines.values():
        core.set_faults(fail_transfers=2)


async def answers_lost(flt, clients):
    for core in flt.engines.values():
        core.set_faults(lose_answers=2)


async def engine_silent(flt, clients):
    core = flt.engines[f"decode-{flt.rng.randint(1, 3)}"]
    core.set_faults(silent=True)
    await asyncio.sleep(2.5)
    core.set_faults(silent=False)


async def engine_dies(flt, clients):
    flt.kill_engine(f"decode-{flt.rng.randint(1, 3)}")


FAULTS = (
    kill,
    freeze,
    cut,
    silence,
    loss,
    outage,
    transfers_fail,
    answers_lost,
    engine_silent,
    engine_dies,
)
PAIRED = (kill, freeze, cut, silence, answers_lost, engine_silent)
"""Faults that are always tested in pairs; a soak tests every pair."""
CASES = [
    *((fault,) for fault in FAULTS),
    *((fault, fault) for fault in FAULTS),
    *itertools.combinations(FAULTS if fleet.IS_SOAK else PAIRED, 2),
]


async def inject_fault(flt, clients, fault):
    await asyncio.sleep(flt.rng.uniform(0.0, 3.0))
    await fault(flt, clients)


async def request_answer(flt, clients):
    await asyncio.sleep(flt.rng.uniform(0.0, 2.0))
    route = flt.rng.sample(flt.names, len(flt.names))
    return await clients.generate(route, max_tokens=TOKENS, rank="other")


def _name(faults):
    return "-".join(fault.__name__ for fault in faults)


@pytest.mark.parametrize("seed", fleet.seeds(1))
@pytest.mark.parametrize("faults", CASES, ids=_name)
def test_answers_are_whole_or_refused(seed, faults):
    async def scenario(flt, clients):
        fault_tasks = [
            asyncio.ensure_future(inject_fault(flt, clients, fault))
            for fault in faults
        ]
        answers = await asyncio.gather(
            *(request_answer(flt, clients) for _ in range(REQUESTS))
        )
        await asyncio.gather(*fault_tasks)
        await asyncio.sleep(12.0)
        await flt.record_held_memory()
        return (
            answers,
            callers.used_capacity(flt),
            callers.remaining_grants(flt),
        )

    found, (answers, used, books) = callers.session(seed, scenario)
    assert not found
    if engine_dies not in faults and faults != (kill, kill):
        assert not callers.incomplete(answers)
    assert all(answer.done or answer.refusals for answer in answers)
    assert not used
    assert not books
