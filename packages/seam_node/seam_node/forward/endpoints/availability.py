"""Decides whether an endpoint may get new work.

This is asked right before each call is sent: an endpoint may have left while a
request waited for its place, its prefill or its connection.
"""

from seam_model import endpoint_errors
from seam_node.forward.store import catalog_state

LEFT = "it leaves or has left"


class Availability:
    """What is known of endpoints that may get no new work."""

    def __init__(self, endpoints: catalog_state.Endpoints):
        """Takes the announced endpoints."""
        self._endpoints = endpoints

    def error(self, key: str) -> endpoint_errors.EndpointUnavailable | None:
        """Returns why an incarnation may get no new work, or None."""
        if not self._endpoints.still_usable(key):
            return endpoint_errors.EndpointUnavailable(key, LEFT)
        return None
