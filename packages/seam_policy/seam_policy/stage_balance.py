"""How many engines of a service should prefill and how many decode.

The split that lets most streams a second through both stages. Answers the
load pattern of a service whose engines were split by a fixed share, so that
one stage stands half idle while the other turns requests away.
"""

import attrs

PREFILL_USE = 0.7
"""Use of the prefill engines above which prompts queue too long."""
MEMORY_USE = 0.8
"""Use of the decode engines' memory above which streams are refused."""
LEAST_GAIN = 1.05
"""Rise of the rate for which an engine changes its stage."""


@attrs.frozen
class Workload:
    """The usual request and how fast engines work on it."""

    prompt_tokens: float
    output_tokens: float
    output_tokens_s: float
    """Output tokens a second of one stream."""
    prefill_tokens_s: float
    """Prompt tokens a second of one prefill engine."""


@attrs.frozen
class EngineSize:
    """What one decode engine holds."""

    slots: int
    kv_tokens: int


@attrs.frozen
class StageSplit:
    """Engines of each stage."""

    prefill: int
    decode: int

    @property
    def total(self) -> int:
        """All engines."""
        return self.prefill + self.decode


def rate(split: StageSplit, size: EngineSize, load: Workload) -> float:
    """Returns the streams a second that both stages let through."""
    mean_tokens = load.prompt_tokens + load.output_tokens / 2
    places = min(size.slots, MEMORY_USE * size.kv_tokens / mean_tokens)
    stream_s = load.output_tokens / load.output_tokens_s
    decoded = split.decode * places / stream_s
    read_s = load.prompt_tokens / load.prefill_tokens_s
    prefilled = split.prefill * PREFILL_USE / read_s
    return min(decoded, prefilled)


def target_split(
    current: StageSplit, size: EngineSize, load: Workload
) -> StageSplit:
    """Returns the split to move towards; the current one if it will do.

    A stage that has no engine gets one, whatever else it costs. An engine that
    is alone decodes, as such engines read prompts themselves as well.
    """
    if current.total < 2:
        return StageSplit(0, current.total)
    every = [
        StageSplit(count, current.total - count)
        for count in range(1, current.total)
    ]
    best = max(
        every, key=lambda split: (rate(split, size, load), split.prefill)
    )
    before = rate(current, size, load)
    if rate(best, size, load) < before * LEAST_GAIN:
        return current
    return best
