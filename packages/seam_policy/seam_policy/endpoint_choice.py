"""Selects the endpoint for a call of a plain service.

Selects the endpoint with the lowest expected cost: its average latency scaled
by its calls in progress, the network round trip, and a penalty for failures.
The statistics decay towards the usual values, so that an endpoint that
was slow or failed is tried again. This handles load patterns in which one of
several endpoints becomes slow, or fails part of its calls while it reports
healthy, and load that shifts between data centres.
"""

from collections.abc import Sequence
import math

import attrs

GAIN = 0.15
"""Weight of a new sample of latency or failure."""
DECAY_S = 4.0
"""Time constant of the decay; about a third (1/e) remains after it."""
FAILURE_COST_S = 2.0
"""Cost of a failed call, in seconds of latency."""
DISTANCE_WEIGHT = 2.0
"""Weight of network time relative to time at an endpoint."""


class EndpointStats:
    """Latency and failure statistics of one endpoint at one instance."""

    def __init__(
        self, latency_s: float, gain: float = GAIN, decay_s: float = DECAY_S
    ):
        """Starts with the service's usual latency.

        Args:
            latency_s: the usual latency.
            gain: weight of a new sample.
            decay_s: time constant of the decay to the usual values.
        """
        self._gain = gain
        self._decay_s = decay_s
        self._usual_s = latency_s
        self._latency_s = latency_s
        self._failure_share = 0.0
        self._decayed_at = 0.0
        self.in_progress = 0
        """Calls of this instance that are in flight."""

    def add_outcome(self, latency_s: float, failed: bool, now: float) -> None:
        """Adds the outcome of a call; a failed one adds no latency sample."""
        self._decay(now)
        self._failure_share += self._gain * (
            float(failed) - self._failure_share
        )
        if not failed:
            self._latency_s += self._gain * (latency_s - self._latency_s)

    def latency_s(self, now: float) -> float:
        """Returns the expected latency."""
        self._decay(now)
        return self._latency_s

    def failure_share(self, now: float) -> float:
        """Returns the share of calls that fail."""
        self._decay(now)
        return self._failure_share

    def _decay(self, now: float) -> None:
        keep = math.exp(-max(0.0, now - self._decayed_at) / self._decay_s)
        self._failure_share *= keep
        self._latency_s = self._usual_s + keep * (
            self._latency_s - self._usual_s
        )
        self._decayed_at = max(self._decayed_at, now)


@attrs.frozen
class Candidate:
    """An endpoint that may take the call."""

    key: str
    slots: int
    one_way_s: float
    """One-way network delay to its data centre."""
    warm_up_s: float
    record: EndpointStats


def cost_s(candidate: Candidate, now: float) -> float:
    """Returns the expected cost of a call, in seconds."""
    record = candidate.record
    latency_s = record.latency_s(now)
    load = (record.in_progress + 1) / max(1, candidate.slots)
    wait_s = latency_s * max(0.0, load - 0.5)
    network_s = 2 * candidate.one_way_s * DISTANCE_WEIGHT
    failure_s = record.failure_share(now) * FAILURE_COST_S
    warm_up_s = latency_s if candidate.warm_up_s > 0 else 0.0
    return latency_s + wait_s + network_s + failure_s + warm_up_s


def choose(candidates: Sequence[Candidate], now: float) -> Candidate | None:
    """Returns the candidate with the least expected cost."""
    if not candidates:
        return None
    return min(candidates, key=lambda each: (cost_s(each, now), each.key))
