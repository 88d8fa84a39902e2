"""Enforces the rate and concurrency limits of each workspace."""

from seam_model import errors
from seam_node.filters import base
from seam_node.ports import clock
from seam_policy import limits


class LimitFilter(base.Filter):
    """Refuses requests over a workspace's limits on this instance."""

    name = "limit"

    def __init__(self, limiter: limits.WorkspaceLimiter, clk: clock.Clock):
        """Takes the rate limiter and the clock."""
        self._limiter = limiter
        self._clock = clk

    async def apply(
        self, ctx: base.Context, proceed: base.Proceed
    ) -> base.Result:
        """Counts the request against its workspace while it runs."""
        workspace = (ctx.generate or ctx.call).workspace
        limited = self._limiter.acquire(workspace, self._clock.monotonic())
        if limited is not None:
            ctx.retry_after_s = limited.retry_after_s
            return base.fail(errors.LimitExceeded(limited.kind.value))
        try:
            return await proceed(ctx)
        finally:
            self._limiter.release(workspace, self._clock.monotonic())
