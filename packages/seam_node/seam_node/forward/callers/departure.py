"""Refuses what a leaving instance could not finish, before it is sent."""

import asyncio
from collections.abc import Callable

from seam_model import errors
from seam_node.forward.callers import context
from seam_node.forward.placement import workload
from seam_policy import leave_time

RETRY_AFTER_S = 0.02
"""Retry-After of the refusal. It is short because another instance can take
the request immediately."""


class Departure:
    """When this instance exits, and which requests still wait to be sent."""

    def __init__(
        self,
        instance_name: str,
        load: workload.WorkloadEstimate,
        now: Callable[[], float],
    ):
        """Creates the state of an instance that is not leaving.

        Args:
            instance_name: name of this instance, for the error.
            load: average size and output rate of requests.
            now: the clock.
        """
        self._instance_name = instance_name
        self._load = load
        self._now = now
        self._exit_at: float | None = None
        self._limits: set[StartLimit] = set()

    def begin(self, exit_at: float) -> None:
        """Starts leaving: limits all requests that have not been sent."""
        self._exit_at = exit_at
        for each in self._limits:
            each.apply()

    def add(self, limit: "StartLimit") -> None:
        """Limits a request from now on, or as soon as the instance leaves."""
        self._limits.add(limit)
        limit.apply()

    def remove(self, limit: "StartLimit") -> None:
        """Ends the limit of a request that has ended."""
        self._limits.discard(limit)

    def can_finish(self, ctx: context.ForwardContext) -> bool:
        """Returns whether a request that just arrived ends before the exit."""
        if self._exit_at is None or ctx.deadline_at <= self._exit_at:
            return True
        return is_stream(ctx) and self.start_left_s(ctx) >= 0

    def start_left_s(self, ctx: context.ForwardContext) -> float | None:
        """Returns the time left to send a model request; None if unlimited."""
        if self._exit_at is None or ctx.deadline_at <= self._exit_at:
            return None
        stream_s = ctx.req.prompt.max_new_tokens / self._load.output_tokens_s
        is_placed = ctx.placement is not None
        latest = leave_time.latest_start(self._exit_at, stream_s, is_placed)
        return latest - self._now()

    def refuse(self, ctx: context.ForwardContext) -> errors.InstanceLeaving:
        """Returns the error of a request that cannot be finished here."""
        ctx.retry_after_s = RETRY_AFTER_S
        return errors.InstanceLeaving(self._instance_name)


class StartLimit(context.StartLimit):
    """Interrupts a model request that cannot begin to run in time."""

    def __init__(self, ctx: context.ForwardContext, departure: Departure):
        """Takes the request and the state of the instance."""
        self._ctx = ctx
        self._departure = departure
        self._timeout = asyncio.timeout(None)

    async def __aenter__(self) -> None:
        """Begins to limit the request's task."""
        await self._timeout.__aenter__()
        self._departure.add(self)

    async def __aexit__(self, *exc_info: object) -> bool | None:
        """Ends the limit; raises `TimeoutError` if it was exceeded."""
        self._departure.remove(self)
        return await self._timeout.__aexit__(*exc_info)

    def apply(self) -> None:
        """Sets the time until which the request may be sent."""
        if self._timeout.expired():
            return
        left_s = None
        if not self._ctx.reached_endpoint:
            left_s = self._departure.start_left_s(self._ctx)
        when = None
        if left_s is not None:
            when = asyncio.get_running_loop().time() + left_s
        self._timeout.reschedule(when)

    def error(self) -> errors.InstanceLeaving | None:
        """Returns why the request must not be sent any more, or None."""
        if self._ctx.reached_endpoint:
            return None
        left_s = self._departure.start_left_s(self._ctx)
        if left_s is None or left_s >= 0:
            return None
        return self._departure.refuse(self._ctx)


def is_stream(ctx: context.ForwardContext) -> bool:
    """Returns whether a request is a model request, which may wait."""
    return ctx.service.engine is not None and ctx.req.prompt is not None
