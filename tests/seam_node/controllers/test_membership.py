"""Tests membership with silent, restarted and paused peers, and its cost."""

import asyncio
import random

import pytest

from seam_node.controllers import membership
from seam_node.controllers import membership_view
from seam_node.controllers import registry
from tests.seam_node.controllers import peer_world

DEAD = membership_view.PeerState.DEAD
NAMES = ("a", "b", "c", "d")


def make(world, name, incarnation=1, **options):
    network = peer_world.MemoryNetwork(world, name)
    return membership.MembershipController(
        peer_world.record(name, incarnation),
        peer_world.MemoryPlatform(world),
        network,
        peer_world.CLOCK,
        random.Random(f"{name}{incarnation}"),
        **options,
    )


async def start(world, name, incarnation=1, **options):
    controller = make(world, name, incarnation, **options)
    await controller._network.start()
    await controller.start()
    return controller


async def start_all(world, names=NAMES):
    return {name: await start(world, name) for name in names}


def live(controller):
    return {site.name for site in controller.view().live}


def test_silent_peer_is_dead_until_a_new_incarnation():
    async def main():
        world = peer_world.World(random.Random(1))
        nodes = await start_all(world)
        await asyncio.sleep(6)
        assert live(nodes["a"]) == set(NAMES)
        await nodes["d"].close()
        world.stop("d")
        await asyncio.sleep(10)
        view = nodes["a"].view()
        assert view.states["d"] is DEAD
        assert {site.name for site in view.listed} == set(NAMES)
        assert not view.is_live("d", 1)
        await start(world, "d", incarnation=2)
        await asyncio.sleep(6)
        assert nodes["a"].view().is_live("d", 2)
        assert not nodes["a"].view().is_live("d", 1)

    peer_world.run(main())


def test_minority_side_of_a_partition_loses_the_majority():
    async def main():
        world = peer_world.World(random.Random(2))
        nodes = await start_all(world)
        await asyncio.sleep(6)
        world.partition("a", "bcd")
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(10)
        assert nodes["a"].view().majority_acked_at <= now + 0.1
        assert nodes["b"].view().majority_acked_at > now + 8
        assert live(nodes["a"]) == {"a"}
        assert live(nodes["b"]) == set("bcd")

    peer_world.run(main())


def test_last_list_is_kept_during_a_platform_outage():
    async def main():
        world = peer_world.World(random.Random(3))
        nodes = await start_all(world)
        await asyncio.sleep(6)
        world.platform_down = True
        await asyncio.sleep(60)
        assert live(nodes["a"]) == set(NAMES)

    peer_world.run(main())


def test_list_emptied_by_an_outage_removes_no_instance():
    async def main():
        world = peer_world.World(random.Random(3))
        nodes = await start_all(world)
        await asyncio.sleep(6)
        seen = set()
        for each in nodes.values():
            each.subscribe(lambda view: seen.add(len(view.listed)))
        world.platform_down = True
        await asyncio.sleep(20)
        world.records.clear()
        world.platform_down = False
        await asyncio.sleep(20)
        assert seen <= {len(NAMES)}
        assert live(nodes["a"]) == set(NAMES)

    peer_world.run(main())


def test_instance_missing_beyond_the_grace_time_is_removed():
    async def main():
        world = peer_world.World(random.Random(4))
        nodes = await start_all(world)
        await asyncio.sleep(6)
        await nodes["d"].close()
        world.stop("d")
        del world.records["d"]
        await asyncio.sleep(membership.LIST_GRACE_S + 5)
        listed = nodes["a"].view().listed
        assert {site.name for site in listed} == set(NAMES) - {"d"}

    peer_world.run(main())


def test_heartbeat_announces_leaving_without_the_platform():
    async def main():
        world = peer_world.World(random.Random(4))
        nodes = await start_all(world)
        seen = []
        await asyncio.sleep(6)
        nodes["a"].subscribe(seen.append)
        world.platform_down = True
        await nodes["b"].leave()
        await asyncio.sleep(2)
        assert live(nodes["a"]) == set("acd")
        assert nodes["a"].view().leaving == ("b",)
        assert len(seen) == 1

    peer_world.run(main())


