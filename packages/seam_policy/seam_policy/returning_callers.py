"""Detects callers that send a request again after a refusal.

A caller states how long it will still wait, which is less each time it
returns. On first requests this value varies by about an eighth among the
callers of one route, so only a caller with less time left than that counts as
returning; it has already missed its latency target. This handles bursts, after
which returning callers must not take slots from requests that can still meet
their target.
"""

FIRST_REQUEST_MIN_SHARE = 0.87
"""Minimum share of the route's longest wait that a first request has left."""
_DECAY_PER_REQUEST = 0.995
"""Decay factor of the longest wait per request, as callers may change."""


class ReturningCallers:
    """Tracks the longest wait of the callers of each route."""

    def __init__(self) -> None:
        """Starts without any recorded wait."""
        self._longest_wait_s: dict[str, float] = {}

    def is_returning(
        self, route: str, remaining_s: float | None, timeout_s: float
    ) -> bool:
        """Records a request and returns whether its caller is returning.

        Args:
            route: name of the route.
            remaining_s: caller's remaining wait; None if not stated.
            timeout_s: timeout of the route, which caps the wait.
        """
        if remaining_s is None:
            return False
        remaining_s = min(remaining_s, timeout_s)
        longest_wait_s = max(
            remaining_s,
            self._longest_wait_s.get(route, 0.0) * _DECAY_PER_REQUEST,
        )
        self._longest_wait_s[route] = longest_wait_s
        return (
            remaining_s
            < min(longest_wait_s, timeout_s) * FIRST_REQUEST_MIN_SHARE
        )

    def retain(self, routes: set[str]) -> None:
        """Drops the state of all other routes."""
        for route in set(self._longest_wait_s) - routes:
            del self._longest_wait_s[route]
