"""Repeats the placing of a model request that failed before its stream."""

from seam_model import errors
from seam_node.filters import base
from seam_policy import retry

_RETRYABLE = (
    errors.EndpointUnreachable,
    errors.EndpointLost,
    errors.EndpointFull,
    errors.KvExpired,
    errors.TransferFailed,
    errors.PeerUnreachable,
    errors.PeerTimeout,
)


class RetryFilter(base.Filter):
    """Retries within the budget while no token was sent."""

    name = "retry"

    def __init__(self, budget: retry.RetryBudget):
        """Takes the budget that all requests of this instance share."""
        self._budget = budget

    async def apply(
        self, ctx: base.Context, proceed: base.Proceed
    ) -> base.Result:
        """Passes on again after a failure that another try may avoid."""
        attempts = ctx.effective.retry.max_attempts
        while True:
            result = await proceed(ctx)
            if result.is_ok():
                self._budget.record_success()
                return result
            if not self._may_retry(ctx, result.error, attempts):
                return result
            # With a KV cache that lives, another attempt repeats no prefill.
            if not ctx.kv_lives() and not self._budget.take():
                ctx.note(self.name, "retry budget is spent")
                return result
            ctx.attempt += 1
            ctx.note(self.name, f"retry after {result.error.describe()}")

    def _may_retry(
        self, ctx: base.Context, error: errors.SeamError, attempts: int
    ) -> bool:
        if not isinstance(error, _RETRYABLE):
            return False
        if ctx.resumed or ctx.tokens or ctx.run.stop is not None:
            return False
        return ctx.attempt + 1 < attempts and ctx.remaining_s() > 0
