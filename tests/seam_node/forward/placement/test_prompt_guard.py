"""Prompts that crash engines, as several instances see them."""

import asyncio

import pytest

from seam_model import errors
from seam_node.forward.fleet import message_codec
from seam_node.forward.fleet import messages
from seam_node.forward.fleet import stream_reports
from seam_policy import crash_evidence
from seam_policy import quarantine
from standins import placement_world

DEADLY = ("first", "deadly")
SOUND = ("first",)
TOLD_S = 0.05
"""Time in which messages arrive and are answered."""
REPORTED_S = (
    stream_reports.INTERVAL_S * (stream_reports.IDLE_INTERVALS + 1) + TOLD_S
)
"""Time in which each instance has reported."""
FIVE_INSTANCES = ("one", "two", "three", "four", "five")


async def lose(instance, engine, parts=DEADLY):
    """Has an engine crash under a request of an instance."""
    ctx = instance.context(parts=parts)
    by_id = {each.id: each for each in instance.world.engines}
    await instance.fleet.prompts.has_crashed(ctx, by_id[engine])


def start(instance, parts):
    instance.fleet.prompts.started(instance.context(parts=parts))


def is_refused(instance, parts=DEADLY):
    ruling = instance.fleet.prompts.rule(instance.context(parts=parts))
    return ruling.verdict is quarantine.Verdict.REFUSED


def refusing(world, parts=DEADLY):
    return [
        name
        for name, each in world.instances.items()
        if is_refused(each, parts)
    ]


def knowing(world):
    return [each.fleet.prompts.is_known for each in world.instances.values()]


async def condemn(world):
    """Has two instances lose one engine each, one after the other."""
    first, second, *_ = world.others
    await lose(first, "d-0")
    await asyncio.sleep(crash_evidence.EPISODE_S + 0.1)
    await lose(second, "d-1")
    await asyncio.sleep(TOLD_S)


def test_losses_of_different_instances_meet_at_the_placer():
    async def scenario(world):
        await condemn(world)
        assert refusing(world) == list(world.instances)
        assert refusing(world, SOUND) == []
        placed, ctx = await world.others[0].place(parts=DEADLY)
        assert isinstance(placed.error, errors.PromptQuarantined)
        assert ctx.retry_after_s > 0

    placement_world.run(scenario, names=FIVE_INSTANCES)


def test_a_part_is_cleared_by_a_prompt_that_started_elsewhere():
    async def scenario(world):
        await condemn(world)
        start(world.others[2], SOUND)
        await asyncio.sleep(REPORTED_S)
        assert refusing(world, ("other", "deadly")) == list(world.instances)

    placement_world.run(scenario, names=FIVE_INSTANCES)


def test_sound_prompts_lost_beside_deadly_ones_are_not_refused():
    async def scenario(world):
        first, second, *_ = world.others
        # What is lost at one moment is told bit by bit.
        await lose(first, "d-0")
        await lose(second, "d-1", SOUND)
        await asyncio.sleep(TOLD_S)
        await lose(second, "d-1")
        await asyncio.sleep(TOLD_S)
        assert refusing(world, SOUND) == []
        assert refusing(world) == list(world.instances)

    placement_world.run(scenario, names=FIVE_INSTANCES)


def test_starts_before_a_crash_that_are_reported_late_speak_for_a_part():
    async def scenario(world):
        first, second, third, *_ = world.others
        await asyncio.sleep(0.1)
        for _ in range(3):
            start(third, SOUND)
        await asyncio.sleep(0.01)
        await lose(first, "d-0", SOUND)
        await lose(second, "d-1", SOUND)
        await asyncio.sleep(REPORTED_S)
        assert refusing(world, SOUND) == []

    placement_world.run(scenario, names=FIVE_INSTANCES)


