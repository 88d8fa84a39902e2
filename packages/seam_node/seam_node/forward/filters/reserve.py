"""Holds a decode reservation while a model request runs."""

from seam_node.forward import context
from seam_node.forward import decode_places
from seam_node.forward.filters import base


class ReserveFilter(base.ForwardFilter):
    """Reserves capacity at a decode engine before the prompt is prefilled."""

    def __init__(self, places: decode_places.DecodeCapacityQueue):
        """Takes the queue for decode capacity."""
        self._places = places

    async def apply(
        self, ctx: context.ForwardContext, proceed: base.Proceed
    ) -> base.Result:
        """Acquires a reservation and releases it afterwards."""
        acquired = await self._places.acquire(ctx)
        if acquired.is_error():
            ctx.retry_after_s = self._places.retry_after_s(ctx)
            return base.fail(acquired.error)
        ctx.reservation = acquired.ok
        ctx.reserved_at = ctx.now()
        ctx.hold_used = False
        try:
            return await proceed(ctx)
        finally:
            self._places.release(ctx.reservation, ctx.hold_used)
            ctx.reservation = None
