"""In-memory ports of a node for the virtual loop, with faults by a seed."""

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
from seam_model import endpoints
from seam_model import errors
from seam_model import requests
from seam_node.ports import engine
from seam_node.ports import peer
from seam_node.ports import platform
from seam_node.ports import service
from standins import engine_core
from standins import platform_core
from standins import service_core

PLATFORM = "platform"
"""Name of the platform in `Links`."""
CALL_TIMEOUT_S = 1.0
SILENCE_S = 1.0
"""Time without an event after which a stream counts as lost."""
FLEET_LAG_S = 2.0


def _now() -> float:
    return asyncio.get_running_loop().time()


class Links:
    """Delays and faults between named instances, endpoints and platform.

    A frozen name neither sends nor receives until it is thawed; its timers
    run on.
    """

    def __init__(self, rng: random.Random, near_s=0.0005, far_s=0.02):
        self.data_centres: dict[str, str] = {}
        """Data centre of each name."""
        self.jitter = 0.2
        """Share of a delay that varies; above 1, messages overtake."""
        self.loss = 0.0
        self._rng, self._near_s, self._far_s = rng, near_s, far_s
        self.dead: set[str] = set()
        """Names that neither send nor receive any more."""
        self._cuts: set[tuple[str, str]] = set()
        self._thawed: dict[str, asyncio.Event] = {}

    def cut(self, source: str, target: str, both: bool = True) -> None:
        """Loses what `source` sends to `target`, or both ways."""
        self._cuts.add((source, target))
        if both:
            self._cuts.add((target, source))

    def heal(self) -> None:
        """Ends every cut."""
        self._cuts.clear()

    def freeze(self, name: str) -> None:
        """Stops a name until `thaw`."""
        self._thawed[name] = asyncio.Event()

    def thaw(self, name: str) -> None:
        """Lets a frozen name go on."""
        self._thawed.pop(name).set()

    async def travel(
        self, source: str, target: str, buffered: bool = False
    ) -> bool:
        """Waits for a message's way; False when it is lost.

        What is `buffered` arrives also while `target` is frozen.
        """
        await self._running(source)
        if self._is_cut(source, target) or self._rng.random() < self.loss:
            return False
        near = self.data_centres.get(source) == self.data_centres.get(target)
        delay_s = self._near_s if near else self._far_s
        await asyncio.sleep(delay_s * (1 + self.jitter * self._rng.random()))
        if not buffered:
            await self._running(target)
        return not self._is_cut(source, target)

    def _is_cut(self, source: str, target: str) -> bool:
        gone = source in self.dead or target in self.dead
        return gone or (source, target) in self._cuts

    async def _running(self, name: str) -> None:
        while name in self._thawed:
            await self._thawed[name].wait()


async def _order(
    links: Links,
    source: str,
    target: str,
    call: Callable[[], Any],
    timeout_s: float,
) -> expression.Result:
    """Sends an order that runs on when its caller stops waiting."""
    if not await links.travel(source, target):
        await asyncio.sleep(timeout_s)
        return expression.Error(errors.EndpointUnreachable(target))
    task = _spawn_outside(call())
    kept = False
    try:
        done, _ = await asyncio.wait({task}, timeout=timeout_s)
        kept = bool(done) and await links.travel(target, source)
    finally:
        if not kept:
            task.add_done_callback(_abandon)
    if kept:
        return task.result()
    return expression.Error(errors.EndpointLost(target))


def _spawn_outside(coro: Any) -> asyncio.Task:
    """Runs what belongs to no instance, so that none can stop it."""
    loop = asyncio.get_running_loop()
    return loop.create_task(coro, context=contextvars.Context())


def _abandon(task: asyncio.Task) -> None:
    if task.cancelled() or task.exception() or task.result().is_error():
        return
    if isinstance(task.result().ok, engine_core.Reader):
        task.result().ok.detach()


# Engines and services


class _Stream(engine.DecodeStream):
    """What has arrived waits here, as in the buffer of a connection."""

    def __init__(self, links, source, target, reader):
        self._links, self._source, self._target = links, source, target
        self._reader = reader
        self._arrived: asyncio.Queue = asyncio.Queue()
        self._pump = _spawn_outside(self._receive())

    async def _receive(self) -> None:
        while True:
            part = await self._reader.read()
            ends = self._target, self._source
            if not await self._links.travel(*ends, buffered=True):
                return
            self._arrived.put_nowait(part)
            if part.is_error() or part.ok is None:
                return

    async def read(self) -> expression.Result:
        try:
            return await asyncio.wait_for(self._arrived.get(), SILENCE_S)
        except TimeoutError:
            return expression.Error(errors.EndpointLost(self._target))

    async def close(self) -> None:
        self._pump.cancel()
        self._reader.detach()
        if self._arrived.empty():
            lost = expression.Error(errors.EndpointLost(self._target))
            self._arrived.put_nowait(lost)


