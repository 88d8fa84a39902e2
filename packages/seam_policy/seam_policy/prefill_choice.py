"""Which prefill engine computes a prompt.

The one that is expected to end first. Prompts queue there one after the other,
so the prompts that all instances sent there lately count; what they need is
taken off as time passes, so that no message is needed when a prefill ends.
Answers the load pattern of a large fleet in which each instance sends few
prompts, and all would choose the same idle engine.
"""

from collections.abc import Sequence

import attrs

from seam_policy import estimate

INITIAL_TOKENS_PER_S = 40_000.0
FAILURE_COST_S = 1.0
"""Cost of a prefill that fails, in seconds of wait."""
REMOTE_TRANSFER_S = 0.02
"""What a transfer of KV between data centres costs, in seconds of wait."""


class PrefillStats:
    """What an instance knows of one prefill engine."""

    def __init__(self) -> None:
        """Starts idle, with a usual rate."""
        self._busy_until = float("-inf")
        self.rate = estimate.PeakRate(INITIAL_TOKENS_PER_S)
        self.delay = estimate.Ewma(0.0)
        """Seconds over what the known queue and the prompt itself take."""

    def enqueue(self, tokens: int, sent_at: float) -> None:
        """Adds a prompt to the queue, whichever instance sent it."""
        started_at = max(self._busy_until, sent_at)
        self._busy_until = started_at + tokens / self.rate.rate

    def queued_s(self, now: float) -> float:
        """Returns how long a prompt that is sent now should wait."""
        return max(0.0, self._busy_until - now)

    def add_sample(
        self, tokens: int, seconds: float, queued_s: float = 0.0
    ) -> None:
        """Takes the time of a finished prefill.

        Args:
            tokens: length of the prompt.
            seconds: time from the send to the answer.
            queued_s: part of it that was expected to be spent waiting.
        """
        self.rate.add(tokens, seconds)
        expected_s = queued_s + tokens / self.rate.rate
        self.delay.add(max(0.0, seconds - expected_s))


@attrs.frozen
class PrefillCandidate:
    """A prefill engine that may take the prompt."""

    key: str
    one_way_s: float
    to_decode_local: bool
    """Whether the decode engine stands in the same data centre."""
    record: PrefillStats
    failure_share: float = 0.0
    """Share of its prefills that failed lately."""


def cost_s(candidate: PrefillCandidate, tokens: int, now: float) -> float:
    """Returns in how many seconds the KV should be at the decode engine."""
    record = candidate.record
    moving_s = 0.0 if candidate.to_decode_local else REMOTE_TRANSFER_S
    work_s = record.queued_s(now) + tokens / record.rate.rate
    failing_s = candidate.failure_share * FAILURE_COST_S
    way_s = 2 * candidate.one_way_s + moving_s
    return work_s + record.delay.value + way_s + failing_s


def choose(
    candidates: Sequence[PrefillCandidate], tokens: int, now: float
) -> PrefillCandidate | None:
    """Returns the engine that should end first."""
    if not candidates:
        return None
    return min(
        candidates, key=lambda each: (cost_s(each, tokens, now), each.key)
    )
