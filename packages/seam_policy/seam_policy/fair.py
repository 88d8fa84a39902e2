"""Fair queue of slot asks between workspaces of one rank.

Start-time fair queueing (Goyal, Vin and Cheng, 1996): each workspace has a
tag, the service it has had divided by its weight, and the lowest tag is served
next. A workspace that was idle starts at the current virtual time, so that it
cannot save up service.
"""

import collections
from collections.abc import Mapping
from typing import Generic
from typing import TypeVar

T = TypeVar("T")

_MAX_TAGS = 4096


class FairQueue(Generic[T]):
    """Items queued per workspace, served by least weighted service."""

    def __init__(self, weights: Mapping[str, float]):
        """Takes the weights of workspaces; 1 where none is given."""
        self._weights = weights
        self._queues: dict[str, collections.OrderedDict[bytes, T]] = {}
        self._tags: dict[str, float] = {}
        self._virtual = 0.0
        self._size = 0

    def __len__(self) -> int:
        """Returns the number of queued items."""
        return self._size

    def push(self, workspace: str, key: bytes, item: T) -> None:
        """Queues an item at the end of its workspace's queue."""
        if workspace not in self._queues:
            self._queues[workspace] = collections.OrderedDict()
            tag = self._tags.get(workspace, 0.0)
            self._tags[workspace] = max(tag, self._virtual)
        self._queues[workspace][key] = item
        self._size += 1

    def remove(self, workspace: str, key: bytes) -> None:
        """Takes an item out, wherever it stands."""
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
        """Adds service to a workspace; a negative cost gives some back."""
        tag = self._tags.get(workspace, self._virtual)
        weight = max(1e-6, self._weights.get(workspace, 1.0))
        self._tags[workspace] = max(0.0, tag + cost / weight)
        self._prune()

    def serve(self, workspace: str, cost: float) -> None:
        """Charges a workspace whose head is being served."""
        self._virtual = max(self._virtual, self._tags.get(workspace, 0.0))
        self.charge(workspace, cost)

    def longest(self) -> str:
        """Returns the workspace with the most items; ties go by name."""
        return max(self._queues, key=lambda name: (self._share(name), name))

    def last_of(self, workspace: str) -> T:
        """Returns the newest item of a workspace."""
        return next(reversed(self._queues[workspace].values()))

    def length_of(self, workspace: str) -> int:
        """Returns the number of items of a workspace."""
        return len(self._queues.get(workspace, ()))

    def ahead_of(self, workspace: str) -> int:
        """Returns about how many items a new item waits for.

        Takes one item of each other workspace a turn, whatever the tags.
        """
        own = self.length_of(workspace)
        turns = own + 1
        others = (
            min(len(queue), turns)
            for name, queue in self._queues.items()
            if name != workspace
        )
        return own + sum(others)

    def _share(self, workspace: str) -> float:
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
