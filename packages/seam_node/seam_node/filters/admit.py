"""Admits calls to plain services by rank, before a key is claimed."""

from seam_node.controllers import service_gate
from seam_node.filters import base

MAX_WAIT_SHARE = 0.5
"""Largest share of the remaining time that a call may wait for admission."""


class AdmitFilter(base.Filter):
    """Holds a permit for the service while the call is in progress."""

    name = "admit"

    def __init__(self, gates: service_gate.ServiceGates):
        """Takes the admission gates of all services."""
        self._gates = gates

    async def apply(
        self, ctx: base.Context, proceed: base.Proceed
    ) -> base.Result:
        """Acquires a permit, or refuses the call before anything is sent."""
        call = ctx.call
        acquired = await self._gates.acquire(
            call.service,
            service_gate.CallerShare(int(call.rank), call.workspace),
            ctx.remaining_s() * MAX_WAIT_SHARE,
            ctx.effective.admission,
        )
        if acquired.is_error():
            return base.fail(acquired.error)
        started_at = ctx.now()
        failed = True
        try:
            result = await proceed(ctx)
            failed = result.is_error()
            return result
        finally:
            self._gates.release(acquired.ok, ctx.now() - started_at, failed)
