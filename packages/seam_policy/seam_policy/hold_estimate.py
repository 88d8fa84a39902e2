"""Estimates how long the streams of one engine hold their slots.

It learns from the streams that ended: how long they were compared with what
was expected, how fast the engine generates, and by how much they started late.
"""

from seam_policy import concurrency
from seam_policy import estimate
from seam_policy import slot_requests

_MIN_TOKEN_RATIO = 0.02
_MAX_TOKEN_RATIO = 1.5
_MIN_SAMPLES = 10
_MIN_HOLD_S = 0.01
_INITIAL_TOKENS = 256.0


class HoldEstimate:
    """Expected hold times, and the number of slots that they allow."""

    def __init__(self, limits: slot_requests.LedgerLimits):
        """Starts with the configured speed of the engine."""
        self._limits = limits
        self._limit = _adaptive_limit(limits)
        self._limit.per_token.value = limits.per_token_s
        self._token_ratio = estimate.Ewma(1.0)
        self._typical_tokens = estimate.Ewma(_INITIAL_TOKENS)
        self._start_delay = estimate.Ewma(0.0)
        """Seconds by which streams start later than expected."""

    def configure(self, limits: slot_requests.LedgerLimits) -> None:
        """Applies new limits; what was learned is kept."""
        per_token = self._limit.per_token
        self._limits = limits
        self._limit = _adaptive_limit(limits)
        self._limit.per_token = per_token

    @property
    def usable(self) -> int:
        """Number of slots that may be used at the observed speed."""
        return self._limit.usable

    @property
    def per_token_s(self) -> float:
        """Observed time per output token."""
        return self._limit.per_token.value

    def typical_expected_tokens(self) -> int:
        """Returns the expected tokens of a stream of typical length."""
        ratio = max(_MIN_TOKEN_RATIO, self._token_ratio.value)
        return max(1, round(self._typical_tokens.value / ratio))

    def stream_s(self, tokens: float, deviations: float = 0.0) -> float:
        """Returns the duration of a stream with some expected tokens."""
        ratio = self._token_ratio.high(deviations)
        ratio = min(_MAX_TOKEN_RATIO, max(_MIN_TOKEN_RATIO, ratio))
        return tokens * ratio * self.per_token_s

    def mean_s(self) -> float:
        """Returns the mean time for which a slot is held."""
        return max(_MIN_HOLD_S, self._typical_tokens.value * self.per_token_s)

    def is_predictable(self) -> bool:
        """Returns whether stream ends are predictable enough to grant early."""
        if self._token_ratio.samples < _MIN_SAMPLES:
            return False
        spread_tokens = self._token_ratio.spread * self._typical_tokens.value
        return spread_tokens * self.per_token_s <= self._limits.max_lead_s

    def late_end_at(self, starts_at: float, tokens: int) -> float:
        """Returns the time by which a stream has ended in most cases."""
        started_at = starts_at + self._start_delay.high(1.0)
        return started_at + self.stream_s(tokens, deviations=1.0)

    def add_speed(self, per_token_s: float, in_use: int, now: float) -> None:
        """Adds the speed of a stream that ended beside some others."""
        self._limit.add(per_token_s, in_use, now)

    def add_length(self, tokens: int) -> None:
        """Adds the length of a stream that ended."""
        self._typical_tokens.add(float(tokens))

    def add_forecast(
        self, tokens: int, expected_tokens: int, start_delay_s: float | None
    ) -> None:
        """Adds how the forecast of a stream compares with what it did."""
        self._token_ratio.add(tokens / expected_tokens)
        if start_delay_s is not None:
            self._start_delay.add(start_delay_s)


def _adaptive_limit(
    limits: slot_requests.LedgerLimits,
) -> concurrency.AdaptiveLimit:
    return concurrency.AdaptiveLimit(
        limits.slots,
        limits.min_slots,
        limits.per_token_target_s,
        limits.adapt_interval_s,
    )
