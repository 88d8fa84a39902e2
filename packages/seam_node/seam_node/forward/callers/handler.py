"""Runs each request through the filter chain and records its outcome."""

import asyncio
from collections.abc import Callable

from seam_model import endpoint_errors
from seam_model import errors
from seam_model import forwarding
from seam_node import chain
from seam_node import logs
from seam_node import metrics
from seam_node.forward.callers import caller_server
from seam_node.forward.callers import connection_answer
from seam_node.forward.callers import context
from seam_node.forward.callers import departure
from seam_node.forward.callers import refusals
from seam_node.ports import wire
from seam_policy import retry_after_schedule

MIN_MEMORY_RETRY_S = 0.1
MAX_MEMORY_RETRY_S = 1.0
MEMORY_RETRY_STEP_S = 0.05
"""Time in which some large body is let go."""
MAX_LOGGED_PARTS = 8
"""Parts of a prompt that a log line names."""


class RequestHandler:
    """Handles callers' requests; all refusals are sent here."""

    def __init__(
        self,
        instance: str,
        codec: wire.Wire,
        filters: chain.Chain,
        store_age_s: Callable[[], float],
        now: Callable[[], float],
        meter: metrics.Metrics,
        log: logs.Log,
    ):
        """Creates a handler.

        Args:
            instance: name of this instance.
            codec: decodes requests and encodes header fields.
            filters: the chain that processes a request.
            store_age_s: returns the time since the store's last answer.
            now: the clock.
            meter: where outcomes are counted.
            log: where outcomes are logged.
        """
        self._instance = instance
        self._return_times = retry_after_schedule.RetryAfterSchedule(
            MIN_MEMORY_RETRY_S
        )
        self._codec = codec
        self._chain = filters
        self._store_age_s = store_age_s
        self._now = now
        self._metrics = meter
        self._log = log

    async def handle(
        self,
        raw: caller_server.RawRequest,
        answer: connection_answer.ConnectionAnswer,
    ) -> None:
        """Handles one request.

        An answer that cannot be completed is cut off by closing the
        connection. A request that is cancelled though its caller is there, as
        the instance exits, is refused.
        """
        parsed = self._codec.decode_request(
            raw.start, raw.headers, raw.take_body()
        )
        if parsed.is_error():
            self._send_refusal(answer, parsed.error, may_have_run=False)
            self._log.error("request_unreadable", parsed.error)
            return
        ctx = context.ForwardContext(
            parsed.ok,
            answer,
            raw.arrived_at,
            self._now,
            on_body_released=raw.hold.release,
        )
        # The context alone holds the body, which may be large.
        del parsed
        error: errors.SeamError | None = errors.CallerGone()
        try:
            result = await self._chain.run(ctx)
            error = result.error if result.is_error() else None
        except Exception as exc:
            self._log.bug("request_failed", exc, request=ctx.req.id)
            ctx.reached_endpoint = True
            error = errors.Internal(type(exc).__name__)
        except asyncio.CancelledError:
            if answer.connected:
                error = errors.InstanceLeaving(self._instance)
            raise
        finally:
            if error is not None and not isinstance(error, errors.CallerGone):
                self._finish_failed(ctx, answer, error)
            self._record_end(ctx, error)

    def refuse_unparsed(
        self, answer: connection_answer.ConnectionAnswer, is_leaving: bool
    ) -> None:
        """Starts to answer a request that must not run.

        Args:
            answer: the answer to send.
            is_leaving: whether the instance exits; it has no room otherwise.
        """
        error: errors.SeamError = errors.MemorySpent()
        retry_after_s = departure.RETRY_AFTER_S
        if is_leaving:
            error = errors.InstanceLeaving(self._instance)
        else:
            retry_after_s = self._return_times.assign(
                self._now(), MEMORY_RETRY_STEP_S, MAX_MEMORY_RETRY_S
            )
        refusal = refusals.refusal_for(error, False)
        self._log.event(
            "request_refused_unread",
            outcome=error.code,
            retry_after_s=round(retry_after_s, 3),
        )
        answer.send_early(
            refusal.status.value,
            refusal.status.phrase,
            (self._codec.retry_after_field(retry_after_s),),
        )

    def _finish_failed(
        self,
        ctx: context.ForwardContext,
        answer: connection_answer.ConnectionAnswer,
        error: errors.SeamError,
    ) -> None:
        if answer.started:
            answer.abort()
            return
        ctx.status = self._send_refusal(
            answer, error, ctx.reached_endpoint, ctx.retry_after_s
        )

    def _send_refusal(
        self,
        answer: connection_answer.ConnectionAnswer,
        error: errors.SeamError,
        may_have_run: bool,
        retry_after_s: float = 0.5,
    ) -> int:
        refusal = refusals.refusal_for(error, may_have_run)
        fields: tuple[forwarding.HeaderField, ...] = ()
        if refusal.retry:
            fields = (self._codec.retry_after_field(retry_after_s),)
        answer.send_complete(
            refusal.status.value, refusal.status.phrase, fields, b""
        )
        return refusal.status.value

    def _record_end(
        self, ctx: context.ForwardContext, error: errors.SeamError | None
    ) -> None:
        outcome = "ok" if error is None else error.code
        took_s = ctx.age_s()
        self._log.event(
            "request_ended",
            request=ctx.req.id,
            route=ctx.route.name if ctx.route else "",
            workspace=ctx.workspace_name(),
            version=ctx.table.version if ctx.table else 0,
            store_age_s=round(self._store_age_s(), 3),
            status=ctx.status,
            outcome=outcome,
            detail="" if error is None else error.describe(),
            took_s=round(took_s, 4),
            returned=ctx.late,
            placed_s=ctx.since_arrival_s(ctx.reserved_at),
            prefilled_s=ctx.since_arrival_s(ctx.prefilled_at),
            first_byte_s=ctx.since_arrival_s(ctx.first_byte_at),
            gap_s=round(ctx.longest_gap_s, 4),
            events=ctx.events,
            sends=ctx.sends,
            prefills=ctx.prefills,
            endpoint=ctx.tried[-1] if ctx.tried else "",
            may_have_run=ctx.reached_endpoint,
            parts=_logged_parts(ctx.req),
        )
        kind_name = ctx.route.kind.value if ctx.route else "none"
        rank = str(ctx.rank()) if ctx.route else ""
        self._metrics.request_ended(kind_name, rank, outcome, took_s)
        if ctx.req.prompt and isinstance(error, endpoint_errors.EndpointLost):
            self._metrics.stream_lost(ctx.first_byte_at is not None)
        if ctx.first_byte_at is not None:
            self._metrics.first_token(rank, ctx.first_byte_at - ctx.arrived_at)


def _logged_parts(req: forwarding.ForwardRequest) -> str:
    """Returns the first shared parts of a request's prompt."""
    if req.prompt is None:
        return ""
    return ",".join(req.prompt.shared_parts[:MAX_LOGGED_PARTS])
