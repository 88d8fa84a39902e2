"""Relays an endpoint's stream of events to the caller."""

from collections.abc import Awaitable

from seam_model import forwarding
from seam_node.forward import context
from seam_node.forward import exchange
from seam_node.ports import wire

EVENT_END = b"\n\n"


class StreamRelay(exchange.Receiver):
    """Passes bytes on as they come; other answers are kept whole."""

    def __init__(self, ctx: context.ForwardContext):
        """Takes the request whose answer is relayed."""
        self._ctx = ctx
        self._head: forwarding.AnswerHead | None = None
        self._kept: list[bytes] = []

    def head(self, head: forwarding.AnswerHead) -> None:
        """Starts the caller's answer if this one may be passed on."""
        self._head = head
        if not self._streams():
            return
        ctx = self._ctx
        if not ctx.answer.started:
            ctx.status = head.status
            ctx.answer.start(head)

    def data(self, chunk: bytes) -> Awaitable[None] | None:
        """Passes bytes on."""
        if not self._streams():
            self._kept.append(chunk)
            return None
        return self._pass_on(chunk)

    def end(self, head: forwarding.AnswerHead) -> None:
        """Ends the caller's answer after the endpoint's is complete."""
        if self._streams():
            self._ctx.answer.finish()
            return
        if self._ctx.answer.started:
            self._ctx.answer.abort()
            return
        self._ctx.status = head.status
        body = b"".join(self._kept)
        self._ctx.answer.whole(head.status, head.reason, head.fields, body)

    def _streams(self) -> bool:
        head = self._head
        return head.success and head.signed and head.ran

    def _pass_on(self, chunk: bytes) -> Awaitable[None] | None:
        ctx = self._ctx
        now = ctx.now()
        if ctx.first_byte_at is None:
            ctx.first_byte_at = now
        else:
            ctx.longest_gap_s = max(ctx.longest_gap_s, now - ctx.last_byte_at)
        ctx.last_byte_at = now
        ctx.events += chunk.count(EVENT_END)
        return ctx.answer.write(chunk)


class EventRelay(StreamRelay):
    """Passes on whole events only, each once, so that a run can go on."""

    def __init__(self, ctx: context.ForwardContext, codec: wire.Wire):
        """Takes the request and what reads the ids of events."""
        super().__init__(ctx)
        self._codec = codec
        self._partial = b""

    def _pass_on(self, chunk: bytes) -> Awaitable[None] | None:
        whole, end, rest = (self._partial + chunk).rpartition(EVENT_END)
        self._partial = rest
        if not end:
            return None
        due = [
            event + EVENT_END
            for event in whole.split(EVENT_END)
            if self._is_due(event)
        ]
        if not due:
            return None
        return super()._pass_on(b"".join(due))

    def _is_due(self, event: bytes) -> bool:
        number = self._codec.decode_event_id(event)
        if number is None:
            return True
        if number <= self._ctx.last_event_id:
            return False
        self._ctx.last_event_id = number
        return True


def relay(ctx: context.ForwardContext, codec: wire.Wire) -> StreamRelay:
    """Returns the relay that a request's route asks for."""
    if ctx.route.resumable:
        return EventRelay(ctx, codec)
    return StreamRelay(ctx)
