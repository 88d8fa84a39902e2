"""Adaptive limit on concurrent streams, from the observed token latency.

Additive increase, multiplicative decrease (Chiu and Jain, 1989).
"""

from seam_policy import estimate

_DECREASE_FACTOR = 0.9
_INCREASE_SLOTS = 1.0
_INCREASE_BELOW_RATIO = 0.95


class AdaptiveLimit:
    """Limits the usable slots, lowering them when tokens arrive too slowly."""

    def __init__(
        self,
        slots: int,
        min_slots: int,
        target_s: float,
        interval_s: float,
    ):
        """Creates a limit that allows all slots.

        Args:
            slots: slots of the engine.
            min_slots: lower bound of the limit, capped at `slots`.
            target_s: target seconds between tokens; 0 disables adaptation.
            interval_s: minimum time between two changes.
        """
        self._slots = slots
        self._min_slots = min(max(1, min_slots), slots)
        self._target_s = target_s
        self._interval_s = interval_s
        self._limit = float(slots)
        self._changed_at: float | None = None
        self.per_token = estimate.Ewma(target_s or 0.03, gain=0.25)
        """Moving average of the seconds between tokens."""

    @property
    def usable(self) -> int:
        """The current limit, in whole slots."""
        return int(self._limit)

    def add(self, per_token_s: float, in_use: int, now: float) -> None:
        """Adds a latency sample, taken with `in_use` slots in use."""
        if per_token_s <= 0:
            return
        self.per_token.add(per_token_s)
        if self._target_s <= 0 or not self._is_due(now):
            return
        observed = self.per_token.value
        if observed > self._target_s:
            lowered = self._limit * _DECREASE_FACTOR
            self._set(max(self._min_slots, lowered), now)
        elif observed <= self._target_s * _INCREASE_BELOW_RATIO:
            self._increase(in_use, now)

    def _increase(self, in_use: int, now: float) -> None:
        # With spare slots, low latency does not show that more are safe.
        if in_use + 1 < self.usable:
            return
        raised = self._limit + _INCREASE_SLOTS
        self._set(min(float(self._slots), raised), now)

    def _is_due(self, now: float) -> bool:
        if self._changed_at is None:
            return True
        return now - self._changed_at >= self._interval_s

    def _set(self, limit: float, now: float) -> None:
        self._limit = limit
        self._changed_at = now
