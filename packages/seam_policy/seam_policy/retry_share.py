"""One instance's share of a retry budget that applies to all instances.

Each instance spends at most its share of the fixed allowance plus the allowed
ratio of its own requests, so the total stays within the budget without
messages between instances. This handles endpoints that fail many requests at
once, where unbounded retries would multiply the load.
"""

import collections

ALLOWANCE_SHARE = 0.6
"""Share of the fixed allowance that is spent. The rest is headroom for retries
of instances that ended within the window, whose share others now spend."""
RATIO_SHARE = 0.9


class _Window:
    """Counts events within a sliding window."""

    def __init__(self, window_s: float):
        self._window_s = window_s
        self._times: collections.deque[float] = collections.deque()

    def add(self, now: float) -> None:
        self._times.append(now)

    def count(self, now: float) -> int:
        while self._times and self._times[0] <= now - self._window_s:
            self._times.popleft()
        return len(self._times)


class RetryShare:
    """Counts requests and retries of each service in a sliding window."""

    def __init__(self, ratio: float, allowance: float, window_s: float):
        """Creates a share of which nothing is spent.

        Args:
            ratio: retries allowed per request, over all instances.
            allowance: additional retries per window, over all instances.
            window_s: length of the window, in seconds.
        """
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._requests: dict[str, _Window] = {}
        self._retries: dict[str, _Window] = {}

    def record_request(self, service: str, now: float) -> None:
        """Counts a caller's request for a service."""
        self._window(self._requests, service).add(now)

    def take(self, service: str, now: float, instances: int) -> bool:
        """Spends one retry; False if this instance's share is exhausted."""
        retries = self._window(self._retries, service)
        if retries.count(now) + 1 > self.allowed(service, now, instances):
            return False
        retries.add(now)
        return True

    def allowed(self, service: str, now: float, instances: int) -> float:
        """Returns how many retries this instance may make within the window."""
        requests = self._window(self._requests, service).count(now)
        fixed = ALLOWANCE_SHARE * self._allowance / max(1, instances)
        return fixed + RATIO_SHARE * self._ratio * requests

    def _window(self, table: dict[str, _Window], service: str) -> _Window:
        if service not in table:
            table[service] = _Window(self._window_s)
        return table[service]
