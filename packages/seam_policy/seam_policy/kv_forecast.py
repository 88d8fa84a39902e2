"""Forecasts the KV cache memory that a decode engine's streams will need.

A stream holds its prompt and its generated tokens, and frees all of them when
it ends. Output lengths are known only roughly, so the forecast sums the mean
and the variance of the demand at a few times ahead. Reserving the maximum
output of each stream instead would leave half of the memory empty; reserving
only prompts would cause streams to be preempted midway. This handles bursts,
in which no decode slot may be wasted.
"""

import math

import attrs

HORIZONS_S = (0.0, 0.6, 1.2, 2.0, 3.0)
"""Times ahead for which the demand is forecast."""
LOG_LENGTH_SIGMA = 0.38
"""Standard deviation of the log of an output's length about its estimate."""
MARGIN_DEVIATIONS = 2.0
"""Standard deviations of the demand that are kept free as a margin."""
_SQRT_2 = math.sqrt(2.0)


@attrs.frozen
class StreamSize:
    """Token counts of a stream that are known when it starts."""

    prompt_tokens: int
    expected_tokens: int
    """Expected output tokens."""
    max_tokens: int
    """Maximum output tokens."""


@attrs.frozen
class Demand:
    """Mean and variance of the memory demand at one time, in tokens."""

    mean: float
    variance: float

    def __add__(self, other: "Demand") -> "Demand":
        """Returns the sum; streams end independently, so variances add up."""
        return Demand(self.mean + other.mean, self.variance + other.variance)

    def interpolate(self, other: "Demand", share: float) -> "Demand":
        """Returns the demand interpolated towards `other` by `share`."""
        return Demand(
            self.mean + share * (other.mean - self.mean),
            self.variance + share * (other.variance - self.variance),
        )

    def upper_bound(self) -> float:
        """Returns a demand that is rarely exceeded."""
        return self.mean + MARGIN_DEVIATIONS * math.sqrt(self.variance)


NO_DEMAND = tuple(Demand(0.0, 0.0) for _ in HORIZONS_S)


@attrs.frozen
class DemandProfile:
    """Slots and memory demand of a set of streams at one engine."""

    slots: int = 0
    demands: tuple[Demand, ...] = NO_DEMAND

    def __add__(self, other: "DemandProfile") -> "DemandProfile":
        """Returns the sum of both profiles."""
        pairs = zip(self.demands, other.demands, strict=True)
        return DemandProfile(
            self.slots + other.slots, tuple(a + b for a, b in pairs)
        )

    def aged(self, age_s: float) -> "DemandProfile":
        """Returns the profile from now on of a forecast that is `age_s` old."""
        return DemandProfile(
            self.slots,
            tuple(self._at(horizon_s + age_s) for horizon_s in HORIZONS_S),
        )

    def _at(self, horizon_s: float) -> Demand:
        """Returns the demand at a time ahead, interpolated between horizons."""
        for index in range(1, len(HORIZONS_S)):
            start_s, end_s = HORIZONS_S[index - 1], HORIZONS_S[index]
            if horizon_s <= end_s:
                share = (horizon_s - start_s) / (end_s - start_s)
                return self.demands[index - 1].interpolate(
                    self.demands[index], share
                )
        return self.demands[-1]

    def peak(self) -> float:
        """Returns the highest demand to plan for, in tokens."""
        return max(demand.upper_bound() for demand in self.demands)


def mean_tokens(expected_tokens: float) -> float:
    """Returns the mean length of outputs with an expected (median) length."""
    return expected_tokens * math.exp(LOG_LENGTH_SIGMA**2 / 2)


def _survival(tokens: float, size: StreamSize) -> float:
    """Returns the probability that an output is longer than `tokens`."""
    if tokens >= size.max_tokens:
        return 0.0
    if tokens <= 0:
        return 1.0
    ratio = math.log(tokens / max(1, size.expected_tokens))
    return 0.5 * math.erfc(ratio / (LOG_LENGTH_SIGMA * _SQRT_2))


def stream_demand(
    size: StreamSize, generated_tokens: float, tokens_s: float
) -> tuple[Demand, ...]:
    """Returns the demand of one stream at each horizon.

    Args:
        size: token counts of the stream.
        generated_tokens: output tokens generated so far.
        tokens_s: output tokens per second.
    """
    survived = _survival(generated_tokens, size) or 1e-9
    demands = []
    for horizon_s in HORIZONS_S:
        generated = generated_tokens + horizon_s * tokens_s
        share = (
            min(1.0, _survival(generated, size) / survived)
            if horizon_s
            else 1.0
        )
        held_tokens = size.prompt_tokens + generated
        demands.append(
            Demand(
                held_tokens * share,
                held_tokens * held_tokens * share * (1 - share),
            )
        )
    return tuple(demands)


@attrs.define
class _Stream:
    size: StreamSize
    starts_at: float


class EngineForecast:
    """Forecast for the streams of one instance at one decode engine."""

    def __init__(self, tokens_s: float):
        """Takes the output rate of one stream, in tokens per second."""
        self._streams: dict[str, _Stream] = {}
        self.tokens_s = tokens_s

    def __len__(self) -> int:
        """Returns the number of streams."""
        return len(self._streams)

    def add(self, key: str, size: StreamSize, now: float) -> None:
        """Adds a stream that is about to start."""
        self._streams[key] = _Stream(size, now)

    def remove(self, key: str) -> None:
        """Removes a stream that has ended."""
        del self._streams[key]

    def profile(self, now: float) -> DemandProfile:
        """Returns the demand of all streams from now on."""
        total = DemandProfile()
        for stream in self._streams.values():
            generated = max(0.0, now - stream.starts_at) * self.tokens_s
            demands = stream_demand(stream.size, generated, self.tokens_s)
            total = total + DemandProfile(1, demands)
        return total