def test_parts_blamed_for_crashes_at_one_time_are_tried_sooner():
    async def scenario(world):
        first, second, *_ = world.others
        await lose(first, "d-0")
        await lose(second, "d-1")
        await asyncio.sleep(TOLD_S)
        assert refusing(world) == list(world.instances)
        await asyncio.sleep(quarantine.EARLY_TRIAL_S)
        placed, _ = await first.place(parts=DEADLY)
        assert placed.is_ok()

    placement_world.run(scenario, names=FIVE_INSTANCES)


def test_a_connection_that_broke_without_a_crash_blames_nothing():
    async def scenario(world):
        world.engines_refuse = False
        await condemn(world)
        assert refusing(world) == []

    placement_world.run(scenario)


@pytest.mark.parametrize(
    "lost", [messages.PromptLost, messages.QuarantineNotice]
)
def test_lost_messages_are_repaired_by_the_reports(lost):
    async def scenario(world):
        world.lost = {lost}
        await condemn(world)
        world.lost = set()
        await asyncio.sleep(REPORTED_S)
        assert refusing(world) == list(world.instances)

    placement_world.run(scenario, names=FIVE_INSTANCES)


def test_the_placer_refuses_for_an_instance_that_was_not_told():
    async def scenario(world):
        world.lost = {messages.QuarantineNotice}
        await condemn(world)
        asker = world.others[0]
        if asker.name in refusing(world):
            asker = world.others[1]
        assert not is_refused(asker)
        placed, _ = await asker.place(parts=DEADLY)
        assert isinstance(placed.error, errors.PromptQuarantined)

    placement_world.run(scenario, names=FIVE_INSTANCES)


def test_the_quarantine_outlasts_the_placer():
    async def scenario(world):
        await condemn(world)
        placer = world.placer.name
        world.silent.add(placer)
        world.known_dead.add(placer)
        placed, _ = await world.others[0].place(parts=DEADLY)
        assert isinstance(placed.error, errors.PromptQuarantined)

    placement_world.run(scenario, names=FIVE_INSTANCES)


def test_the_quarantine_outlasts_a_loss_of_power_of_all_instances():
    async def scenario(world):
        await condemn(world)
        await world.restart(*world.instances)
        await asyncio.sleep(TOLD_S)
        assert refusing(world) == list(world.instances)

    placement_world.run(scenario)


def restore_store(world, copy):
    """Restores the store; all instances hear of it."""
    world.store.restore(copy)
    for each in world.instances.values():
        each.fleet.prompts.on_store_restored()


def test_the_quarantine_that_the_store_lost_outlasts_a_loss_of_power():
    async def scenario(world):
        copy = world.store.copy()
        await condemn(world)
        await asyncio.sleep(1.0)
        restore_store(world, copy)
        await asyncio.sleep(stream_reports.INTERVAL_S + TOLD_S)
        await world.restart(*world.instances)
        await asyncio.sleep(TOLD_S)
        assert refusing(world) == list(world.instances)

    placement_world.run(scenario)


def test_a_restore_does_not_bring_a_released_prompt_back():
    async def scenario(world):
        await condemn(world)
        await asyncio.sleep(1.0)
        copy = world.store.copy()
        start(world.placer, DEADLY)
        await asyncio.sleep(1.0)
        assert refusing(world) == []
        restore_store(world, copy)
        await asyncio.sleep(stream_reports.INTERVAL_S + TOLD_S)
        await world.restart(*world.instances)
        await asyncio.sleep(TOLD_S)
        assert refusing(world) == []

    placement_world.run(scenario)


def test_the_quarantine_is_written_by_who_coordinates_after_a_restore():
    """The coordinators die before they have written it again."""

    async def scenario(world):
        copy = world.store.copy()
        await condemn(world)
        await asyncio.sleep(1.0)
        first, second = world.placer.order.responsive()
        restore_store(world, copy)
        for entry in (first, second):
            world.silent.add(entry.name)
            world.known_dead.add(entry.name)
            await world.instances[entry.name].fleet.close()
        await asyncio.sleep(REPORTED_S)
        assert world.store.objects

    placement_world.run(scenario, names=FIVE_INSTANCES)


