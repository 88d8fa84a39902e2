"""Records metrics, a log line and a trace for every request."""

from seam_model import errors
from seam_node import logs
from seam_node import metrics
from seam_node.controllers import runs
from seam_node.filters import base


class AccountFilter(base.Filter):
    """Records the outcome of each request; the outermost filter."""

    name = "account"

    def __init__(
        self, table: runs.RunTable, meter: metrics.Metrics, log: logs.Log
    ):
        """Takes the destinations of traces, metrics and log events."""
        self._table = table
        self._metrics = meter
        self._log = log

    async def apply(
        self, ctx: base.Context, proceed: base.Proceed
    ) -> base.Result:
        """Runs the next filter and records the outcome."""
        result = await proceed(ctx)
        error = None if result.is_ok() else result.error
        outcome = "ok" if error is None else error.code
        kind = "service" if ctx.raw.service else "generate"
        ctx.trace.outcome = outcome
        took_s = ctx.now() - ctx.arrived_at
        self._metrics.request_ended(kind, ctx.trace.rank, outcome, took_s)
        if ctx.attempt:
            self._metrics.retried(kind, ctx.attempt)
        if ctx.first_token_at is not None:
            first_token_s = ctx.first_token_at - ctx.arrived_at
            self._metrics.first_token(ctx.trace.rank, first_token_s)
        self._metrics.tokens_sent(ctx.tokens)
        self._log.event(
            "request_ended",
            kind=kind,
            request=ctx.trace.request_id,
            workspace=ctx.trace.workspace,
            rank=ctx.trace.rank,
            outcome=outcome,
            took_s=round(took_s, 4),
            tokens=ctx.tokens,
            reached_endpoint=ctx.reached_endpoint,
        )
        if ctx.kv is not None and ctx.first_token_at is None:
            self._metrics.prefill_wasted(ctx.generate.prompt_tokens)
        if isinstance(error, errors.SeamError):
            ctx.note(self.name, error.describe())
        if ctx.trace.request_id:
            self._table.add_trace(ctx.trace)
        return result
