"""Behaviour of one engine, shared by the HTTP stand-in and the fake.

It uses the timers of the running event loop, so it works on real and on
virtual time.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import heapq
import random
from typing import Any

import expression

from seam_model import endpoint_errors
from seam_model import endpoints
from standins import costs
from standins import engine_core_cache
from standins import engine_parts

Importer = Callable[[str, str], Awaitable[expression.Result]]
"""Takes a source URL and a KV handle; returns the bytes transferred."""


def _now() -> float:
    return asyncio.get_running_loop().time()


class EngineCore:
    """One engine with prefill queue, decode batch, memory, cache and faults."""

    def __init__(
        self,
        name: str,
        role: endpoints.EngineRole,
        importer: Importer,
        rng: random.Random,
        cost: costs.Costs | None = None,
        checks_fence: bool = False,
    ):
        """Creates an idle engine; `importer` fetches KV from another engine."""
        self.name, self.role, self.cost = name, role, cost or costs.Costs()
        self.models: tuple[str, ...] = ()
        self.adapters: tuple[str, ...] = ()
        self.faults = engine_parts.Faults()
        self.answering = asyncio.Event()
        self.answering.set()
        self.seen: list[engine_parts.ReceivedOrder] = []
        self.wasted_prefill_tokens = 0
        self.fence = 0
        self._checks_fence = checks_fence
        self._importer = importer
        self._blocks_free = self.cost.kv_blocks
        self._slots_used = 0
        self._queue: list = []
        self._order_count = 0
        self._prefilling: asyncio.Task | None = None
        self._kv: dict[str, engine_parts.Kv] = {}
        self._streams: dict[str, engine_parts.Stream] = {}
        self._running: list[engine_parts.Stream] = []
        self._tick_at: float | None = None
        self._cancelled: dict[str, int] = {}
        self._link_free_at_s = 0.0
        self._cache = engine_core_cache.PrefixCache(rng)
        self._reports = collections.deque([(0.0, self._report(0, ()))])

    def set_faults(self, **switches: Any) -> None:
        """Sets fault switches by name."""
        for key, value in switches.items():
            setattr(self.faults, key, value)
        if self.faults.silent:
            self.answering.clear()
        else:
            self.answering.set()
        for stream in self._streams.values():
            stream.changed.set()

    # Prefill

    async def prefill(
        self, order: endpoints.PrefillOrder
    ) -> expression.Result[
        endpoints.PrefillDone, endpoint_errors.EndpointError
    ]:
        """Queues a prefill by rank and waits until it has finished."""
        refusal = await self._admit("prefill", order)
        if refusal is not None:
            return expression.Error(refusal)
        fut = asyncio.get_running_loop().create_future()
        self._order_count += 1
        entry = (order.rank, self._order_count, order, fut)
        heapq.heappush(self._queue, entry)
        self._snapshot()
        if self._prefilling is None:
            self._prefilling = asyncio.ensure_future(self._serve_prefills())
        return await self._send_answer(await fut)

    async def export(
        self, handle: str
    ) -> expression.Result[int, endpoint_errors.EndpointError]:
        """Sends KV over the shared link; returns its size in bytes."""
        kv = self._kv.get(handle)
        if kv is None or self.faults.down:
            return expression.Error(endpoint_errors.KvExpired(self.name))
        size = kv.order.prompt_tokens * costs.KV_BYTES_PER_TOKEN
        start = max(_now(), self._link_free_at_s)
        end = start + size / self.cost.link_bytes_per_s
        if end > kv.expires_s:
            return expression.Error(endpoint_errors.KvExpired(self.name))
        self._link_free_at_s = end
        await asyncio.sleep(end - _now())
        if handle not in self._kv:
            return expression.Error(endpoint_errors.KvExpired(self.name))
        self._drop_kv(handle, wasted=False)
        return expression.Ok(size)

    async def _serve_prefills(self) -> None:
        while self._queue:
            _, number, order, fut = heapq.heappop(self._queue)
            result = await self._prefill(f"{self.name}-{number}", order)
            if not fut.done():
                fut.set_result(result)
        self._prefilling = None

    async def _prefill(
        self, handle: str, order: endpoints.PrefillOrder
    ) -> expression.Result[
        endpoints.PrefillDone, endpoint_errors.EndpointError
    ]:
        if self._was_cancelled(order):
            return expression.Error(
                endpoint_errors.OrderRejected(self.name, 409)
            )
        blocks = engine_parts.blocks_of(order.prompt_tokens)
        if blocks > self._blocks_free:
            return expression.Error(endpoint_errors.EndpointFull(self.name))
        self._blocks_free -= blocks
        cached = self._cache.cached_tokens(
            order.prompt, order.model, order.prompt_tokens
        )
        await asyncio.sleep(self.cost.prefill_s(order.prompt_tokens - cached))
        self._cache.store(order.prompt, order.model)
        life_s = self.cost.kv_ttl_s
        loop = asyncio.get_running_loop()
        timer = loop.call_later(life_s, self._drop_kv, handle)
        self._kv[handle] = engine_parts.Kv(
            order, blocks, _now() + life_s, timer
        )
        if self._was_cancelled(order):
            self._drop_kv(handle)
        self._snapshot()
        return expression.Ok(endpoints.PrefillDone(handle, life_s, cached))

    def _drop_kv(self, handle: str, wasted: bool = True) -> None:
        kv = self._kv.pop(handle)
        kv.timer.cancel()
        self._blocks_free += kv.blocks
        if wasted:
            self.wasted_prefill_tokens += kv.order.prompt_tokens
        self._snapshot()

    # Decode

    async def decode(
        self, order: endpoints.DecodeOrder
    ) -> expression.Result[engine_parts.Reader, endpoint_errors.EndpointError]:
        """Imports the KV cache and starts a stream."""
        refusal = await self._admit("decode", order)
        if refusal is not None:
            return expression.Error(refusal)
        blocks = engine_parts.blocks_of(order.prompt_tokens + order.max_tokens)
        full = self._slots_used >= self.cost.slots
        if full or blocks > self._blocks_free:
            return expression.Error(endpoint_errors.EndpointFull(self.name))
        self._slots_used += 1
        self._blocks_free -= blocks
        failure = await self._import_kv(order)
        if failure is not None:
            self._slots_used -= 1
            self._blocks_free += blocks
            return expression.Error(failure)
        generation = order.incarnation
        stream = engine_parts.Stream(
            order, generation, order.owner, blocks, _now()
        )
        self._streams[order.request_id] = stream
        self._running.append(stream)
        if self._tick_at is None:
            self._schedule_tick(_now())
        return await self._attach(stream, 0)

    async def resume(
        self, order: endpoints.ResumeOrder
    ) -> expression.Result[engine_parts.Reader, endpoint_errors.EndpointError]:
        """Attaches after an event id unless a later generation is attached."""
        generation = order.incarnation
        refusal = await self._receive_order(
            "resume", order.request_id, generation
        )
        if refusal is not None:
            return expression.Error(refusal)
        stream = self._streams.get(order.request_id)
        if (
            stream is None
            or generation < stream.generation
            or order.after_seq > len(stream.events)
        ):
            return expression.Error(endpoint_errors.StreamUnknown(self.name))
        stream.generation = generation
        stream.owner = order.owner
        return await self._attach(stream, order.after_seq)

    async def cancel(
        self, request_id: str, generation: int
    ) -> expression.Result[None, endpoint_errors.EndpointError]:
        """Frees the KV and the stream of runs up to `generation`."""
        refusal = await self._receive_order("cancel", request_id, generation)
        if refusal is not None:
            return expression.Error(refusal)
        known = self._cancelled.get(request_id, 0)
        self._cancelled[request_id] = max(known, generation)
        for handle, kv in list(self._kv.items()):
            if self._was_cancelled(kv.order):
                self._drop_kv(handle)
        stream = self._streams.get(request_id)
        if stream is not None and stream.generation <= generation:
            self._free(stream)
        return await self._send_answer(expression.Ok(None))

    def detach(self, stream: engine_parts.Stream) -> None:
        """Removes the reader of a stream."""
        stream.reader = None
        stream.idle_since = _now()
        stream.changed.set()
        self._snapshot()

    def mark_read_out(self, stream: engine_parts.Stream) -> None:
        """Frees a stream's memory now, its text after the retention time."""
        if stream.read_out or stream.freed:
            return
        stream.read_out = True
        self._blocks_free += stream.blocks
        loop = asyncio.get_running_loop()
        loop.call_later(self.cost.finished_retention_s, self._free, stream)
        self._snapshot()

    async def _attach(
        self, stream: engine_parts.Stream, after_seq: int
    ) -> expression.Result[engine_parts.Reader, endpoint_errors.EndpointError]:
        reader = engine_parts.Reader(self, stream, after_seq)
        self._snapshot()
        result = await self._send_answer(expression.Ok(reader))
        if result.is_error():
            await reader.close()
        return result

    async def _import_kv(
        self, order: endpoints.DecodeOrder
    ) -> endpoint_errors.EndpointError | None:
        if self.faults.fail_transfers > 0:
            self.faults.fail_transfers -= 1
            return endpoint_errors.TransferFailed(self.name)
        moved = await self._importer(order.source_url, order.kv_handle)
        if moved.is_error():
            return moved.error
        if self._is_stale(order):
            return endpoint_errors.OrderRejected(self.name, 409)
        if order.request_id in self._streams:
            self._free(self._streams[order.request_id])
        return None

    def _schedule_tick(self, last_s: float) -> None:
        self._tick_at = max(_now(), last_s + self.cost.step_s)
        asyncio.get_running_loop().call_at(self._tick_at, self._tick)

    def _tick(self) -> None:
        for stream in list(self._running):
            self._emit_token(stream)
        if self._running:
            self._schedule_tick(self._tick_at)
        else:
            self._tick_at = None

    def _emit_token(self, stream: engine_parts.Stream) -> None:
        seq = len(stream.events) + 1
        text = engine_parts.token_text(stream.order.request_id, seq)
        event = f'id: {seq}\ndata: {{"text": "{text}"}}\n\n'
        stream.events.append(event.encode())
        if seq >= stream.order.max_tokens:
            data = f'{{"reason":"length","tokens":{seq}}}'
            end = f"id: {seq + 1}\nevent: done\ndata: {data}\n\n"
            stream.events.append(end.encode())
            stream.done = True
            self._stop_decoding(stream)
        stream.changed.set()

    def _stop_decoding(self, stream: engine_parts.Stream) -> None:
        if stream in self._running:
            self._running.remove(stream)
            self._slots_used -= 1
            self._snapshot()

    def _free(self, stream: engine_parts.Stream) -> None:
        if stream.freed:
            return
        self._stop_decoding(stream)
        stream.freed = True
        if not stream.read_out:
            self._blocks_free += stream.blocks
        if self._streams.get(stream.order.request_id) is stream:
            del self._streams[stream.order.request_id]
        stream.changed.set()
        self._snapshot()

    # Reports and configuration

    async def load(
        self,
    ) -> expression.Result[endpoints.LoadReport, endpoint_errors.EndpointError]:
        """Returns the load as it was `load_lag_s` ago."""
        refusal = await self._receive_order()
        if refusal is not None:
            return expression.Error(refusal)
        self._snapshot()
        return expression.Ok(self._reports[0][1])

    async def cache_events(
        self, after: int
    ) -> expression.Result[
        tuple[endpoints.CacheEvent, ...], endpoint_errors.EndpointError
    ]:
        """Returns delayed cache events; lost events leave sequence gaps."""
        refusal = await self._receive_order()
        if refusal is not None:
            return expression.Error(refusal)
        return expression.Ok(self._cache.events(after))

    async def configure(
        self, order: endpoints.ModelOrder
    ) -> expression.Result[None, endpoint_errors.EndpointError]:
        """Sets role, models and adapters."""
        refusal = await self._receive_order(
            "configure", order.order_id, order.fence
        )
        if refusal is not None:
            return expression.Error(refusal)
        if self._checks_fence and order.fence < self.fence:
            return expression.Error(
                endpoint_errors.OrderFenced(self.name, self.fence)
            )
        self.fence = max(self.fence, order.fence)
        self.role, self.models = order.role, order.models
        self.adapters = order.adapters
        return await self._send_answer(expression.Ok(None))

    def held(self) -> tuple[endpoints.HeldStream, ...]:
        """Returns the streams that hold memory now."""
        return tuple(
            endpoints.HeldStream(
                stream.order.request_id,
                stream.generation,
                stream.owner,
                0.0 if stream.reader else _now() - stream.idle_since,
            )
            for stream in self._streams.values()
            if not stream.read_out
        )

    def _report(self, queued: int, held: tuple) -> endpoints.LoadReport:
        return endpoints.LoadReport(
            self.name,
            self.cost.load_lag_s,
            self._slots_used,
            self.cost.slots,
            self._blocks_free,
            queued,
            held,
        )

    def _snapshot(self) -> None:
        queued = sum(entry[2].prompt_tokens for entry in self._queue)
        self._reports.append((_now(), self._report(queued, self.held())))
        until = _now() - self.cost.load_lag_s
        while len(self._reports) > 1 and self._reports[1][0] <= until:
            self._reports.popleft()

    # Shared by all orders

    async def _receive_order(
        self, kind: str = "", request_id: str = "", generation: int = 0
    ) -> endpoint_errors.EndpointError | None:
        await asyncio.sleep(self.faults.latency_s)
        await self.answering.wait()
        if self.faults.down:
            return endpoint_errors.EndpointUnreachable(self.name)
        if kind:
            self.seen.append(
                engine_parts.ReceivedOrder(kind, request_id, generation, _now())
            )
        return None

    async def _admit(
        self, kind: str, order: endpoints.PrefillOrder | endpoints.DecodeOrder
    ) -> endpoint_errors.EndpointError | None:
        refusal = await self._receive_order(
            kind, order.request_id, order.incarnation
        )
        if refusal is not None:
            return refusal
        foreign = self.models and order.model not in self.models
        if kind != self.role.value or foreign:
            return endpoint_errors.OrderRejected(self.name, 404)
        if self._is_stale(order):
            return endpoint_errors.OrderRejected(self.name, 409)
        return None

    async def _send_answer(
        self, result: expression.Result
    ) -> expression.Result:
        await self.answering.wait()
        lost = self.faults.lose_answers > 0
        self.faults.lose_answers -= lost
        if lost or self.faults.down:
            return expression.Error(endpoint_errors.EndpointLost(self.name))
        return result

    def _is_stale(
        self, order: endpoints.PrefillOrder | endpoints.DecodeOrder
    ) -> bool:
        held = self._streams.get(order.request_id)
        if held is not None and order.incarnation <= held.generation:
            return True
        return self._was_cancelled(order)

    def _was_cancelled(
        self, order: endpoints.PrefillOrder | endpoints.DecodeOrder
    ) -> bool:
        return order.incarnation <= self._cancelled.get(order.request_id, 0)
