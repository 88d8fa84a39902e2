"""Schedules when refused callers should retry.

Each refusal takes the next free time of a schedule whose steps are the time
in which one place becomes free for this instance. Callers thus return spread
out and about when there is room for them. This handles bursts, after which
all refused callers would otherwise return at once.
"""

MAX_SHARE = 0.33
"""Upper bound of Retry-After, as a share of the caller's remaining time.
Callers come back within a third of it at the latest."""
MIN_RETRY_AFTER_S = 0.8
"""Minimum delay; the burst that caused the refusal lasts at least this long."""


class RetryAfterSchedule:
    """Assigns a separate retry time to each refused caller."""

    def __init__(self, min_s: float = MIN_RETRY_AFTER_S) -> None:
        """Creates an empty schedule whose times are at least `min_s` away."""
        self._min_s = min_s
        self._next_at = float("-inf")

    def assign(
        self, now: float, step_s: float, most_s: float, wait_s: float = 0.0
    ) -> float:
        """Returns the seconds after which a caller should retry.

        Args:
            now: current time.
            step_s: time in which one place becomes free for this instance.
            most_s: longest time that the caller can wait.
            wait_s: time in which nothing becomes free.
        """
        at = max(now + max(self._min_s, wait_s), self._next_at)
        self._next_at = min(at + step_s, now + 2 * most_s)
        return max(0.0, min(at - now, most_s))
