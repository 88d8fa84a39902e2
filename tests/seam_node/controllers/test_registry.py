"""Tests that a request has at most one run, also after failures."""

import asyncio
import random

import pytest

from seam_model import errors
from seam_model import ids
from seam_node.controllers import membership
from seam_node.controllers import mirror
from seam_node.controllers import registry
from tests.seam_node.controllers import peer_world

NAMES = ("a", "b", "c", "d", "e")
TAG = ids.workspace_tag("cebu")


def ident(n):
    return n.to_bytes(16, "big")


class Node:
    """One instance with its membership, mirror and registry."""

    def __init__(self, world, name, incarnation=1):
        clock = peer_world.CLOCK
        self.network = peer_world.MemoryNetwork(world, name)
        self.members = membership.MembershipController(
            peer_world.record(name, incarnation),
            peer_world.MemoryPlatform(world),
            self.network,
            clock,
            random.Random(f"{name}{incarnation}"),
        )
        self.stopped_relays = []
        self.cancelled = []
        self.registry = registry.Registry(
            self.members, self.network, clock, self.on_stop_relay
        )
        self.mirror = mirror.Mirror(
            self.members,
            self.network,
            clock,
            self.on_cancel,
            self.on_has_reader,
            self.registry.own_runs,
        )

    async def on_stop_relay(self, request_id):
        self.stopped_relays.append(request_id)

    async def on_cancel(self, engine, request_id, generation):
        self.cancelled.append((engine, request_id, generation))
        return True

    async def on_has_reader(self, engine, request_id):
        return False

    async def start(self):
        await self.network.start()
        for part in (self.members, self.registry, self.mirror):
            await part.start()
        return self

    async def stop(self):
        await self.network.close()
        for part in (self.members, self.registry, self.mirror):
            await part.close()


async def fleet(seed, names=NAMES):
    world = peer_world.World(random.Random(seed))
    nodes = {name: await Node(world, name).start() for name in names}
    await asyncio.sleep(20)
    assert not any(node.mirror.warming for node in nodes.values())
    return world, nodes


def replicas(node, request_id):
    return mirror.replica_names(request_id, node.members.view().listed)


def replicated_at(nodes, *, without):
    for n in range(1000):
        names = replicas(nodes["a"], ident(n))
        if without not in names:
            return ident(n), names
    raise AssertionError


def kind(result):
    return type(result.ok if result.is_ok() else result.error)


@pytest.mark.parametrize("seed", range(5))
def test_simultaneous_arrivals_run_at_most_once(seed):
    async def main():
        _, nodes = await fleet(seed)
        granted_count = 0
        for n in range(40):
            results = await asyncio.gather(
                *(nodes[name].registry.begin(ident(n), TAG) for name in NAMES)
            )
            granted = [r for r in results if r.is_ok()]
            assert len(granted) <= 1
            granted_count += len(granted)
        assert granted_count > 0

    peer_world.run(main())


def test_an_ended_run_is_not_run_again():
    async def main():
        _, nodes = await fleet(11)
        assert (await nodes["a"].registry.begin(ident(1), TAG)).is_ok()
        nodes["a"].registry.record_end(ident(1), "answered")
        await asyncio.sleep(1)
        again = await nodes["b"].registry.begin(ident(1), TAG)
        assert again.error == errors.AlreadyEnded("answered")
        taken = await nodes["b"].registry.take_over(ident(1), TAG)
        assert taken.error == errors.AlreadyEnded("answered")

    peer_world.run(main())


def test_other_workspace_cannot_access_a_run():
    async def main():
        _, nodes = await fleet(13)
        await nodes["a"].registry.begin(ident(1), TAG)
        other = ids.workspace_tag("iloilo")
        for name in NAMES:
            again = await nodes[name].registry.begin(ident(1), other)
            assert again.is_error()
            taken = await nodes[name].registry.take_over(ident(1), other)
            assert taken.error == errors.IdTaken()
            assert not await nodes[name].registry.holders(ident(1), other)
        assert nodes["a"].stopped_relays == []
        assert await nodes["a"].registry.confirm(ident(1))

    peer_world.run(main())


