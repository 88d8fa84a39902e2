"""Fair queue of slot requests between the workspaces of one rank.

Start-time fair queueing (Goyal, Vin and Cheng, 1996): each workspace has a
tag, the service it has received divided by its weight, and the lowest tag is
served next. A workspace that was idle starts at the current virtual time, so
that it cannot accumulate credit.
"""

import collections
from collections.abc import Iterator
from collections.abc import Mapping
from typing import Generic
from typing import TypeVar

T = TypeVar("T")

_MAX_TAGS = 4096


class FairQueue(Generic[T]):
    """Per-workspace queues, served by least weighted service first."""

    def __init__(self, weights: Mapping[str, float]):
        """Creates an empty queue; a workspace without a weight has weight 1."""
        self._weights = weights
        self._queues: dict[str, collections.OrderedDict[bytes, T]] = {}
        self._tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._size = 0

    def __len__(self) -> int:
        """Returns the number of queued items."""
        return self._size

    def push(self, workspace: str, key: bytes, item: T) -> None:
        """Appends an item to its workspace's queue."""
        if workspace not in self._queues:
            self._queues[workspace] = collections.OrderedDict()
            tag = self._tags.get(workspace, 0.0)
            self._tags[workspace] = max(tag, self._virtual_time)
        self._queues[workspace][key] = item
        self._size += 1

    def remove(self, workspace: str, key: bytes) -> None:
        """Removes an item at any position of its workspace's queue."""
        queue = self._queues[workspace]
        del queue[key]
        self._size -= 1
        if not queue:
            del self._queues[workspace]

    def head(self) -> T | None:
        """Returns the item that is served next."""
        if not self._queues:
            return None
        queue = self._queues[self._next_workspace()]
        return next(iter(queue.values()))

    def heads(self) -> list[T]:
        """Returns the first item of each workspace."""
        return [next(iter(queue.values())) for queue in self._queues.values()]

    def charge(self, workspace: str, cost: float) -> None:
        """Charges a workspace for service; a negative cost is a refund."""
        tag = self._tags.get(workspace, self._virtual_time)
        weight = max(1e-6, self._weights.get(workspace, 1.0))
        self._tags[workspace] = max(0.0, tag + cost / weight)
        self._prune()

    def serve(self, workspace: str, cost: float) -> None:
        """Charges a workspace whose head is being served."""
        self._virtual_time = max(
            self._virtual_time, self._tags.get(workspace, 0.0)
        )
        self.charge(workspace, cost)

    def longest(self) -> str:
        """Returns the workspace with the most items for its weight.

        Ties are broken by name.
        """
        return max(
            self._queues, key=lambda name: (self._weighted_length(name), name)
        )

    def last_of(self, workspace: str) -> T:
        """Returns the newest item of a workspace."""
        return next(reversed(self._queues[workspace].values()))

    def length_of(self, workspace: str) -> int:
        """Returns the number of items of a workspace."""
        return len(self._queues.get(workspace, ()))

    def ahead_of(self, workspace: str) -> int:
        """Returns about how many items are served before a new item.

        Assumes one item of each other workspace per turn and ignores the tags.
        """
        own = self.length_of(workspace)
        turns = own + 1
        others = (
            min(len(queue), turns)
            for name, queue in self._queues.items()
            if name != workspace
        )
        return own + sum(others)

    def positions(self) -> Iterator[tuple[T, int]]:
        """Yields each item with about how many are served before it.

        Like `ahead_of`, it assumes one item of each workspace per turn.
        """
        lengths = {name: len(queue) for name, queue in self._queues.items()}
        for name, queue in tuple(self._queues.items()):
            for index, item in enumerate(tuple(queue.values())):
                others = (
                    min(length, index)
                    for other, length in lengths.items()
                    if other != name
                )
                yield item, index + sum(others)

    def _weighted_length(self, workspace: str) -> float:
        weight = max(1e-6, self._weights.get(workspace, 1.0))
        return len(self._queues[workspace]) / weight

    def _next_workspace(self) -> str:
        return min(self._queues, key=lambda name: (self._tags[name], name))

    def _prune(self) -> None:
        if len(self._tags) <= _MAX_TAGS:
            return
        idle = [name for name in self._tags if name not in self._queues]
        idle.sort(key=lambda name: self._tags[name])
        for name in idle[: _MAX_TAGS // 2]:
            del self._tags[name]
