"""Selects the endpoint of a plain call when one instance counts all calls.

Among the endpoints with room, the call goes where its expected cost is lowest:
service time, time in the endpoint's own queue, network time, a penalty for
failures, and one for an endpoint that warms up. An endpoint that fails more
than half of its calls gets fewer at once, and from `MAX_FAILURE_SHARE` on none
while another one does better, also if the call has to wait for it. This handles
uneven endpoints, and one that fails at once and therefore always seems to have
room.
"""

from collections.abc import Sequence
import math

import attrs

FAILURE_COST_S = 2.0
"""Cost of a failed call, in seconds."""
DISTANCE_WEIGHT = 2.0
"""Weight of network time relative to time at an endpoint."""
TOLERATED_FAILURE_SHARE = 0.5
"""Share of failures up to which an endpoint gets calls up to its limit. An
endpoint that loses a part of its responses still needs its slots for all
calls."""
MAX_FAILURE_SHARE = 0.65
"""Share of failures from which an endpoint is unhealthy: it gets calls only if
no endpoint is healthy."""
FREE_LOAD = 0.5
"""Calls per slot up to which a call is not expected to wait at an endpoint."""
MIN_SERVICE_S = 0.001
"""Least expected duration of a call, for the rate of an endpoint."""


@attrs.frozen
class Candidate:
    """An endpoint that a call may use."""

    key: str
    slots: int
    limit: int
    """Calls that it may have at once if it serves them."""
    in_flight: int
    service_s: float
    """Expected duration of a call."""
    failure_share: float
    reachable: bool
    one_way_s: float
    """One-way network delay from the instance that has the call."""
    warm_up_s: float

    @property
    def effective_limit(self) -> int:
        """Its limit, lowered if it fails most of its calls."""
        if self.failure_share <= TOLERATED_FAILURE_SHARE:
            return self.limit
        kept = self.limit * (1.0 - self.failure_share) ** 2
        return max(1, math.floor(kept))

    @property
    def has_room(self) -> bool:
        """Whether it may get one more call now."""
        return self.in_flight < self.effective_limit

    @property
    def is_healthy(self) -> bool:
        """Whether it can be reached and serves enough of its calls."""
        return self.reachable and self.failure_share < MAX_FAILURE_SHARE

    @property
    def rate(self) -> float:
        """Calls a second that it serves."""
        used_slots = min(self.slots, self.effective_limit)
        return used_slots / max(MIN_SERVICE_S, self.service_s)


def cost_s(candidate: Candidate) -> float:
    """Returns the expected cost of a call, in seconds."""
    load = (candidate.in_flight + 1) / max(1, candidate.slots)
    wait_s = candidate.service_s * max(0.0, load - FREE_LOAD)
    network_s = 2 * candidate.one_way_s * DISTANCE_WEIGHT
    failure_s = candidate.failure_share * FAILURE_COST_S
    warm_up_s = candidate.service_s if candidate.warm_up_s > 0 else 0.0
    return candidate.service_s + wait_s + network_s + failure_s + warm_up_s


def preferred(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Returns the healthy endpoints, or else the reachable ones, or all."""
    healthy = [each for each in candidates if each.is_healthy]
    reachable = [each for each in candidates if each.reachable]
    return healthy or reachable or list(candidates)


def choose(candidates: Sequence[Candidate]) -> Candidate | None:
    """Returns the endpoint for a call; None if it has to wait."""
    free = [each for each in preferred(candidates) if each.has_room]
    if not free:
        return None
    return min(free, key=lambda each: (cost_s(each), each.key))


def interval_s(candidates: Sequence[Candidate]) -> float:
    """Returns the average time between two calls that end."""
    rate = sum(each.rate for each in preferred(candidates))
    return 1.0 / rate if rate > 0 else math.inf
