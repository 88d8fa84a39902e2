"""Splits the engines of a service between the prefill and decode stages.

Selects the split with the highest rate of streams through both stages. This
handles services for which a fixed split would leave one stage half idle while
the other refuses requests.
"""

import math

import attrs

MAX_PREFILL_UTILIZATION = 0.9
"""Utilization of prefill engines above which prompts queue too long."""
MIN_ASSUMED_PREFILL_SHARE = 0.2
"""Share of prefill engines that is kept while the load is only assumed."""
MAX_KV_UTILIZATION = 0.8
"""Utilization of decode engines' KV memory above which streams are refused."""
MIN_RATE_GAIN = 1.05
"""Ratio of new to current rate from which an engine changes its stage."""


@attrs.frozen
class Workload:
    """Mean request size and the speed of the engines."""

    prompt_tokens: float
    output_tokens: float
    output_tokens_s: float
    """Output tokens per second of one stream."""
    prefill_tokens_s: float
    """Prompt tokens per second of one prefill engine."""


@attrs.frozen
class EngineSize:
    """Capacity of one decode engine."""

    slots: int
    kv_tokens: int


@attrs.frozen
class StageSplit:
    """Number of engines in each stage."""

    prefill: int
    decode: int

    @property
    def total(self) -> int:
        """Number of engines in both stages."""
        return self.prefill + self.decode


def decode_rate(count: int, size: EngineSize, load: Workload) -> float:
    """Returns the streams per second that some decode engines can serve."""
    mean_tokens = load.prompt_tokens + load.output_tokens / 2
    streams_per_engine = min(
        size.slots, MAX_KV_UTILIZATION * size.kv_tokens / mean_tokens
    )
    stream_s = load.output_tokens / load.output_tokens_s
    return count * streams_per_engine / stream_s


def rate(split: StageSplit, size: EngineSize, load: Workload) -> float:
    """Returns the streams per second that both stages can serve."""
    prefill_s = load.prompt_tokens / load.prefill_tokens_s
    prefill_rate = split.prefill * MAX_PREFILL_UTILIZATION / prefill_s
    return min(decode_rate(split.decode, size, load), prefill_rate)


def target_split(
    current: StageSplit, size: EngineSize, load: Workload, observed: bool = True
) -> StageSplit:
    """Returns the split to move to; the current one if the gain is too small.

    A stage without an engine always gets one. A single engine becomes a decode
    engine, because decode engines can also prefill prompts themselves. If the
    load is assumed rather than observed, some engines stay in each stage.
    """
    if current.total < 2:
        return StageSplit(0, current.total)
    min_prefill = 1
    if not observed:
        share = MIN_ASSUMED_PREFILL_SHARE * current.total
        min_prefill = min(math.ceil(share), current.total - 1)
    splits = [
        StageSplit(count, current.total - count)
        for count in range(min_prefill, current.total)
    ]
    best = max(
        splits, key=lambda split: (rate(split, size, load), split.prefill)
    )
    current_rate = rate(current, size, load)
    if rate(best, size, load) < current_rate * MIN_RATE_GAIN:
        return current
    return best