class FakeEngine(engine.Engine):
    """One instance's way to one engine core."""

    def __init__(self, links: Links, source: str, core: Any):
        self._links, self._source, self._core = links, source, core

    async def _send(self, call: Callable, timeout_s: float = CALL_TIMEOUT_S):
        target = self._core.name
        return await _order(self._links, self._source, target, call, timeout_s)

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
    """Engines of one instance, over the cores of all by name."""

    def __init__(self, links: Links, source: str, cores: dict[str, Any]):
        self._links, self._source, self._cores = links, source, cores

    def engine(self, record: endpoints.EndpointRecord) -> FakeEngine:
        core = self._cores[record.name]
        return FakeEngine(self._links, self._source, core)

    async def close(self) -> None:
        """Holds nothing to close."""


def kv_importer(links: Links, name: str, cores: dict[str, Any]):
    """Returns the importer of engine `name`; URLs end with engine names."""

    async def import_kv(url: str, handle: str) -> expression.Result:
        source = url.rpartition("/")[2]
        if not await links.travel(name, source):
            return expression.Error(errors.TransferFailed(name))
        moved = await cores[source].export(handle)
        if not await links.travel(source, name):
            return expression.Error(errors.TransferFailed(name))
        return moved

    return import_kv


class FakeService(service.Service):
    """One instance's way to the service cores, by endpoint name."""

    def __init__(
        self,
        links: Links,
        source: str,
        cores: dict[str, service_core.ServiceCore],
    ):
        self._links, self._source, self._cores = links, source, cores

    async def call(
        self, record: endpoints.EndpointRecord, order: endpoints.ServiceOrder
    ) -> expression.Result[requests.ServiceReply, errors.EndpointError]:
        core = self._cores[record.name]

        def run():
            return core.call(
                order.service, order.operation, order.key, order.body
            )

        target, wait_s = record.name, order.timeout_s
        return await _order(self._links, self._source, target, run, wait_s)

    async def close(self) -> None:
        """Holds nothing to close."""


# Peers


class FakePeerNetwork(peer.PeerNetwork):
    """Peer links in memory; messages pass through the codec."""

    def __init__(
        self, links: Links, name: str, nodes: dict[str, "FakePeerNetwork"]
    ):
        """Makes the links of `name`; `nodes` holds the started ones."""
        self._links, self._name, self._nodes = links, name, nodes
        self._handlers: dict[type, peer.Handler] = {}
        self._peers: set[str] = set()
        self._tasks: set[asyncio.Task] = set()
        self.lost: set[type] = set()
        """Kinds of messages that never arrive."""

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
        """Returns the answer's result, or None when a message was lost."""
        row = _through_codec(message)
        arrives = await self._links.travel(self._name, name)
        if not arrives or type(message) in self.lost:
            return None
        node = self._nodes.get(name)
        if node is None:
            return expression.Error(errors.PeerUnreachable(name))
        answer = await node._receive(self._name, row)
        if not await self._links.travel(name, self._name):
            return None
        return expression.Ok(None if answer is None else _through_codec(answer))

    async def _receive(self, sender: str, message: Any) -> Any:
        return await self._handlers[type(message)](sender, message)


def _through_codec(message: Any) -> Any:
    packed = codec.pack(codec.message_to_row(message))
    return codec.row_to_message(msgpack.unpackb(packed)).ok


# Platform


class Store(platform_core.PlatformCore):
    """The stand-in platform with faults, shared by all `FakePlatform`s."""

    def __init__(self):
        super().__init__(_now, FLEET_LAG_S)
        self.down = False
        self.latency_s = 0.0
        self.lose_answers = 0
        """Number of coming writes that take effect without an answer."""


class FakePlatform(platform.Platform):
    """One instance's way to the shared store."""

    def __init__(self, links: Links, name: str, store: Store):
        self._links, self._name, self._store = links, name, store

    async def start(self) -> None:
        """Opens nothing."""

    async def close(self) -> None:
        """Closes nothing."""

    async def _call(self, what: str, call: Callable, write: bool = False):
        unavailable = expression.Error(errors.PlatformUnavailable(what))
        there = await self._links.travel(self._name, PLATFORM)
        await asyncio.sleep(self._store.latency_s)
        if self._store.down:
            return unavailable
        if not there:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return unavailable
        result = call()
        if inspect.iscoroutine(result):
            result = await result
        lost = write and self._store.lose_answers > 0
        self._store.lose_answers -= lost
        back = await self._links.travel(PLATFORM, self._name)
        if back and not lost and not self._store.down:
            return result
        await asyncio.sleep(CALL_TIMEOUT_S)
        if write:
            return expression.Error(errors.PlatformAmbiguous(what))
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
