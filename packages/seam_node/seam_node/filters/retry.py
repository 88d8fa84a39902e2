"""Retries model requests that failed before their stream started."""

from seam_model import endpoint_errors
from seam_model import errors
from seam_node.filters import base
from seam_policy import retry

_RETRYABLE = (
    endpoint_errors.EndpointUnreachable,
    endpoint_errors.EndpointLost,
    endpoint_errors.EndpointFull,
    endpoint_errors.KvExpired,
    endpoint_errors.TransferFailed,
    errors.PeerUnreachable,
    errors.PeerTimeout,
)


class RetryFilter(base.Filter):
    """Retries within the budget until the first token is sent."""

    name = "retry"

    def __init__(self, budget: retry.RetryBudget):
        """Takes the retry budget shared by all requests of this instance."""
        self._budget = budget

    async def apply(
        self, ctx: base.Context, proceed: base.Proceed
    ) -> base.Result:
        """Runs the next filter again after each retryable failure."""
        attempts = ctx.effective.retry.max_attempts
        while True:
            result = await proceed(ctx)
            if result.is_ok():
                self._budget.record_success()
                return result
            if not self._may_retry(ctx, result.error, attempts):
                return result
            # A retry that reuses the KV cache repeats no prefill and is not
            # charged to the budget.
            if not ctx.has_usable_kv() and not self._budget.take():
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
