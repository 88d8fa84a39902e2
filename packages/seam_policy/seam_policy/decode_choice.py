"""Orders the decode engines that are asked to reserve a slot.

Engines with the most free KV cache memory come first, as estimated by this
instance: it forecasts the demand of its own streams, adds the last forecasts
of the other instances, and skips engines that recently reported to be full.
Engines with similar scores are ordered at random for each request; otherwise
instances that decide at the same time would all choose the same engine. The
engine itself accepts or refuses. This handles bursts, in which slots are
scarce at every engine, and an engine that fails part of its streams while it
appears healthy.
"""

from collections.abc import Sequence

import attrs

from seam_policy import kv_forecast

FAILURE_WEIGHT = 2.0
"""Score penalty, as a share of memory, of an engine that always fails."""
LOCAL_BONUS = 0.12
"""Score bonus, as a share of memory, of an engine in the same data centre."""
MAX_FAILURE_SHARE = 0.6
"""Share of failed streams from which an engine is skipped if any engine is
below it, even a full one: a failed stream is lost, a waiting one is not."""
JITTER_SHARE = 0.1
"""Difference in free memory, as a share, within which the order is random."""


@attrs.frozen
class DecodeCandidate:
    """The state of a decode engine as known to this instance."""

    key: str
    slots: int
    kv_tokens: int
    used: kv_forecast.DemandProfile
    local: bool
    """Whether it is in this instance's data centre."""
    full_until: float
    """Time until which it is assumed to be full."""
    failure_share: float = 0.0
    """Share of its recent streams that failed."""
    jitter: float = 0.0
    """Pseudo-random number in [0, 1] for the request and this engine."""

    def free_share(self) -> float:
        """Returns the lower of the free shares of memory and of slots."""
        memory = 1.0 - self.used.peak() / max(1, self.kv_tokens)
        slots = 1.0 - self.used.slots / max(1, self.slots)
        return min(memory, slots)

    def fits(self, added: kv_forecast.DemandProfile) -> bool:
        """Returns whether the engine should have capacity for `added` too."""
        total = self.used + added
        return total.slots <= self.slots and total.peak() <= self.kv_tokens


def order(
    candidates: Sequence[DecodeCandidate],
    added: kv_forecast.DemandProfile,
    now: float,
) -> list[DecodeCandidate]:
    """Returns the engines that should have capacity, the best first."""
    reliable = [
        each for each in candidates if each.failure_share < MAX_FAILURE_SHARE
    ]
    fitting = [
        each
        for each in reliable or candidates
        if each.full_until <= now and each.fits(added)
    ]
    return sorted(fitting, key=_score, reverse=True)


def _score(candidate: DecodeCandidate) -> float:
    locality_bonus = LOCAL_BONUS if candidate.local else 0.0
    jitter = JITTER_SHARE * candidate.jitter
    failure_penalty = FAILURE_WEIGHT * candidate.failure_share
    return candidate.free_share() + locality_bonus + jitter - failure_penalty
