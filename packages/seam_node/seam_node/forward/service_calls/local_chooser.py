"""Choice of an endpoint by the instance that received the call."""

from collections.abc import Callable

import expression

from seam_model import errors
from seam_model import forwarding
from seam_node.forward.callers import context
from seam_node.forward.endpoints import availability
from seam_node.forward.endpoints import call_stats
from seam_node.forward.endpoints import endpoint_limits
from seam_node.forward.fleet import messages
from seam_node.forward.service_calls import chooser
from seam_node.forward.service_calls import service_endpoints
from seam_node.forward.store import catalog_state
from seam_policy import endpoint_choice
from seam_policy import endpoint_signs
from seam_policy import retry_after_schedule

MIN_RETRY_AFTER_S = 0.05
"""Shortest Retry-After of a call that no endpoint may get."""


class LocalChooser(chooser.EndpointChooser):
    """Chooses by the statistics of this instance alone."""

    def __init__(
        self,
        endpoints: catalog_state.Endpoints,
        stats: call_stats.CallStats,
        limits: endpoint_limits.EndpointLimits,
        available: availability.Availability,
        one_way_delay_s: Callable[[str], float],
    ):
        """Creates the chooser.

        Args:
            endpoints: the announced endpoints.
            stats: statistics of the endpoints.
            limits: rate limits of the endpoints.
            available: the endpoints that pause.
            one_way_delay_s: returns the one-way delay to a data centre, in
                seconds.
        """
        self._endpoints = endpoints
        self._stats = stats
        self._limits = limits
        self._available = available
        self._one_way_delay_s = one_way_delay_s
        self._pause_returns = endpoint_signs.PauseReturns()
        self._return_times = retry_after_schedule.RetryAfterSchedule(
            MIN_RETRY_AFTER_S
        )

    async def choose(
        self, ctx: context.ForwardContext, error: errors.SeamError
    ) -> chooser.Chosen:
        """Returns the best endpoint whose rate limit is not used up."""
        allowed = self.allowed(ctx)
        if not allowed:
            return expression.Error(self._no_choice_error(ctx, error))
        return expression.Ok(chooser.Choice(self._best(ctx, allowed)))

    def ended(
        self,
        choice: chooser.Choice,
        outcome: messages.Outcome,
        took_s: float,
    ) -> None:
        """Does nothing: the sender of the call keeps the statistics."""

    def allowed(self, ctx: context.ForwardContext) -> list[forwarding.Endpoint]:
        """Returns the endpoints that may get the call now."""
        pausing = self._available.pausing()
        return [
            each
            for each in self._usable(ctx)
            if each.key not in pausing and self._limits.wait_s(each.key) <= 0.0
        ]

    def _best(
        self,
        ctx: context.ForwardContext,
        allowed: list[forwarding.Endpoint],
    ) -> forwarding.Endpoint:
        """Returns the endpoint with the lowest expected cost."""
        now = ctx.now()
        by_key = {
            each.key: each for each in self._stats.preferred(allowed, now)
        }
        chosen = endpoint_choice.choose(
            [self._candidate(each) for each in by_key.values()], now
        )
        return by_key[chosen.key]

    def _no_choice_error(
        self, ctx: context.ForwardContext, error: errors.SeamError
    ) -> errors.SeamError:
        """Returns why no endpoint may get a call, and sets its Retry-After.

        `error` is that of the attempt before, if there was one.
        """
        usable = self._usable(ctx)
        endpoints = self._endpoints.usable(ctx.service.name)
        pauses_s = [
            self._available.pause_left_s(each.key) for each in endpoints
        ]
        if pauses_s and all(pauses_s):
            ctx.retry_after_s = self._pause_returns.assign(
                ctx.now(),
                pauses_s,
                retry_after_schedule.MAX_SHARE * ctx.remaining_s(),
            )
            if not ctx.sends:
                return errors.EndpointsPausing(ctx.service.name)
        elif usable and not ctx.sends:
            return self._limited_error(ctx, usable)
        return error

    def _usable(self, ctx: context.ForwardContext) -> list[forwarding.Endpoint]:
        return [
            each
            for each in service_endpoints.plain(
                self._endpoints, ctx.service.name
            )
            if each.key not in ctx.failed_keys
        ]

    def _limited_error(
        self, ctx: context.ForwardContext, usable: list[forwarding.Endpoint]
    ) -> errors.EndpointsLimited:
        """Returns the error of a call that rate limits hold up.

        The context's Retry-After is set by the rate of the usable endpoints.
        """
        rate = sum(self._limits.own_rate(each.key) for each in usable)
        max_retry_s = retry_after_schedule.MAX_SHARE * ctx.remaining_s()
        ctx.retry_after_s = self._return_times.assign(
            ctx.now(), 1.0 / rate, max_retry_s
        )
        return errors.EndpointsLimited(ctx.service.name)

    def _candidate(
        self, endpoint: forwarding.Endpoint
    ) -> endpoint_choice.Candidate:
        return endpoint_choice.Candidate(
            endpoint.key,
            endpoint.slots,
            self._one_way_delay_s(endpoint.data_centre),
            endpoint.warm_up_s,
            self._stats.call(endpoint),
        )
