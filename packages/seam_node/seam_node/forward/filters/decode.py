"""Runs a model request at its decode engine and relays the stream."""

import asyncio

from seam_model import errors
from seam_model import forwarding
from seam_node.forward import context
from seam_node.forward import relay
from seam_node.forward import request_sender
from seam_node.forward import stream_outcomes
from seam_node.forward.filters import base
from seam_node.ports import wire

MIN_SERVER_ERROR_STATUS = 500
SLOW_FIRST_EVENT_S = 1.0
"""Wait for the first event after which a cancelled stream counts as a failure
of the engine."""
_ENGINE_FAILURES = (errors.EndpointLost, errors.AnswerInvalid)


class DecodeFilter(base.ForwardFilter):
    """Runs model requests, the last filter of their chain."""

    def __init__(
        self,
        sender: request_sender.RequestSender,
        codec: wire.Wire,
        outcomes: stream_outcomes.StreamOutcomes,
    ):
        """Creates the filter.

        Args:
            sender: sends requests to engines.
            codec: decodes event ids.
            outcomes: records how streams end.
        """
        self._sender = sender
        self._outcomes = outcomes
        self._codec = codec

    async def apply(
        self, ctx: context.ForwardContext, proceed: base.Proceed
    ) -> base.Result:
        """Runs the request and relays the answer as it arrives."""
        del proceed
        stream_relay = relay.make_relay(ctx, self._codec)
        options = wire.SendOptions(
            max(0.0, ctx.remaining_s()),
            kv_source=_kv_source(ctx),
            hold_id=ctx.reservation.hold_id,
            rank=ctx.route.rank,
            last_event_id=ctx.last_event_id,
        )
        ctx.hold_used = True
        started_at = ctx.now()
        try:
            sent = await self._sender.send(
                ctx, ctx.reservation.endpoint, options, stream_relay
            )
        except asyncio.CancelledError:
            waited_s = ctx.now() - started_at
            if ctx.first_byte_at is None and waited_s >= SLOW_FIRST_EVENT_S:
                self._outcomes.record(
                    ctx.reservation.endpoint, failed=True, started=False
                )
            raise
        self._outcomes.record(
            ctx.reservation.endpoint,
            failed=_is_engine_failure(sent),
            started=ctx.first_byte_at is not None,
        )
        if sent.is_error():
            ctx.failed_keys.add(ctx.reservation.endpoint.key)
            return base.fail(sent.error)
        stream_relay.end(sent.ok)
        return base.OK


def _is_engine_failure(sent: request_sender.Sent) -> bool:
    """Returns whether the engine caused the stream to fail."""
    if sent.is_ok():
        return sent.ok.status >= MIN_SERVER_ERROR_STATUS
    return isinstance(sent.error, _ENGINE_FAILURES)


def _kv_source(ctx: context.ForwardContext) -> forwarding.KvSource | None:
    if ctx.kv is None:
        return None
    return forwarding.KvSource(ctx.kv.endpoint.address, ctx.kv.handle)
