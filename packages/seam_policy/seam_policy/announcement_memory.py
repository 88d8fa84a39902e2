"""Remembers how far the announcements of endpoints have come.

A store that is restored from a copy shows endpoints as they were then: some
have left since. An announcement that is older than what is remembered is not
believed until its endpoint has had time to repeat it. This handles a restore
during a replacement of endpoints.
"""

import attrs

REMEMBER_LEFT_S = 120.0
"""Time for which an endpoint that left is remembered; copies are younger."""


@attrs.frozen(order=True)
class Age:
    """How new an announcement is, among those of one endpoint."""

    started_ms: int
    """Start of the endpoint's incarnation."""
    count: int
    """Number of the announcement within the incarnation."""


@attrs.frozen
class _Left:
    age: Age
    at: float


class AnnouncementMemory:
    """The latest announcements of endpoints, and of those that left."""

    def __init__(self) -> None:
        """Starts without endpoints."""
        self._present: dict[str, Age] = {}
        self._left: dict[str, _Left] = {}

    def note(self, name: str, age: Age) -> None:
        """Records an announcement."""
        self._left.pop(name, None)
        self._present[name] = age

    def note_left(self, name: str, now: float) -> None:
        """Records that an endpoint is not announced any more."""
        age = self._present.pop(name, None)
        if age is not None:
            self._left[name] = _Left(age, now)
        self._forget_old(now)

    def is_outdated(self, name: str, age: Age) -> bool:
        """Returns whether an announcement is older than a remembered state."""
        left = self._left.get(name)
        if left is not None:
            return age <= left.age
        present = self._present.get(name)
        return present is not None and age < present

    def _forget_old(self, now: float) -> None:
        """Drops the endpoints that left long ago, which come first."""
        for name, left in list(self._left.items()):
            if now - left.at <= REMEMBER_LEFT_S:
                return
            del self._left[name]
