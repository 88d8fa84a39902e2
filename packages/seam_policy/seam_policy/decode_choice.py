"""In which order decode engines are asked for a place.

Engines with the most free KV cache memory come first, as far as this instance
knows: it forecasts the need of its own streams, adds what other instances
last said of theirs, and leaves out engines that said they were full a moment
ago. Engines that are about equally good are ordered anew for each request, as
instances that decide at the same moment would else all choose the same one.
The engine itself decides. Answers the load patterns of a burst, in which
places are scarce everywhere, and of an engine that fails part of its streams
while it seems healthy.
"""

from collections.abc import Sequence

import attrs

from seam_policy import kv_forecast

FAILING_WEIGHT = 2.0
"""Memory, as a share, that an engine that always fails must have more."""
REMOTE_SHARE = 0.12
"""Part of an engine's memory that a shorter way is worth."""
MAX_FAILURE_SHARE = 0.6
"""Share of failed streams above which an engine gets none while another could.
A stream that fails there is lost, one that waits is not."""
DRAW_SHARE = 0.1
"""Difference in free memory, as a share, within which chance decides."""


@attrs.frozen
class DecodeCandidate:
    """A decode engine as this instance sees it."""

    key: str
    slots: int
    kv_tokens: int
    used: kv_forecast.DemandProfile
    local: bool
    """Whether it stands in this instance's data centre."""
    full_until: float
    """Time until which it is taken to be full."""
    failure_share: float = 0.0
    """Share of its streams that failed lately."""
    jitter: float = 0.0
    """A number from 0 to 1, drawn for the request and this engine."""

    def free_share(self) -> float:
        """Returns the scarcer of free memory and free slots, as a share."""
        memory = 1.0 - self.used.peak() / max(1, self.kv_tokens)
        slots = 1.0 - self.used.slots / max(1, self.slots)
        return min(memory, slots)

    def fits(self, added: kv_forecast.DemandProfile) -> bool:
        """Tells whether one more stream should find room."""
        total = self.used + added
        return total.slots <= self.slots and total.peak() <= self.kv_tokens


def order(
    candidates: Sequence[DecodeCandidate],
    added: kv_forecast.DemandProfile,
    now: float,
) -> list[DecodeCandidate]:
    """Returns the engines that should have room, best first."""
    sound = [
        each for each in candidates if each.failure_share < MAX_FAILURE_SHARE
    ]
    fitting = [
        each
        for each in sound or candidates
        if each.full_until <= now and each.fits(added)
    ]
    return sorted(fitting, key=_score, reverse=True)


def _score(candidate: DecodeCandidate) -> float:
    bonus = REMOTE_SHARE if candidate.local else 0.0
    chance = DRAW_SHARE * candidate.jitter
    failure_share = FAILING_WEIGHT * candidate.failure_share
    return candidate.free_share() + bonus + chance - failure_share
