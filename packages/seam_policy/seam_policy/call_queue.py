"""Queue of a service's calls that wait for room at an endpoint.

Lower ranks come first; within a rank, calls that can still meet their latency
target, then workspaces in turn, then arrival. Calls with different endpoints to
avoid wait in separate groups, so that none waits for the endpoint of another. A
call that cannot be served in its remaining time is refused as soon as that is
known. This handles bursts beyond the endpoints' capacity, the flood of one
workspace, and callers that send refused calls again and again.
"""

from collections.abc import Iterator
import math

import attrs

from seam_policy import estimate
from seam_policy import fair

MARGIN_S = 0.02
"""Time from the end of a call at its endpoint to its answer at the caller."""
LATENESS_MARGIN_SHARE = 0.4
"""Reserve for calls that take longer than expected, as a share of the expected
duration. Queued calls are often sent at the last moment, so that the longer
ones would be late without it."""
MIN_SPARE_SHARE = 0.1
"""Share of the endpoints' rate that late calls are assumed to get at least."""
ARRIVAL_WINDOW_S = 1.0
"""Time constant of the average rate of arrivals."""


@attrs.define(eq=False)
class WaitingCall:
    """A call that waits for room."""

    number: int
    """Unique in its queue."""
    rank: int
    late: bool
    """Whether it can no longer meet its latency target, or is a retry after a
    refusal."""
    workspace: str
    avoid: frozenset[str]
    """Keys of endpoints that it must not use."""
    arrived_at: float
    target_s: float
    deadline_at: float

    def can_be_in_time(self, now: float, service_s: float) -> bool:
        """Returns whether a call that is sent now meets its target."""
        done_at = now + (1.0 + LATENESS_MARGIN_SHARE) * service_s + MARGIN_S
        return done_at <= self.arrived_at + self.target_s

    def time_left_s(self, now: float, service_s: float) -> float:
        """Returns how much longer it may wait for room."""
        return self.deadline_at - now - service_s - MARGIN_S

    @property
    def key(self) -> bytes:
        """Key in the fair queue of its group."""
        return self.number.to_bytes(8, "big")


@attrs.frozen
class _Group:
    """What calls have in common that wait in one fair queue."""

    rank: int
    late: bool
    avoid: frozenset[str]

    @property
    def precedence(self) -> tuple[int, bool]:
        """Lower ones are served first."""
        return self.rank, self.late


class CallQueue:
    """Waiting calls in the order in which they are served."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._queues: dict[_Group, fair.FairQueue[WaitingCall]] = {}
        self._in_time_arrivals = estimate.ArrivalRate(ARRIVAL_WINDOW_S)

    def __len__(self) -> int:
        """Returns the number of waiting calls."""
        return sum(map(len, self._queues.values()))

    def join(self, call: WaitingCall, now: float) -> int:
        """Adds a call; returns how many calls are served before it."""
        if not call.late:
            self._in_time_arrivals.add(now)
        ahead = self._count_before(_group_of(call))
        queue = self._queues.get(_group_of(call))
        if queue is not None:
            ahead += queue.ahead_of(call.workspace)
        self._push(call)
        return ahead

    def leave(self, call: WaitingCall) -> None:
        """Removes a call that is not served."""
        group = _group_of(call)
        self._queues[group].remove(call.workspace, call.key)
        if not self._queues[group]:
            del self._queues[group]

    def serve(self, call: WaitingCall) -> None:
        """Removes a call that is served and charges its workspace."""
        self._queues[_group_of(call)].serve(call.workspace, 1.0)
        self.leave(call)

    def make_late(self, call: WaitingCall) -> None:
        """Moves a call behind those that can still be in time."""
        self.leave(call)
        call.late = True
        self._push(call)

    def heads(self) -> list[WaitingCall]:
        """Returns the first call of each group, in the order of service."""
        heads = [queue.head() for queue in self._queues.values()]
        return sorted(
            heads, key=lambda each: (each.rank, each.late, each.arrived_at)
        )

    def positions(self) -> Iterator[tuple[WaitingCall, int]]:
        """Yields each call with the number of calls served before it."""
        before = 0
        for precedence in sorted({each.precedence for each in self._queues}):
            queues = [
                queue
                for group, queue in self._queues.items()
                if group.precedence == precedence
            ]
            for queue in queues:
                for call, ahead in queue.positions():
                    yield call, before + ahead
            before += sum(map(len, queues))

    def hopeless(
        self, now: float, service_s: float, interval_s: float
    ) -> list[WaitingCall]:
        """Returns the calls that cannot be served in their remaining time.

        Args:
            now: current time.
            service_s: expected duration of a call.
            interval_s: average time between two calls that end.
        """
        found: list[WaitingCall] = []
        for call, ahead in self.positions():
            ahead -= len(found)
            if self.is_hopeless(call, ahead, now, service_s, interval_s):
                found.append(call)
        return found

    def is_hopeless(
        self,
        call: WaitingCall,
        ahead: int,
        now: float,
        service_s: float,
        interval_s: float,
    ) -> bool:
        """Returns whether a call cannot be served in its remaining time.

        Args:
            call: the call.
            ahead: calls that are served before it.
            now: current time.
            service_s: expected duration of a call.
            interval_s: average time between two calls that end.
        """
        late_interval_s = self._late_interval_s(now, interval_s)
        wait_s = ahead * (late_interval_s if call.late else interval_s)
        if not call.late and not call.can_be_in_time(now + wait_s, service_s):
            # It becomes late in the queue and then waits with the late ones.
            late = self._count_late(call.rank) + 1
            wait_s += late * late_interval_s
        time_left_s = call.time_left_s(now, service_s)
        return time_left_s <= 0 or wait_s > time_left_s

    def _count_before(self, group: _Group) -> int:
        """Returns the number of calls that take precedence over a group."""
        return sum(
            len(queue)
            for other, queue in self._queues.items()
            if other.precedence < group.precedence
        )

    def _count_late(self, rank: int) -> int:
        return sum(
            len(queue)
            for group, queue in self._queues.items()
            if group.late and group.rank == rank
        )

    def _late_interval_s(self, now: float, interval_s: float) -> float:
        """Returns the average time between two late calls that are served.

        Calls that can be in time and arrive meanwhile go first.
        """
        if not 0 < interval_s < math.inf:
            return interval_s
        rate = 1.0 / interval_s
        spare = rate - self._in_time_arrivals.rate(now)
        return 1.0 / max(MIN_SPARE_SHARE * rate, spare)

    def _push(self, call: WaitingCall) -> None:
        queue = self._queues.setdefault(_group_of(call), fair.FairQueue({}))
        queue.push(call.workspace, call.key, call)


def _group_of(call: WaitingCall) -> _Group:
    return _Group(call.rank, call.late, call.avoid)
