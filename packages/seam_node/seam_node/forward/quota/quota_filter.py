"""Counts requests against the quota of their workspace."""

import asyncio

from seam_model import errors
from seam_node.forward.callers import context
from seam_node.forward.filters import base
from seam_node.forward.quota import gate


class QuotaFilter(base.ForwardFilter):
    """Counts a request, and refunds it if it has not run and never will.

    Plain calls are refused here; model requests are by the quota keeper, when
    they ask for a place.
    """

    def __init__(self, quotas: gate.QuotaGate, admits: bool):
        """Takes the counters, and whether requests are refused here."""
        self._quotas = quotas
        self._admits = admits

    async def apply(
        self, ctx: context.ForwardContext, proceed: base.Proceed
    ) -> base.Result:
        """Counts the request and runs the rest of the chain."""
        if ctx.workspace is None or ctx.workspace.quota is None:
            return await proceed(ctx)
        cost = _cost(ctx)
        if not self._admits:
            charge = self._quotas.count(ctx.workspace, cost)
        else:
            charge = self._quotas.admit_call(ctx.workspace, cost)
        if charge is None:
            ctx.retry_after_s = self._quotas.retry_after_s(
                ctx.workspace, cost, ctx.remaining_s()
            )
            self._quotas.note_refused(ctx.workspace.name)
            return base.fail(errors.QuotaExceeded(ctx.workspace.name))
        return await self._run(ctx, charge, proceed)

    async def _run(
        self,
        ctx: context.ForwardContext,
        charge: gate.Charge,
        proceed: base.Proceed,
    ) -> base.Result:
        ctx.charge = charge
        try:
            result = await proceed(ctx)
        except asyncio.CancelledError:
            self._refund(ctx, charge)
            raise
        if result.is_error():
            self._refund(ctx, charge)
            if isinstance(result.error, errors.QuotaExceeded):
                self._quotas.note_refused(charge.workspace)
        return result

    def _refund(self, ctx: context.ForwardContext, charge: gate.Charge) -> None:
        if not ctx.reached_endpoint:
            self._quotas.refund(charge)


def _cost(ctx: context.ForwardContext) -> int:
    prompt = ctx.req.prompt
    stated = None if prompt is None else prompt.tokens + prompt.max_new_tokens
    return round(ctx.workspace.quota.cost(stated))
