"""Repeats events in several heartbeats and removes duplicates on receipt.

A datagram may be lost, so each event is repeated in all heartbeats of a short
period. The receiver uses the event's sequence number to apply it only once.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Generic
from typing import Protocol
from typing import TypeVar

import attrs

from seam_model import forwarding

REPEAT_DURATION_S = 1.0
"""How long an event is repeated in heartbeats."""

Event = TypeVar("Event")


class Numbered(Protocol):
    """An event received from another instance."""

    @property
    def number(self) -> int:
        """Sequence number among the sender's events of the same kind."""


Received = TypeVar("Received", bound=Numbered)


@attrs.frozen
class LocalEvent(Generic[Event]):
    """An event of this instance and the time at which it happened."""

    number: int
    payload: Event
    at: float


class LocalEvents(Generic[Event]):
    """Events of this instance that are repeated in its heartbeats."""

    def __init__(self) -> None:
        """Starts without events."""
        self._count = 0
        self._recent: collections.deque[LocalEvent[Event]] = collections.deque()

    def add(self, payload: Event, now: float) -> None:
        """Adds an event with the current time."""
        self._count += 1
        self._recent.append(LocalEvent(self._count, payload, now))

    def recent(self, now: float) -> tuple[LocalEvent[Event], ...]:
        """Returns the events of the last `REPEAT_DURATION_S`, oldest first."""
        while self._recent and now - self._recent[0].at > REPEAT_DURATION_S:
            self._recent.popleft()
        return tuple(self._recent)


@attrs.frozen
class _Newest:
    """Sequence number of the newest event of a sender's incarnation."""

    incarnation: int
    number: int


class ReceivedEvents:
    """Deduplicates the events of other instances."""

    def __init__(self) -> None:
        """Starts without events."""
        self._newest: dict[str, _Newest] = {}

    def select_new(
        self, sender: forwarding.InstanceEntry, events: Iterable[Received]
    ) -> Sequence[Received]:
        """Returns the events not received before, oldest first."""
        newest = self._newest.get(sender.name)
        last_number = 0
        if newest is not None and newest.incarnation == sender.incarnation:
            last_number = newest.number
        new_events = [each for each in events if each.number > last_number]
        if new_events:
            last_number = new_events[-1].number
        self._newest[sender.name] = _Newest(sender.incarnation, last_number)
        return new_events
