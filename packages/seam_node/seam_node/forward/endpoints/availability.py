"""Decides whether an endpoint may get new work.

This is asked right before each call is sent: an endpoint may have left while a
request waited for its place, its prefill or its connection.
"""

from seam_model import endpoint_errors
from seam_model import forwarding
from seam_node.forward.store import catalog_state

LEFT = "it leaves or has left"
MAX_SOURCE_CHARS = 60
"""Characters of a call's target that a log line has."""


class Availability:
    """What is known of endpoints that may get no new work."""

    def __init__(self, endpoints: catalog_state.Endpoints):
        """Takes the announced endpoints."""
        self._endpoints = endpoints
        self.leaving_heard = 0
        """Endpoints that said that they leave, since the start."""

    def heard(
        self, call: forwarding.EndpointCall, head: forwarding.AnswerHead
    ) -> None:
        """Records what the answer to a call says of the endpoint."""
        if head.misdirected or not head.leaving:
            return
        source = f"{call.method} {call.target[:MAX_SOURCE_CHARS]}"
        source = f"{source} {head.status}"
        if self._endpoints.heard_leaving(call.endpoint_key, source):
            self.leaving_heard += 1

    def error(self, key: str) -> endpoint_errors.EndpointUnavailable | None:
        """Returns why an incarnation may get no new work, or None."""
        if not self._endpoints.still_usable(key):
            return endpoint_errors.EndpointUnavailable(key, LEFT)
        return None
