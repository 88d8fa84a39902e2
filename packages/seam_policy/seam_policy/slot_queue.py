"""Requests that wait for a slot: by rank, fair between workspaces."""

from collections.abc import Mapping
import math

import attrs

from seam_policy import fair
from seam_policy import slot_requests


@attrs.frozen
class QueuedRequest:
    """A waiting request and the time until which it waits."""

    request: slot_requests.SlotRequest
    deadline: float


class SlotQueue:
    """The waiting requests of one engine."""

    def __init__(self, weights: Mapping[str, float], ranks: int):
        """Starts empty.

        Args:
            weights: shares of the workspaces.
            ranks: number of ranks, each with a queue of its own.
        """
        self._by_id: dict[bytes, QueuedRequest] = {}
        self._next_deadline = math.inf
        self._by_rank = tuple(
            fair.FairQueue[QueuedRequest](weights) for _ in range(ranks)
        )

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._by_id)

    def get(self, request_id: bytes) -> QueuedRequest | None:
        """Returns a waiting request, or None."""
        return self._by_id.get(request_id)

    def rank(self, rank: int) -> fair.FairQueue[QueuedRequest]:
        """Returns the queue of a rank."""
        return self._by_rank[rank]

    def add(self, request: slot_requests.SlotRequest, now: float) -> None:
        """Adds a request."""
        waiting = QueuedRequest(request, now + request.wait_s)
        self._by_id[request.request_id] = waiting
        self._next_deadline = min(self._next_deadline, waiting.deadline)
        queue = self._by_rank[request.rank]
        queue.push(request.workspace, request.request_id, waiting)

    def remove(self, waiting: QueuedRequest) -> None:
        """Removes a request."""
        request = waiting.request
        del self._by_id[request.request_id]
        queue = self._by_rank[request.rank]
        queue.remove(request.workspace, request.request_id)

    def shed_excess(
        self, rank: int, limit: int
    ) -> list[slot_requests.Declined]:
        """Removes the last requests of the longest shares beyond a limit."""
        queue = self._by_rank[rank]
        declined = []
        while len(queue) > limit:
            waiting = queue.last_of(queue.longest())
            self.remove(waiting)
            declined.append(
                slot_requests.Declined(
                    waiting.request.request_id,
                    slot_requests.DeclineReason.QUEUE_FULL,
                )
            )
        return declined

    def drop_expired(self, now: float) -> list[slot_requests.Declined]:
        """Removes the requests that have waited too long."""
        if now <= self._next_deadline:
            return []
        expired = [
            waiting
            for waiting in self._by_id.values()
            if waiting.deadline < now
        ]
        for waiting in expired:
            self.remove(waiting)
        self._next_deadline = min(
            (waiting.deadline for waiting in self._by_id.values()),
            default=math.inf,
        )
        return [
            slot_requests.Declined(
                waiting.request.request_id, slot_requests.DeclineReason.DROPPED
            )
            for waiting in expired
        ]
