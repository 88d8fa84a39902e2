"""Provides in-memory ports and a virtual-time loop for controller tests."""

import asyncio
import selectors

import expression

from seam_model import errors
from seam_model import platform_errors
from seam_node.ports import clock
from seam_node.ports import peer
from seam_node.ports import platform

START_WALL_S = 1_800_000_000.0


class _JumpSelector(selectors.SelectSelector):
    loop = None

    def select(self, timeout=None):
        if timeout:
            self.loop.now_s += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Advances its time to the next timer instead of waiting."""

    def __init__(self):
        self.now_s = 1000.0
        selector = _JumpSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self):
        return self.now_s


def run(coro):
    """Runs a coroutine on a new virtual loop."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coro)


class Clock(clock.Clock):
    def __init__(self, offset_s=0.0):
        self.offset_s = offset_s

    def monotonic(self):
        return asyncio.get_running_loop().time()

    def wall(self):
        return START_WALL_S + self.monotonic() - 1000.0 + self.offset_s


class Platform(platform.Platform):
    """Stores objects in memory; `faults` lists faults of the next writes."""

    def __init__(self, latency_s=0.005):
        self.objects = {}
        self.latency_s = latency_s
        self.down = False
        self.faults = []
        self.calls = []

    async def start(self):
        pass

    async def close(self):
        pass

    async def _call(self, operation):
        self.calls.append(operation)
        await asyncio.sleep(self.latency_s)
        if self.down:
            return platform_errors.PlatformUnavailable(operation)
        return None

    async def get(self, key):
        failure = await self._call("get")
        if failure:
            return expression.Error(failure)
        if key not in self.objects:
            return expression.Error(platform_errors.ObjectMissing(key))
        version, data = self.objects[key]
        return expression.Ok(platform.Stored(key, version, data))

    async def put(self, key, data, expected):
        fault = self.faults.pop(0) if self.faults else ""
        failure = await self._call("put")
        if failure:
            return expression.Error(failure)
        if fault == "lost_before":
            return expression.Error(platform_errors.PlatformAmbiguous("put"))
        current = self.objects.get(key, (0, b""))[0]
        if current != expected:
            return expression.Error(
                platform_errors.VersionConflict(key, expected, current)
            )
        self.objects[key] = (current + 1, data)
        if fault == "lost_after":
            return expression.Error(platform_errors.PlatformAmbiguous("put"))
        if fault == "lost_after_then_down":
            self.down = True
            return expression.Error(platform_errors.PlatformAmbiguous("put"))
        return expression.Ok(current + 1)

    async def delete(self, key, expected):
        failure = await self._call("delete")
        if failure:
            return expression.Error(failure)
        current = self.objects.get(key, (0, b""))[0]
        if current != expected:
            return expression.Error(
                platform_errors.VersionConflict(key, expected, current)
            )
        del self.objects[key]
        return expression.Ok(None)

    async def list_keys(self, prefix):
        failure = await self._call("list")
        if failure:
            return expression.Error(failure)
        keys = sorted(key for key in self.objects if key.startswith(prefix))
        return expression.Ok(tuple(keys))

    async def watch(self, key, above, timeout_s):
        raise NotImplementedError

    async def fleet(self):
        raise NotImplementedError

    async def announce(self, record):
        raise NotImplementedError


class Network:
    """Connects several instances; drops the next `lose_answers` answers."""

    def __init__(self):
        self.links = {}
        self.dead = set()
        self.lose_answers = 0

    def link(self, name):
        self.links[name] = Link(self, name)
        return self.links[name]


class Link(peer.PeerNetwork):
    def __init__(self, network, name):
        self.network = network
        self.name = name
        self.handlers = {}

    def register_handler(self, message_type, handler):
        self.handlers[message_type] = handler

    async def start(self):
        pass

    async def close(self):
        pass

    def set_peers(self, records):
        pass

    async def request(self, peer, message, timeout_s):
        await asyncio.sleep(0.001)
        if peer in self.network.dead:
            return expression.Error(errors.PeerUnreachable(peer))
        handler = self.network.links[peer].handlers[type(message)]
        answer = await handler(self.name, message)
        if self.network.lose_answers:
            self.network.lose_answers -= 1
            await asyncio.sleep(timeout_s)
            return expression.Error(errors.PeerTimeout(peer))
        if peer in self.network.dead:
            return expression.Error(errors.PeerUnreachable(peer))
        return expression.Ok(answer)

    def notify(self, peer, message):
        raise NotImplementedError
