"""Moving estimates of rates, delays and their spread."""

import math

_DEFAULT_GAIN = 0.125
_DEFAULT_SPREAD_GAIN = 0.25
_P95_SPREADS = 2.0
_PEAK_RISE_GAIN = 0.5
_PEAK_FALL_GAIN = 0.01


class Ewma:
    """Exponentially weighted mean and mean absolute deviation.

    The pair follows the round-trip estimator of RFC 6298.
    """

    def __init__(
        self,
        initial: float,
        gain: float = _DEFAULT_GAIN,
        spread: float = 0.0,
    ):
        """Starts at `initial`, which the first sample replaces.

        Args:
            initial: value until there is a sample, in the samples' unit.
            gain: weight of a new sample, in (0, 1].
            spread: deviation until there is a sample.
        """
        self.value = initial
        self.spread = spread
        self.samples = 0
        self._gain = gain

    def add(self, sample: float) -> None:
        """Takes a sample; one that is not finite is ignored."""
        if not math.isfinite(sample):
            return
        self.samples += 1
        if self.samples == 1:
            self.value = sample
            self.spread = max(self.spread, abs(sample) / 2)
            return
        error = sample - self.value
        self.value += self._gain * error
        self.spread += _DEFAULT_SPREAD_GAIN * (abs(error) - self.spread)

    def high(self, spreads: float = _P95_SPREADS) -> float:
        """Returns the mean plus some deviations; 2 is near the p95."""
        return self.value + spreads * self.spread


class RateEstimate:
    """Estimates a rate, in units a second, from work and its duration."""

    def __init__(self, initial: float, gain: float = _DEFAULT_GAIN):
        """Starts at `initial` units a second, which must be positive."""
        self._seconds_per_unit = Ewma(1.0 / initial, gain)

    @property
    def rate(self) -> float:
        """Units a second."""
        return 1.0 / self._seconds_per_unit.value

    def add(self, units: float, seconds: float) -> None:
        """Takes one finished piece of work."""
        if units > 0 and seconds > 0:
            self._seconds_per_unit.add(seconds / units)

    def time_for(self, units: float) -> float:
        """Returns the expected seconds for an amount of work."""
        return max(0.0, units) * self._seconds_per_unit.value


class PeakRate:
    """Estimates the rate of an engine from work that may have waited.

    The time of a piece of work includes its wait behind others, so the fastest
    pieces tell most: a faster sample counts much, a slower one little.
    """

    def __init__(self, initial: float):
        """Starts at `initial` units a second, which the first sample replaces.

        Args:
            initial: rate until there is a sample; positive.
        """
        self.rate = initial
        self._samples = 0

    def add(self, units: float, seconds: float) -> None:
        """Takes one finished piece of work."""
        if units <= 0 or seconds <= 0:
            return
        sample = units / seconds
        self._samples += 1
        if self._samples == 1:
            self.rate = sample
            return
        gain = _PEAK_RISE_GAIN if sample > self.rate else _PEAK_FALL_GAIN
        self.rate += gain * (sample - self.rate)


class EngineEstimates:
    """What is known of the speed of one engine and of its links."""

    def __init__(
        self,
        prefill_tokens_s: float = 8000.0,
        transfer_bytes_s: float = 1e9,
        per_token_s: float = 0.03,
    ):
        """Takes the values to use until there are samples."""
        self.prefill = RateEstimate(prefill_tokens_s)
        """Prefill rate in tokens a second."""
        self.transfer = RateEstimate(transfer_bytes_s)
        """Transfer rate in bytes a second."""
        self.per_token = Ewma(per_token_s)
        """Seconds between output tokens."""
        self.queue_delay = Ewma(0.0)
        """Seconds that work waits before it starts."""

    def prefill_s(self, tokens: int, backlog_tokens: int = 0) -> float:
        """Returns the expected seconds until a prefill has ended."""
        work = self.prefill.time_for(tokens + backlog_tokens)
        return self.queue_delay.value + work


class ArrivalRate:
    """Estimates arrivals a second with exponential decay."""

    def __init__(self, window_s: float):
        """Averages over about `window_s` seconds."""
        self._window_s = window_s
        self._mass = 0.0
        self._at = -math.inf

    def add(self, now: float) -> None:
        """Counts one arrival."""
        self._mass = self._decayed(now) + 1.0
        self._at = max(self._at, now)

    def rate(self, now: float) -> float:
        """Returns arrivals a second."""
        return self._decayed(now) / self._window_s

    def _decayed(self, now: float) -> float:
        if self._mass == 0.0:
            return 0.0
        return self._mass * math.exp(-max(0.0, now - self._at) / self._window_s)
