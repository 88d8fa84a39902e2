"""Tests of quotas kept by a small fleet, on virtual time."""

import asyncio
import itertools

import attrs
import pytest

from seam_model import errors
from seam_model import forwarding
from seam_model import workspace_config
from seam_node.forward.fleet import messages
from standins import placement_world

COST = 4000
"""Tokens of a request of `placement_world.request`: prompt and most output."""
PLAIN_TOKENS = 200
NAMES = ("one", "two", "three", "four", "five")


def workspace(name, rate=20_000.0, burst=20_000.0):
    quota = workspace_config.Quota(rate, burst, True, PLAIN_TOKENS)
    return workspace_config.Workspace(name, (), quota=quota)


FLOOD, CALM = workspace("flood"), workspace("calm")


def configure(world, *workspaces):
    for each in world.instances.values():
        limits = forwarding.CallerLimits(1, 1, 1.0, 1.0)
        each.fleet.on_routes(
            forwarding.RouteTable(1, (), {}, limits, workspaces)
        )


async def place(asker, space, request_id, hold_s=0.2):
    """Asks for a place as the filters would; returns the error or None."""
    gate = asker.fleet.quotas.gate
    ctx = asker.context(request_id, prompt_tokens=2000)
    ctx.workspace, ctx.charge = space, gate.count(space, COST)
    placed = await asker.placement.place(ctx)
    if placed.is_error():
        gate.refund(ctx.charge)
        assert ctx.retry_after_s <= 0.34 * ctx.remaining_s()
        return placed.error
    await asyncio.sleep(hold_s)
    number, engine = placed.ok.number, placed.ok.decode.key
    asker.placement.end(number, engine, messages.Outcome.SERVED)
    return None


async def send(world, space, interval_s, duration_s):
    """Sends requests through all instances in turn; returns the errors."""
    tasks, end = [], world.now() + duration_s
    for asker in itertools.cycle(tuple(world.instances.values())):
        if world.now() >= end:
            break
        if asker.name not in world.silent:
            name = f"{space.name}-{world.now()}"
            tasks.append(asyncio.ensure_future(place(asker, space, name)))
            await asyncio.sleep(interval_s)
    return await asyncio.gather(*tasks)


def served(results):
    return results.count(None)


def most_served(seconds, bursts=1, requests=1):
    """Returns how many requests the quota of `FLOOD` admits at most."""
    quota = FLOOD.quota
    units = quota.rate * seconds + bursts * quota.burst
    return units / COST + requests


def test_a_flood_is_refused_and_other_workspaces_are_not():
    """Guards against a quota that is not enforced, or not by workspace."""

    async def scenario(world):
        configure(world, FLOOD, CALM)
        await asyncio.sleep(2.0)
        flood, calm = await asyncio.gather(
            send(world, FLOOD, 0.05, 4.0), send(world, CALM, 0.5, 4.0)
        )
        assert 0.8 * most_served(4.0) <= served(flood) <= most_served(4.0)
        refused = [each for each in flood if each is not None]
        assert set(map(type, refused)) == {errors.QuotaExceeded}
        assert served(calm) == len(calm)

    placement_world.run(scenario, names=NAMES, decode=6)


def test_the_second_coordinator_takes_over_with_the_use_so_far():
    """Guards against a successor that grants the burst again."""

    async def scenario(world):
        configure(world, FLOOD)
        await asyncio.sleep(2.0)
        before = await send(world, FLOOD, 0.05, 3.0)
        world.silent.add(world.placer.name)
        world.known_dead.add(world.placer.name)
        after = await send(world, FLOOD, 0.05, 3.0)
        total = served(before) + served(after)
        assert served(after)
        assert total <= most_served(6.5, requests=2)

    placement_world.run(scenario, names=NAMES, decode=6)


def test_two_lost_coordinators_are_replaced_by_one_that_starts_empty():
    """Guards against a successor without reports that grants a burst."""

    async def scenario(world):
        configure(world, FLOOD)
        await asyncio.sleep(2.0)
        before = await send(world, FLOOD, 0.05, 3.0)
        for _ in range(2):
            lost = world.placer.name
            world.silent.add(lost)
            world.known_dead.add(lost)
            del world.instances[lost]
        after = await send(world, FLOOD, 0.05, 3.0)
        total = served(before) + served(after)
        assert served(after)
        assert total <= most_served(6.5, requests=2)

    placement_world.run(scenario, names=NAMES, decode=6)


def debt_at(instance, now):
    return -instance.fleet.quotas.keeper.accounts.levels(now)["slow"]


def test_a_debt_outlives_both_coordinators_and_their_return():
    """Guards against a quota that is granted again with each lost keeper."""

    async def scenario(world):
        slow = workspace("slow", rate=2000.0, burst=40_000.0)
        configure(world, slow)
        await asyncio.sleep(10.0)
        for each in world.instances.values():
            each.fleet.quotas.gate.count(slow, 30_000)
        await asyncio.sleep(1.0)
        debt = debt_at(world.placer, world.now())
        assert debt > 10 * slow.quota.rate
        counted_at = world.now()

        def left():
            return debt - slow.quota.rate * (world.now() - counted_at) - 1

        lost = [each.entry.name for each in world.placer.order.ordered()[:2]]
        for name in lost:
            await world.instances.pop(name).fleet.close()
        await asyncio.sleep(0.7)
        assert debt_at(world.placer, world.now()) >= left()
        await world.restart(*lost)
        configure(world, slow)
        assert world.placer.name in lost
        await asyncio.sleep(0.7)
        assert debt_at(world.placer, world.now()) >= left()

    placement_world.run(scenario, names=NAMES, decode=6)


