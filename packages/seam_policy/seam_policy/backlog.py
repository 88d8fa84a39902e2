"""Estimated queue of one prefill engine, kept by the engine's owner.

An engine runs one prefill at a time, urgent ones first, without preemption.
Prefill times are predictable, so the owner simulates the queue from the
bookings alone and needs no message when a prefill ends.
"""

import collections

import attrs

URGENT = 0
_RANKS = 2


@attrs.frozen
class Booking:
    """A prefill that is booked at the engine."""

    request_id: bytes
    rank: int
    work_s: float
    """Duration of the prefill without queueing."""


class Backlog:
    """Bookings of one prefill engine, in the order they are served."""

    def __init__(self) -> None:
        """Creates the backlog of an idle engine."""
        self._queues = tuple(
            collections.deque[Booking]() for _ in range(_RANKS)
        )
        self._free_at = 0.0
        self._advanced_to = 0.0

    def book(self, booking: Booking, now: float) -> float:
        """Adds a prefill and returns its expected wait in seconds."""
        wait_s = self.wait(booking.rank, now)
        self._queues[booking.rank].append(booking)
        self._advance(now)
        return wait_s

    def withdraw(self, request_id: bytes, now: float) -> None:
        """Removes a prefill that has not started."""
        self._advance(now)
        for queue in self._queues:
            for booking in queue:
                if booking.request_id == request_id:
                    queue.remove(booking)
                    return

    def wait(self, rank: int, now: float) -> float:
        """Returns the expected wait of a prefill booked now, in seconds."""
        self._advance(now)
        ahead = [b for queue in self._queues[: rank + 1] for b in queue]
        running_s = max(0.0, self._free_at - now)
        return running_s + sum(booking.work_s for booking in ahead)

    def _advance(self, now: float) -> None:
        """Dequeues the prefills that the engine has started by now."""
        while self._free_at <= now and any(self._queues):
            queue = next(queue for queue in self._queues if queue)
            started_at = max(self._free_at, self._advanced_to)
            self._free_at = started_at + queue.popleft().work_s
        self._advanced_to = max(self._advanced_to, now)
