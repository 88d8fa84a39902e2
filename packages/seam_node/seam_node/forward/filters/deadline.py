"""Enforces the deadline of a request."""

import asyncio

from seam_model import errors
from seam_node.forward.callers import context
from seam_node.forward.filters import base


class DeadlineFilter(base.ForwardFilter):
    """Cancels the processing of a request at its deadline."""

    async def apply(
        self, ctx: context.ForwardContext, proceed: base.Proceed
    ) -> base.Result:
        """Runs the rest of the chain with a timeout."""
        remaining_s = ctx.remaining_s()
        if remaining_s <= 0:
            return base.fail(errors.DeadlinePassed("arrival"))
        try:
            async with asyncio.timeout(remaining_s):
                return await proceed(ctx)
        except TimeoutError:
            return base.fail(errors.DeadlinePassed("endpoint"))