async def stop_in_turn(world, pause_s):
    for name in tuple(world.instances):
        await asyncio.sleep(pause_s)
        world.leaving.add(name)


@pytest.mark.parametrize("pause_s", [0.0, 0.2, 1.0])
def test_instances_that_all_stop_use_the_quota_together(pause_s):
    """Guards against instances that stop and each grant the whole quota."""

    async def scenario(world):
        configure(world, FLOOD)
        await asyncio.sleep(2.0)
        stopping = asyncio.ensure_future(stop_in_turn(world, pause_s))
        results = await send(world, FLOOD, 0.04, 12.0)
        await stopping
        assert 0.7 * most_served(12.0) <= served(results)
        assert served(results) <= most_served(12.5, requests=3)

    placement_world.run(scenario, names=NAMES, decode=8)


def test_instances_that_see_few_others_use_a_part_of_the_rate():
    """Guards against isolated instances that each grant the rate."""

    async def scenario(world):
        configure(world, FLOOD)
        await asyncio.sleep(2.0)
        alone = world.others[0]
        for name in NAMES:
            world.cuts.add(frozenset((name, alone.name)))
        await asyncio.sleep(1.0)
        results = [
            await place(alone, FLOOD, f"r-{number}") for number in range(40)
        ]
        # A tenth of the rate, as one of five is seen.
        assert served(results) <= most_served(1.5, bursts=0)

    placement_world.run(scenario, names=NAMES, decode=6)


def test_plain_calls_are_refused_everywhere_once_the_quota_is_used_up():
    """Guards against a quota that each instance grants for itself."""

    async def scenario(world):
        configure(world, FLOOD, CALM)
        await asyncio.sleep(2.0)
        admitted = 0
        for _ in range(200):
            for each in world.instances.values():
                gate = each.fleet.quotas.gate
                admitted += gate.admit_call(FLOOD, PLAIN_TOKENS) is not None
                assert gate.admit_call(CALM, 1) is not None
            await asyncio.sleep(0.02)
        # The use of one interval of reports may come on top.
        rate = FLOOD.quota.rate
        allowed = rate * 4.0 + FLOOD.quota.burst
        allowed += 1.0 * len(NAMES) * PLAIN_TOKENS / 0.02
        assert admitted * PLAIN_TOKENS <= allowed
        assert admitted * PLAIN_TOKENS >= 0.8 * rate * 4.0

    placement_world.run(scenario, names=NAMES)


def test_an_instance_with_plain_calls_only_reports_its_use():
    """Guards against calls that the keeper never hears of."""

    async def scenario(world):
        configure(world, CALM)
        await asyncio.sleep(5.0)
        gate = world.others[0].fleet.quotas.gate
        gate.admit_call(CALM, PLAIN_TOKENS)
        await asyncio.sleep(0.6)
        keeper = world.placer.fleet.quotas.keeper
        level = keeper.accounts.levels(world.now())["calm"]
        assert level <= CALM.quota.burst
        sent = [
            each
            for each in world.sent
            if isinstance(each, messages.StreamReport) and each.usage
        ]
        assert {each.usage for each in sent} == {
            (messages.UsageRow("calm", PLAIN_TOKENS, 0),)
        }

    placement_world.run(scenario, names=NAMES)


def test_lost_messages_are_repaired_by_the_next():
    """Guards against use that is lost with a report."""

    async def scenario(world):
        configure(world, attrs.evolve(FLOOD, quota=CALM.quota))
        await asyncio.sleep(2.0)
        gate = world.others[0].fleet.quotas.gate
        accounts = world.placer.fleet.quotas.keeper.accounts
        world.lost.add(messages.StreamReport)
        for _ in range(100):
            gate.admit_call(FLOOD, PLAIN_TOKENS)
        await asyncio.sleep(0.6)
        world.lost.clear()
        gate.admit_call(FLOOD, PLAIN_TOKENS)
        before = accounts.levels(world.now())["flood"]
        await asyncio.sleep(0.6)
        after = accounts.levels(world.now())["flood"]
        assert before - after >= 100 * PLAIN_TOKENS - 0.6 * FLOOD.quota.rate

    placement_world.run(scenario, names=NAMES)


def test_workspaces_are_served_equally_during_a_flood_of_one():
    """Guards against a queue in which a flood delays all others."""

    async def scenario(world):
        spaces = [workspace(name, 1e9, 1e9) for name in ("flood", "a", "b")]
        configure(world, *spaces)
        await asyncio.sleep(1.0)
        flood, *others = await asyncio.gather(
            *(
                send(world, space, interval_s, 6.0)
                for space, interval_s in zip(
                    spaces, (0.01, 0.1, 0.1), strict=True
                )
            )
        )
        share = served(flood) / len(flood)
        assert share < 0.7
        for each in others:
            assert served(each) / len(each) > max(0.9, share)

    placement_world.run(scenario, names=NAMES, decode=1)
