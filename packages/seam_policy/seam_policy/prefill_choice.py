"""Selects the prefill engine for a prompt.

Selects the engine that is expected to complete first. An engine processes
prompts one at a time, so its queue is estimated from the recent prompts of all
instances; it drains with time, so no message is needed when a prefill ends.
This handles a large fleet in which each instance sends few prompts, where all
instances would otherwise choose the same idle engine.
"""

from collections.abc import Sequence

import attrs

from seam_policy import estimate

INITIAL_TOKENS_PER_S = 40_000.0
FAILURE_COST_S = 1.0
"""Cost of a failed prefill, as seconds of wait."""
REMOTE_TRANSFER_S = 0.02
"""Cost of a KV transfer between data centres, as seconds of wait."""


class PrefillStats:
    """Queue estimate and speed of one prefill engine at one instance."""

    def __init__(self) -> None:
        """Starts with an empty queue and the initial rate."""
        self._busy_until = float("-inf")
        self.rate = estimate.PeakRate(INITIAL_TOKENS_PER_S)
        self.delay = estimate.Ewma(0.0)
        """Seconds beyond the time of the known queue and the prompt itself."""

    def enqueue(self, tokens: int, sent_at: float) -> None:
        """Adds a prompt that any instance sent to the queue."""
        started_at = max(self._busy_until, sent_at)
        self._busy_until = started_at + tokens / self.rate.rate

    def queued_s(self, now: float) -> float:
        """Returns the expected wait of a prompt that is sent now."""
        return max(0.0, self._busy_until - now)

    def add_sample(
        self, tokens: int, seconds: float, queued_s: float = 0.0
    ) -> None:
        """Adds the duration of a completed prefill.

        Args:
            tokens: length of the prompt.
            seconds: time from the request to the response.
            queued_s: part of it that was expected to be spent queueing.
        """
        self.rate.add(tokens, seconds)
        expected_s = queued_s + tokens / self.rate.rate
        self.delay.add(max(0.0, seconds - expected_s))


@attrs.frozen
class PrefillCandidate:
    """A prefill engine that can take the prompt."""

    key: str
    one_way_s: float
    in_decode_data_centre: bool
    """Whether the decode engine is in the same data centre."""
    record: PrefillStats
    failure_share: float = 0.0
    """Share of its recent prefills that failed."""


def cost_s(candidate: PrefillCandidate, tokens: int, now: float) -> float:
    """Returns the expected seconds until the decode engine has the KV cache.

    Penalties for distance and failures are included.
    """
    record = candidate.record
    transfer_s = 0.0 if candidate.in_decode_data_centre else REMOTE_TRANSFER_S
    work_s = record.queued_s(now) + tokens / record.rate.rate
    failure_s = candidate.failure_share * FAILURE_COST_S
    network_s = 2 * candidate.one_way_s + transfer_s
    return work_s + record.delay.value + network_s + failure_s


def choose(
    candidates: Sequence[PrefillCandidate], tokens: int, now: float
) -> PrefillCandidate | None:
    """Returns the engine with the lowest cost; None without candidates."""
    if not candidates:
        return None
    return min(
        candidates, key=lambda each: (cost_s(each, tokens, now), each.key)
    )
