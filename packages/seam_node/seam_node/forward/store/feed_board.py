"""Copies of the store's objects for the instances that follow this one."""

import asyncio

import attrs

from seam_node.ports import catalog


@attrs.define(eq=False)
class Update:
    """A change of one object in the store."""

    kind: catalog.Kind
    entry: catalog.Entry
    removed: bool
    era: int
    """Era of the store that showed the change."""
    encoded: bytes = b""
    """The change as it is sent, once the first follower got it."""


class FeedBoard:
    """The objects that the store has, and who is told of changes.

    An object that the store no longer has is removed here at once, also while
    this instance itself still uses it for a while after an outage: another
    instance may know that it is gone for good.
    """

    def __init__(self) -> None:
        """Starts without objects and subscribers."""
        self._entries: dict[catalog.Kind, dict[str, catalog.Entry]] = {}
        self._subscribers: set[asyncio.Queue[Update]] = set()
        self.era = 0
        """Era of the latest update."""

    def entries(self, kind: catalog.Kind) -> tuple[catalog.Entry, ...]:
        """Returns all objects of a kind."""
        return tuple(self._entries.get(kind, {}).values())

    def subscribe(self) -> "asyncio.Queue[Update]":
        """Returns a queue of all further updates."""
        queue: asyncio.Queue[Update] = asyncio.Queue()
        self._subscribers.add(queue)
        return queue

    def unsubscribe(self, queue: "asyncio.Queue[Update]") -> None:
        """Ends a subscription."""
        self._subscribers.discard(queue)

    @property
    def subscriber_count(self) -> int:
        """Number of subscriptions."""
        return len(self._subscribers)

    def update(self, update: Update) -> None:
        """Applies an update and tells the subscribers."""
        self.era = update.era
        entries = self._entries.setdefault(update.kind, {})
        if update.removed:
            entries.pop(update.entry.name, None)
        else:
            entries[update.entry.name] = update.entry
        for queue in self._subscribers:
            queue.put_nowait(update)
