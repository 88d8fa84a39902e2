"""Schedules when refused callers should retry.

Each refusal takes the next free time of a schedule whose steps are the time
in which one slot becomes free for this instance. The retries are thus spread
out and arrive about when there is capacity for them. This handles bursts,
after which all refused callers would otherwise return at once.
"""

MIN_RETRY_AFTER_S = 0.8
"""Minimum delay; the burst that caused the refusal lasts at least this long."""


class RetryAfterSchedule:
    """Assigns a separate retry time to each refused caller."""

    def __init__(self) -> None:
        """Creates an empty schedule."""
        self._next_free_at = float("-inf")

    def assign(self, now: float, step_s: float, max_s: float) -> float:
        """Returns the seconds after which a caller should retry.

        Args:
            now: current time.
            step_s: time in which one slot becomes free for this instance.
            max_s: longest time that the caller can wait.
        """
        return_at = max(now + MIN_RETRY_AFTER_S, self._next_free_at)
        self._next_free_at = min(return_at + step_s, now + 2 * max_s)
        return max(0.0, min(return_at - now, max_s))
