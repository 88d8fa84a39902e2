"""Events that instances tell each other in several heartbeats.

A datagram may be lost, so an event is told for a while; its number keeps it
from being taken twice.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Generic
from typing import Protocol
from typing import TypeVar

import attrs

from seam_model import forwarding

RECENT_S = 1.0
"""How long other instances are told of an event."""

Event = TypeVar("Event")


class Numbered(Protocol):
    """An event as another instance told it."""

    @property
    def number(self) -> int:
        """Counts the events of one kind of one instance."""


Heard = TypeVar("Heard", bound=Numbered)


@attrs.frozen
class Own(Generic[Event]):
    """An event of this instance."""

    number: int
    what: Event
    at: float


class OwnEvents(Generic[Event]):
    """Events of this instance that the others are told of."""

    def __init__(self) -> None:
        """Starts with none."""
        self._count = 0
        self._events: collections.deque[Own[Event]] = collections.deque()

    def add(self, what: Event, now: float) -> None:
        """Adds an event that happens now."""
        self._count += 1
        self._events.append(Own(self._count, what, now))

    def recent(self, now: float) -> tuple[Own[Event], ...]:
        """Returns the events of the last `RECENT_S`, oldest first."""
        while self._events and now - self._events[0].at > RECENT_S:
            self._events.popleft()
        return tuple(self._events)


@attrs.frozen
class _Newest:
    """The newest event that an instance told of."""

    incarnation: int
    number: int


class HeardEvents:
    """Tells which events of other instances are new."""

    def __init__(self) -> None:
        """Starts without having heard of any."""
        self._newest: dict[str, _Newest] = {}

    def new(
        self, sender: forwarding.InstanceEntry, events: Iterable[Heard]
    ) -> Sequence[Heard]:
        """Returns the events that were not heard before, oldest first."""
        newest = self._newest.get(sender.name)
        known = 0
        if newest is not None and newest.incarnation == sender.incarnation:
            known = newest.number
        found = [each for each in events if each.number > known]
        if found:
            known = found[-1].number
        self._newest[sender.name] = _Newest(sender.incarnation, known)
        return found
