"""One instance's share of a retry budget that all instances keep together.

Each instance spends at most its part of the fixed allowance and the allowed
ratio of its own requests, so that the sum stays within the budget without a
message between them. Answers the load pattern of endpoints that fail many
requests at once, where unbounded retries would multiply the load.
"""

import collections

FIXED_SHARE = 0.6
"""Part of the fixed allowance that is spent, which leaves room for instances
that ended within the window and whose part others have taken over."""
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
    """Counts requests and repeats of each service in a sliding window."""

    def __init__(self, ratio: float, allowance: int, window_s: float):
        """Starts with nothing spent.

        Args:
            ratio: repeats allowed for each request, over all instances.
            allowance: repeats allowed besides, over all instances.
            window_s: length of the window, in seconds.
        """
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._requests: dict[str, _Window] = {}
        self._repeats: dict[str, _Window] = {}

    def record_request(self, service: str, now: float) -> None:
        """Counts a request of a caller for a service."""
        self._window(self._requests, service).add(now)

    def take(self, service: str, now: float, instances: int) -> bool:
        """Spends one repeat; False if this instance's share is used up."""
        repeats = self._window(self._repeats, service)
        if repeats.count(now) + 1 > self.allowed(service, now, instances):
            return False
        repeats.add(now)
        return True

    def allowed(self, service: str, now: float, instances: int) -> float:
        """Returns how many repeats the window may hold on this instance."""
        own = self._window(self._requests, service).count(now)
        fixed = FIXED_SHARE * self._allowance / max(1, instances)
        return fixed + RATIO_SHARE * self._ratio * own

    def _window(self, table: dict[str, _Window], service: str) -> _Window:
        if service not in table:
            table[service] = _Window(self._window_s)
        return table[service]
