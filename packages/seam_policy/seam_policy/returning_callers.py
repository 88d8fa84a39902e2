"""Which callers ask again after they were sent away.

A caller says how long it still waits, which is less each time it returns. The
callers of one route differ in it by about an eighth when they first ask, so
only one that has less left than these is taken to be back; it is late for its
latency target. Answers the load pattern of a burst, after which returning
callers must not take the places of those that can still be in time.
"""

FIRST_SHARE = 0.87
"""Part of the longest wait that callers have at least when they first ask."""
_FADE = 0.995
"""What remains of the longest wait for each request, as callers may change."""


class ReturningCallers:
    """Learns for each route how long its callers wait."""

    def __init__(self) -> None:
        """Starts without knowing any caller."""
        self._longest_s: dict[str, float] = {}

    def is_returning(
        self, route: str, left_s: float | None, timeout_s: float
    ) -> bool:
        """Takes a request; tells whether its caller asked before.

        Args:
            route: name of the route.
            left_s: seconds that the caller still waits; None if it didn't say.
            timeout_s: the route's timeout, beyond which no wait counts.
        """
        if left_s is None:
            return False
        left_s = min(left_s, timeout_s)
        longest_s = max(left_s, self._longest_s.get(route, 0.0) * _FADE)
        self._longest_s[route] = longest_s
        return left_s < min(longest_s, timeout_s) * FIRST_SHARE

    def retain(self, routes: set[str]) -> None:
        """Forgets the routes that are not among these."""
        for route in set(self._longest_s) - routes:
            del self._longest_s[route]
