"""How much KV cache memory the streams of a decode engine will need.

A stream holds its prompt and what it has generated, and frees all of it when
it ends. How long it gets is known only roughly, so the forecast adds up the
expected need at a few moments ahead, and its variance, as streams end by
chance. Reserving each stream's longest output instead would leave half of the
memory empty; reserving prompts alone would have streams preempted in the
middle. Answers the load pattern of a burst, in which each place counts.
"""

import math

import attrs

HORIZONS_S = (0.0, 0.6, 1.2, 2.0, 3.0)
"""Times ahead for which the need is forecast."""
LENGTH_SIGMA = 0.38
"""Spread of the logarithm of an output's length around its estimate."""
DEVIATIONS = 2.5
"""Standard deviations of the need that are kept free."""
_SQRT_2 = math.sqrt(2.0)


@attrs.frozen
class StreamSize:
    """What is known of a stream when it starts."""

    prompt_tokens: int
    likely_tokens: int
    """Output tokens that the caller expects."""
    max_tokens: int
    """Most output tokens."""


@attrs.frozen
class Demand:
    """Expected need at one moment, in tokens, and its variance."""

    mean: float
    variance: float

    def __add__(self, other: "Demand") -> "Demand":
        """Returns the need of both; streams end independently."""
        return Demand(self.mean + other.mean, self.variance + other.variance)

    def towards(self, other: "Demand", share: float) -> "Demand":
        """Returns the need at a share of the way to another."""
        return Demand(
            self.mean + share * (other.mean - self.mean),
            self.variance + share * (other.variance - self.variance),
        )

    def high(self) -> float:
        """Returns a need that is seldom passed."""
        return self.mean + DEVIATIONS * math.sqrt(self.variance)


NO_DEMAND = tuple(Demand(0.0, 0.0) for _ in HORIZONS_S)


@attrs.frozen
class DemandProfile:
    """The need of some streams of one engine."""

    slots: int = 0
    demands: tuple[Demand, ...] = NO_DEMAND

    def __add__(self, other: "DemandProfile") -> "DemandProfile":
        """Returns the need of both."""
        pairs = zip(self.demands, other.demands, strict=True)
        return DemandProfile(
            self.slots + other.slots, tuple(a + b for a, b in pairs)
        )

    def aged(self, age_s: float) -> "DemandProfile":
        """Returns what a forecast made some time ago says of now."""
        return DemandProfile(
            self.slots,
            tuple(self._at(moment_s + age_s) for moment_s in HORIZONS_S),
        )

    def _at(self, moment_s: float) -> Demand:
        """Returns the need between two moments of the forecast."""
        for index in range(1, len(HORIZONS_S)):
            start_s, end_s = HORIZONS_S[index - 1], HORIZONS_S[index]
            if moment_s <= end_s:
                share = (moment_s - start_s) / (end_s - start_s)
                return self.demands[index - 1].towards(
                    self.demands[index], share
                )
        return self.demands[-1]

    def peak(self) -> float:
        """Returns the highest need that is to be reckoned with, in tokens."""
        return max(need.high() for need in self.demands)


def _tail(tokens: float, size: StreamSize) -> float:
    """Returns the chance that an output gets longer than `tokens`."""
    if tokens >= size.max_tokens:
        return 0.0
    if tokens <= 0:
        return 1.0
    ratio = math.log(tokens / max(1, size.likely_tokens))
    return 0.5 * math.erfc(ratio / (LENGTH_SIGMA * _SQRT_2))


def stream_demand(
    size: StreamSize, made_tokens: float, tokens_s: float
) -> tuple[Demand, ...]:
    """Returns the need of one stream at each moment.

    Args:
        size: what is known of the stream.
        made_tokens: output tokens that it has made by now.
        tokens_s: output tokens that it makes a second.
    """
    lives = _tail(made_tokens, size) or 1e-9
    found = []
    for moment_s in HORIZONS_S:
        made = made_tokens + moment_s * tokens_s
        share = min(1.0, _tail(made, size) / lives) if moment_s else 1.0
        held = size.prompt_tokens + made
        found.append(Demand(held * share, held * held * share * (1 - share)))
    return tuple(found)


@attrs.define
class _Stream:
    size: StreamSize
    starts_at: float


class EngineForecast:
    """The streams that one instance has at one decode engine."""

    def __init__(self, tokens_s: float):
        """Takes the usual output rate of one stream, in tokens a second."""
        self._streams: dict[str, _Stream] = {}
        self.tokens_s = tokens_s

    def __len__(self) -> int:
        """Returns the number of streams."""
        return len(self._streams)

    def add(self, key: str, size: StreamSize, now: float) -> None:
        """Adds a stream that is about to start."""
        self._streams[key] = _Stream(size, now)

    def remove(self, key: str) -> None:
        """Takes a stream out that has ended."""
        del self._streams[key]

    def profile(self, now: float) -> DemandProfile:
        """Returns the need of all streams from now on."""
        total = DemandProfile()
        for stream in self._streams.values():
            made = max(0.0, now - stream.starts_at) * self.tokens_s
            found = stream_demand(stream.size, made, self.tokens_s)
            total = total + DemandProfile(1, found)
        return total