def test_the_quarantine_is_written_and_read_once_the_store_is_back():
    async def scenario(world):
        world.store.is_away = True
        await condemn(world)
        await asyncio.sleep(1.0)
        world.store.is_away = False
        await asyncio.sleep(REPORTED_S)
        world.store.is_away = True
        await world.restart(*world.instances)
        await asyncio.sleep(1.0)
        assert refusing(world) == []
        assert not any(knowing(world))
        world.store.is_away = False
        await asyncio.sleep(REPORTED_S)
        assert refusing(world) == list(world.instances)

    placement_world.run(scenario)


def test_a_new_instance_learns_of_it_without_the_store():
    async def scenario(world):
        await condemn(world)
        await asyncio.sleep(1.0)
        world.store.is_away = True
        await world.restart("six")
        assert knowing(world).count(False) == 1
        await asyncio.sleep(REPORTED_S)
        assert refusing(world) == list(world.instances)
        assert all(knowing(world))

    placement_world.run(scenario)


def test_two_coordinators_write_the_quarantine_once():
    async def scenario(world):
        await condemn(world)
        await asyncio.sleep(2.0)
        [stored] = world.store.objects.values()
        assert stored.version == 1

    placement_world.run(scenario)


def test_a_release_outlasts_a_loss_of_power():
    async def scenario(world):
        await condemn(world)
        start(world.others[0], DEADLY)
        await asyncio.sleep(REPORTED_S)
        assert refusing(world) == []
        await world.restart(*world.instances)
        await asyncio.sleep(TOLD_S)
        assert refusing(world) == []

    placement_world.run(scenario)


def test_one_instance_tries_a_prompt_that_is_due():
    async def scenario(world):
        await condemn(world)
        await asyncio.sleep(quarantine.FIRST_TRIAL_S)
        placed = [
            (await each.place(f"r-{each.name}", parts=DEADLY))[0]
            for each in world.others
        ]
        assert [each.is_ok() for each in placed].count(True) == 1
        await lose(world.others[0], "d-2")
        await asyncio.sleep(REPORTED_S)
        assert refusing(world) == list(world.instances)
        await asyncio.sleep(quarantine.FIRST_TRIAL_S)
        assert refusing(world) == list(world.instances)

    placement_world.run(scenario, names=FIVE_INSTANCES)


def test_a_prompt_whose_trial_starts_is_served_everywhere():
    async def scenario(world):
        await condemn(world)
        await asyncio.sleep(quarantine.FIRST_TRIAL_S)
        placed, ctx = await world.others[0].place(parts=DEADLY)
        assert placed.is_ok()
        world.others[0].fleet.prompts.started(ctx)
        await asyncio.sleep(REPORTED_S)
        assert refusing(world) == []
        assert (await world.others[1].place(parts=DEADLY))[0].is_ok()

    placement_world.run(scenario, names=FIVE_INSTANCES)


def test_reports_of_the_largest_prompts_fit_into_a_datagram():
    async def scenario(world):
        instance = world.others[0]
        for number in range(100):
            parts = tuple(f"{number:08x}{part:08x}" for part in range(16))
            start(instance, parts)
            await lose(instance, "d-0", (*parts[:-1], "x"))
        report = messages.StreamReport(
            instance.name,
            1,
            (),
            (),
            messages.WorkloadMeans(),
            instance.fleet.prompts.report(),
        )
        encoded = message_codec.encode(report)
        assert len(encoded) < message_codec.MAX_DATAGRAM_BYTES / 2
        assert message_codec.decode(encoded) is not None

    placement_world.run(scenario)


def test_thousands_of_parts_take_bounded_memory_and_messages():
    async def scenario(world):
        instance = world.others[0]
        for number in range(5000):
            start(instance, (f"part-{number}",))
        report = instance.fleet.prompts.report()
        assert len(report.started) <= 64
        assert len(instance.fleet.prompts._sound) <= 2048

    placement_world.run(scenario)
