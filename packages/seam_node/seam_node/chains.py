"""The order of the filters that requests pass."""

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
class Parts:
    """What the filters use of an instance."""

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
    proof: ownership_check.MirrorOwnershipCheck
    gates: service_gate.ServiceGates
    claims: claims.ClaimController
    limiter: limits.WorkspaceLimiter
    budget: retry_policy.RetryBudget


def generate_chain(parts: Parts) -> base.Chain:
    """Returns the filters of model requests, outermost first."""
    filters: list[base.Filter] = [
        account.AccountFilter(parts.runs, parts.metrics, parts.log),
        leave.LeaveFilter(parts.drain, parts.not_ready),
        parse.ParseGenerateFilter(
            parts.settings.limits,
            parts.current_config,
            parts.directory,
            parts.data_centre,
        ),
        identify.IdentifyFilter(parts.settings.workspaces.keys),
        limit.LimitFilter(parts.limiter, parts.clock),
        deduplicate.DeduplicateFilter(
            parts.runs,
            parts.registry,
            parts.proof,
            parts.directory,
            parts.owner_id,
        ),
        supervise.SuperviseFilter(),
        retry.RetryFilter(parts.budget),
        place.PlaceFilter(
            parts.directory,
            slots.SlotClient(parts.directory, parts.ownership, parts.peers),
            parts.planner,
        ),
        transfer.TransferFilter(
            parts.directory,
            parts.planner,
            bookings.BookingClient(parts.ownership, parts.peers, parts.planner),
            parts.registry,
            parts.metrics,
            parts.owner_id,
        ),
        stream.StreamFilter(parts.directory, parts.proof, parts.owner_id),
    ]
    return base.Chain(filters)


def service_chain(parts: Parts) -> base.Chain:
    """Returns the filters of service calls, outermost first."""
    filters: list[base.Filter] = [
        account.AccountFilter(parts.runs, parts.metrics, parts.log),
        leave.LeaveFilter(parts.drain, parts.not_ready),
        parse.ParseServiceFilter(
            parts.settings.limits,
            parts.current_config,
            parts.data_centre,
        ),
        identify.IdentifyFilter(parts.settings.workspaces.keys),
        limit.LimitFilter(parts.limiter, parts.clock),
        admit.AdmitFilter(parts.gates),
        claim.ClaimFilter(parts.claims),
        call.CallFilter(
            parts.directory, parts.services, parts.budget, parts.rng
        ),
    ]
    return base.Chain(filters)
