"""Refuses new requests on an instance that is draining or not ready."""

from collections.abc import Callable

from seam_model import errors
from seam_node.controllers import drain
from seam_node.filters import base


class LeaveFilter(base.Filter):
    """Tracks requests in progress and refuses new ones when draining."""

    name = "leave"

    def __init__(
        self,
        drain_controller: drain.DrainController,
        not_ready: Callable[[], errors.SeamError | None],
    ):
        """Takes the drain controller and the readiness check."""
        self._drain = drain_controller
        self._not_ready = not_ready

    async def apply(
        self, ctx: base.Context, proceed: base.Proceed
    ) -> base.Result:
        """Runs the next filter if the instance accepts requests."""
        reason = self._not_ready()
        if reason is not None:
            return base.fail(reason)
        admitted = self._drain.admit()
        if admitted.is_error():
            return base.fail(admitted.error)
        try:
            return await proceed(ctx)
        finally:
            self._drain.end_request()
