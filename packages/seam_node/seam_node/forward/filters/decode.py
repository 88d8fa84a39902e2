"""Runs a model request at its decode engine and relays the stream."""

import asyncio

import expression

from seam_model import endpoint_errors
from seam_model import forwarding
from seam_node.forward.callers import context
from seam_node.forward.callers import relay
from seam_node.forward.endpoints import request_sender
from seam_node.forward.filters import base
from seam_node.forward.filters import guard
from seam_node.forward.fleet import messages
from seam_node.forward.placement import engine_outcomes
from seam_node.forward.placement import placement
from seam_node.forward.placement import prompt_guard
from seam_node.forward.placement import workload
from seam_node.ports import wire

MIN_SERVER_ERROR_STATUS = 500
SLOW_FIRST_EVENT_S = 1.0
"""Wait for the first event after which a cancelled stream counts as a failure
of the engine."""
RATE_AFTER_S = 0.6
"""Duration after which the output rate of a stream is recorded."""
_ENGINE_FAILURES = (endpoint_errors.EndpointLost, endpoint_errors.AnswerInvalid)


class DecodeFilter(base.ForwardFilter):
    """Runs model requests, the last filter of their chain."""

    def __init__(
        self,
        sender: request_sender.RequestSender,
        codec: wire.Wire,
        outcomes: engine_outcomes.EngineOutcomes,
        load: workload.WorkloadEstimate,
        places: placement.Placement,
        prompts: prompt_guard.PromptGuard,
    ):
        """Creates the filter.

        Args:
            sender: sends requests to engines.
            codec: decodes event ids.
            outcomes: records how engines do.
            load: told the output rate of each stream.
            places: told when a stream starts.
            prompts: told of prompts that start, or are lost in a crash.
        """
        self._prompts = prompts
        self._load = load
        self._places = places
        self._sender = sender
        self._outcomes = outcomes
        self._codec = codec

    async def apply(
        self, ctx: context.ForwardContext, proceed: base.Proceed
    ) -> base.Result:
        """Runs the request and relays the answer as it arrives."""
        del proceed
        refused = guard.check(self._prompts, ctx) or ctx.start_error()
        if refused is not None:
            return base.fail(refused)
        rate = _OutputRate(ctx, self._load, self._places, self._prompts)
        stream_relay = relay.make_relay(ctx, rate.on_progress, self._codec)
        options = wire.SendOptions(
            max(0.0, ctx.remaining_s()),
            kv_source=_kv_source(ctx),
            hold_id=ctx.hold_id,
            rank=ctx.engine_rank(),
            last_event_id=ctx.last_event_id,
            workspace=ctx.workspace_name(),
        )
        ctx.hold_used = True
        started_at = ctx.now()
        try:
            sent = await self._sender.send(
                ctx, ctx.placement.decode, options, stream_relay
            )
            if _is_unsent(sent):
                ctx.hold_used = False
                return base.fail(sent.error)
        except asyncio.CancelledError:
            waited_s = ctx.now() - started_at
            if ctx.first_byte_at is None and waited_s >= SLOW_FIRST_EVENT_S:
                self._record(ctx, failed=True)
            raise
        if sent.is_ok() and not stream_relay.is_whole():
            lost = endpoint_errors.EndpointLost(ctx.placement.decode.id)
            sent = expression.Error(lost)
        if not _is_pausing(sent):
            self._record(ctx, _is_engine_failure(sent))
        if sent.is_error():
            ctx.failed_keys.add(ctx.placement.decode.key)
            ctx.engine_crashed = (
                isinstance(sent.error, endpoint_errors.EndpointLost)
                and not rate.started
                and await self._prompts.has_crashed(ctx, ctx.placement.decode)
            )
            if ctx.engine_crashed:
                ctx.outcome = messages.Outcome.GONE
            return base.fail(sent.error)
        rate.finish()
        stream_relay.end()
        return base.OK

    def _record(self, ctx: context.ForwardContext, failed: bool) -> None:
        """Records how the engine did, for this instance and the placers.

        A failure after the first event may be caused by this instance's
        connection alone, so it is not told to others.
        """
        self._outcomes.add(ctx.placement.decode.key, failed)
        if not failed:
            ctx.outcome = messages.Outcome.SERVED
        elif ctx.first_byte_at is None:
            ctx.outcome = messages.Outcome.FAILED


class _OutputRate:
    """Measures the output rate of a stream once, long before its end."""

    def __init__(
        self,
        ctx: context.ForwardContext,
        load: workload.WorkloadEstimate,
        places: placement.Placement,
        prompts: prompt_guard.PromptGuard,
    ):
        self._ctx = ctx
        self._load = load
        self._places = places
        self._prompts = prompts
        self._first_events: int | None = None
        """Events in the first bytes, which took an unknown time."""
        self._recorded = False

    @property
    def started(self) -> bool:
        """Whether the engine has generated something."""
        return self._first_events is not None

    def on_progress(self) -> None:
        """Records the rate when the stream has run for some time."""
        ctx = self._ctx
        if self._first_events is None:
            self._first_events = ctx.events
            self._places.started(ctx.placement.number)
            self._prompts.started(ctx)
        if ctx.last_byte_at - ctx.first_byte_at >= RATE_AFTER_S:
            self.finish()

    def finish(self) -> None:
        """Records the rate unless that was done before."""
        if self._recorded or self._first_events is None:
            return
        self._recorded = True
        ctx = self._ctx
        events = ctx.events - self._first_events
        self._load.record_output_rate(
            events * ctx.service.engine.tokens_per_event,
            ctx.last_byte_at - ctx.first_byte_at,
        )


def _is_engine_failure(sent: request_sender.Sent) -> bool:
    """Returns whether the engine caused the stream to fail."""
    if sent.is_ok():
        return sent.ok.status >= MIN_SERVER_ERROR_STATUS
    return isinstance(sent.error, _ENGINE_FAILURES)


def _is_pausing(sent: request_sender.Sent) -> bool:
    """Returns whether the engine asked for a pause, which is no outcome."""
    return sent.is_error() and isinstance(
        sent.error, endpoint_errors.EndpointPausing
    )


def _is_unsent(sent: request_sender.Sent) -> bool:
    """Returns whether the engine got nothing, as it may get no work."""
    return sent.is_error() and isinstance(
        sent.error, endpoint_errors.EndpointUnavailable
    )


def _kv_source(ctx: context.ForwardContext) -> forwarding.KvSource | None:
    if ctx.kv is None:
        return None
    return forwarding.KvSource(ctx.kv.endpoint.address, ctx.kv.handle)
