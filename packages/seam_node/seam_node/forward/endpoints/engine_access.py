"""Dependencies shared by the components that call engines."""

import attrs

from seam_node import logs
from seam_node.forward.endpoints import availability
from seam_node.forward.endpoints import call_stats
from seam_node.forward.endpoints import endpoint_limits
from seam_node.forward.endpoints import exchange
from seam_node.forward.endpoints import release_calls
from seam_node.forward.store import catalog_state
from seam_node.ports import wire


@attrs.frozen
class EngineAccess:
    """The engines, their statistics and the means to call them."""

    endpoints: catalog_state.Endpoints
    stats: call_stats.CallStats
    client: exchange.EndpointClient
    codec: wire.Wire
    limits: endpoint_limits.EndpointLimits
    available: availability.Availability
    releases: release_calls.ReleaseCalls
    log: logs.Log
