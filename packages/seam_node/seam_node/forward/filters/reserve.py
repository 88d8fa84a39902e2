"""Holds a place at a decode engine while a model request runs."""

from seam_model import endpoint_errors
from seam_node.forward.callers import context
from seam_node.forward.filters import base
from seam_node.forward.fleet import messages
from seam_node.forward.placement import holds
from seam_node.forward.placement import placement


class ReserveFilter(base.ForwardFilter):
    """Gets a place at a decode engine before the prompt is prefilled."""

    def __init__(
        self, places: placement.Placement, engine_holds: holds.EngineHolds
    ):
        """Takes the source of places and of the engines' own holds."""
        self._places = places
        self._holds = engine_holds

    async def apply(
        self, ctx: context.ForwardContext, proceed: base.Proceed
    ) -> base.Result:
        """Gets a place and gives it back afterwards."""
        while True:
            placed = await self._places.place(ctx)
            if placed.is_error():
                return base.fail(placed.error)
            ctx.placement = placed.ok
            ctx.outcome = messages.Outcome.UNKNOWN
            result = await self._run(ctx, proceed)
            if not _is_unavailable(result):
                return result

    async def _run(
        self, ctx: context.ForwardContext, proceed: base.Proceed
    ) -> base.Result:
        """Runs the request at the engine of its place.

        Error: `EndpointUnavailable` if the engine did not hold the place, or
        may get no work any more; nothing has been sent then.
        """
        engine = ctx.placement.decode
        try:
            held = await self._holds.take(ctx, engine)
            if held.is_error():
                ctx.outcome = _outcome(held.error)
                result = base.fail(
                    endpoint_errors.EndpointUnavailable(
                        engine.id, held.error.code
                    )
                )
            else:
                result = await self._run_held(ctx, held.ok, proceed)
            if _is_unavailable(result):
                ctx.failed_keys.add(engine.key)
            return result
        finally:
            self._places.end(ctx.placement.number, engine.key, ctx.outcome)
            ctx.placement = None
            ctx.apply_start_limit()

    async def _run_held(
        self,
        ctx: context.ForwardContext,
        hold_id: str,
        proceed: base.Proceed,
    ) -> base.Result:
        engine = ctx.placement.decode
        ctx.hold_id = hold_id
        ctx.reserved_at = ctx.now()
        ctx.hold_used = False
        ctx.apply_start_limit()
        try:
            return await proceed(ctx)
        finally:
            if not ctx.hold_used:
                self._holds.release(engine, hold_id)


def _is_unavailable(result: base.Result) -> bool:
    return result.is_error() and isinstance(
        result.error, endpoint_errors.EndpointUnavailable
    )


def _outcome(error: endpoint_errors.EndpointError) -> messages.Outcome:
    """Returns what a failed hold tells the placers."""
    if isinstance(error, endpoint_errors.EndpointPausing):
        return messages.Outcome.UNKNOWN
    if isinstance(error, endpoint_errors.EndpointRefused):
        return messages.Outcome.FULL
    if isinstance(error, endpoint_errors.EndpointGone):
        return messages.Outcome.GONE
    return messages.Outcome.UNKNOWN
