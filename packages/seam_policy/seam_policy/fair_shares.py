"""Order of waiting requests that is fair between workspaces.

Start-time fair queueing (Goyal, Vin and Cheng, 1996): each workspace has a
tag, the tokens it has been served, and the request of the lowest tag is next.
A workspace that had nothing waiting starts at the tag that was served last, so
that it cannot accumulate credit. Tags grow only by what is served, so refused
requests cost a workspace nothing. This handles the flood of one
workspace, behind which the requests of the others would wait.

`fair.FairQueue` does the same for items that it holds itself. Here the requests
stay with `place_queue`, and one set of tags serves those in time and the late.
"""

import heapq
from typing import Protocol

MAX_TAGS = 1024
"""Number of tags above which those of workspaces without waiting requests are
dropped, unless the workspace was served more than the others."""


class Ticket(Protocol):
    """What the order depends on."""

    arrived_at: float
    number: int
    workspace: str
    cost: int


class FairShares:
    """Tags of the workspaces whose requests wait for the same capacity."""

    def __init__(self) -> None:
        """Starts with equal tags."""
        self._tags: dict[str, float] = {}
        """Tokens served, by workspace."""
        self._waiting: dict[str, int] = {}
        """Number of waiting requests, by workspace."""
        self._virtual_time = 0.0
        """Tag of the request that was served last."""

    def join(self, ticket: Ticket) -> None:
        """Notes that a request waits."""
        name = ticket.workspace
        if name not in self._waiting:
            tag = self._tags.get(name, 0.0)
            self._tags[name] = max(tag, self._virtual_time)
        self._waiting[name] = self._waiting.get(name, 0) + 1

    def leave(self, ticket: Ticket) -> None:
        """Notes that a request no longer waits."""
        name = ticket.workspace
        self._waiting[name] -= 1
        if not self._waiting[name]:
            del self._waiting[name]
        if not self._waiting:
            self._tags.clear()
            self._virtual_time = 0.0
        elif len(self._tags) > MAX_TAGS:
            self._prune()

    def note_served(self, ticket: Ticket) -> None:
        """Notes that a waiting request has been served."""
        tag = self._tags[ticket.workspace]
        self._virtual_time = max(self._virtual_time, tag)
        self._tags[ticket.workspace] = tag + ticket.cost

    def order(self, tickets: list[Ticket]) -> list[Ticket]:
        """Returns tickets in the order in which they are served.

        The tickets of one workspace keep their order.
        """
        if len(self._waiting) <= 1:
            return tickets
        queues: dict[str, list[Ticket]] = {}
        for ticket in reversed(tickets):
            queues.setdefault(ticket.workspace, []).append(ticket)
        heads = [
            self._entry(self._tags[name], queue)
            for name, queue in queues.items()
        ]
        heapq.heapify(heads)
        ordered = []
        while heads:
            tag, _, _, name = heapq.heappop(heads)
            ticket = queues[name].pop()
            ordered.append(ticket)
            if queues[name]:
                tag += ticket.cost
                heapq.heappush(heads, self._entry(tag, queues[name]))
        return ordered

    def _entry(
        self, tag: float, queue: list[Ticket]
    ) -> tuple[float, float, int, str]:
        head = queue[-1]
        return tag, head.arrived_at, head.number, head.workspace

    def _prune(self) -> None:
        for name, tag in tuple(self._tags.items()):
            if name not in self._waiting and tag <= self._virtual_time:
                del self._tags[name]
