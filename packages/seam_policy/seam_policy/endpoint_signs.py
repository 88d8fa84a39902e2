"""Remembers what endpoints say of themselves in their answers.

An endpoint that leaves says so in each answer, also while the store is silent
about it. A sign belongs to one incarnation, so an older listing does not undo
it, and a new incarnation starts without any.
"""

import collections

import attrs

MAX_KEYS = 1024
"""Incarnations whose signs are kept; the oldest are dropped first."""


@attrs.frozen
class Leaving:
    """An endpoint's sign that it leaves."""

    heard_at: float
    source: str
    """The call whose answer told so."""


class EndpointSigns:
    """Signs by the key of the endpoint's incarnation."""

    def __init__(self) -> None:
        """Starts without signs."""
        self._leaving: collections.OrderedDict[str, Leaving] = (
            collections.OrderedDict()
        )

    def heard_leaving(self, key: str, source: str, now: float) -> bool:
        """Records that an endpoint leaves; returns whether that is new."""
        if key in self._leaving:
            return False
        self._leaving[key] = Leaving(now, source)
        if len(self._leaving) > MAX_KEYS:
            self._leaving.popitem(last=False)
        return True

    def leaving(self, key: str) -> Leaving | None:
        """Returns an incarnation's sign that it leaves, or None."""
        return self._leaving.get(key)

    def forget(self, key: str) -> None:
        """Drops the signs of an incarnation."""
        self._leaving.pop(key, None)
