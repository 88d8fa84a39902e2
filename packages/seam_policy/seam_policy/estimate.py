"""Online estimators of means, deviations and rates."""

import collections
from collections.abc import Iterable
import math
import statistics

import attrs

_DEFAULT_GAIN = 0.125
_SPREAD_GAIN = 0.25
_P95_DEVIATIONS = 2.0
_MEDIAN_SAMPLES = 15
_PEAK_INCREASE_GAIN = 0.5
_PEAK_DECREASE_GAIN = 0.01


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
            initial: value before the first sample, in the samples' unit.
            gain: weight of a new sample, in (0, 1].
            spread: mean absolute deviation before the first sample.
        """
        self.value = initial
        self.spread = spread
        self.samples = 0
        self._gain = gain

    def add(self, sample: float) -> None:
        """Adds a sample; a non-finite one is ignored."""
        if not math.isfinite(sample):
            return
        self.samples += 1
        if self.samples == 1:
            self.value = sample
            self.spread = max(self.spread, abs(sample) / 2)
            return
        error = sample - self.value
        self.value += self._gain * error
        self.spread += _SPREAD_GAIN * (abs(error) - self.spread)

    def high(self, deviations: float = _P95_DEVIATIONS) -> float:
        """Returns the mean plus some deviations; 2 is about the p95."""
        return self.value + deviations * self.spread


@attrs.frozen
class Mean:
    """A mean and the number of samples that it stands for."""

    value: float = 0.0
    weight: float = 0.0


NO_SAMPLES = Mean()


class RunningMean:
    """Mean of the first samples; later ones are weighted exponentially.

    Unlike `Ewma` it is close to the true mean after a few samples.
    """

    def __init__(self, gain: float):
        """Starts without samples; `gain` is the weight of a late sample."""
        self._max_weight = 1.0 / gain
        self.mean = Mean()

    def add(self, sample: float) -> None:
        """Adds a sample; a non-finite one is ignored."""
        if not math.isfinite(sample):
            return
        weight = min(self.mean.weight + 1, self._max_weight)
        value = self.mean.value
        self.mean = Mean(value + (sample - value) / weight, weight)


def pooled_mean(means: Iterable[Mean], expected: float) -> float:
    """Returns the weighted mean of several means.

    `expected` counts as one sample, so that it matters only at the start.
    """
    total, weight = expected, 1.0
    for each in means:
        total += each.value * each.weight
        weight += each.weight
    return total / weight


class RateEstimate:
    """Estimates a rate, in units per second, from work and its duration."""

    def __init__(self, initial: float, gain: float = _DEFAULT_GAIN):
        """Starts at `initial` units per second, which must be positive."""
        self._seconds_per_unit = Ewma(1.0 / initial, gain)

    @property
    def rate(self) -> float:
        """The estimated rate, in units per second."""
        return 1.0 / self._seconds_per_unit.value

    def add(self, units: float, seconds: float) -> None:
        """Adds a sample of one completed piece of work."""
        if units > 0 and seconds > 0:
            self._seconds_per_unit.add(seconds / units)

    def time_for(self, units: float) -> float:
        """Returns the expected duration of an amount of work, in seconds."""
        return max(0.0, units) * self._seconds_per_unit.value


class PeakRate:
    """Estimates the rate of an engine from work that may have queued.

    The measured time of a piece of work includes its wait behind others, so the
    fastest samples are the most accurate: a sample above the estimate gets a
    high weight, one below it a low weight.
    """

    def __init__(self, initial: float):
        """Starts at `initial` units per second; the first sample replaces it.

        Args:
            initial: rate before the first sample; must be positive.
        """
        self.rate = initial
        self._samples = 0

    def add(self, units: float, seconds: float) -> None:
        """Adds a sample of one completed piece of work."""
        if units <= 0 or seconds <= 0:
            return
        sample = units / seconds
        self._samples += 1
        if self._samples == 1:
            self.rate = sample
            return
        gain = (
            _PEAK_INCREASE_GAIN if sample > self.rate else _PEAK_DECREASE_GAIN
        )
        self.rate += gain * (sample - self.rate)


class MedianRate:
    """Median rate of the latest pieces of work.

    Single pieces may be much faster, as a part of their result was cached, or
    slower, as they queued.
    """

    def __init__(self, initial: float):
        """Starts at `initial` units per second until the first sample."""
        self._samples: collections.deque[float] = collections.deque(
            maxlen=_MEDIAN_SAMPLES
        )
        self.rate = initial
        self._count = 0

    def __len__(self) -> int:
        """Returns the number of samples since the start."""
        return self._count

    def add(self, units: float, seconds: float) -> None:
        """Adds a sample of one completed piece of work."""
        if units <= 0 or seconds <= 0:
            return
        self._count += 1
        self._samples.append(units / seconds)
        self.rate = statistics.median(self._samples)

    def mean(self) -> Mean:
        """Returns the rate and the number of samples since the start."""
        return Mean(self.rate, self._count)


class EngineEstimates:
    """Speed estimates of one engine and its links."""

    def __init__(
        self,
        prefill_tokens_s: float = 8000.0,
        transfer_bytes_s: float = 1e9,
        per_token_s: float = 0.03,
    ):
        """Takes the values to use before the first samples."""
        self.prefill = RateEstimate(prefill_tokens_s)
        """Prefill rate in tokens per second."""
        self.transfer = RateEstimate(transfer_bytes_s)
        """Transfer rate in bytes per second."""
        self.per_token = Ewma(per_token_s)
        """Seconds between output tokens."""
        self.queue_delay = Ewma(0.0)
        """Seconds that work queues before it starts."""

    def prefill_s(self, tokens: int, backlog_tokens: int = 0) -> float:
        """Returns the expected seconds until a prefill completes."""
        work = self.prefill.time_for(tokens + backlog_tokens)
        return self.queue_delay.value + work


class ArrivalRate:
    """Estimates arrivals per second with exponential decay."""

    def __init__(self, window_s: float):
        """Starts without arrivals; `window_s` is the decay time constant."""
        self._window_s = window_s
        self._weighted_count = 0.0
        self._updated_at = -math.inf

    def add(self, now: float) -> None:
        """Adds one arrival."""
        self._weighted_count = self._decayed(now) + 1.0
        self._updated_at = max(self._updated_at, now)

    def rate(self, now: float) -> float:
        """Returns the arrivals per second."""
        return self._decayed(now) / self._window_s

    def _decayed(self, now: float) -> float:
        if self._weighted_count == 0.0:
            return 0.0
        return self._weighted_count * math.exp(
            -max(0.0, now - self._updated_at) / self._window_s
        )
