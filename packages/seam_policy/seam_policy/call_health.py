"""Learns service times and failures of endpoints from the outcomes of calls.

Service times differ between endpoints and change, so each endpoint has a moving
average that decays to that of its service. Failures are kept as a share that
decays slowly. An endpoint that cannot be reached gets no calls for a time that
doubles with each failed attempt. This handles endpoints of uneven speed,
endpoints that fail calls while they report healthy, and endpoints that flap.
"""

import math

import attrs

INITIAL_SERVICE_S = 0.05
"""Assumed duration of a call before the first sample."""
SERVICE_GAIN = 0.05
"""Weight of a sample in the average of the whole service."""
ENDPOINT_GAIN = 0.15
"""Weight of a sample in the average of one endpoint."""
SERVICE_TIME_DECAY_S = 4.0
"""Time constant with which an endpoint's average returns to the service's."""
FAILURE_GAIN = 0.15
"""Weight of a call in the share of failures."""
FAILURE_DECAY_S = 8.0
"""Time constant of the share's decay; longer than that of service times, so
that a flapping endpoint is not trusted at once."""
MIN_UNREACHABLE_S = 0.5
"""First time for which an unreachable endpoint gets no calls; it doubles up to
`MAX_UNREACHABLE_S`."""
MAX_UNREACHABLE_S = 8.0


@attrs.define
class _Record:
    """What is known of one endpoint's incarnation."""

    ratio: float = 1.0
    """Service time relative to the service's average."""
    ratio_at: float = 0.0
    failure_share: float = 0.0
    failure_at: float = 0.0
    unreachable_s: float = 0.0
    """Length of the last time for which it got no calls."""
    unreachable_until: float = float("-inf")


class CallHealth:
    """Service times and failures, by the key of an endpoint's incarnation."""

    def __init__(self) -> None:
        """Starts without samples."""
        self._average_s: dict[str, float] = {}
        """Average duration of a call, by service."""
        self._records: dict[str, _Record] = {}

    def served(self, service: str, key: str, took_s: float, now: float) -> None:
        """Records a call that an endpoint served in `took_s`."""
        average_s = self._average_s.get(service, took_s)
        average_s += SERVICE_GAIN * (took_s - average_s)
        self._average_s[service] = average_s
        record = self._record(key)
        ratio = self._ratio(record, now)
        if average_s > 0:
            ratio += ENDPOINT_GAIN * (took_s / average_s - ratio)
        record.ratio, record.ratio_at = ratio, now
        record.unreachable_s = 0.0
        record.unreachable_until = now
        self._add_outcome(record, 0.0, now)

    def failed(self, key: str, now: float) -> None:
        """Records a call that an endpoint failed or refused."""
        self._add_outcome(self._record(key), 1.0, now)

    def unreachable(self, key: str, now: float) -> None:
        """Records that an endpoint could not be reached.

        Calls sent at the same time fail together and count once.
        """
        record = self._record(key)
        if now < record.unreachable_until:
            return
        doubled_s = max(MIN_UNREACHABLE_S, 2 * record.unreachable_s)
        record.unreachable_s = min(MAX_UNREACHABLE_S, doubled_s)
        record.unreachable_until = now + record.unreachable_s

    def service_s(self, service: str, key: str, now: float) -> float:
        """Returns the expected seconds of a call at an endpoint."""
        record = self._records.get(key)
        ratio = 1.0 if record is None else self._ratio(record, now)
        return self.average_s(service) * ratio

    def average_s(self, service: str) -> float:
        """Returns the average duration of a service's calls."""
        return self._average_s.get(service, INITIAL_SERVICE_S)

    def failure_share(self, key: str, now: float) -> float:
        """Returns the share of an endpoint's calls that fail."""
        record = self._records.get(key)
        return 0.0 if record is None else self._failure_share(record, now)

    def is_reachable(self, key: str, now: float) -> bool:
        """Returns whether an endpoint may be tried."""
        record = self._records.get(key)
        return record is None or now >= record.unreachable_until

    def remove(self, key: str) -> None:
        """Forgets an incarnation that has ended."""
        self._records.pop(key, None)

    def _record(self, key: str) -> _Record:
        return self._records.setdefault(key, _Record())

    def _ratio(self, record: _Record, now: float) -> float:
        elapsed_s = max(0.0, now - record.ratio_at)
        keep = math.exp(-elapsed_s / SERVICE_TIME_DECAY_S)
        return 1.0 + keep * (record.ratio - 1.0)

    def _failure_share(self, record: _Record, now: float) -> float:
        elapsed_s = max(0.0, now - record.failure_at)
        return record.failure_share * math.exp(-elapsed_s / FAILURE_DECAY_S)

    def _add_outcome(self, record: _Record, failed: float, now: float) -> None:
        """Counts a call in the share; `failed` is 1 for a failure, else 0."""
        share = self._failure_share(record, now)
        record.failure_share = share + FAILURE_GAIN * (failed - share)
        record.failure_at = now
