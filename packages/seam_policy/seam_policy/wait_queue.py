"""Queue of requests that wait for a decode slot.

Lower ranks come first; within a rank, requests that can still meet their
latency target, then those that arrived first. The order applies across all
instances: each announces its first request to the others, and takes scarce
capacity only if no announced request comes before its own. This handles a
burst of one rank, which must not block the other, and callers that return
after a refusal.
"""

import bisect
from collections.abc import Iterable

import attrs

ANNOUNCEMENT_DELAY_S = 0.012
"""Time after which all other instances know of a waiting request."""


@attrs.frozen(order=True)
class Ticket:
    """A request's position in the queue of one instance."""

    rank: int
    late: bool
    """Whether its latency target has passed."""
    joined_at: float
    number: int


@attrs.frozen
class QueueHead:
    """The first request in the queue of another instance."""

    rank: int
    late: bool
    waited_s: float


class WaitQueue:
    """Tickets in the order in which they are served."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._tickets: list[Ticket] = []
        self._last_number = 0

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._tickets)

    def join(self, rank: int, late: bool, now: float) -> Ticket:
        """Adds a request in its order and returns its ticket."""
        self._last_number += 1
        ticket = Ticket(rank, late, now, self._last_number)
        bisect.insort(self._tickets, ticket)
        return ticket

    def leave(self, ticket: Ticket) -> None:
        """Removes a request."""
        self._tickets.remove(ticket)

    def first(self) -> Ticket | None:
        """Returns the ticket that is served next."""
        return self._tickets[0] if self._tickets else None

    def queue_head(self, now: float) -> QueueHead | None:
        """Returns the first request as announced to other instances."""
        first = self.first()
        if first is None:
            return None
        return QueueHead(first.rank, first.late, now - first.joined_at)


def may_take_scarce_capacity(
    ticket: Ticket, others: Iterable[QueueHead], now: float
) -> bool:
    """Returns whether a request may take capacity for only one request."""
    waited_s = now - ticket.joined_at
    if waited_s < ANNOUNCEMENT_DELAY_S:
        return False
    own = (ticket.rank, ticket.late, -waited_s)
    return all(
        own <= (other.rank, other.late, -other.waited_s) for other in others
    )
