"""Which endpoint gets a call of a plain service.

The one with the least expected cost: its usual latency, stretched by the
calls that it already has in progress, the way there and back, and the time
that its failures cost. What is known of an endpoint fades, so that one that
was slow or failed is tried again. Answers the load patterns of one endpoint
in several that turns slow or fails part of its calls while healthy, and of
load that shifts between data centres.
"""

from collections.abc import Sequence
import math

import attrs

GAIN = 0.15
"""Weight of a new sample of latency or failure."""
FADE_S = 4.0
"""Time after which what is known has faded to a third."""
FAILURE_COST_S = 2.0
"""Cost of a failed call, in seconds of latency."""
DISTANCE_WEIGHT = 2.0
"""How much worse time between data centres is than time at an endpoint."""


class EndpointStats:
    """What an instance has seen of one endpoint."""

    def __init__(
        self, latency_s: float, gain: float = GAIN, fade_s: float = FADE_S
    ):
        """Starts with the service's usual latency.

        Args:
            latency_s: the usual latency.
            gain: weight of a new sample.
            fade_s: time after which what is known has faded to a third.
        """
        self._gain = gain
        self._fade_s = fade_s
        self._usual_s = latency_s
        self._latency_s = latency_s
        self._failures = 0.0
        self._at = 0.0
        self.in_progress = 0
        """Calls that this instance waits for."""

    def add_outcome(self, latency_s: float, failed: bool, now: float) -> None:
        """Takes the outcome of a call."""
        self._fade(now)
        self._failures += self._gain * (float(failed) - self._failures)
        if not failed:
            self._latency_s += self._gain * (latency_s - self._latency_s)

    def latency_s(self, now: float) -> float:
        """Returns the latency to expect."""
        self._fade(now)
        return self._latency_s

    def failure_share(self, now: float) -> float:
        """Returns the share of calls that fail."""
        self._fade(now)
        return self._failures

    def _fade(self, now: float) -> None:
        keep = math.exp(-max(0.0, now - self._at) / self._fade_s)
        self._failures *= keep
        self._latency_s = self._usual_s + keep * (
            self._latency_s - self._usual_s
        )
        self._at = max(self._at, now)


@attrs.frozen
class Candidate:
    """An endpoint that may take the call."""

    key: str
    slots: int
    one_way_s: float
    """Delay to its data centre."""
    warm_up_s: float
    record: EndpointStats


def cost_s(candidate: Candidate, now: float) -> float:
    """Returns the expected cost of a call, in seconds."""
    record = candidate.record
    latency_s = record.latency_s(now)
    crowding = (record.in_progress + 1) / max(1, candidate.slots)
    wait_s = latency_s * max(0.0, crowding - 0.5)
    way_s = 2 * candidate.one_way_s * DISTANCE_WEIGHT
    failing_s = record.failure_share(now) * FAILURE_COST_S
    warming_s = latency_s if candidate.warm_up_s > 0 else 0.0
    return latency_s + wait_s + way_s + failing_s + warming_s


def choose(candidates: Sequence[Candidate], now: float) -> Candidate | None:
    """Returns the candidate with the least expected cost."""
    if not candidates:
        return None
    return min(candidates, key=lambda each: (cost_s(each, now), each.key))
