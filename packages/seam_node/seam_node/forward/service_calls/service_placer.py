"""Grants endpoints of plain services to the calls of all instances.

The first coordinator does this for the whole fleet, so that it counts every
call; see `coordinators`. It does no I/O: answers go to a function that comes
with the ask.
"""

import asyncio
from collections.abc import Callable
import math

import attrs

from seam_node import logs
from seam_node.forward.fleet import messages
from seam_node.forward.service_calls import service_endpoints
from seam_node.forward.service_calls import service_log
from seam_node.forward.service_calls import service_messages
from seam_policy import call_choice
from seam_policy import call_ledger
from seam_policy import call_queue
from seam_policy import retry_after_schedule
from seam_policy import returning_callers

SERVE_INTERVAL_S = 0.025
"""Interval at which waiting calls are tried again."""
KEEP_S = 2.0
"""Time for which answers and ends are kept, for late or repeated messages."""
MIN_RETRY_AFTER_S = 0.05
"""Shortest Retry-After of a refused call."""
MAX_LOGGED_INTERVAL_S = 1000.0
"""Stands for an infinite interval between the ends of calls in log lines."""
LEASE_MARGIN_S = 0.5
"""Time after a call's deadline until its lease expires."""

Reply = Callable[[service_messages.ServiceAnswer], None]
_State = service_messages.ServiceState


@attrs.define(eq=False)
class _Waiting:
    """An ask that has no final answer yet."""

    ask: service_messages.ServiceAsk
    call: call_queue.WaitingCall
    reply: Reply


@attrs.define(eq=False)
class _Service:
    """The waiting calls of one service."""

    queue: call_queue.CallQueue = attrs.field(factory=call_queue.CallQueue)
    return_times: retry_after_schedule.RetryAfterSchedule = attrs.field(
        factory=lambda: retry_after_schedule.RetryAfterSchedule(
            MIN_RETRY_AFTER_S
        )
    )


@attrs.frozen
class _Capacity:
    """What the endpoints of one service can serve now."""

    candidates: list[call_choice.Candidate]
    service_s: float
    """Expected duration of a call."""
    interval_s: float
    """Average time between two calls that end."""


@attrs.define(eq=False)
class _Settled:
    """A call whose answer or end may be repeated or overtaken."""

    at: float
    answer: service_messages.ServiceAnswer | None
    """None once the call has ended."""


