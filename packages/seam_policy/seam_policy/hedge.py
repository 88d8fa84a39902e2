"""When to send an idempotent service call to a second endpoint.

Hedged requests after Dean and Barroso, "The Tail at Scale" (2013).
"""

import attrs

from seam_policy import estimate
from seam_policy import retry

_MIN_SAMPLES = 20
_LEAST_DELAY_S = 0.005


@attrs.frozen
class HedgeAt:
    """Send a second call after a delay if no answer came by then."""

    delay_s: float


class HedgePolicy:
    """Delays hedges to about the p95 of the answers' latency."""

    def __init__(self, budget: retry.RetryBudget, initial_s: float = 0.1):
        """Shares a budget with retries.

        Args:
            budget: pays for each hedge that is sent.
            initial_s: latency to expect until there are samples.
        """
        self._budget = budget
        self._latency = estimate.Ewma(initial_s)

    def record_latency(self, seconds: float) -> None:
        """Takes the latency of a call that succeeded."""
        self._latency.add(seconds)

    def plan(
        self, idempotent: bool, endpoints: int, deadline_s: float
    ) -> HedgeAt | None:
        """Returns when to hedge a call that starts now, if at all.

        Args:
            idempotent: whether the call may run twice; never hedged if not.
            endpoints: endpoints that could take the call.
            deadline_s: time left for the answer.
        """
        if not idempotent or endpoints < 2:
            return None
        if self._latency.samples < _MIN_SAMPLES:
            return None
        delay_s = max(_LEAST_DELAY_S, self._latency.high())
        if delay_s + self._latency.value > deadline_s:
            return None
        return HedgeAt(delay_s)

    def take(self) -> bool:
        """Pays for a hedge whose delay has passed; False sends none."""
        return self._budget.take()
