"""Selects the prefill engine for a prompt.

Selects the engine that is expected to complete first. An engine processes
prompts one at a time, so its queue consists of the prompts that were sent to it
and have not completed. This handles a large fleet in which each instance sends
few prompts, where all instances would otherwise choose the same idle engine,
and bursts beyond the engines' speed, in which the queue must not be
underestimated.
"""

from collections.abc import Hashable
from collections.abc import Sequence

import attrs

from seam_policy import estimate

INITIAL_TOKENS_PER_S = 40_000.0
FAILURE_COST_S = 1.0
"""Cost of a failed prefill, as seconds of wait."""
REMOTE_TRANSFER_S = 0.02
"""Cost of a KV transfer between data centres, as seconds of wait."""
PROMPT_LAPSE_S = 4.0
"""Time after which a prompt whose completion was not heard of is dropped."""
MIN_BACK_TO_BACK = 4
"""Samples without network time from which only these tell the rate."""
MAX_QUEUED_SHARE = 0.1
"""Expected wait of a prompt, as a share of its duration, up to which it tells
the engine's rate."""


@attrs.frozen
class _Prompt:
    tokens: int
    sent_at: float


class PrefillStats:
    """Queue and speed of one prefill engine as seen by one instance."""

    def __init__(self) -> None:
        """Starts with an empty queue and the initial rate."""
        self._queue: dict[Hashable, _Prompt] = {}
        self._head_since = 0.0
        """Time from which the engine has worked on the first prompt."""
        self._single = estimate.MedianRate(INITIAL_TOKENS_PER_S)
        """Rate of prompts that did not queue, network time included."""
        self._back_to_back = estimate.MedianRate(INITIAL_TOKENS_PER_S)
        """Rate of prompts that were waiting when the one before completed."""
        self.delay = estimate.Ewma(0.0)
        """Seconds beyond the time of the known queue and the prompt itself."""

    def enqueue(self, prompt: Hashable, tokens: int, now: float) -> None:
        """Adds a prompt that any instance sends to the queue."""
        if not self._queue:
            self._head_since = now
        self._queue[prompt] = _Prompt(tokens, now)

    @property
    def tokens_s(self) -> float:
        """Prompt tokens per second."""
        if len(self._back_to_back) >= MIN_BACK_TO_BACK:
            return self._back_to_back.rate
        return self._single.rate

    def samples(self) -> int:
        """Returns the number of samples of the rate."""
        return len(self._single) + len(self._back_to_back)

    def complete(
        self, prompt: Hashable, now: float, failed: bool = True
    ) -> None:
        """Removes a prompt that completed, or failed or was cancelled."""
        is_head = next(iter(self._queue), None) == prompt
        done = self._queue.pop(prompt, None)
        if done is None:
            return
        if is_head and not failed and done.sent_at < self._head_since:
            self._back_to_back.add(done.tokens, now - self._head_since)
        self._head_since = now

    def queued_s(self, now: float) -> float:
        """Returns the expected wait of a prompt that is sent now."""
        self._drop_lapsed(now)
        if not self._queue:
            return 0.0
        first, *others = (each.tokens for each in self._queue.values())
        head_s = first / self.tokens_s - (now - self._head_since)
        return max(0.0, head_s) + sum(others) / self.tokens_s

    def add_sample(
        self, tokens: int, seconds: float, queued_s: float = 0.0
    ) -> None:
        """Adds the duration of a completed prefill.

        Args:
            tokens: length of the prompt.
            seconds: time from the request to the response.
            queued_s: part of it that was expected to be spent queueing.
        """
        if is_uncontended(seconds, queued_s):
            self._single.add(tokens, seconds)
        expected_s = queued_s + tokens / self.tokens_s
        self.delay.add(max(0.0, seconds - expected_s))

    def _drop_lapsed(self, now: float) -> None:
        for prompt, each in tuple(self._queue.items()):
            if now - each.sent_at <= PROMPT_LAPSE_S:
                break
            self.complete(prompt, now)


def is_uncontended(seconds: float, queued_s: float) -> bool:
    """Returns whether a duration tells the speed rather than the queue."""
    return queued_s <= MAX_QUEUED_SHARE * seconds


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


def expected_s(candidate: PrefillCandidate, tokens: int, now: float) -> float:
    """Returns the expected seconds until the decode engine has the KV cache."""
    record = candidate.record
    transfer_s = 0.0 if candidate.in_decode_data_centre else REMOTE_TRANSFER_S
    work_s = record.queued_s(now) + tokens / record.tokens_s
    return work_s + record.delay.value + 2 * candidate.one_way_s + transfer_s


def cost_s(candidate: PrefillCandidate, tokens: int, now: float) -> float:
    """Returns the expected seconds with a penalty for failures."""
    failure_s = candidate.failure_share * FAILURE_COST_S
    return expected_s(candidate, tokens, now) + failure_s


def choose(
    candidates: Sequence[PrefillCandidate], tokens: int, now: float
) -> PrefillCandidate | None:
    """Returns the engine with the lowest cost; None without candidates."""
    if not candidates:
        return None
    return min(
        candidates, key=lambda each: (cost_s(each, tokens, now), each.key)
    )
