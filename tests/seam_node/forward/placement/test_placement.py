"""Places granted by another instance, and what fails on the way."""

import asyncio

import attrs
import pytest

from seam_model import errors
from seam_node.forward.fleet import coordinators
from seam_node.forward.fleet import messages
from seam_node.forward.placement import placement
from seam_policy import stream_ledger
from standins import placement_world

SERVED = messages.Outcome.SERVED


def end(instance, placed, outcome=SERVED):
    instance.placement.end(placed.number, placed.decode.key, outcome)


def test_a_request_costs_the_same_messages_in_a_fleet_of_any_size():
    counts = {}

    async def scenario(world):
        world.sent.clear()
        coordinating = [e.name for e in world.placer.order.responsive()]
        asker = next(
            each
            for each in world.instances.values()
            if each.name not in coordinating
        )
        placed, _ = await asker.place()
        end(asker, placed.ok)
        counted = [
            each
            for each in world.sent
            if not isinstance(each, messages.StreamReport)
        ]
        counts[len(world.instances)] = len(counted)

    for size in (3, 12, 60):
        names = tuple(f"i-{number}" for number in range(size))
        placement_world.run(scenario, names=names)
    assert len(set(counts.values())) == 1
    assert counts[60] <= 2 + coordinators.COUNT


def test_all_instances_choose_the_same_placer():
    async def scenario(world):
        firsts = {
            each.order.responsive()[0].name for each in world.instances.values()
        }
        assert firsts == {world.placer.name}

    placement_world.run(scenario, names=tuple(f"i-{n}" for n in range(9)))


def test_small_instances_do_not_coordinate():
    async def scenario(world):
        for name in ("one", "two"):
            world.instances[name].capacity = 0.5
        assert [e.entry.name for e in world.placer.order.ordered()] == ["three"]

    placement_world.run(scenario)


def test_places_of_several_askers_are_spread_over_the_engines():
    async def scenario(world):
        asked = [
            each.place(f"r-{number}")
            for number, each in enumerate(world.instances.values())
        ]
        results = await asyncio.gather(*asked)
        keys = {placed.ok.decode.key for placed, _ in results}
        assert len(keys) == 3

    placement_world.run(scenario)


@pytest.mark.parametrize("fault", ["silent", "cut"])
def test_without_the_placer_the_next_coordinator_decides(fault):
    """The placer is frozen or dead, or only the asker cannot reach it."""

    async def scenario(world):
        first, asker = world.placer, world.others[0]
        if fault == "silent":
            world.silent.add(first.name)
        else:
            world.cuts.add(frozenset((first.name, asker.name)))
        started_at = world.now()
        placed, _ = await asker.place()
        assert placed.is_ok()
        assert placed.ok.placer != first.name
        waited_s = world.now() - started_at
        limit_s = placement.MAX_SENDS * placement.ANSWER_TIMEOUT_S
        assert waited_s <= limit_s + 0.03
        # The next request does not wait for the lost placer again.
        started_at = world.now()
        assert (await asker.place("r-2"))[0].is_ok()
        assert world.now() - started_at < 0.03

    placement_world.run(scenario)


def test_without_any_coordinator_an_instance_decides_by_itself():
    async def scenario(world):
        asker = world.others[0]
        world.silent.update(each.name for each in world.instances.values())
        placed, _ = await asker.place()
        assert placed.ok.placer == asker.name

    placement_world.run(scenario)


def test_a_placer_that_answers_again_is_asked_again():
    async def scenario(world):
        first, asker = world.placer, world.others[0]
        world.silent.add(first.name)
        await asker.place()
        world.silent.clear()
        await asyncio.sleep(coordinators.SUSPECT_S + 0.1)
        placed, _ = await asker.place("r-2")
        assert placed.ok.placer == first.name

    placement_world.run(scenario)


def test_a_successor_knows_the_streams_that_run():
    """The placer dies in a burst; its successor must not overfill engines."""

    async def scenario(world):
        asker = world.others[0]
        for number in range(6):
            assert (await asker.place(f"r-{number}"))[0].is_ok()
        await asyncio.sleep(1.0)
        successor = world.instances[asker.order.responsive()[1].name]
        assert len(successor.ledger) == 6

    placement_world.run(scenario)


def test_lost_messages_are_repeated():
    async def scenario(world):
        asker = world.others[0]
        asked = asyncio.ensure_future(asker.place())
        world.lost.add(messages.PlaceAnswer)
        await asyncio.sleep(0.03)
        world.lost.clear()
        placed, _ = await asked
        assert placed.ok.placer == world.placer.name
        assert len(world.placer.ledger) == 1

    placement_world.run(scenario)


def test_a_grant_that_comes_too_late_is_given_back():
    """The asker has moved on, so nobody would use the place."""

    async def scenario(world):
        first, asker = world.placer, world.others[0]
        asked = asyncio.ensure_future(asker.place())
        await asyncio.sleep(placement_world.DELAY_S / 2)
        asked.cancel()
        await asyncio.sleep(1.0)
        assert len(first.ledger) == len(asker.ledger) == 0

    placement_world.run(scenario)


def test_a_grant_is_taken_back_if_its_asker_leaves_at_that_moment():
    """The place would otherwise count until the instance ends."""

    async def scenario(world):
        first = world.placer
        asked = [
            asyncio.ensure_future(first.place(f"r-{number}"))
            for number in range(40)
        ]
        await asyncio.sleep(0.05)
        placed = [each.result()[0].ok for each in asked if each.done()]
        waiting = next(each for each in asked if not each.done())
        count = len(first.ledger)
        # The first one that waits is granted the place and cancelled at once.
        end(first, placed[0])
        assert len(first.ledger) == count
        waiting.cancel()
        for each in asked:
            each.cancel()
        await asyncio.sleep(0.1)
        assert len(first.ledger) == count - 1

    placement_world.run(scenario, decode=1)


