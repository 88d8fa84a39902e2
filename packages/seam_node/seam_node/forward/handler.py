"""Runs each request through the chain and accounts for how it ended."""

from collections.abc import Callable

from seam_model import errors
from seam_model import forwarding
from seam_node import chain
from seam_node import logs
from seam_node import metrics
from seam_node.forward import context
from seam_node.forward import front
from seam_node.forward import refusals
from seam_node.forward import workload
from seam_node.ports import wire


class RequestHandler:
    """Answers requests; the only place that refuses them."""

    def __init__(
        self,
        codec: wire.Wire,
        filters: chain.Chain,
        load: workload.WorkloadEstimate,
        store_age_s: Callable[[], float],
        now: Callable[[], float],
        meter: metrics.Metrics,
        log: logs.Log,
    ):
        """Takes the chain and where outcomes go."""
        self._wire = codec
        self._chain = filters
        self._load = load
        self._store_age_s = store_age_s
        self._now = now
        self._metrics = meter
        self._log = log

    async def handle(
        self, raw: front.RawRequest, answer: front.ConnectionAnswer
    ) -> None:
        """Answers one request, or lets its connection be closed."""
        parsed = self._wire.decode_request(raw.start, raw.headers, raw.body)
        if parsed.is_error():
            self._refuse(answer, parsed.error, may_have_run=False)
            self._log.error("request_unreadable", parsed.error)
            return
        ctx = context.ForwardContext(
            parsed.ok, answer, raw.arrived_at, self._now
        )
        error: errors.SeamError | None = errors.CallerGone()
        try:
            result = await self._chain.run(ctx)
            error = result.error if result.is_error() else None
        except Exception as exc:
            self._log.bug("request_failed", exc, request=ctx.req.id)
            ctx.reached_endpoint = True
            error = errors.Internal(type(exc).__name__)
        finally:
            if error is not None and not isinstance(error, errors.CallerGone):
                self._end_failed(ctx, answer, error)
            self._note_ended(ctx, error)

    def _end_failed(
        self,
        ctx: context.ForwardContext,
        answer: front.ConnectionAnswer,
        error: errors.SeamError,
    ) -> None:
        if answer.started:
            answer.abort()
            return
        ctx.status = self._refuse(
            answer, error, ctx.reached_endpoint, ctx.retry_after_s
        )

    def _refuse(
        self,
        answer: front.ConnectionAnswer,
        error: errors.SeamError,
        may_have_run: bool,
        retry_after_s: float = 0.5,
    ) -> int:
        refused = refusals.refused(error, may_have_run)
        fields: tuple[forwarding.HeaderField, ...] = ()
        if refused.retry:
            fields = (self._wire.retry_after_field(retry_after_s),)
        answer.whole(refused.status.value, refused.status.phrase, fields, b"")
        return refused.status.value

    def _note_ended(
        self, ctx: context.ForwardContext, error: errors.SeamError | None
    ) -> None:
        outcome = "ok" if error is None else error.code
        took_s = ctx.age_s()
        self._log.event(
            "request_ended",
            request=ctx.req.id,
            route=ctx.route.name if ctx.route else "",
            version=ctx.table.version if ctx.table else 0,
            store_age_s=round(self._store_age_s(), 3),
            status=ctx.status,
            outcome=outcome,
            detail="" if error is None else error.describe(),
            took_s=round(took_s, 4),
            returned=ctx.returned,
            placed_s=ctx.since_arrival_s(ctx.placed_at),
            prefilled_s=ctx.since_arrival_s(ctx.prefilled_at),
            first_byte_s=ctx.since_arrival_s(ctx.first_byte_at),
            gap_s=round(ctx.longest_gap_s, 4),
            events=ctx.events,
            sends=ctx.sends,
            prefills=ctx.prefills,
            endpoint=ctx.tried[-1] if ctx.tried else "",
            may_have_run=ctx.reached_endpoint,
        )
        kind_name = ctx.route.kind.value if ctx.route else "none"
        rank = str(ctx.route.rank) if ctx.route else ""
        self._metrics.request_ended(kind_name, rank, outcome, took_s)
        if error is None and ctx.events:
            self._note_stream(ctx)
        if ctx.first_byte_at is not None:
            self._metrics.first_token(rank, ctx.first_byte_at - ctx.arrived_at)

    def _note_stream(self, ctx: context.ForwardContext) -> None:
        engine = ctx.service.engine
        if engine is None or ctx.req.prompt is None:
            return
        self._load.note(
            ctx.req.prompt.tokens,
            ctx.events * engine.tokens_per_event,
            ctx.last_byte_at - ctx.first_byte_at,
        )
