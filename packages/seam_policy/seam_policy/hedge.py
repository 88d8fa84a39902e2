"""Decides when to send an idempotent service call to a second endpoint.

Hedged requests after Dean and Barroso, "The Tail at Scale" (2013).
"""

import attrs

from seam_policy import estimate
from seam_policy import retry

_MIN_SAMPLES = 20
_MIN_DELAY_S = 0.005


@attrs.frozen
class HedgeAt:
    """Plan to send a second call if no answer arrives within a delay."""

    delay_s: float


class HedgePolicy:
    """Delays hedged calls to about the p95 of the response latency."""

    def __init__(self, budget: retry.RetryBudget, initial_s: float = 0.1):
        """Uses a budget that may be shared with retries.

        Args:
            budget: charged for each hedge that is sent.
            initial_s: expected latency before the first sample.
        """
        self._budget = budget
        self._latency = estimate.Ewma(initial_s)

    def record_latency(self, seconds: float) -> None:
        """Adds the latency of a successful call."""
        self._latency.add(seconds)

    def plan(
        self, idempotent: bool, endpoints: int, deadline_s: float
    ) -> HedgeAt | None:
        """Returns when to hedge a call that starts now; None for never.

        Args:
            idempotent: whether the call may run twice; others are not hedged.
            endpoints: number of endpoints that can take the call.
            deadline_s: time left for the answer.
        """
        if not idempotent or endpoints < 2:
            return None
        if self._latency.samples < _MIN_SAMPLES:
            return None
        delay_s = max(_MIN_DELAY_S, self._latency.high())
        if delay_s + self._latency.value > deadline_s:
            return None
        return HedgeAt(delay_s)

    def take(self) -> bool:
        """Charges the budget for a due hedge; False means do not send it."""
        return self._budget.take()