def test_pause_is_detected_before_the_next_heartbeat():
    async def main():
        world = peer_world.World(random.Random(5))
        nodes = await start_all(world)
        await asyncio.sleep(6.5)
        assert nodes["a"].detect_pauses() == 0
        asyncio.get_running_loop().now += 30
        assert nodes["a"].detect_pauses() == 1
        assert nodes["a"].detect_pauses() == 1
        view = nodes["a"].view()
        assert view.paused_at == asyncio.get_running_loop().time()
        await asyncio.sleep(1.5)
        assert live(nodes["a"]) == set(NAMES)

    peer_world.run(main())


@pytest.mark.parametrize("after_s", [0.0, 0.3, 0.6, 0.9])
def test_pause_as_long_as_the_hand_over_timeout_is_detected(after_s):
    async def main():
        world = peer_world.World(random.Random(6))
        nodes = await start_all(world)
        await asyncio.sleep(6.0 + after_s)
        asyncio.get_running_loop().now += registry.HAND_OVER_TIMEOUT_S
        assert nodes["a"].detect_pauses() == 1

    peer_world.run(main())


def test_config_versions_are_passed_on():
    async def main():
        world = peer_world.World(random.Random(6))
        received = []
        await start(world, "a", config_version=lambda: 41)
        await start(
            world, "b", on_config_version=lambda *seen: received.append(seen)
        )
        await asyncio.sleep(6)
        assert set(received) == {("a", 41)}

    peer_world.run(main())


@pytest.mark.parametrize("size", [2, 7, 8, 60, 400])
def test_monitored_peers_are_bounded_and_reach_all_instances(size):
    names = [f"node-{n}" for n in range(size)]
    monitored = {
        name: membership.monitored_peers(name, names) for name in names
    }
    assert all(len(set(p)) == min(6, size - 1) for p in monitored.values())
    assert all(name not in peers for name, peers in monitored.items())
    reached, edge, hops = {names[0]}, {names[0]}, 0
    while edge:
        edge = {p for name in edge for p in monitored[name]} - reached
        reached |= edge
        hops += bool(edge)
    assert len(reached) == size
    assert hops <= 12


def test_400_listed_instances_cost_six_heartbeats_a_second():
    async def main():
        world = peer_world.World(random.Random(7))
        for n in range(400):
            record = peer_world.record(f"node-{n}")
            world.records[record.name] = record
        await start(world, "node-0")
        await asyncio.sleep(30)
        count = world.requests["node-0", "Heartbeat"]
        assert 0 < count <= 6 * 30

    peer_world.run(main())


def test_dead_peer_is_detected_beyond_its_monitors():
    async def main():
        world = peer_world.World(random.Random(8))
        names = [f"node-{n}" for n in range(30)]
        nodes = await start_all(world, names)
        await asyncio.sleep(8)
        await nodes["node-3"].close()
        world.stop("node-3")
        await asyncio.sleep(25)
        states = {
            name: node.view().states["node-3"]
            for name, node in nodes.items()
            if name != "node-3"
        }
        assert set(states.values()) == {DEAD}

    peer_world.run(main())


def test_single_suspicion_is_refuted_by_direct_answers():
    async def main():
        world = peer_world.World(random.Random(9))
        names = [f"node-{n}" for n in range(30)]
        nodes = await start_all(world, names)
        await asyncio.sleep(8)
        monitor = next(n for n in names if "node-3" in nodes[n]._monitored)
        world.cut = {(monitor, "node-3")}
        dead = set()

        def note(view):
            if view.states["node-3"] is DEAD:
                dead.add(view.own.name)

        for name in set(names) - {"node-3"}:
            nodes[name].subscribe(note)
        await asyncio.sleep(25)
        assert dead == {monitor}

    peer_world.run(main())
