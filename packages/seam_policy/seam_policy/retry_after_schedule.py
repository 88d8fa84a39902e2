"""When a refused caller is told to come back.

Each refusal takes the next free moment of a schedule whose steps are the time
in which one place becomes free for this instance. Callers thus return spread
out and about when there is room for them. Answers the load pattern of a
burst, after which all refused callers would return at once.
"""

LEAST_S = 0.8
"""Shortest time; the burst that led to the refusal lasts at least that."""


class RetryAfterSchedule:
    """Gives each refused caller a time of its own."""

    def __init__(self) -> None:
        """Starts with nobody told to return."""
        self._next_at = float("-inf")

    def assign(self, now: float, step_s: float, most_s: float) -> float:
        """Returns in how many seconds a caller should be back.

        Args:
            now: the time.
            step_s: time in which one place becomes free for this instance.
            most_s: longest time that the caller can wait.
        """
        at = max(now + LEAST_S, self._next_at)
        self._next_at = min(at + step_s, now + 2 * most_s)
        return max(0.0, min(at - now, most_s))