class ServicePlacer:
    """Queues calls for endpoints and grants these in order."""

    def __init__(
        self,
        name: str,
        endpoints: service_endpoints.ServiceEndpoints,
        now: Callable[[], float],
        log: logs.Log,
    ):
        """Creates a placer with empty queues.

        Args:
            name: name of this instance.
            endpoints: the endpoints and their calls.
            now: the clock.
            log: where grants and refusals are logged.
        """
        self._name = name
        self._endpoints = endpoints
        self._now = now
        self._log = service_log.ServiceLog(now, log)
        self._services: dict[str, _Service] = {}
        self._waiting: dict[call_ledger.CallId, _Waiting] = {}
        self._by_number: dict[int, _Waiting] = {}
        """The same by the number of the call in its queue."""
        self._settled: dict[call_ledger.CallId, _Settled] = {}
        self._returning = returning_callers.ReturningCallers()
        self._last_number = 0
        self._timer: asyncio.TimerHandle | None = None
        self.granted = 0
        """Calls that got an endpoint, since the start."""
        self.refused = 0
        """Calls refused for lack of room, since the start."""

    def __len__(self) -> int:
        """Returns the number of waiting calls."""
        return len(self._waiting)

    @property
    def in_flight(self) -> int:
        """Calls that were granted an endpoint and have not ended."""
        return len(self._endpoints.ledger)

    def ask(self, ask: service_messages.ServiceAsk, reply: Reply) -> None:
        """Answers an ask, at once or later; a repeated one again."""
        call_id = _id_of(ask)
        settled = self._settled.get(call_id)
        waiting = self._waiting.get(call_id)
        if settled is not None:
            if settled.answer is not None:
                reply(settled.answer)
        elif waiting is not None:
            waiting.reply = reply
            reply(self._answer(ask, _State.QUEUED))
        else:
            self._join(call_id, ask, reply)

    def ended(self, ended: service_messages.ServiceEnded) -> None:
        """Ends a call, or withdraws the ask for it."""
        call_id = _id_of(ended)
        settled = self._settled.get(call_id)
        if settled is not None and settled.answer is None:
            return
        self._withdraw(call_id)
        self._endpoints.record(ended, call_id in self._endpoints.ledger)
        if not self._keep_until_expected_end(call_id, ended):
            self._endpoints.ledger.remove(call_id)
        # An ask that is overtaken by its end must not get an endpoint.
        self._settled[call_id] = _Settled(self._now(), None)
        self._serve(ended.service)

    def _keep_until_expected_end(
        self,
        call_id: call_ledger.CallId,
        ended: service_messages.ServiceEnded,
    ) -> bool:
        """Keeps the lease of a call that its endpoint may still run.

        Returns False if the lease ends now; otherwise it ends when the call is
        expected to.
        """
        if ended.outcome is not messages.Outcome.ABANDONED:
            return False
        service_s = self._endpoints.service_s(ended.service)
        ends_at = self._endpoints.ledger.shorten(call_id, service_s)
        left_s = 0.0 if ends_at is None else ends_at - self._now()
        if left_s <= 0:
            return False
        asyncio.get_running_loop().call_later(left_s, self.sweep)
        return True

    def drop_holder(self, holder: str) -> int:
        """Drops the calls of an instance; returns how many were in flight."""
        for call_id in tuple(self._waiting):
            if call_id.holder == holder:
                self._withdraw(call_id)
        dropped = self._endpoints.ledger.drop_holder(holder)
        self._serve_all()
        return dropped

    def sweep(self) -> None:
        """Ends leases whose time is over and forgets old answers."""
        now = self._now()
        for call_id, settled in tuple(self._settled.items()):
            if now - settled.at > KEEP_S:
                del self._settled[call_id]
        if self._endpoints.ledger.expire(now):
            self._serve_all()

    def holders(self) -> set[str]:
        """Returns the instances whose calls wait or are in flight."""
        waiting = {each.holder for each in self._waiting}
        return waiting | self._endpoints.ledger.holders()

    def retain_routes(self, route_names: set[str]) -> None:
        """Drops the statistics of all routes but these."""
        self._returning.retain(route_names)

    def close(self) -> None:
        """Stops serving."""
        if self._timer is not None:
            self._timer.cancel()

    # Queue

    def _join(
        self,
        call_id: call_ledger.CallId,
        ask: service_messages.ServiceAsk,
        reply: Reply,
    ) -> None:
        """Adds a call to its queue and grants, refuses or confirms it."""
        now = self._now()
        call = self._make_call(ask, now)
        waiting = _Waiting(ask, call, reply)
        self._waiting[call_id] = self._by_number[call.number] = waiting
        service = self._services.setdefault(ask.service, _Service())
        ahead = service.queue.join(call, now)
        self._serve(ask.service)
        if call_id not in self._waiting:
            return
        capacity = self._capacity(ask.service)
        if service.queue.is_hopeless(
            call, ahead, now, capacity.service_s, capacity.interval_s
        ):
            self._refuse(waiting, service, capacity, now)
        else:
            reply(self._answer(ask, _State.QUEUED))

    def _make_call(
        self, ask: service_messages.ServiceAsk, now: float
    ) -> call_queue.WaitingCall:
        arrived_at = now - ask.age_s
        stated_s = ask.deadline_s if ask.deadline_s >= 0 else None
        allowed_s = ask.timeout_s
        if stated_s is not None:
            allowed_s = min(allowed_s, stated_s)
        self._last_number += 1
        return call_queue.WaitingCall(
            number=self._last_number,
            rank=ask.rank,
            late=self._returning.is_returning(
                ask.route, stated_s, ask.timeout_s
            ),
            workspace=ask.workspace,
            avoid=frozenset(ask.avoid),
            arrived_at=arrived_at,
            target_s=ask.target_s,
            deadline_at=arrived_at + allowed_s,
        )

    def _withdraw(self, call_id: call_ledger.CallId) -> None:
        waiting = self._waiting.get(call_id)
        if waiting is None:
            return
        self._services[waiting.ask.service].queue.leave(waiting.call)
        self._forget(waiting)

    def _forget(self, waiting: _Waiting) -> None:
        del self._by_number[waiting.call.number]
        del self._waiting[_id_of(waiting.ask)]

    def _serve_all(self) -> None:
        for service in self._services:
            self._serve(service)

    def _serve(self, service_name: str) -> None:
        """Grants endpoints to the waiting calls that there is room for."""
        service = self._services.get(service_name)
        if service is None or not service.queue:
            return
        now = self._now()
        changed = True
        while changed:
            # The heads are read again after each change of the queue.
            heads = service.queue.heads()
            changed = any(self._try(service, each, now) for each in heads)
        if self._waiting and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(SERVE_INTERVAL_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        for name, service in self._services.items():
            self._serve(name)
            self._refuse_hopeless(name, service)

    def _try(
        self, service: _Service, call: call_queue.WaitingCall, now: float
    ) -> bool:
        """Grants, refuses or moves a call; returns whether the queue changed.

        It stays where it is while its endpoints have no room.
        """
        waiting = self._by_number[call.number]
        ask = waiting.ask
        service_s = self._endpoints.service_s(ask.service)
        if not call.late and not call.can_be_in_time(now, service_s):
            service.queue.make_late(call)
            return True
        candidates = self._endpoints.candidates(
            ask.service, ask.data_centre, call.avoid
        )
        if not candidates:
            service.queue.leave(call)
            self._settle(waiting, self._answer(ask, _State.NO_ENDPOINT))
            return True
        chosen = call_choice.choose(candidates)
        if chosen is None:
            return False
        service.queue.serve(call)
        self._grant(waiting, chosen, now)
        return True

    def _refuse_hopeless(self, service_name: str, service: _Service) -> None:
        """Refuses the calls that cannot be served in their remaining time."""
        if not service.queue:
            return
        now = self._now()
        capacity = self._capacity(service_name)
        for call in service.queue.hopeless(
            now, capacity.service_s, capacity.interval_s
        ):
            self._refuse(self._by_number[call.number], service, capacity, now)

    def _capacity(self, service_name: str) -> _Capacity:
        candidates = self._endpoints.candidates(service_name, "")
        return _Capacity(
            candidates,
            self._endpoints.service_s(service_name),
            call_choice.interval_s(candidates),
        )

    # Answers

    def _grant(
        self, waiting: _Waiting, chosen: call_choice.Candidate, now: float
    ) -> None:
        ask, call = waiting.ask, waiting.call
        lease = call_ledger.Lease(
            ask.service,
            chosen.key,
            now,
            max(now, call.deadline_at) + LEASE_MARGIN_S,
        )
        self._endpoints.ledger.add(_id_of(ask), lease)
        self.granted += 1
        self._log.granted(
            request=ask.request_id,
            holder=ask.holder,
            service=ask.service,
            endpoint=chosen.key,
            in_flight=chosen.in_flight,
            limit=chosen.effective_limit,
            service_s=round(chosen.service_s, 4),
            failing=round(chosen.failure_share, 2),
            late=call.late,
            queued=len(self._waiting) - 1,
            waited_s=round(now - call.arrived_at, 4),
        )
        self._settle(waiting, self._answer(ask, _State.GRANTED, chosen.key))

    def _refuse(
        self,
        waiting: _Waiting,
        service: _Service,
        capacity: _Capacity,
        now: float,
    ) -> None:
        """Refuses a waiting call, with the time at which to retry."""
        ask, call = waiting.ask, waiting.call
        service.queue.leave(call)
        interval_s, candidates = capacity.interval_s, capacity.candidates
        left_s = call.deadline_at - now
        most_s = retry_after_schedule.MAX_SHARE * max(0.0, left_s)
        retry_after_s = _retry_after_s(service, interval_s, most_s, now)
        self.refused += 1
        self._log.refused(
            request=ask.request_id,
            holder=ask.holder,
            service=ask.service,
            late=call.late,
            queued=len(service.queue),
            endpoints=len(candidates),
            in_flight=sum(each.in_flight for each in candidates),
            limit=sum(each.effective_limit for each in candidates),
            call_each_s=round(min(interval_s, MAX_LOGGED_INTERVAL_S), 4),
            left_s=round(left_s, 4),
            waited_s=round(now - call.arrived_at, 4),
            retry_after_s=round(retry_after_s, 3),
        )
        answer = self._answer(ask, _State.FULL)
        self._settle(waiting, attrs.evolve(answer, retry_after_s=retry_after_s))

    def _settle(
        self, waiting: _Waiting, answer: service_messages.ServiceAnswer
    ) -> None:
        """Sends the final answer to a call that has left its queue."""
        self._forget(waiting)
        self._settled[_id_of(waiting.ask)] = _Settled(self._now(), answer)
        waiting.reply(answer)

    def _answer(
        self,
        ask: service_messages.ServiceAsk,
        state: service_messages.ServiceState,
        endpoint: str = "",
    ) -> service_messages.ServiceAnswer:
        return service_messages.ServiceAnswer(
            self._name, ask.number, state, endpoint
        )


def _retry_after_s(
    service: _Service, interval_s: float, most_s: float, now: float
) -> float:
    """Returns the seconds after which a refused caller should retry.

    Callers return one after the other once the waiting calls are served.

    Args:
        service: the service that was called.
        interval_s: average time between two calls that end.
        most_s: longest time that the caller can wait.
        now: current time.
    """
    if math.isinf(interval_s):
        return most_s
    drained_s = min(most_s, len(service.queue) * interval_s)
    spread_s = service.return_times.assign(
        now + drained_s, interval_s, most_s - drained_s
    )
    return drained_s + spread_s


def _id_of(
    message: service_messages.ServiceAsk | service_messages.ServiceEnded,
) -> call_ledger.CallId:
    return call_ledger.CallId(
        message.holder, message.incarnation, message.number
    )