def test_a_live_holder_hands_over():
    async def main():
        _, nodes = await fleet(12)
        await nodes["a"].registry.begin(ident(1), TAG)
        nodes["a"].registry.record_placement(ident(1), "engine-3")
        await asyncio.sleep(1)
        refused = await nodes["b"].registry.begin(ident(1), TAG)
        assert refused.error == errors.AlreadyRunning("a")
        taken = await nodes["b"].registry.take_over(ident(1), TAG)
        assert taken.ok == registry.TakeOver("engine-3", 2)
        assert nodes["a"].stopped_relays == [ident(1)]
        assert not await nodes["a"].registry.confirm(ident(1))
        assert await nodes["b"].registry.confirm(ident(1))
        unknown = await nodes["b"].registry.take_over(ident(2), TAG)
        assert unknown.error == errors.RunUnknown()

    peer_world.run(main())


def test_taken_over_run_of_a_dead_holder_is_not_cancelled():
    async def main():
        _, nodes = await fleet(13)
        request_id, _ = replicated_at(nodes, without="a")
        await nodes["a"].registry.begin(request_id, TAG)
        nodes["a"].registry.record_placement(request_id, "engine-3")
        await asyncio.sleep(1)
        await nodes["a"].stop()
        taken = await nodes["b"].registry.take_over(request_id, TAG)
        assert taken.ok == registry.TakeOver("engine-3", 2)
        await asyncio.sleep(60)
        assert not any(node.cancelled for node in nodes.values())

    peer_world.run(main())


def test_run_that_is_not_resumed_is_cancelled_once():
    async def main():
        _, nodes = await fleet(14)
        request_id, _ = replicated_at(nodes, without="a")
        await nodes["a"].registry.begin(request_id, TAG)
        nodes["a"].registry.record_placement(request_id, "engine-3")
        await asyncio.sleep(1)
        await nodes["a"].stop()
        await asyncio.sleep(30)
        cancelled = [c for node in nodes.values() for c in node.cancelled]
        assert cancelled == [("engine-3", request_id, 1)]

    peer_world.run(main())


def test_partition_lets_only_the_majority_side_run():
    async def main():
        world, nodes = await fleet(15)
        for n in range(30):
            request_id = ident(n)
            side = replicas(nodes["a"], request_id)[0]
            rest = [name for name in NAMES if name != side]
            world.partition([side], rest)
            one, two = await asyncio.gather(
                nodes[side].registry.begin(request_id, TAG),
                nodes[rest[0]].registry.begin(request_id, TAG),
            )
            assert one.error == errors.NoQuorum(1, 2)
            assert two.is_ok()
            taken = await nodes[side].registry.take_over(request_id, TAG)
            assert isinstance(taken.error, errors.NoQuorum)
            world.cut = set()

    peer_world.run(main())


def test_replaced_owner_fails_confirmation():
    async def main():
        world, nodes = await fleet(16)
        request_id, _ = replicated_at(nodes, without="a")
        await nodes["a"].registry.begin(request_id, TAG)
        assert await nodes["a"].registry.confirm(request_id)
        world.partition("a", "bcde")
        taken = await nodes["b"].registry.take_over(request_id, TAG)
        assert taken.ok.generation == 2
        assert not await nodes["a"].registry.confirm(request_id)
        world.cut = set()
        assert not await nodes["a"].registry.confirm(request_id)

    peer_world.run(main())


def test_restarted_mirrors_grant_no_second_run():
    async def main():
        world, nodes = await fleet(17)
        request_id, names = replicated_at(nodes, without="a")
        await nodes["a"].registry.begin(request_id, TAG)
        other = next(n for n in NAMES if n != "a" and n not in names)
        for name in names[:2]:
            await nodes[name].stop()
        world.partition("a", NAMES[1:])
        for name in names[:2]:
            nodes[name] = await Node(world, name, 2).start()
        for _ in range(30):
            again = await nodes[other].registry.begin(request_id, TAG)
            assert again.is_error()
            await asyncio.sleep(0.25)
        world.cut = set()
        await asyncio.sleep(20)
        assert not nodes[names[0]].mirror.warming
        again = await nodes[other].registry.begin(request_id, TAG)
        assert again.error == errors.AlreadyRunning("a")

    peer_world.run(main())


def test_run_is_reregistered_when_the_list_changes():
    async def main():
        world, nodes = await fleet(18)
        begun = [ident(n) for n in range(40)]
        for request_id in begun:
            assert (await nodes["a"].registry.begin(request_id, TAG)).is_ok()
        for name in ("f", "g"):
            nodes[name] = await Node(world, name).start()
        for _ in range(60):
            await asyncio.sleep(0.5)
            taker = nodes["b"].registry
            results = [await taker.begin(r, TAG) for r in begun]
            assert not any(result.is_ok() for result in results)

    peer_world.run(main())
