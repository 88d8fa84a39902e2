"""Builds the filter chain for the requests of callers."""

from collections.abc import Callable

import attrs

from seam_node import chain
from seam_node import logs
from seam_node.forward.callers import departure
from seam_node.forward.callers import key_refusals
from seam_node.forward.endpoints import endpoint_limits
from seam_node.forward.endpoints import engine_access
from seam_node.forward.endpoints import request_sender
from seam_node.forward.filters import attempt
from seam_node.forward.filters import call
from seam_node.forward.filters import deadline
from seam_node.forward.filters import decode
from seam_node.forward.filters import guard
from seam_node.forward.filters import kind
from seam_node.forward.filters import kv
from seam_node.forward.filters import leave
from seam_node.forward.filters import prefill
from seam_node.forward.filters import reserve
from seam_node.forward.filters import route
from seam_node.forward.filters import workspace
from seam_node.forward.placement import fleet_placement
from seam_node.forward.placement import holds
from seam_node.forward.placement import workload
from seam_node.forward.quota import quota_filter
from seam_node.forward.service_calls import fleet_services
from seam_node.forward.store import catalog_state


@attrs.frozen
class Parts:
    """What the filters of an instance share."""

    routes: catalog_state.Routes
    engines: engine_access.EngineAccess
    limits: endpoint_limits.EndpointLimits
    sender: request_sender.RequestSender
    fleet: fleet_placement.FleetPlacement
    services: fleet_services.FleetServices
    load: workload.WorkloadEstimate
    log: logs.Log
    routes_up_to_date: Callable[[], bool]
    """Returns whether a route or key that is not known does not exist."""
    keys_proved: Callable[[], bool]
    """Returns whether the configuration is recent enough to accept its keys."""
    key_refusals: key_refusals.KeyRefusals
    """Counts requests that are refused for their key."""
    departure: departure.Departure
    """When this instance exits, if it is leaving."""


def make(parts: Parts) -> chain.Chain:
    """Returns the chain that all requests pass."""
    return chain.Chain(
        [
            route.RouteFilter(parts.routes, parts.routes_up_to_date),
            workspace.WorkspaceFilter(
                parts.routes,
                parts.keys_proved,
                parts.routes_up_to_date,
                parts.key_refusals,
            ),
            leave.LeaveFilter(parts.departure),
            deadline.DeadlineFilter(),
            kind.KindFilter(_model_chain(parts), _plain_chain(parts)),
        ]
    )


def _model_chain(parts: Parts) -> chain.Chain:
    fleet = parts.fleet
    return chain.Chain(
        [
            quota_filter.QuotaFilter(fleet.quotas.gate, admits=False),
            attempt.AttemptFilter(parts.sender, fleet.prompts, parts.log),
            guard.GuardFilter(fleet.prompts),
            kv.KvFilter(parts.engines),
            reserve.ReserveFilter(
                fleet.places, holds.EngineHolds(parts.engines)
            ),
            prefill.PrefillFilter(
                parts.engines,
                parts.sender,
                fleet.prefills,
                fleet.places,
                parts.load,
            ),
            decode.DecodeFilter(
                parts.sender,
                parts.engines.codec,
                fleet.outcomes,
                parts.load,
                fleet.places,
                fleet.prompts,
            ),
        ]
    )


def _plain_chain(parts: Parts) -> chain.Chain:
    return chain.Chain(
        [
            quota_filter.QuotaFilter(parts.fleet.quotas.gate, admits=True),
            call.CallFilter(
                parts.services.chooser,
                parts.engines.stats,
                parts.limits,
                parts.sender,
            ),
        ]
    )
