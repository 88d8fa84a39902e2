"""The order of the filters that requests pass."""

from __future__ import annotations

import typing

from seam_node.controllers import bookings
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

if typing.TYPE_CHECKING:
    from seam_node import node as node_module


def generate_chain(node: node_module.Node) -> base.Chain:
    """Returns the filters of model requests, outermost first."""
    data_centre = node.record.data_centre
    filters: list[base.Filter] = [
        account.AccountFilter(node.runs, node.metrics, node.log),
        leave.LeaveFilter(node.drain, node.not_ready),
        parse.ParseGenerateFilter(
            node.settings.limits,
            node.config.current,
            node.directory,
            data_centre,
        ),
        identify.IdentifyFilter(node.settings.workspaces.keys),
        limit.LimitFilter(node.limiter, node.ports.clock),
        deduplicate.DeduplicateFilter(
            node.runs,
            node.registry,
            node.proof,
            node.directory,
            node.owner_id,
        ),
        supervise.SuperviseFilter(),
        retry.RetryFilter(node.budget),
        place.PlaceFilter(
            node.directory,
            slots.SlotClient(node.directory, node.ownership, node.ports.peers),
            node.planner,
        ),
        transfer.TransferFilter(
            node.directory,
            node.planner,
            bookings.BookingClient(
                node.ownership, node.ports.peers, node.planner
            ),
            node.registry,
            node.metrics,
            node.owner_id,
        ),
        stream.StreamFilter(node.directory, node.proof, node.owner_id),
    ]
    return base.Chain(filters)


def service_chain(node: node_module.Node) -> base.Chain:
    """Returns the filters of service calls, outermost first."""
    filters: list[base.Filter] = [
        account.AccountFilter(node.runs, node.metrics, node.log),
        leave.LeaveFilter(node.drain, node.not_ready),
        parse.ParseServiceFilter(
            node.settings.limits,
            node.config.current,
            node.record.data_centre,
        ),
        identify.IdentifyFilter(node.settings.workspaces.keys),
        limit.LimitFilter(node.limiter, node.ports.clock),
        admit.AdmitFilter(node.gates),
        claim.ClaimFilter(node.claims),
        call.CallFilter(
            node.directory, node.ports.services, node.budget, node.rng
        ),
    ]
    return base.Chain(filters)
