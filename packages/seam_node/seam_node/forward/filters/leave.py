"""Refuses requests that a leaving instance could not finish in time."""

from seam_node.forward.callers import context
from seam_node.forward.callers import departure
from seam_node.forward.filters import base


class LeaveFilter(base.ForwardFilter):
    """Compares a request's longest duration with the time until exit.

    A model request may wait for a place or for its prefill, so it is compared
    again all the time until it is sent.
    """

    def __init__(self, leaving: departure.Departure):
        """Takes the state of this instance."""
        self._departure = leaving

    async def apply(
        self, ctx: context.ForwardContext, proceed: base.Proceed
    ) -> base.Result:
        """Refuses a request that might be cut off, before it is sent."""
        if not self._departure.can_finish(ctx):
            return base.fail(self._departure.refuse(ctx))
        if not departure.is_stream(ctx):
            return await proceed(ctx)
        limit = ctx.start_limit = departure.StartLimit(ctx, self._departure)
        try:
            async with limit:
                return await proceed(ctx)
        except TimeoutError:
            return base.fail(self._departure.refuse(ctx))
