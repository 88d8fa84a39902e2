"""Adaptive limit of concurrent streams by observed token latency.

Additive increase, multiplicative decrease (Chiu and Jain, 1989).
"""

from seam_policy import estimate

_DECREASE_FACTOR = 0.9
_INCREASE_SLOTS = 1.0
_RISE_BELOW_SHARE = 0.95


class AdaptiveLimit:
    """Slots that may be used: fewer when tokens come too slowly."""

    def __init__(
        self,
        slots: int,
        min_slots: int,
        target_s: float,
        interval_s: float,
    ):
        """Starts with all slots.

        Args:
            slots: slots that the engine has.
            min_slots: never fewer than these, nor more than `slots`.
            target_s: wanted seconds between tokens; 0 turns adaptation off.
            interval_s: least time between two changes.
        """
        self._slots = slots
        self._min = min(max(1, min_slots), slots)
        self._target_s = target_s
        self._interval_s = interval_s
        self._limit = float(slots)
        self._changed_at: float | None = None
        self.per_token = estimate.Ewma(target_s or 0.03, gain=0.25)
        """Seconds between tokens."""

    @property
    def usable(self) -> int:
        """Whole slots that may be used now."""
        return int(self._limit)

    def add(self, per_token_s: float, in_use: int, now: float) -> None:
        """Takes a sample, with the slots that were in use."""
        if per_token_s <= 0:
            return
        self.per_token.add(per_token_s)
        if self._target_s <= 0 or not self._is_due(now):
            return
        observed = self.per_token.value
        if observed > self._target_s:
            lowered = self._limit * _DECREASE_FACTOR
            self._set(max(self._min, lowered), now)
        elif observed <= self._target_s * _RISE_BELOW_SHARE:
            self._rise(in_use, now)

    def _rise(self, in_use: int, now: float) -> None:
        # An engine that is not filled proves nothing about a higher limit.
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
