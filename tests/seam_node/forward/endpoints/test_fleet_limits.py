"""Rate limits of engines, as several instances keep them."""

import asyncio
import bisect
import itertools

import pytest

from seam_node.forward.fleet import messages
from seam_policy import rate_limits
from standins import placement_world

LIMIT = 1.0
WINDOW_S = 4.0
MAX_GRANTS = 1.5 * LIMIT * WINDOW_S + 5
"""What a limited engine may get within the window."""
TOLD_S = 0.05
REPORTED_S = 5.0
"""Time in which each instance has reported."""
NAMES = ("one", "two", "three", "four", "five")


def key(engine):
    return f"{engine}/1"


async def keep_saying(instance, engines, seconds, rate=LIMIT):
    """Has engines name a limit in answers to one instance for a while."""
    for _ in range(int(seconds / 0.2)):
        for engine in engines:
            now = instance.world.now()
            instance.limits.heard(key(engine), rate, now)
        await asyncio.sleep(0.2)


async def ask(instance, number, granted):
    placed, _ = await instance.place(f"r-{number}")
    if placed.is_error():
        return
    place = placed.ok
    granted.append((instance.world.now(), place.decode.id))
    if place.prefill is not None:
        granted.append((instance.world.now(), place.prefill.id))
    await asyncio.sleep(0.5)
    instance.placement.end(
        place.number, place.decode.key, messages.Outcome.SERVED
    )


async def load(world, seconds, per_s):
    """Asks for places at all instances in turn; returns the grants."""
    granted = []
    tasks = []
    instances = itertools.cycle(list(world.instances.values()))
    for number in range(int(seconds * per_s)):
        instance = next(instances)
        if instance.name not in world.silent:
            tasks.append(asyncio.ensure_future(ask(instance, number, granted)))
        await asyncio.sleep(1 / per_s)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return granted


def most_in_window(granted, engine):
    times = sorted(at for at, name in granted if name == engine)
    return max(
        bisect.bisect_right(times, at + WINDOW_S) - index
        for index, at in enumerate(times)
    )


def limited_at(world, engine="d-0"):
    return [
        name
        for name, each in world.instances.items()
        if each.limits.is_limited(key(engine))
    ]


@pytest.mark.parametrize("hearer", [0, 1, 2, 3, 4])
def test_a_limit_that_one_instance_hears_is_known_to_all(hearer):
    async def scenario(world):
        await asyncio.sleep(1.0)
        instance = list(world.instances.values())[hearer]
        instance.limits.heard(key("d-0"), LIMIT, world.now())
        await asyncio.sleep(TOLD_S)
        assert limited_at(world) == list(world.instances)

    placement_world.run(scenario, names=NAMES)


def test_the_fleet_grants_no_more_places_than_an_engine_takes():
    async def scenario(world):
        hearer = world.others[0]
        engines = ("d-0", "p-0")
        saying = asyncio.ensure_future(keep_saying(hearer, engines, 12.0))
        await asyncio.sleep(TOLD_S)
        granted = await load(world, 12.0, 15)
        await saying
        for engine in engines:
            assert most_in_window(granted, engine) <= MAX_GRANTS
            assert most_in_window(granted, engine) >= LIMIT * WINDOW_S - 1
        others = [name for _, name in granted if name in ("d-1", "d-2")]
        assert len(others) >= 60

    placement_world.run(scenario, names=NAMES)


def test_a_limit_outlasts_the_placer():
    async def scenario(world):
        hearer = world.others[1]
        saying = asyncio.ensure_future(keep_saying(hearer, ("d-0",), 12.0))
        await asyncio.sleep(TOLD_S)
        granted = await load(world, 4.0, 15)
        placer = world.placer.name
        world.silent.add(placer)
        world.known_dead.add(placer)
        granted += await load(world, 8.0, 15)
        await saying
        assert most_in_window(granted, "d-0") <= MAX_GRANTS

    placement_world.run(scenario, names=NAMES)


@pytest.mark.parametrize("restarted", [False, True])
def test_a_lost_notice_and_a_restart_are_repaired_by_reports(restarted):
    async def scenario(world):
        hearer, other, *_ = world.others
        world.lost = {messages.LimitNotice}
        saying = asyncio.ensure_future(
            keep_saying(hearer, ("d-0",), 2.0 + REPORTED_S)
        )
        await asyncio.sleep(1.0)
        world.lost = set()
        if restarted:
            await world.restart(other.name)
        await asyncio.sleep(REPORTED_S)
        assert limited_at(world) == list(world.instances)
        await saying

    placement_world.run(scenario, names=NAMES)


def test_the_end_of_a_limit_is_told_to_all():
    async def scenario(world):
        hearer = world.others[0]
        await keep_saying(hearer, ("d-0",), 1.0)
        hearer.limits.heard(key("d-0"), None, world.now())
        await asyncio.sleep(rate_limits.RECOVERY_S + TOLD_S)
        assert limited_at(world) == []

    placement_world.run(scenario, names=NAMES)


def test_requests_beyond_all_limits_are_refused_with_times_that_hold():
    async def scenario(world):
        hearer = world.others[0]
        engines = ("d-0", "d-1", "d-2", "p-0", "p-1")
        saying = asyncio.ensure_future(keep_saying(hearer, engines, 12.0))
        await asyncio.sleep(TOLD_S)
        times = []

        async def refused(number):
            _, ctx = await world.others[number % 4].place(f"r-{number}")
            times.append(world.now() + ctx.retry_after_s)

        asks = [asyncio.ensure_future(refused(n)) for n in range(30)]
        await asyncio.sleep(6.0)
        for task in asks:
            task.cancel()
        await asyncio.gather(*asks, return_exceptions=True)
        await saying
        returns = sorted(set(times))[:8]
        steps = [b - a for a, b in itertools.pairwise(returns)]
        assert sum(steps) / len(steps) >= 0.5 / (3 * LIMIT)

    placement_world.run(scenario, names=NAMES)
