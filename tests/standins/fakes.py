"""In-memory fakes of a node's ports with seeded delays and faults.

They run on the virtual event loop.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import contextvars
import inspect
import random
from typing import Any

import expression
import msgpack

from seam_model import codec
from seam_model import endpoint_errors
from seam_model import endpoints
from seam_model import errors
from seam_model import platform_errors
from seam_model import requests
from seam_node.ports import engine
from seam_node.ports import peer
from seam_node.ports import platform
from seam_node.ports import service
from standins import engine_parts
from standins import platform_core
from standins import service_core

PLATFORM_NAME = "platform"
"""Name of the platform in `Links`."""
CALL_TIMEOUT_S = 1.0
STREAM_IDLE_TIMEOUT_S = 1.0
"""Time without an event after which a stream counts as lost."""
FLEET_LIST_LAG_S = 2.0


def _now() -> float:
    return asyncio.get_running_loop().time()


class Links:
    """Delays and faults between named instances, endpoints and the platform.

    A frozen name neither sends nor receives until it is thawed; its timers
    are not stopped.
    """

    def __init__(self, rng: random.Random, near_s=0.0005, far_s=0.02):
        self.data_centres: dict[str, str] = {}
        """Data centre of each name."""
        self.jitter = 0.2
        """Random share added to a delay; above 1, messages are reordered."""
        self.loss = 0.0
        self._rng, self._near_s, self._far_s = rng, near_s, far_s
        self.dead: set[str] = set()
        """Names of ended processes; they no longer send or receive."""
        self._cuts: set[tuple[str, str]] = set()
        self._thawed: dict[str, asyncio.Event] = {}

    def cut(self, source: str, target: str, both: bool = True) -> None:
        """Drops messages from `source` to `target`, by default both ways."""
        self._cuts.add((source, target))
        if both:
            self._cuts.add((target, source))

    def heal(self) -> None:
        """Removes all cuts."""
        self._cuts.clear()

    def freeze(self, name: str) -> None:
        """Stops all sending and receiving of a name until `thaw`."""
        self._thawed[name] = asyncio.Event()

    def thaw(self, name: str) -> None:
        """Resumes a frozen name."""
        self._thawed.pop(name).set()

    async def deliver(
        self, source: str, target: str, buffered: bool = False
    ) -> bool:
        """Waits for a message's delay; returns False if the message is lost.

        A `buffered` message arrives even while `target` is frozen.
        """
        await self._wait_until_thawed(source)
        if self._is_lost(source, target) or self._rng.random() < self.loss:
            return False
        near = self.data_centres.get(source) == self.data_centres.get(target)
        delay_s = self._near_s if near else self._far_s
        await asyncio.sleep(delay_s * (1 + self.jitter * self._rng.random()))
        if not buffered:
            await self._wait_until_thawed(target)
        return not self._is_lost(source, target)

    def _is_lost(self, source: str, target: str) -> bool:
        gone = source in self.dead or target in self.dead
        return gone or (source, target) in self._cuts

    async def _wait_until_thawed(self, name: str) -> None:
        while name in self._thawed:
            await self._thawed[name].wait()


async def _send_order(
    links: Links,
    source: str,
    target: str,
    call: Callable[[], Any],
    timeout_s: float,
) -> expression.Result:
    """Sends an order, which continues after its caller stops waiting."""
    if not await links.deliver(source, target):
        await asyncio.sleep(timeout_s)
        return expression.Error(endpoint_errors.EndpointUnreachable(target))
    task = _spawn_unowned(call())
    answered = False
    try:
        done, _ = await asyncio.wait({task}, timeout=timeout_s)
        answered = bool(done) and await links.deliver(target, source)
    finally:
        if not answered:
            task.add_done_callback(_detach_unread)
    if answered:
        return task.result()
    return expression.Error(endpoint_errors.EndpointLost(target))


def _spawn_unowned(coro: Any) -> asyncio.Task:
    """Starts a task that belongs to no instance and that none can stop."""
    loop = asyncio.get_running_loop()
    return loop.create_task(coro, context=contextvars.Context())


def _detach_unread(task: asyncio.Task) -> None:
    if task.cancelled() or task.exception() or task.result().is_error():
        return
    if isinstance(task.result().ok, engine_parts.Reader):
        task.result().ok.detach()


# Engines and services


class _Stream(engine.DecodeStream):
    """A stream with a receive buffer, as a connection has one."""

    def __init__(self, links, source, target, reader):
        self._links, self._source, self._target = links, source, target
        self._reader = reader
        self._arrived: asyncio.Queue = asyncio.Queue()
        self._pump = _spawn_unowned(self._receive())

    async def _receive(self) -> None:
        while True:
            part = await self._reader.read()
            ends = self._target, self._source
            if not await self._links.deliver(*ends, buffered=True):
                return
            self._arrived.put_nowait(part)
            if part.is_error() or part.ok is None:
                return

    async def read(self) -> expression.Result:
        try:
            return await asyncio.wait_for(
                self._arrived.get(), STREAM_IDLE_TIMEOUT_S
            )
        except TimeoutError:
            return expression.Error(endpoint_errors.EndpointLost(self._target))

    async def close(self) -> None:
        self._pump.cancel()
        self._reader.detach()
        if self._arrived.empty():
            lost = expression.Error(endpoint_errors.EndpointLost(self._target))
            self._arrived.put_nowait(lost)


class FakeEngine(engine.Engine):
    """Connection of one instance to one engine core."""

    def __init__(self, links: Links, source: str, core: Any):
        self._links, self._source, self._core = links, source, core

    async def _send(self, call: Callable, timeout_s: float = CALL_TIMEOUT_S):
        target = self._core.name
        return await _send_order(
            self._links, self._source, target, call, timeout_s
        )

    async def _open(self, call: Callable, timeout_s: float):
        opened = await self._send(call, timeout_s)
        name = self._core.name
        return opened.map(
            lambda reader: _Stream(self._links, self._source, name, reader)
        )

    async def prefill(self, order, timeout_s):
        return await self._send(lambda: self._core.prefill(order), timeout_s)

    async def decode(self, order, timeout_s):
        return await self._open(lambda: self._core.decode(order), timeout_s)

    async def resume(self, order, timeout_s):
        return await self._open(lambda: self._core.resume(order), timeout_s)

    async def cancel(self, request_id, incarnation):
        return await self._send(
            lambda: self._core.cancel(request_id, incarnation)
        )

    async def load(self):
        return await self._send(self._core.load)

    async def cache_events(self, after):
        return await self._send(lambda: self._core.cache_events(after))

    async def configure(self, order, timeout_s):
        return await self._send(lambda: self._core.configure(order), timeout_s)


class FakeEngineFactory(engine.EngineFactory):
    """Creates an instance's engine connections from cores by name."""

    def __init__(self, links: Links, source: str, cores: dict[str, Any]):
        self._links, self._source, self._cores = links, source, cores

    def engine(self, record: endpoints.EndpointRecord) -> FakeEngine:
        core = self._cores[record.name]
        return FakeEngine(self._links, self._source, core)

    async def close(self) -> None:
        """Holds nothing to close."""


