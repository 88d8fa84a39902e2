"""Concurrency limits of endpoints.

The limit is the endpoint's announced slots plus a small queue, which keeps its
slots busy while a finished call is reported and the next one is on its way. An
endpoint that refuses has less room than announced, or calls that the placer
does not count: its limit is lowered by a quarter and then grows step by step.
The interval of the steps doubles with each further refusal, so that an endpoint
with less room does not refuse a call each time its limit has grown. This
handles endpoints with fewer slots than announced, two placers at a time, and
instances that choose alone for a while.
"""

import math

import attrs

QUEUE_SHARE = 1.0 / 3.0
"""Length of the queue at an endpoint, as a share of its slots."""
LOWER_FACTOR = 0.75
"""Factor on the calls in flight at a refusal."""
MIN_LOWER_INTERVAL_S = 0.1
"""Refusals within this time after a lowering are of calls sent before it."""
RECOVERY_STEP_S = 0.3
"""Interval of the steps in which a limit grows after a first refusal."""
STEPS_TO_FULL = 8
"""Steps from no calls to the full limit."""
MAX_STEP_S = 5.0
"""Longest interval of the steps."""
FORGET_S = 30.0
"""Time after a refusal from which the next one counts as the first."""


@attrs.frozen
class _Lowered:
    """A limit after a refusal."""

    limit: int
    at: float
    """Time of the refusal."""
    step_s: float
    """Interval of the steps in which the limit grows again."""


def full_limit(slots: int) -> int:
    """Returns the limit of an endpoint that refuses nothing."""
    slots = max(1, slots)
    return slots + max(1, math.floor(slots * QUEUE_SHARE))


class CallLimits:
    """The limits of all endpoints, by the key of their incarnation."""

    def __init__(self) -> None:
        """Starts with full limits."""
        self._lowered: dict[str, _Lowered] = {}

    def limit(self, key: str, slots: int, now: float) -> int:
        """Returns how many calls an endpoint may have at once."""
        full = full_limit(slots)
        lowered = self._lowered.get(key)
        if lowered is None:
            return full
        elapsed_s = max(0.0, now - lowered.at)
        if elapsed_s > FORGET_S:
            del self._lowered[key]
            return full
        step = max(1, full // STEPS_TO_FULL)
        steps = math.floor(elapsed_s / lowered.step_s)
        return min(full, lowered.limit + step * steps)

    def refused(
        self, key: str, slots: int, in_flight: int | None, now: float
    ) -> None:
        """Lowers the limit of an endpoint that refused a call.

        Args:
            key: the endpoint's key.
            slots: its announced slots.
            in_flight: its calls, the refused one included; None if another
                placer granted the call, which counts its calls apart.
            now: current time.
        """
        used = self.limit(key, slots, now)
        if in_flight is not None:
            used = min(used, max(1, in_flight))
        limit = max(1, math.floor(used * LOWER_FACTOR))
        step_s = RECOVERY_STEP_S
        lowered = self._lowered.get(key)
        if lowered is not None:
            if now - lowered.at < MIN_LOWER_INTERVAL_S:
                return
            step_s = min(MAX_STEP_S, 2 * lowered.step_s)
        self._lowered[key] = _Lowered(limit, now, step_s)

    def remove(self, key: str) -> None:
        """Forgets an incarnation that has ended."""
        self._lowered.pop(key, None)
