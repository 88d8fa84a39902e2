"""Reserves a decode slot with the instance that owns the engine."""

import attrs
import expression

from seam_model import errors
from seam_node.controllers import engines
from seam_node.controllers import planner
from seam_node.controllers import slots
from seam_node.filters import base

MAX_CANDIDATES = 3
"""Largest number of engines asked for an immediately free slot."""
FIRST_TOKEN_MARGIN_S = 0.05
"""Time reserved for the first decode step and delivery to the caller."""

_SlotResult = expression.Result[slots.Slot, errors.SeamError]


class PlaceFilter(base.Filter):
    """Selects a decode engine and holds a slot until the run ends."""

    name = "place"

    def __init__(
        self,
        directory: engines.EngineDirectory,
        client: slots.SlotClient,
        plan: planner.Planner,
    ):
        """Takes the engines, the slot client and the planner."""
        self._directory = directory
        self._slots = client
        self._planner = plan

    async def apply(
        self, ctx: base.Context, proceed: base.Proceed
    ) -> base.Result:
        """Reserves a slot, runs the next filter, and releases the slot."""
        if ctx.stream is not None:
            return await self._proceed_resumed(ctx, proceed)
        reserved = await self._reserve(ctx)
        if reserved.is_error():
            return base.fail(reserved.error)
        slot = reserved.ok
        ctx.decode = self._directory.record(slot.engine)
        if ctx.decode is None:
            self._release(ctx, slot, failed=True)
            return base.fail(errors.NoEndpoint(slot.engine))
        ctx.slot_free_at = ctx.now() + slot.delay_s
        failed = True
        try:
            result = await proceed(ctx)
            failed = result.is_error()
            return result
        finally:
            self._release(ctx, slot, failed)

    async def _proceed_resumed(
        self, ctx: base.Context, proceed: base.Proceed
    ) -> base.Result:
        """Runs the next filter for a resumed stream, and releases its slot."""
        slot = self._slots.running_slot(ctx.run.engine)
        result = await proceed(ctx)
        self._release(ctx, slot, result.is_error())
        return result

    async def _reserve(self, ctx: base.Context) -> _SlotResult:
        order = self._planner.decode_order(ctx.generate, ctx.excluded)
        if not order:
            wanted = f"decode engine for {ctx.generate.model}"
            return expression.Error(errors.NoEndpoint(wanted))
        if not self._planner.reserves:
            return expression.Ok(slots.Slot(order[0].name, ""))
        if ctx.has_usable_kv():
            lead_s = ctx.kv.transfer_s
            order = [attrs.evolve(each, lead_s=lead_s) for each in order]
        return await self._reserve_soonest(ctx, order[:MAX_CANDIDATES])

    async def _reserve_soonest(
        self, ctx: base.Context, choices: list[planner.DecodeChoice]
    ) -> _SlotResult:
        """Reserves a free slot, else waits where the wait is shortest."""
        occupied = []
        result = expression.Error(errors.Overloaded("no decode slot in time"))
        for choice in choices:
            if self._wait_limit_s(ctx, choice) < 0:
                continue
            result = await self._request_slot(ctx, choice, 0.0)
            if result.is_ok() or ctx.run.stop is not None:
                return result
            if isinstance(result.error, errors.Overloaded):
                occupied.append(choice)
        if not occupied:
            return result
        rank = ctx.generate.rank
        best = min(
            occupied,
            key=lambda each: self._directory.hint(each.name, rank).wait_s,
        )
        limit_s = self._wait_limit_s(ctx, best)
        if limit_s <= 0:
            return result
        return await self._request_slot(ctx, best, limit_s)

    async def _request_slot(
        self, ctx: base.Context, choice: planner.DecodeChoice, wait_s: float
    ) -> _SlotResult:
        result = await self._slots.acquire(
            ctx.run, ctx.generate, choice, wait_s
        )
        if result.is_ok():
            slot = result.ok
            text = f"slot at {slot.engine} from its owner {slot.owner}"
            ctx.note(self.name, f"{text}, free in {slot.delay_s:.3f} s")
        else:
            text = f"no slot at {choice.name}: {result.error.describe()}"
            ctx.note(self.name, text)
        return result

    def _wait_limit_s(
        self, ctx: base.Context, choice: planner.DecodeChoice
    ) -> float:
        """Returns the longest useful wait for a slot, in seconds."""
        waited_s = ctx.now() - ctx.arrived_at
        target_s = ctx.generate.targets.first_token_s
        return target_s - waited_s - choice.lead_s - FIRST_TOKEN_MARGIN_S

    def _release(
        self, ctx: base.Context, slot: slots.Slot, failed: bool
    ) -> None:
        per_token_s = 0.0
        if ctx.first_token_at is not None and ctx.tokens > 1:
            per_token_s = (ctx.now() - ctx.first_token_at) / ctx.tokens
        use = slots.SlotUsage(ctx.tokens, per_token_s, failed)
        self._slots.release(ctx.run.request_id, slot, use)