def kv_importer(links: Links, name: str, cores: dict[str, Any]):
    """Returns the KV importer of engine `name`.

    The last path segment of a source URL is the name of the source engine.
    """

    async def import_kv(url: str, handle: str) -> expression.Result:
        source = url.rpartition("/")[2]
        if not await links.deliver(name, source):
            return expression.Error(endpoint_errors.TransferFailed(name))
        moved = await cores[source].export(handle)
        if not await links.deliver(source, name):
            return expression.Error(endpoint_errors.TransferFailed(name))
        return moved

    return import_kv


class FakeService(service.Service):
    """Connections of one instance to the service cores, by endpoint name."""

    def __init__(
        self,
        links: Links,
        source: str,
        cores: dict[str, service_core.ServiceCore],
    ):
        self._links, self._source, self._cores = links, source, cores

    async def call(
        self, record: endpoints.EndpointRecord, order: endpoints.ServiceOrder
    ) -> expression.Result[
        requests.ServiceReply, endpoint_errors.EndpointError
    ]:
        core = self._cores[record.name]

        def run():
            return core.call(
                order.service, order.operation, order.key, order.body
            )

        target, wait_s = record.name, order.timeout_s
        return await _send_order(self._links, self._source, target, run, wait_s)

    async def close(self) -> None:
        """Holds nothing to close."""


# Peers


