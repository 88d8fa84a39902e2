"""Determines the route and the service of a request."""

from collections.abc import Callable

from seam_model import errors
from seam_model import forwarding
from seam_node.forward.callers import context
from seam_node.forward.filters import base
from seam_node.forward.store import catalog_state
from seam_policy import weighted


class RouteFilter(base.ForwardFilter):
    """Matches host and path against the configuration in force."""

    def __init__(
        self, routes: catalog_state.Routes, is_up_to_date: Callable[[], bool]
    ):
        """Creates the filter.

        Args:
            routes: the configuration in force.
            is_up_to_date: returns whether the configuration is current.
        """
        self._routes = routes
        self._is_up_to_date = is_up_to_date

    async def apply(
        self, ctx: context.ForwardContext, proceed: base.Proceed
    ) -> base.Result:
        """Sets the route, the service and the deadline in the context."""
        table = self._routes.table
        if table is None:
            return base.fail(errors.RoutesUnproved())
        route = self._routes.match(ctx.req.host, ctx.req.path)
        if route is None:
            return base.fail(self._no_route_error(ctx, table))
        ctx.table = table
        ctx.route = route
        ctx.service = _service(table, route, ctx.req.id)
        ctx.deadline_at = ctx.arrived_at + _timeout_s(ctx.req, route)
        return await proceed(ctx)

    def _no_route_error(
        self, ctx: context.ForwardContext, table: forwarding.RouteTable
    ) -> errors.SeamError:
        """Returns the error for a request without a route.

        While the configuration may be out of date, the route may exist in a
        version that this instance has not received.
        """
        if not self._is_up_to_date():
            return errors.RoutesUnproved()
        return errors.RouteUnknown(ctx.req.host, table.version)


def _service(
    table: forwarding.RouteTable, route: forwarding.Route, request_id: str
) -> forwarding.ServiceSpec:
    weights = [split.weight for split in route.splits]
    name = route.splits[weighted.pick(weights, request_id)].service
    spec = table.services.get(name)
    return spec or forwarding.ServiceSpec(name, 0)


def _timeout_s(
    req: forwarding.ForwardRequest, route: forwarding.Route
) -> float:
    if req.deadline_s is None:
        return route.timeout_s
    return min(req.deadline_s, route.timeout_s)
