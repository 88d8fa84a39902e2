"""Tests that an order runs at most once under single and paired faults."""

import asyncio
import random

import attrs
import pytest

from proofs import fleet
from proofs import senders
from seam_model import claims as claim_model
from seam_model import config
from seam_node.filters import claim
from standins import history
from standins import virtual_loop

SEEDS = fleet.seeds(2)
ORDERS = 25
GAP_S = 0.3
SHORT_WINDOW_S = 20.0


class SkewedClock(virtual_loop.VirtualClock):
    """A clock whose wall time is off by a constant."""

    def __init__(self, offset_s):
        self._offset_s = offset_s

    def wall(self):
        return super().wall() + self._offset_s


def session(seed, scenario, window_s=claim_model.WINDOW_S):
    """Runs a scenario on a fresh fleet; returns violations and its result."""

    def defaults(shipped):
        return attrs.evolve(shipped, orders=config.Orders(window_s))

    async def main():
        flt = fleet.Fleet(seed, instances=4)
        await flt.start(defaults)
        clients = senders.Senders(flt)
        result = await scenario(flt, clients)
        clients.record()
        found = flt.violations()
        await flt.close()
        return found, result

    return fleet.run(main())


# Faults: coroutines that run concurrently with the orders


async def no_fault(flt, rng):
    """Injects no fault."""


async def platform_loses_answers(flt, rng):
    for _ in range(12):
        flt.store.lose_answers = 1
        await asyncio.sleep(rng.uniform(0.1, 1.0))


async def service_loses_answers(flt, rng):
    for _ in range(8):
        rng.choice(list(flt.services.values())).faults.lose_answers = 1
        await asyncio.sleep(rng.uniform(0.2, 1.0))


async def links_lose_messages(flt, rng):
    flt.links.loss = 0.08
    await asyncio.sleep(6)
    flt.links.loss = 0.0


async def platform_down(flt, rng):
    await asyncio.sleep(rng.uniform(0.5, 2))
    flt.store.down = True
    await asyncio.sleep(rng.uniform(1, 4))
    flt.store.down = False


async def platform_slow(flt, rng):
    flt.store.latency_s = 0.7
    await asyncio.sleep(5)
    flt.store.latency_s = 0.0


async def instance_dies(flt, rng):
    await asyncio.sleep(rng.uniform(0.5, 3))
    await flt.kill(rng.choice(sorted(flt.instances)))


async def instance_restarts(flt, rng):
    await asyncio.sleep(rng.uniform(0.5, 2))
    name = rng.choice(sorted(flt.instances))
    await flt.kill(name)
    await asyncio.sleep(rng.uniform(0.1, 2))
    await flt.start_instance(name)


async def instance_pauses(flt, rng):
    await asyncio.sleep(rng.uniform(0.5, 2))
    name = rng.choice(sorted(flt.instances))
    flt.freeze(name)
    await asyncio.sleep(rng.uniform(2, 5))
    flt.thaw(name)


async def peers_partitioned(flt, rng):
    """Causes two owners of a shard, each of which reaches the platform."""
    await asyncio.sleep(rng.uniform(0.2, 1))
    flt.partition(*rng.sample(flt.names, 2))
    await asyncio.sleep(5)
    flt.links.heal()


async def clocks_differ(flt, rng):
    for name in flt.names:
        offset_s = rng.uniform(-25, 25)
        flt.node(name).claims._clock = SkewedClock(offset_s)


FAULTS = (
    no_fault,
    platform_loses_answers,
    service_loses_answers,
    links_lose_messages,
    platform_down,
    platform_slow,
    instance_dies,
    instance_restarts,
    instance_pauses,
    peers_partitioned,
    clocks_differ,
)
PAIRS = (
    (platform_loses_answers, instance_dies),
    (platform_loses_answers, peers_partitioned),
    (platform_down, instance_restarts),
    (platform_down, platform_down),
    (instance_dies, instance_dies),
    (service_loses_answers, instance_pauses),
    (links_lose_messages, peers_partitioned),
    (platform_slow, instance_pauses),
    (clocks_differ, links_lose_messages),
)


def under(*faults):
    """Returns a scenario of orders, each repeated once, under faults."""

    async def scenario(flt, clients):
        jobs = [
            asyncio.ensure_future(
                fault(flt, random.Random(flt.rng.getrandbits(32)))
            )
            for fault in faults
        ]
        outcomes = await clients.send_many(ORDERS, GAP_S, repeats=2)
        await asyncio.gather(*jobs)
        return outcomes

    return scenario


def unequal(outcomes):
    """Returns the orders whose repeat got a different answer."""
    return [o for o in outcomes if len(set(o.replies)) > 1]


def undecided(outcomes):
    """Returns the orders with neither an answer nor an unknown outcome."""
    return [
        o
        for o in outcomes
        if not o.replies and all(ran == "no" for _, ran in o.refusals)
    ]


def fault_names(faults):
    return "+".join(fault.__name__ for fault in faults)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "faults", [*((fault,) for fault in FAULTS), *PAIRS], ids=fault_names
)
def test_order_runs_at_most_once(seed, faults):
    found, outcomes = session(seed, under(*faults))
    assert found == []
    assert unequal(outcomes) == []
    assert undecided(outcomes) == []


