"""Builds the filter chains for model requests and service calls."""

from collections.abc import Callable
import random

import attrs

from seam_model import config
from seam_model import errors
from seam_model import settings as node_settings
from seam_node import logs
from seam_node import metrics
from seam_node.controllers import bookings
from seam_node.controllers import claims
from seam_node.controllers import drain
from seam_node.controllers import engines
from seam_node.controllers import ownership
from seam_node.controllers import ownership_check
from seam_node.controllers import planner
from seam_node.controllers import registry
from seam_node.controllers import runs
from seam_node.controllers import service_gate
from seam_node.controllers import slots
from seam_node.filters import account
from seam_node.filters import admit
from seam_node.filters import base
from seam_node.filters import call
from seam_node.filters import claim
from seam_node.filters import deduplicate
from seam_node.filters import identify
from seam_node.filters import leave
from seam_node.filters import limit
from seam_node.filters import parse
from seam_node.filters import place
from seam_node.filters import retry
from seam_node.filters import stream
from seam_node.filters import supervise
from seam_node.filters import transfer
from seam_node.ports import clock
from seam_node.ports import peer
from seam_node.ports import service
from seam_policy import limits
from seam_policy import retry as retry_policy


@attrs.frozen
class FilterDependencies:
    """Components of an instance that the filters use."""

    data_centre: str
    owner_id: str
    settings: node_settings.NodeSettings
    rng: random.Random
    log: logs.Log
    metrics: metrics.Metrics
    clock: clock.Clock
    peers: peer.PeerNetwork
    services: service.Service
    not_ready: Callable[[], errors.SeamError | None]
    current_config: Callable[[], config.FleetConfig | None]
    runs: runs.RunTable
    drain: drain.DrainController
    directory: engines.EngineDirectory
    ownership: ownership.Ownership
    planner: planner.Planner
    registry: registry.Registry
    ownership_check: ownership_check.MirrorOwnershipCheck
    gates: service_gate.ServiceGates
    claims: claims.ClaimController
    limiter: limits.WorkspaceLimiter
    budget: retry_policy.RetryBudget


def generate_chain(deps: FilterDependencies) -> base.Chain:
    """Returns the filter chain for model requests."""
    filters: list[base.Filter] = [
        account.AccountFilter(deps.runs, deps.metrics, deps.log),
        leave.LeaveFilter(deps.drain, deps.not_ready),
        parse.ParseGenerateFilter(
            deps.settings.limits,
            deps.current_config,
            deps.directory,
            deps.data_centre,
        ),
        identify.IdentifyFilter(deps.settings.workspaces.keys),
        limit.LimitFilter(deps.limiter, deps.clock),
        deduplicate.DeduplicateFilter(
            deps.runs,
            deps.registry,
            deps.ownership_check,
            deps.directory,
            deps.owner_id,
        ),
        supervise.SuperviseFilter(),
        retry.RetryFilter(deps.budget),
        place.PlaceFilter(
            deps.directory,
            slots.SlotClient(deps.directory, deps.ownership, deps.peers),
            deps.planner,
        ),
        transfer.TransferFilter(
            deps.directory,
            deps.planner,
            bookings.BookingClient(deps.ownership, deps.peers, deps.planner),
            deps.registry,
            deps.metrics,
            deps.owner_id,
        ),
        stream.StreamFilter(
            deps.directory, deps.ownership_check, deps.owner_id
        ),
    ]
    return base.Chain(filters)


def service_chain(deps: FilterDependencies) -> base.Chain:
    """Returns the filter chain for service calls."""
    filters: list[base.Filter] = [
        account.AccountFilter(deps.runs, deps.metrics, deps.log),
        leave.LeaveFilter(deps.drain, deps.not_ready),
        parse.ParseServiceFilter(
            deps.settings.limits,
            deps.current_config,
            deps.data_centre,
        ),
        identify.IdentifyFilter(deps.settings.workspaces.keys),
        limit.LimitFilter(deps.limiter, deps.clock),
        admit.AdmitFilter(deps.gates),
        claim.ClaimFilter(deps.claims),
        call.CallFilter(deps.directory, deps.services, deps.budget, deps.rng),
    ]
    return base.Chain(filters)
