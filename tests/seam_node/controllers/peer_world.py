"""Provides virtual time and an in-memory network and platform for tests."""

import asyncio
import random
import selectors

import attrs
import expression

from seam_model import endpoints
from seam_model import errors
from seam_model import platform_errors
from seam_node.ports import clock as clock_port
from seam_node.ports import peer as peer_port
from seam_node.ports import platform as platform_port


class _Selector(selectors.SelectSelector):
    loop = None

    def select(self, timeout=None):
        if timeout:
            self.loop.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances only to its next timer."""

    def __init__(self):
        selector = _Selector()
        selector.loop = self
        self.now = 1000.0
        super().__init__(selector)

    def time(self):
        return self.now


def run(coro):
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coro)
    finally:
        left = asyncio.all_tasks(loop)
        for job in left:
            job.cancel()
        loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
        loop.close()


@attrs.define
class World:
    """Shared state: all instances, their links and the platform's list."""

    rng: random.Random
    networks: dict = attrs.field(factory=dict)
    records: dict = attrs.field(factory=dict)
    engines: tuple = ()
    cut: set = attrs.field(factory=set)
    """Pairs (from, to) whose messages are lost."""
    platform_down: bool = False
    requests: dict = attrs.field(factory=dict)

    def partition(self, *groups):
        """Cuts the links between the groups in both directions."""
        side = {name: n for n, group in enumerate(groups) for name in group}
        self.cut = {(a, b) for a in side for b in side if side[a] != side[b]}

    def stop(self, name):
        """Disconnects an instance from all links."""
        self.networks.pop(name, None)

    async def deliver(self, sender, peer):
        await asyncio.sleep(self.rng.uniform(0.0005, 0.005))
        network = self.networks.get(peer)
        if network is None or (sender, peer) in self.cut:
            await asyncio.sleep(3600)
        return network


class MemoryNetwork(peer_port.PeerNetwork):
    """Peer network of one instance in a world."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.handlers = {}
        self.peers = {}
        self.tasks = set()

    def register_handler(self, message_type, handler):
        self.handlers[message_type] = handler

    async def start(self):
        self.world.networks[self.name] = self

    async def close(self):
        self.world.stop(self.name)

    def set_peers(self, records):
        self.peers = {record.name: record for record in records}

    async def _exchange(self, peer, message):
        if peer == self.name:
            return await self.handlers[type(message)](peer, message)
        network = await self.world.deliver(self.name, peer)
        answer = await network.handlers[type(message)](self.name, message)
        await network.world.deliver(peer, self.name)
        return answer

    async def request(self, peer, message, timeout_s):
        request_counts = self.world.requests
        kind = (self.name, type(message).__name__)
        request_counts[kind] = request_counts.get(kind, 0) + 1
        if peer != self.name and peer not in self.peers:
            return expression.Error(errors.PeerUnreachable(peer))
        job = asyncio.ensure_future(self._exchange(peer, message))
        self.tasks.add(job)
        job.add_done_callback(self.tasks.discard)
        done, _ = await asyncio.wait((job,), timeout=timeout_s)
        if not done:
            return expression.Error(errors.PeerTimeout(peer))
        return expression.Ok(job.result())

    def notify(self, peer, message):
        if peer == self.name or peer in self.peers:
            job = asyncio.ensure_future(self._exchange(peer, message))
            self.tasks.add(job)
            job.add_done_callback(self.tasks.discard)


class MemoryPlatform(platform_port.Platform):
    """Platform that implements only the list of instances."""

    def __init__(self, world):
        self.world = world

    async def fleet(self):
        if self.world.platform_down:
            return expression.Error(
                platform_errors.PlatformUnavailable("fleet")
            )
        records = tuple(self.world.records.values())
        return expression.Ok(endpoints.FleetList(records, self.world.engines))

    async def announce(self, record):
        if self.world.platform_down:
            return expression.Error(
                platform_errors.PlatformUnavailable("announce")
            )
        self.world.records[record.name] = record
        return expression.Ok(None)

    async def start(self):
        raise NotImplementedError

    async def close(self):
        raise NotImplementedError

    async def get(self, key):
        raise NotImplementedError

    async def put(self, key, data, expected):
        raise NotImplementedError

    async def delete(self, key, expected):
        raise NotImplementedError

    async def list_keys(self, prefix):
        raise NotImplementedError

    async def watch(self, key, above, timeout_s):
        raise NotImplementedError


CLOCK = clock_port.LoopClock()


def record(name, incarnation=1):
    return endpoints.InstanceRecord(
        name,
        f"http://{name}",
        "h",
        1,
        f"dc{data_centre_number(name)}",
        incarnation,
    )


def data_centre_number(name):
    return sum(name.encode()) % 3
