"""Queue of a service's requests for places at decode engines.

Lower ranks come first; within a rank, requests that can still meet their
latency target, then fairly between workspaces, then those that arrived first.
A request that can no longer meet its target stays, behind those that can, for
as long as its caller waits. Late requests never take the last capacity. This
handles bursts beyond the engines' capacity: serving in order of arrival alone
would make every request just too late.
"""

import bisect
from collections.abc import Iterator
import itertools

import attrs

from seam_policy import fair_shares

PATIENCE_SHARE = 0.8
"""Share of the caller's patience after which a request is refused. The rest is
for the first event on its way."""
FIRST_EVENT_MARGIN_S = 0.05
"""Time from a finished prefill to the first event at the caller."""


@attrs.frozen(order=True)
class Ticket:
    """A request's position in the queue."""

    rank: int
    late: bool
    """Whether it can no longer meet its latency target."""
    arrived_at: float
    number: int
    workspace: str = attrs.field(default="", order=False)
    """Name of its workspace; empty without one."""
    cost: int = attrs.field(default=1, order=False)
    """Its tokens, for the fair order of workspaces."""


@attrs.frozen
class Limits:
    """How long a request may take to its first event."""

    arrived_at: float
    target_s: float
    """Latency target for the first event."""
    patience_s: float
    """Time after which the caller leaves if there was no event."""

    def can_be_in_time(self, now: float, prefill_s: float) -> bool:
        """Returns whether a request that is placed now meets its target."""
        first_event_at = now + prefill_s + FIRST_EVENT_MARGIN_S
        return first_event_at <= self.arrived_at + self.target_s

    def time_left_s(self, now: float, prefill_s: float) -> float:
        """Returns how much longer the request may wait for a place."""
        latest_at = self.arrived_at + PATIENCE_SHARE * self.patience_s
        return latest_at - now - prefill_s - FIRST_EVENT_MARGIN_S


class PlaceQueue:
    """Tickets in the order in which they are served."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._tickets: list[Ticket] = []
        self._last_number = 0
        self._shares: dict[int, fair_shares.FairShares] = {}
        """Shares of the workspaces, by rank."""

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._tickets)

    def __iter__(self) -> Iterator[Ticket]:
        """Iterates over a copy, so that tickets may join and leave."""
        ordered: list[Ticket] = []
        for (rank, _), group in itertools.groupby(self._tickets, _class_of):
            ordered += self._shares[rank].order(list(group))
        return iter(ordered)

    def join(
        self,
        rank: int,
        late: bool,
        arrived_at: float,
        workspace: str = "",
        cost: int = 1,
    ) -> Ticket:
        """Adds a request in its order and returns its ticket."""
        self._last_number += 1
        ticket = Ticket(
            rank, late, arrived_at, self._last_number, workspace, cost
        )
        bisect.insort(self._tickets, ticket)
        shares = self._shares.setdefault(rank, fair_shares.FairShares())
        shares.join(ticket)
        return ticket

    def leave(self, ticket: Ticket) -> None:
        """Removes a request."""
        self._tickets.remove(ticket)
        self._shares[ticket.rank].leave(ticket)

    def note_served(self, ticket: Ticket) -> None:
        """Notes that a request is served, before it leaves."""
        self._shares[ticket.rank].note_served(ticket)

    def make_late(self, ticket: Ticket) -> Ticket:
        """Moves a request behind those in time; returns its new ticket."""
        self._tickets.remove(ticket)
        late = attrs.evolve(ticket, late=True)
        bisect.insort(self._tickets, late)
        return late


def _class_of(ticket: Ticket) -> tuple[int, bool]:
    return ticket.rank, ticket.late


def refuse_at_once(ahead: int, interval_s: float, time_left_s: float) -> bool:
    """Returns whether a late request cannot be served before it gives up.

    Args:
        ahead: requests that are served before it.
        interval_s: average time between two places that become free.
        time_left_s: how much longer it may wait.
    """
    return time_left_s <= 0 or ahead * interval_s > time_left_s
