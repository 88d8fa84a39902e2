"""Refuses requests that a leaving instance could not finish in time."""

from collections.abc import Callable

from seam_model import errors
from seam_node.forward.callers import context
from seam_node.forward.filters import base
from seam_node.forward.placement import workload

MAX_PREFILL_S = 1.0
"""Assumed upper bound of the time from arrival to the first event."""
RETRY_AFTER_S = 0.02
"""Retry-After of the refusal. It is short because another instance can take
the request immediately."""


class LeaveFilter(base.ForwardFilter):
    """Compares a request's longest duration with the time until exit."""

    def __init__(
        self,
        instance_name: str,
        time_to_exit_s: Callable[[], float | None],
        load: workload.WorkloadEstimate,
    ):
        """Creates the filter.

        Args:
            instance_name: name of this instance, for the error.
            time_to_exit_s: returns the time until the instance exits, or None
                if it is not leaving.
            load: average size and output rate of requests.
        """
        self._instance_name = instance_name
        self._time_to_exit_s = time_to_exit_s
        self._load = load

    async def apply(
        self, ctx: context.ForwardContext, proceed: base.Proceed
    ) -> base.Result:
        """Refuses a request that might be cut off, before it is sent."""
        time_to_exit_s = self._time_to_exit_s()
        if (
            time_to_exit_s is not None
            and self._max_duration_s(ctx) > time_to_exit_s
        ):
            ctx.retry_after_s = RETRY_AFTER_S
            return base.fail(errors.InstanceLeaving(self._instance_name))
        return await proceed(ctx)

    def _max_duration_s(self, ctx: context.ForwardContext) -> float:
        """Returns the longest duration of a request."""
        allowed_s = ctx.remaining_s()
        prompt = ctx.req.prompt
        if ctx.service.engine is None or prompt is None:
            return allowed_s
        stream_s = prompt.max_new_tokens / self._load.output_tokens_s
        return min(allowed_s, MAX_PREFILL_S + stream_s)