def test_without_faults_both_answers_to_every_order_are_equal():
    found, outcomes = session(9, under(no_fault))
    assert found == []
    assert [len(o.replies) for o in outcomes] == [2] * ORDERS


# Single situations


def test_outage_refuses_unsent_orders_and_service_recovers():
    async def scenario(flt, clients):
        before = await clients.send_until_answered()
        flt.store.down = True
        out = await clients.send_and_wait(clients.new_key(), "e1")
        repeat = await clients.send_and_wait(before.key, "e2")
        await asyncio.sleep(8)
        flt.store.down = False
        await asyncio.sleep(0.2)
        again = await clients.send_until_answered(out.key, max_attempts=1)
        later = []
        for _ in range(10):
            await asyncio.sleep(0.5)
            later.append(await clients.send_until_answered(max_attempts=1))
        return before, out.refusal, repeat.refusal, again, later

    found, (before, out, repeat, again, later) = session(1, scenario)
    assert found == []
    assert [order.refusals for order in later] == [[]] * 10
    assert (len(before.replies), len(again.replies)) == (1, 1)
    assert (out.error.code, out.ran.value) == ("platform_unavailable", "no")
    assert repeat.error.code == "platform_unavailable"


@pytest.mark.parametrize("seed", SEEDS)
def test_repeat_during_or_right_after_the_order_gets_the_same_answer(seed):
    async def scenario(flt, clients):
        key = clients.new_key()
        for core in flt.services.values():
            core.faults.latency_s = 0.3
        first = clients.send(key, "e1")
        await asyncio.sleep(0.1)
        during = await clients.send_and_wait(key, "e2")
        after = await clients.send_and_wait(key, "e3")
        return [call.reply for call in (first, during, after)]

    found, replies = session(seed, scenario)
    assert found == []
    assert replies[0] is not None
    assert replies == [replies[0]] * 3


@pytest.mark.parametrize("seed", SEEDS)
def test_death_between_claim_and_send_leaves_the_order_unknown(seed):
    async def scenario(flt, clients):
        node = flt.node("e1")
        key = clients.new_key()
        killed = asyncio.Event()

        async def die_before_sending(record, order):
            killed.set()
            await asyncio.sleep(3600)

        node.ports.services.call = die_before_sending
        clients.send(key, "e1")
        await killed.wait()
        await flt.kill("e1")
        await asyncio.sleep(1)
        return [
            await clients.send_and_wait(key, name)
            for name in ("e2", "e3", "e2", "e4")
        ]

    found, calls = session(seed, scenario)
    assert found == []
    refused = [(c.refusal.error.code, c.refusal.ran.value) for c in calls]
    assert refused == [("outcome_unknown", "unknown")] * 4


@pytest.mark.parametrize("seed", SEEDS)
def test_death_between_send_and_record_leaves_the_order_unknown(seed):
    async def scenario(flt, clients):
        key = clients.new_key()
        for core in flt.services.values():
            core.faults.latency_s = 0.5
        clients.send(key, "e1")
        while not any(c.executions for c in flt.services.values()):
            await asyncio.sleep(0.001)
        await flt.kill("e1")
        await asyncio.sleep(1)
        return [await clients.send_and_wait(key, name) for name in ("e2", "e3")]

    found, calls = session(seed, scenario)
    assert found == []
    assert [c.refusal.ran.value for c in calls] == ["unknown", "unknown"]


def test_repeat_after_the_window_is_refused_as_unknown():
    async def scenario(flt, clients):
        first = await clients.send_until_answered()
        await asyncio.sleep(SHORT_WINDOW_S + 1)
        late = await clients.send_and_wait(first.key, "e3")
        return first, late.refusal

    found, (first, late) = session(1, scenario, SHORT_WINDOW_S)
    assert found == []
    assert len(first.replies) == 1
    assert (late.error.code, late.ran.value) == (
        "key_outside_window",
        "unknown",
    )


# Planted faults that the history checker must catch


async def apply_without_claim(self, ctx, proceed):
    return await proceed(ctx)


ORIGINAL_APPLY = claim.ClaimFilter.apply


async def apply_then_release_claim(self, ctx, proceed):
    kept = {}

    async def proceed_as_unsent(inner):
        kept["result"] = await proceed(inner)
        kept["sent"], inner.reached_endpoint = inner.reached_endpoint, False
        return kept["result"]

    return await ORIGINAL_APPLY(self, ctx, proceed_as_unsent)


def kinds(found):
    return {type(violation) for violation in found}


def test_skipped_claim_is_caught(monkeypatch):
    monkeypatch.setattr(claim.ClaimFilter, "apply", apply_without_claim)
    found, _ = session(1, under(service_loses_answers))
    assert history.OrderRepeated in kinds(found)


def test_release_after_send_is_caught(monkeypatch):
    monkeypatch.setattr(claim.ClaimFilter, "apply", apply_then_release_claim)
    found, _ = session(1, under(service_loses_answers))
    assert history.OrderRepeated in kinds(found)
