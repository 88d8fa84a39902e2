"""Choice of an endpoint by the fleet's placer.

It is used where the live instances outnumber the slots of a service's
endpoints: each instance then sees too few calls to know the endpoints.
"""

from collections.abc import Callable

import expression

from seam_model import errors
from seam_model import forwarding
from seam_node.forward.callers import context
from seam_node.forward.endpoints import availability
from seam_node.forward.fleet import messages
from seam_node.forward.service_calls import chooser
from seam_node.forward.service_calls import local_chooser
from seam_node.forward.service_calls import service_client
from seam_node.forward.service_calls import service_endpoints
from seam_node.forward.service_calls import service_messages
from seam_node.forward.store import catalog_state
from seam_policy import placer_asking

MAX_ASKS = 3
"""Asks of one attempt, as a placer may grant an endpoint that this instance
must not use."""

_State = service_messages.ServiceState


class FleetChooser(chooser.EndpointChooser):
    """Asks the placer for calls that are placed, and else chooses locally."""

    def __init__(
        self,
        local: local_chooser.LocalChooser,
        client: service_client.ServiceClient,
        endpoints: catalog_state.Endpoints,
        available: availability.Availability,
        instance_count: Callable[[], int],
        one_way_delay_s: Callable[[str], float],
    ):
        """Creates the chooser.

        Args:
            local: chooses for calls that are not placed, or if no placer
                answers.
            client: asks the placer.
            endpoints: the announced endpoints.
            available: which of them may get calls.
            instance_count: returns the number of live instances.
            one_way_delay_s: returns the one-way delay to a data centre, in
                seconds.
        """
        self._local = local
        self._client = client
        self._endpoints = endpoints
        self._available = available
        self._instance_count = instance_count
        self._one_way_delay_s = one_way_delay_s
        self._targets_s: dict[str, float] = {}
        """Shortest latency target of the routes to each service, in seconds."""

    def configure(self, table: forwarding.RouteTable) -> None:
        """Applies a configuration."""
        self._targets_s.clear()
        for route in table.routes:
            for split in route.splits:
                shortest_s = self._targets_s.get(split.service, route.target_s)
                self._targets_s[split.service] = min(shortest_s, route.target_s)

    async def choose(
        self, ctx: context.ForwardContext, error: errors.SeamError
    ) -> chooser.Chosen:
        """Returns the endpoint that the placer grants, or a local choice."""
        if self._should_ask(ctx):
            chosen = await self._ask(ctx)
            if chosen is not None:
                return chosen
        return await self._local.choose(ctx, error)

    def ended(
        self,
        choice: chooser.Choice,
        outcome: messages.Outcome,
        took_s: float,
    ) -> None:
        """Releases a granted endpoint."""
        if choice.decision is not None:
            self._client.end(choice.decision, outcome, took_s)

    async def _ask(self, ctx: context.ForwardContext) -> chooser.Chosen | None:
        """Returns what the placer decides; None if that is of no use here."""
        unusable: set[str] = set()
        for _ in range(MAX_ASKS):
            allowed = {each.key for each in self._local.allowed(ctx)}
            keys = allowed - unusable
            if not keys:
                return None
            decision = await self._client.ask(ctx, self._avoid(ctx, keys))
            if decision is None:
                return None
            answer = decision.answer
            if answer.state is _State.FULL:
                ctx.retry_after_s = answer.retry_after_s
                return expression.Error(errors.EndpointsFull(ctx.service.name))
            if answer.state is not _State.GRANTED:
                return None
            endpoint = self._allowed_endpoint(ctx, answer.endpoint)
            if endpoint is not None:
                return expression.Ok(chooser.Choice(endpoint, decision))
            unusable.add(answer.endpoint)
            self._client.end(decision, messages.Outcome.UNKNOWN, 0.0)
        return None

    def _allowed_endpoint(
        self, ctx: context.ForwardContext, key: str
    ) -> forwarding.Endpoint | None:
        """Returns a granted endpoint, or None if it may not get the call.

        It may have paused, or named a rate limit, while the call waited.
        """
        for each in self._local.allowed(ctx):
            if each.key == key:
                return each
        return None

    def _should_ask(self, ctx: context.ForwardContext) -> bool:
        """Returns whether to ask the placer for a call's endpoint.

        All calls of a service are decided alike, whatever their route and data
        centre, by the shortest target and the longest delay: a placer that is
        not asked for some of them counts too few.
        """
        name = ctx.service.name
        endpoints = service_endpoints.plain(self._endpoints, name)
        data_centres = {each.data_centre for each in endpoints}
        if not endpoints or not self._should_ask_within(
            name, endpoints, data_centres
        ):
            return False
        # The placer is looked up last, as that ranks all instances.
        placer = self._client.placer()
        if placer is None:
            return False
        data_centres.add(placer.data_centre)
        return self._should_ask_within(name, endpoints, data_centres)

    def _should_ask_within(
        self,
        service: str,
        endpoints: list[forwarding.Endpoint],
        data_centres: set[str],
    ) -> bool:
        """Returns whether to ask for calls that involve some data centres."""
        return placer_asking.should_ask(
            self._instance_count(),
            sum(each.slots for each in endpoints),
            self._targets_s.get(service, 0.0),
            2 * max(map(self._one_way_delay_s, data_centres)),
        )

    def _avoid(self, ctx: context.ForwardContext, keys: set[str]) -> set[str]:
        """Returns the endpoints that the call must not use."""
        known = service_endpoints.plain(self._endpoints, ctx.service.name)
        excluded = {each.key for each in known} - keys
        return excluded | ctx.failed_keys | self._available.avoided()
