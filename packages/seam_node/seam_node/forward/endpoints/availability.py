"""Decides whether an endpoint may get a call.

This is asked right before each call is sent: an endpoint may have left, or
asked for a pause, while a request waited for its place, its prefill or its
connection.
"""

from collections.abc import Callable

from seam_model import endpoint_errors
from seam_model import forwarding
from seam_node import logs
from seam_node.forward.store import catalog_state
from seam_policy import endpoint_signs

LEFT = "it leaves or has left"
PAUSING = "it wants a pause"
MAX_SOURCE_CHARS = 60
"""Characters of a call's target that a log line has."""


class Availability:
    """What is known of endpoints that may get no call."""

    def __init__(
        self,
        endpoints: catalog_state.Endpoints,
        signs: endpoint_signs.EndpointSigns,
        now: Callable[[], float],
        log: logs.Log,
    ):
        """Takes the announced endpoints and what they say in their answers."""
        self._endpoints = endpoints
        self._signs = signs
        self._now = now
        self._log = log
        self.leaving_heard = 0
        """Endpoints that said that they leave, since the start."""
        self.pauses_heard = 0
        """Pauses that endpoints asked for, since the start."""

    def error(
        self, key: str, is_work: bool = True
    ) -> endpoint_errors.EndpointUnavailable | None:
        """Returns why an incarnation may get no call now, or None.

        Args:
            key: the incarnation's key.
            is_work: whether the call gives the endpoint something to do.
        """
        if is_work and not self._endpoints.still_usable(key):
            return endpoint_errors.EndpointUnavailable(key, LEFT)
        if self.pause_left_s(key) > 0:
            return endpoint_errors.EndpointUnavailable(key, PAUSING)
        return None

    def pause_left_s(self, key: str) -> float:
        """Returns for how long an endpoint wants nothing; 0 without a pause."""
        return self._signs.pause_left_s(key, self._now())

    def pausing(self) -> set[str]:
        """Returns the keys of the endpoints that pause."""
        return self._signs.pausing(self._now())

    def avoided(self) -> set[str]:
        """Returns the endpoints that the store may show as ready in vain."""
        return self._endpoints.leaving_keys() | self.pausing()

    def heard(
        self, call: forwarding.EndpointCall, head: forwarding.AnswerHead
    ) -> None:
        """Records what the answer to a call says of the endpoint."""
        if head.misdirected or not (head.leaving or head.pause_s is not None):
            return
        key = call.endpoint_key
        source = f"{call.method} {call.target[:MAX_SOURCE_CHARS]}"
        source = f"{source} {head.status}"
        if head.leaving and self._endpoints.heard_leaving(key, source):
            self.leaving_heard += 1
        if head.pause_s is not None and self._endpoints.is_known(key):
            self._heard_pause(key, head.pause_s, source)

    def _heard_pause(self, key: str, pause_s: float, source: str) -> None:
        if not self._signs.heard_pause(key, pause_s, self._now()):
            return
        self.pauses_heard += 1
        self._log.event(
            "endpoint_pausing", endpoint=key, pause_s=pause_s, answer_to=source
        )
