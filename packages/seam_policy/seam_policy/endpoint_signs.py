"""Remembers what endpoints say of themselves in their answers.

An endpoint that leaves says so in each answer, also while the store is silent
about it. One that is overloaded may ask an instance to leave it alone for some
time. A sign belongs to one incarnation, so an older listing does not undo it,
and a new incarnation starts without any.
"""

import collections
from collections.abc import Iterable

import attrs

from seam_policy import retry_after_schedule

MAX_KEYS = 1024
"""Incarnations whose signs are kept; the oldest are dropped first."""


MAX_PAUSE_S = 30.0
"""Longest pause, which outlasts any request; a longer one can be asked for
again."""
RETURN_STEP_S = 0.02
"""Time between two callers that come back after a pause."""


@attrs.frozen
class Leaving:
    """An endpoint's sign that it leaves."""

    heard_at: float
    source: str
    """The call whose answer told so."""


@attrs.frozen
class _Pause:
    asked_at: float
    until: float

    def left_s(self, now: float) -> float:
        """Returns the time left; none if the clock was set back."""
        return self.until - now if self.asked_at <= now < self.until else 0.0


class EndpointSigns:
    """Signs by the key of the endpoint's incarnation."""

    def __init__(self) -> None:
        """Starts without signs."""
        self._leaving: collections.OrderedDict[str, Leaving] = (
            collections.OrderedDict()
        )
        self._pauses: dict[str, _Pause] = {}

    def heard_leaving(self, key: str, source: str, now: float) -> bool:
        """Records that an endpoint leaves; returns whether that is new."""
        if key in self._leaving:
            return False
        self._leaving[key] = Leaving(now, source)
        if len(self._leaving) > MAX_KEYS:
            self._leaving.popitem(last=False)
        return True

    @property
    def has_leaving(self) -> bool:
        """Whether any endpoint said that it leaves."""
        return bool(self._leaving)

    def leaving(self, key: str) -> Leaving | None:
        """Returns an incarnation's sign that it leaves, or None."""
        return self._leaving.get(key)

    def heard_pause(self, key: str, pause_s: float, now: float) -> bool:
        """Records that an endpoint wants nothing for some time.

        It replaces what the endpoint asked before; 0 ends a pause. Returns
        whether a pause begins.
        """
        was_pausing = self.pause_left_s(key, now) > 0
        self._drop_ended(now)
        self._pauses.pop(key, None)
        if pause_s > 0:
            until = now + min(pause_s, MAX_PAUSE_S)
            self._pauses[key] = _Pause(now, until)
        return pause_s > 0 and not was_pausing

    def pause_left_s(self, key: str, now: float) -> float:
        """Returns for how long an endpoint wants nothing; 0 without a pause."""
        pause = self._pauses.get(key)
        return 0.0 if pause is None else pause.left_s(now)

    def pausing(self, now: float) -> set[str]:
        """Returns the keys of the incarnations that pause."""
        return {
            key for key, pause in self._pauses.items() if pause.left_s(now) > 0
        }

    def forget(self, key: str) -> None:
        """Drops the signs of an incarnation."""
        self._leaving.pop(key, None)
        self._pauses.pop(key, None)

    def _drop_ended(self, now: float) -> None:
        for key, pause in tuple(self._pauses.items()):
            if pause.left_s(now) <= 0:
                del self._pauses[key]


class PauseReturns:
    """Assigns return times to callers that all endpoints turned away."""

    def __init__(self) -> None:
        """Creates an empty schedule."""
        self._schedule = retry_after_schedule.RetryAfterSchedule(0.0)

    def assign(
        self, now: float, pauses_s: Iterable[float], most_s: float
    ) -> float:
        """Returns the seconds after which a caller should retry.

        Callers come back one after the other once the first endpoint is due.

        Args:
            now: current time.
            pauses_s: time left of each endpoint's pause.
            most_s: longest time that the caller waits.
        """
        due_s = min(pauses_s)
        spread_s = self._schedule.assign(
            now + due_s, RETURN_STEP_S, max(0.0, most_s - due_s)
        )
        return due_s + spread_s
