"""Runs a model request at its decode engine and relays the stream."""

import asyncio

from seam_model import errors
from seam_model import forwarding
from seam_node.forward import context
from seam_node.forward import relay
from seam_node.forward import sends
from seam_node.forward import stream_outcomes
from seam_node.forward.filters import base
from seam_node.ports import wire

SERVER_ERROR = 500
SILENT_S = 1.0
"""Time without a first event that an engine is to blame for."""
_FAILURES = (errors.EndpointLost, errors.AnswerInvalid)


class DecodeFilter(base.ForwardFilter):
    """Ends the chain of model requests."""

    def __init__(
        self,
        sender: sends.Sender,
        codec: wire.Wire,
        outcomes: stream_outcomes.StreamOutcomes,
    ):
        """Takes what sends the request, reads event ids and keeps outcomes."""
        self._sender = sender
        self._outcomes = outcomes
        self._codec = codec

    async def apply(
        self, ctx: context.ForwardContext, proceed: base.Proceed
    ) -> base.Result:
        """Relays the answer as it comes in."""
        del proceed
        relayed = relay.relay(ctx, self._codec)
        options = wire.SendOptions(
            max(0.0, ctx.remaining_s()),
            kv_source=_source(ctx),
            hold_id=ctx.place.hold,
            rank=ctx.route.rank,
            last_event_id=ctx.last_event_id,
        )
        ctx.hold_used = True
        started_at = ctx.now()
        try:
            sent = await self._sender.send(
                ctx, ctx.place.endpoint, options, relayed
            )
        except asyncio.CancelledError:
            silent_s = ctx.now() - started_at
            if ctx.first_byte_at is None and silent_s >= SILENT_S:
                self._outcomes.note(
                    ctx.place.endpoint, failed=True, started=False
                )
            raise
        self._outcomes.note(
            ctx.place.endpoint,
            failed=_failed(sent),
            started=ctx.first_byte_at is not None,
        )
        if sent.is_error():
            ctx.refused_by.add(ctx.place.endpoint.key)
            return base.fail(sent.error)
        relayed.end(sent.ok)
        return base.OK


def _failed(sent: sends.Sent) -> bool:
    """Tells whether the engine is to blame for how a stream ended."""
    if sent.is_ok():
        return sent.ok.status >= SERVER_ERROR
    return isinstance(sent.error, _FAILURES)


def _source(ctx: context.ForwardContext) -> forwarding.KvSource | None:
    if ctx.kv is None:
        return None
    return forwarding.KvSource(ctx.kv.endpoint.address, ctx.kv.handle)