class FakePeerNetwork(peer.PeerNetwork):
    """In-memory peer network; messages pass through the codec."""

    def __init__(
        self, links: Links, name: str, nodes: dict[str, "FakePeerNetwork"]
    ):
        """Creates the network of `name`; `nodes` maps started instances."""
        self._links, self._name, self._nodes = links, name, nodes
        self._handlers: dict[type, peer.Handler] = {}
        self._peers: set[str] = set()
        self._tasks: set[asyncio.Task] = set()
        self.dropped_types: set[type] = set()
        """Types of messages that are always lost."""

    def register_handler(
        self, message_type: type, handler: peer.Handler
    ) -> None:
        self._handlers[message_type] = handler

    async def start(self) -> None:
        self._nodes[self._name] = self

    async def close(self) -> None:
        self._nodes.pop(self._name, None)
        for task in list(self._tasks):
            task.cancel()

    def set_peers(self, records: Iterable[endpoints.InstanceRecord]) -> None:
        self._peers = {record.name for record in records}

    async def request(
        self, peer: str, message: Any, timeout_s: float
    ) -> expression.Result[Any, errors.PeerError]:
        if peer == self._name:
            return expression.Ok(await self._receive(peer, message))
        if peer not in self._peers:
            return expression.Error(errors.PeerUnreachable(peer))
        task = self._spawn(self._round_trip(peer, message))
        done, _ = await asyncio.wait({task}, timeout=timeout_s)
        result = task.result() if done else None
        if result is None:
            if done:
                await asyncio.sleep(timeout_s)
            return expression.Error(errors.PeerTimeout(peer))
        return result

    def notify(self, peer: str, message: Any) -> None:
        if peer == self._name:
            self._spawn(self._receive(peer, message))
        elif peer in self._peers:
            self._spawn(self._round_trip(peer, message))

    def _spawn(self, coro: Any) -> asyncio.Task:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _round_trip(self, name: str, message: Any) -> Any:
        """Returns the result of the answer, or None if a message was lost."""
        row = _codec_round_trip(message)
        arrives = await self._links.deliver(self._name, name)
        if not arrives or type(message) in self.dropped_types:
            return None
        node = self._nodes.get(name)
        if node is None:
            return expression.Error(errors.PeerUnreachable(name))
        answer = await node._receive(self._name, row)
        if not await self._links.deliver(name, self._name):
            return None
        return expression.Ok(
            None if answer is None else _codec_round_trip(answer)
        )

    async def _receive(self, sender: str, message: Any) -> Any:
        return await self._handlers[type(message)](sender, message)


def _codec_round_trip(message: Any) -> Any:
    packed = codec.pack(codec.message_to_row(message))
    return codec.row_to_message(msgpack.unpackb(packed)).ok


# Platform


class Store(platform_core.PlatformCore):
    """The stand-in platform with faults, shared by all `FakePlatform`s."""

    def __init__(self):
        super().__init__(_now, FLEET_LIST_LAG_S)
        self.down = False
        self.latency_s = 0.0
        self.lose_answers = 0
        """Number of next writes that take effect but whose answer is lost."""


class FakePlatform(platform.Platform):
    """Connection of one instance to the shared store."""

    def __init__(self, links: Links, name: str, store: Store):
        self._links, self._name, self._store = links, name, store

    async def start(self) -> None:
        """Does nothing: the store needs no connection."""

    async def close(self) -> None:
        """Does nothing: the store needs no connection."""

    async def _call(self, operation: str, call: Callable, write: bool = False):
        unavailable = expression.Error(
            platform_errors.PlatformUnavailable(operation)
        )
        request_arrived = await self._links.deliver(self._name, PLATFORM_NAME)
        await asyncio.sleep(self._store.latency_s)
        if self._store.down:
            return unavailable
        if not request_arrived:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return unavailable
        result = call()
        if inspect.iscoroutine(result):
            result = await result
        lost = write and self._store.lose_answers > 0
        self._store.lose_answers -= lost
        answer_arrived = await self._links.deliver(PLATFORM_NAME, self._name)
        if answer_arrived and not lost and not self._store.down:
            return result
        await asyncio.sleep(CALL_TIMEOUT_S)
        if write:
            return expression.Error(
                platform_errors.PlatformAmbiguous(operation)
            )
        return unavailable

    async def get(self, key):
        return await self._call("get", lambda: self._store.get(key))

    async def put(self, key, data, expected):
        def write():
            return self._store.put(key, data, expected)

        return await self._call("put", write, write=True)

    async def delete(self, key, expected):
        def write():
            return self._store.delete(key, expected)

        return await self._call("delete", write, write=True)

    async def list_keys(self, prefix):
        def read():
            return expression.Ok(self._store.list_keys(prefix))

        return await self._call("list_keys", read)

    async def watch(self, key, above, timeout_s):
        async def wait():
            found = await self._store.watch(key, above, timeout_s)
            return expression.Ok(found)

        return await self._call("watch", wait)

    async def fleet(self):
        return await self._call(
            "fleet", lambda: expression.Ok(self._store.fleet())
        )

    async def announce(self, record):
        def write():
            return expression.Ok(self._store.announce(record))

        return await self._call("announce", write, write=True)
