"""Admits calls of plain services by rank, before anything is claimed."""

from seam_node.controllers import service_gate
from seam_node.filters import base

WAIT_SHARE = 0.5
"""Most of the time left that a call may spend waiting for its turn."""


class AdmitFilter(base.Filter):
    """Holds a turn at the service while the call is in progress."""

    name = "admit"

    def __init__(self, gates: service_gate.ServiceGates):
        """Takes the gates of all services."""
        self._gates = gates

    async def apply(
        self, ctx: base.Context, proceed: base.Proceed
    ) -> base.Result:
        """Waits for a turn, or refuses before anything was sent."""
        call = ctx.call
        entered = await self._gates.acquire(
            call.service,
            service_gate.CallerShare(int(call.rank), call.workspace),
            ctx.remaining_s() * WAIT_SHARE,
            ctx.effective.admission,
        )
        if entered.is_error():
            return base.fail(entered.error)
        started_at = ctx.now()
        failed = True
        try:
            result = await proceed(ctx)
            failed = result.is_error()
            return result
        finally:
            self._gates.release(entered.ok, ctx.now() - started_at, failed)
