"""Retry budget that bounds retries to a share of the successes."""

DEFAULT_RATIO = 0.1
_DEFAULT_CAPACITY = 20.0
_DEFAULT_START = 5.0


class RetryBudget:
    """Token bucket filled by successes and drained by retries and hedges."""

    def __init__(
        self,
        ratio: float = DEFAULT_RATIO,
        capacity: float = _DEFAULT_CAPACITY,
        start: float = _DEFAULT_START,
    ):
        """Starts with `start` retries allowed.

        Args:
            ratio: tokens that one success adds; a retry takes one token.
            capacity: maximum number of accumulated retries.
            start: retries allowed before the first success.
        """
        self._ratio = ratio
        self._capacity = capacity
        self._tokens = min(start, capacity)

    def configure(self, ratio: float) -> None:
        """Sets the tokens that one success adds."""
        self._ratio = ratio

    @property
    def allowed(self) -> int:
        """Number of retries that are allowed now."""
        return int(self._tokens)

    def record_success(self) -> None:
        """Adds tokens for one success."""
        self._tokens = min(self._capacity, self._tokens + self._ratio)

    def take(self) -> bool:
        """Takes one token; returns False if the budget is exhausted."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
