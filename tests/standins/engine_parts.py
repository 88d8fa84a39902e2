"""Streams, KV caches and faults of the engine that `engine_core` describes."""

import asyncio
from typing import Any
import zlib

import attrs
import expression

from seam_model import endpoint_errors
from seam_model import endpoints
from seam_node.ports import engine


@attrs.define
class Faults:
    """Fault switches that a test may set at any time."""

    down: bool = False
    silent: bool = False
    fail_transfers: int = 0
    """Number of next KV imports that fail."""
    lose_answers: int = 0
    """Number of next orders that take effect but whose answer is lost."""
    latency_s: float = 0.0


@attrs.frozen
class ReceivedOrder:
    """An order that the engine received; `kind` is the port's method."""

    kind: str
    request_id: str
    generation: int
    at_s: float


@attrs.define
class Kv:
    order: endpoints.PrefillOrder
    blocks: int
    expires_s: float
    timer: asyncio.TimerHandle


@attrs.define(eq=False)
class Stream:
    order: endpoints.DecodeOrder
    generation: int
    owner: str
    blocks: int
    idle_since: float
    events: list[bytes] = attrs.Factory(list)
    reader: Any = None
    changed: asyncio.Event = attrs.Factory(asyncio.Event)
    done: bool = False
    read_out: bool = False
    """Whether a reader has received the whole stream."""
    freed: bool = False


def token_text(request_id: str, seq: int) -> str:
    """Returns the expected text of an event of a request."""
    return f"{zlib.crc32(f'{request_id}:{seq}'.encode()):08x} "


def blocks_of(tokens: int) -> int:
    """Returns the number of memory blocks for `tokens` tokens."""
    return -(-tokens // endpoints.KV_BLOCK_TOKENS)


class Reader(engine.DecodeStream):
    """The only reader of a stream, until a later one replaces it."""

    def __init__(self, core: Any, stream: Stream, after_seq: int):
        self._core, self._stream, self._seq = core, stream, after_seq
        stream.reader = self
        stream.changed.set()

    async def read(
        self,
    ) -> expression.Result[
        endpoints.TokenChunk | None, endpoint_errors.EndpointError
    ]:
        """Waits for the next events; `EndpointLost` after a replacement."""
        stream = self._stream
        while True:
            await self._core.answering.wait()
            lost = stream.freed or stream.reader is not self
            if lost or self._core.faults.down:
                return expression.Error(
                    endpoint_errors.EndpointLost(self._core.name)
                )
            if len(stream.events) > self._seq:
                return expression.Ok(self._take_chunk())
            if stream.done:
                return expression.Ok(None)
            stream.changed.clear()
            await stream.changed.wait()

    async def close(self) -> None:
        """Detaches; the stream continues to run."""
        self.detach()

    def detach(self) -> None:
        """Detaches, unless a later reader has replaced this one."""
        if self._stream.reader is self:
            self._core.detach(self._stream)

    def _take_chunk(self) -> endpoints.TokenChunk:
        stream = self._stream
        new = stream.events[self._seq :]
        first, self._seq = self._seq + 1, self._seq + len(new)
        if stream.done:
            self._core.mark_read_out(stream)
        data = b"".join(new)
        return endpoints.TokenChunk(first, len(new), data, stream.done)
