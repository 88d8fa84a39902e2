"""The order in which requests that found no place are served.

Lower ranks first; within a rank those that can still be in time, then those
that came first. The order holds over all instances: each tells the others of
its first request, and takes scarce room only if none of theirs comes before.
Answers the load pattern of a burst of one rank, behind which the other must
not be stuck, and of callers that return after a refusal.
"""

import bisect
from collections.abc import Iterable

import attrs

ANNOUNCED_S = 0.012
"""Time after which the other instances know of a request that waits."""


@attrs.frozen(order=True)
class Ticket:
    """A request's position in the line of one instance."""

    rank: int
    late: bool
    """Whether its latency target has passed."""
    joined_at: float
    number: int


@attrs.frozen
class QueueHead:
    """The first request in the line of another instance."""

    rank: int
    late: bool
    waited_s: float


class WaitQueue:
    """Tickets in the order in which they are served."""

    def __init__(self) -> None:
        """Starts empty."""
        self._tickets: list[Ticket] = []
        self._count = 0

    def __len__(self) -> int:
        """Returns how many wait."""
        return len(self._tickets)

    def join(self, rank: int, late: bool, now: float) -> Ticket:
        """Adds a request behind all that come before it."""
        self._count += 1
        ticket = Ticket(rank, late, now, self._count)
        bisect.insort(self._tickets, ticket)
        return ticket

    def leave(self, ticket: Ticket) -> None:
        """Takes a request out."""
        self._tickets.remove(ticket)

    def first(self) -> Ticket | None:
        """Returns the ticket that is served next."""
        return self._tickets[0] if self._tickets else None

    def queue_head(self, now: float) -> QueueHead | None:
        """Returns what other instances are told of the first request."""
        first = self.first()
        if first is None:
            return None
        return QueueHead(first.rank, first.late, now - first.joined_at)


def may_take_last_place(
    ticket: Ticket, others: Iterable[QueueHead], now: float
) -> bool:
    """Tells whether a request may take room that only suffices for one."""
    waited_s = now - ticket.joined_at
    if waited_s < ANNOUNCED_S:
        return False
    own = (ticket.rank, ticket.late, -waited_s)
    return all(
        own <= (other.rank, other.late, -other.waited_s) for other in others
    )