def test_a_caller_that_leaves_leaves_the_queue():
    async def scenario(world):
        first, asker = world.placer, world.others[0]
        for each in world.engines:
            first.stats.exclude(each.key, world.now())
        places = [
            asyncio.ensure_future(asker.place(f"r-{number}"))
            for number in range(60)
        ]
        await asyncio.sleep(0.1)
        assert len(first.placer) > 0
        for each in places:
            each.cancel()
        await asyncio.sleep(0.1)
        assert len(first.placer) == 0

    placement_world.run(scenario)


@pytest.mark.parametrize("lost", [True, False])
def test_the_streams_of_a_dead_instance_lapse(lost):
    async def scenario(world):
        first, asker = world.placer, world.others[0]
        for number in range(3):
            await asker.place(f"r-{number}")
        await asyncio.sleep(1.0)
        assert len(first.ledger) == 3
        if lost:
            world.silent.add(asker.name)
        await asyncio.sleep(stream_ledger.HOLDER_LAPSE_S + 1.0)
        assert len(first.ledger) == (0 if lost else 3)

    placement_world.run(scenario)


def test_a_lost_end_is_repaired_by_the_next_report():
    async def scenario(world):
        first, asker = world.placer, world.others[0]
        placed, _ = await asker.place()
        await asyncio.sleep(2.0)
        world.lost.add(messages.StreamEnded)
        end(asker, placed.ok)
        await asyncio.sleep(1.0)
        assert len(first.ledger) == 0

    placement_world.run(scenario)


def test_a_new_incarnation_starts_without_streams():
    async def scenario(world):
        first, asker = world.placer, world.others[0]
        for number in range(3):
            await asker.place(f"r-{number}")
        report = messages.StreamReport(
            asker.name,
            asker.entry.incarnation + 1,
            (),
            (),
            messages.WorkloadMeans(),
        )
        first.receive(report)
        assert len(first.ledger) == 0
        # Messages of the former incarnation no longer count.
        first.receive(attrs.evolve(report, incarnation=1))
        assert len(first.ledger) == 0

    placement_world.run(scenario)


def test_two_placers_for_a_moment_only_cost_quality():
    """Each side of a cut has its own placer; every request gets an answer."""

    async def scenario(world):
        one, two, three = world.instances.values()
        world.cuts.update(
            frozenset(pair)
            for pair in ((one.name, two.name), (one.name, three.name))
        )
        asked = [
            each.place(f"{each.name}-{number}")
            for each in (one, two, three)
            for number in range(3)
        ]
        results = await asyncio.gather(*asked)
        assert all(placed.is_ok() for placed, _ in results)
        assert {placed.ok.placer for placed, _ in results} >= {one.name}
        world.cuts.clear()
        await asyncio.sleep(coordinators.SUSPECT_S + 2.0)
        assert len(world.placer.ledger) == 9

    placement_world.run(scenario)


def test_an_engine_that_fails_elsewhere_is_chosen_last():
    async def scenario(world):
        asker, other = world.others
        for number in range(8):
            placed, _ = await asker.place(f"r-{number}")
            failed = placed.ok.decode.id == "d-0"
            outcome = messages.Outcome.FAILED if failed else SERVED
            end(asker, placed.ok, outcome)
            await asyncio.sleep(0.02)
        chosen = set()
        for number in range(4):
            placed, _ = await other.place(f"s-{number}")
            chosen.add(placed.ok.decode.id)
        assert "d-0" not in chosen

    placement_world.run(scenario)


def test_an_engine_that_is_gone_gets_no_more_requests_of_others():
    async def scenario(world):
        first, second, *_ = world.others
        placed = [(await first.place(f"r-{n}"))[0].ok for n in range(21)]
        gone = placed[0].decode
        lost = [each for each in placed if each.decode == gone]
        end(first, lost[0], messages.Outcome.GONE)
        for started in lost[1:]:
            end(first, started, messages.Outcome.UNKNOWN)
        await asyncio.sleep(2 * placement_world.DELAY_S)
        chosen = set()
        for number in range(2):
            other, _ = await second.place(f"s-{number}")
            chosen.add(other.ok.decode.id)
        assert gone.id not in chosen

    placement_world.run(scenario)


def test_a_prefill_engine_that_refuses_pauses_for_all():
    async def scenario(world):
        asker, other = world.others
        first, _ = await asker.place()
        refusing = first.ok.prefill
        asker.placement.prefill_ended(
            messages.PrefillEnded(
                asker.name,
                first.ok.number,
                refusing.key,
                3000,
                0.01,
                0.0,
                messages.Outcome.FULL,
            )
        )
        await asyncio.sleep(0.02)
        chosen = set()
        for number in range(4):
            placed, _ = await other.place(f"s-{number}")
            chosen.add(placed.ok.prefill.key)
        assert refusing.key not in chosen

    placement_world.run(scenario)


def test_without_engines_the_request_is_refused_at_once():
    async def scenario(world):
        started_at = world.now()
        placed, _ = await world.others[0].place()
        assert isinstance(placed.error, errors.NoEndpoint)
        assert world.now() - started_at < 0.05

    placement_world.run(scenario, decode=0)
