"""Budget that keeps retries a bounded share of the successes."""

DEFAULT_RATIO = 0.1
_DEFAULT_CAPACITY = 20.0
_DEFAULT_START = 5.0


class RetryBudget:
    """Token bucket that successes fill and retries and hedges empty."""

    def __init__(
        self,
        ratio: float = DEFAULT_RATIO,
        capacity: float = _DEFAULT_CAPACITY,
        start: float = _DEFAULT_START,
    ):
        """Starts with `start` retries allowed.

        Args:
            ratio: retries that one success pays for.
            capacity: most retries that can be saved up.
            start: retries allowed before the first success.
        """
        self._ratio = ratio
        self._capacity = capacity
        self._tokens = min(start, capacity)

    def configure(self, ratio: float) -> None:
        """Sets the retries that one success pays for."""
        self._ratio = ratio

    @property
    def allowed(self) -> int:
        """Whole retries that are allowed now."""
        return int(self._tokens)

    def record_success(self) -> None:
        """Pays in for one success."""
        self._tokens = min(self._capacity, self._tokens + self._ratio)

    def take(self) -> bool:
        """Takes one retry; returns False when the budget is empty."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
