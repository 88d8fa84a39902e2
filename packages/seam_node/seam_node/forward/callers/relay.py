"""Relays an endpoint's event stream to the caller."""

from collections.abc import Awaitable
from collections.abc import Callable

from tornado import httputil

from seam_model import forwarding
from seam_node.forward.callers import answer_buffer
from seam_node.forward.callers import context
from seam_node.forward.endpoints import exchange
from seam_node.ports import wire

EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 1024 * 1024
"""Size of an event, which a resumable stream collects."""


class StreamRelay(exchange.Receiver):
    """Forwards successful answers as they arrive and buffers all others."""

    def __init__(
        self, ctx: context.ForwardContext, on_progress: Callable[[], None]
    ):
        """Takes the request's context and a callback for forwarded bytes."""
        self._ctx = ctx
        self._on_progress = on_progress
        self._head: forwarding.AnswerHead | None = None
        self._buffer = answer_buffer.AnswerBuffer(ctx)
        self._tail = b""
        """The last bytes of the body, as many as end an event."""

    def head(self, head: forwarding.AnswerHead) -> None:
        """Starts the caller's answer if this one may be forwarded."""
        self._head = head
        if not self._should_stream():
            self._buffer.head(head)
            return
        ctx = self._ctx
        if not ctx.route.may_retry():
            ctx.release_body()
        if not ctx.answer.started:
            ctx.status = head.status
            ctx.answer.start(head)

    def data(self, chunk: bytes) -> Awaitable[None] | None:
        """Forwards or buffers bytes of the body."""
        if not self._should_stream():
            return self._buffer.data(chunk)
        self._tail = (self._tail + chunk)[-len(EVENT_END) :]
        return self._forward(chunk)

    def is_whole(self) -> bool:
        """Returns whether the body that has ended may be a whole stream.

        One that ends inside an event has been broken off, and so has one
        without any event that ends with the connection.
        """
        ctx = self._ctx
        is_stream = ctx.route.kind is forwarding.RouteKind.STREAM
        if not is_stream or not self._should_stream():
            return True
        if self._tail:
            return self._tail == EVENT_END
        return (
            self._head.framed
            or ctx.last_event_id > 0
            or ctx.req.last_event_id > 0
        )

    def end(self) -> None:
        """Ends the caller's answer once the endpoint's is complete."""
        if self._should_stream():
            self._ctx.answer.finish()
        elif self._buffer.can_be_sent():
            self._buffer.send()
        else:
            self._ctx.answer.abort()

    def _should_stream(self) -> bool:
        head = self._head
        return head.success and head.signed and head.ran

    def _forward(self, chunk: bytes) -> Awaitable[None] | None:
        ctx = self._ctx
        now = ctx.now()
        if ctx.first_byte_at is None:
            ctx.first_byte_at = now
        else:
            ctx.longest_gap_s = max(ctx.longest_gap_s, now - ctx.last_byte_at)
        ctx.last_byte_at = now
        ctx.events += chunk.count(EVENT_END)
        self._on_progress()
        waiting = ctx.answer.write(chunk)
        return None if waiting is None else self._wait_for_caller(waiting)

    async def _wait_for_caller(self, waiting: Awaitable[None]) -> None:
        """Waits for the caller; that time is no gap in the answer."""
        await waiting
        self._ctx.last_byte_at = self._ctx.now()


class EventRelay(StreamRelay):
    """Forwards only complete events, each once.

    A stream that breaks off can thus be resumed at another engine.
    """

    def __init__(
        self,
        ctx: context.ForwardContext,
        on_progress: Callable[[], None],
        codec: wire.Wire,
    ):
        """Takes, besides, the codec for event ids."""
        super().__init__(ctx, on_progress)
        self._codec = codec
        self._partial = b""

    def _forward(self, chunk: bytes) -> Awaitable[None] | None:
        complete_events, end, partial = (self._partial + chunk).rpartition(
            EVENT_END
        )
        self._partial = partial
        if len(partial) > MAX_EVENT_BYTES:
            raise httputil.HTTPInputError("event too large")
        if not end:
            return None
        unsent_events = [
            event + EVENT_END
            for event in complete_events.split(EVENT_END)
            if self._is_unsent(event)
        ]
        if not unsent_events:
            return None
        return super()._forward(b"".join(unsent_events))

    def _is_unsent(self, event: bytes) -> bool:
        number = self._codec.decode_event_id(event)
        if number is None:
            return True
        if number <= self._ctx.last_event_id:
            return False
        self._ctx.last_event_id = number
        return True


def make_relay(
    ctx: context.ForwardContext,
    on_progress: Callable[[], None],
    codec: wire.Wire,
) -> StreamRelay:
    """Returns the relay for a request's route."""
    if ctx.route.resumable:
        return EventRelay(ctx, on_progress, codec)
    return StreamRelay(ctx, on_progress)
