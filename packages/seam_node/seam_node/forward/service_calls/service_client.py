"""Asks the fleet's placer for endpoints of plain services.

The first coordinator is asked. If it has not answered after half of the time
allowed, it is asked again, and the second one too, whose answer counts if it
comes first. A coordinator that does not answer in time is suspected for a
while; if none does, the caller of this module chooses by itself.
"""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import itertools

import attrs

from seam_model import forwarding
from seam_node import logs
from seam_node.forward.callers import context
from seam_node.forward.fleet import coordinators
from seam_node.forward.fleet import messages
from seam_node.forward.service_calls import service_messages
from seam_node.forward.service_calls import service_placer
from seam_policy import placer_asking
from seam_policy import retry_after_schedule

ROUNDS = 2
"""Times that an ask is sent before its placers are suspected, as a single
datagram may be lost."""
ANSWER_TIMEOUT_S = 0.04
"""Time within which a placer must answer, over all rounds."""
MAX_LOOP_DELAY_SHARE = 1.5
"""Duration of a time-out, relative to the one set, from which this instance's
event loop counts as blocked meanwhile."""
QUEUED_INTERVAL_S = 0.1
"""Interval at which an ask that is queued is repeated."""
DEADLINE_MARGIN_S = 0.05
"""Time before a call's deadline at which its ask is withdrawn, so that the
answer of an earlier attempt can still be delivered."""

Send = Callable[
    [service_messages.ServiceMessage, forwarding.InstanceEntry], None
]
_State = service_messages.ServiceState
_FAILURES = (
    messages.Outcome.FAILED,
    messages.Outcome.FULL,
    messages.Outcome.GONE,
)


@attrs.frozen
class Decision:
    """What a placer decided about one call."""

    answer: service_messages.ServiceAnswer
    service: str
    placer: forwarding.InstanceEntry


@attrs.define(eq=False)
class _Asking:
    """An ask that has no final answer yet."""

    ask: service_messages.ServiceAsk
    answers: collections.deque[service_messages.ServiceAnswer] = attrs.field(
        factory=collections.deque
    )
    arrived: asyncio.Event = attrs.field(factory=asyncio.Event)
    """Set when an answer arrives."""
    asked: dict[str, forwarding.InstanceEntry] = attrs.field(factory=dict)
    """The placers that have the ask, by name, in the order of asking."""
    withdrawn: set[str] = attrs.field(factory=set)
    """The placers that had the ask; their answers no longer count."""

    async def next(
        self, timeout_s: float
    ) -> service_messages.ServiceAnswer | None:
        """Returns the next answer of a placer that has the ask, or None.

        If the event loop of this instance was blocked meanwhile, an answer may
        be late for that reason, so it waits once more.
        """
        loop = asyncio.get_running_loop()
        latest_at = loop.time() + MAX_LOOP_DELAY_SHARE * timeout_s
        answer = await self._next(timeout_s)
        if answer is None and loop.time() > latest_at:
            answer = await self._next(timeout_s)
        return answer

    async def _next(
        self, timeout_s: float
    ) -> service_messages.ServiceAnswer | None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._wait()
        return self._take()

    async def _wait(self) -> None:
        """Waits until there is an answer of a placer that has the ask."""
        while not any(each.placer in self.asked for each in self.answers):
            self.arrived.clear()
            await self.arrived.wait()

    def _take(self) -> service_messages.ServiceAnswer | None:
        while self.answers:
            answer = self.answers.popleft()
            if answer.placer in self.asked:
                return answer
        return None

    def put(self, answer: service_messages.ServiceAnswer) -> None:
        """Adds an answer."""
        self.answers.append(answer)
        self.arrived.set()


class ServiceClient:
    """Gets endpoints for this instance's calls and releases them."""

    def __init__(
        self,
        entry: forwarding.InstanceEntry,
        order: coordinators.Coordinators,
        own_placer: service_placer.ServicePlacer,
        entry_of: Callable[[str], forwarding.InstanceEntry | None],
        send: Send,
        now: Callable[[], float],
        log: logs.Log,
    ):
        """Creates a client without asks.

        Args:
            entry: this instance.
            order: the coordinators, in the order in which they are asked.
            own_placer: decides if this instance coordinates.
            entry_of: returns the entry of an instance.
            send: sends a message to an instance.
            now: the clock.
            log: the log.
        """
        self._entry = entry
        self._order = order
        self._placer = own_placer
        self._entry_of = entry_of
        self._send = send
        self._now = now
        self._log = log
        self._suspicions = placer_asking.Suspicions(entry.name)
        self._numbers = itertools.count(1)
        self._pending: dict[int, _Asking] = {}
        self._running: dict[int, str] = {}
        """The placers of the calls that were granted an endpoint, by number."""
        self._heard_at: dict[str, float] = {}
        """Time of the last answer of each placer."""
        self.unanswered = 0
        """Asks that no coordinator answered, since the start."""

    def placer(self) -> forwarding.InstanceEntry | None:
        """Returns the coordinator that is asked first, or None."""
        return next(iter(self._placers()), None)

    async def ask(
        self, ctx: context.ForwardContext, avoid: set[str]
    ) -> Decision | None:
        """Returns a placer's decision, or None if none answers.

        Args:
            ctx: the call.
            avoid: keys of endpoints that it must not use.
        """
        asking = _Asking(self._make_ask(ctx, avoid))
        number = asking.ask.number
        self._pending[number] = asking
        try:
            answer = await self._settle(ctx, asking)
        except asyncio.CancelledError:
            self._withdraw(asking)
            raise
        finally:
            del self._pending[number]
        if answer is None:
            self._withdraw(asking)
            self.unanswered += 1
            return None
        entry = asking.asked[answer.placer]
        if answer.state is _State.QUEUED:
            self._withdraw(asking)
            answer = _out_of_time(answer, ctx.remaining_s())
        else:
            self._withdraw(asking, kept=answer.placer)
        if answer.state is _State.GRANTED:
            self._running[number] = answer.placer
        return Decision(answer, asking.ask.service, entry)

    def end(
        self, decision: Decision, outcome: messages.Outcome, took_s: float
    ) -> None:
        """Releases an endpoint that was granted.

        Failures are also told to the other coordinator, which may have to
        place the next calls.

        Args:
            decision: the grant.
            outcome: how the endpoint did.
            took_s: seconds from sending the call to its complete answer.
        """
        answer = decision.answer
        self._running.pop(answer.number, None)
        ended = service_messages.ServiceEnded(
            self._entry.name,
            self._entry.incarnation,
            answer.number,
            decision.service,
            answer.endpoint,
            outcome,
            took_s,
        )
        receivers = {decision.placer.name: decision.placer}
        if outcome in _FAILURES:
            receivers |= {each.name: each for each in self._order.responsive()}
        for entry in receivers.values():
            self._send_ended(ended, entry)

    def on_answer(self, answer: service_messages.ServiceAnswer) -> None:
        """Handles a placer's answer; releases a grant that is not awaited."""
        self._heard_at[answer.placer] = self._now()
        asking = self._pending.get(answer.number)
        if asking is not None and answer.placer not in asking.withdrawn:
            asking.put(answer)
        elif (
            answer.state is _State.GRANTED
            and self._running.get(answer.number) != answer.placer
        ):
            entry = self._entry_of(answer.placer)
            if entry is not None:
                self._send(self._unused(answer.number, ""), entry)

    def _placers(self) -> list[forwarding.InstanceEntry]:
        """Returns the coordinators that may be asked, the first one first."""
        now = self._now()
        return [
            each
            for each in self._order.responsive()
            if not self._suspicions.is_suspected(each.name, now)
        ]

    def _placers_for(self, asking: _Asking) -> list[forwarding.InstanceEntry]:
        """Returns the coordinators to ask, those that have the ask first."""
        placers = [
            each
            for each in self._placers()
            if each.name not in asking.withdrawn
        ]
        return sorted(placers, key=lambda each: each.name not in asking.asked)

    async def _settle(
        self, ctx: context.ForwardContext, asking: _Asking
    ) -> service_messages.ServiceAnswer | None:
        """Returns the last answer; None if no coordinator answers.

        It is final, or tells that the call is still queued as its time ends.
        """
        answer = await self._first_answer(ctx, asking)
        while answer is not None and answer.state is _State.QUEUED:
            self._withdraw(asking, kept=answer.placer)
            time_left_s = ctx.remaining_s() - DEADLINE_MARGIN_S
            if time_left_s <= 0:
                break
            answer = await asking.next(min(QUEUED_INTERVAL_S, time_left_s))
            if answer is None:
                answer = await self._first_answer(ctx, asking)
        return answer

    async def _first_answer(
        self, ctx: context.ForwardContext, asking: _Asking
    ) -> service_messages.ServiceAnswer | None:
        """Sends an ask until there is an answer; returns None if none comes.

        The coordinators that did not answer are suspected.
        """
        entries = self._placers_for(asking)
        sent_at = self._now()
        self._withdraw(asking, kept=entries[0].name if entries else None)
        for count in range(1, ROUNDS + 1):
            for entry in entries[:count]:
                self._send_ask(ctx, asking, entry)
            if not asking.asked:
                return None
            answer = await asking.next(ANSWER_TIMEOUT_S / ROUNDS)
            if answer is not None:
                self._check_later(asking, answer.placer, sent_at)
                return answer
        for entry in asking.asked.values():
            self._suspect(entry)
        return None

    def _check_later(
        self, asking: _Asking, answered: str, sent_at: float
    ) -> None:
        """Suspects the placers asked before the one that answered.

        They are suspected only if they stay silent: their answer may be on its
        way.
        """
        for entry in asking.asked.values():
            if entry.name == answered:
                return
            asyncio.get_running_loop().call_later(
                ANSWER_TIMEOUT_S / ROUNDS, self._suspect_silent, entry, sent_at
            )

    def _suspect_silent(
        self, entry: forwarding.InstanceEntry, sent_at: float
    ) -> None:
        is_suspected = self._suspicions.is_suspected(entry.name, self._now())
        heard_at = self._heard_at.get(entry.name, float("-inf"))
        if heard_at < sent_at and not is_suspected:
            self._suspect(entry)

    def _send_ask(
        self,
        ctx: context.ForwardContext,
        asking: _Asking,
        entry: forwarding.InstanceEntry,
    ) -> None:
        asking.asked[entry.name] = entry
        ask = attrs.evolve(asking.ask, age_s=ctx.age_s())
        if entry.name == self._entry.name:
            self._placer.ask(ask, asking.put)
        else:
            self._send(ask, entry)

    def _withdraw(self, asking: _Asking, kept: str | None = None) -> None:
        """Withdraws an ask from all placers, or all but the one to keep."""
        for entry in tuple(asking.asked.values()):
            if entry.name != kept:
                del asking.asked[entry.name]
                asking.withdrawn.add(entry.name)
                ask = asking.ask
                self._send_ended(self._unused(ask.number, ask.service), entry)

    def _suspect(self, entry: forwarding.InstanceEntry) -> None:
        suspect_s = self._suspicions.suspect(entry.name, self._now())
        self._log.event(
            "service_placer_suspected",
            "warning",
            peer=entry.name,
            suspect_s=round(suspect_s, 2),
        )

    def _unused(
        self, number: int, service: str
    ) -> service_messages.ServiceEnded:
        """Returns the message that withdraws an ask or releases its grant."""
        return service_messages.ServiceEnded(
            self._entry.name,
            self._entry.incarnation,
            number,
            service,
            "",
            messages.Outcome.UNKNOWN,
            0.0,
        )

    def _send_ended(
        self,
        ended: service_messages.ServiceEnded,
        entry: forwarding.InstanceEntry,
    ) -> None:
        if entry.name == self._entry.name:
            self._placer.ended(ended)
        else:
            self._send(ended, entry)

    def _make_ask(
        self, ctx: context.ForwardContext, avoid: set[str]
    ) -> service_messages.ServiceAsk:
        deadline_s = ctx.req.deadline_s
        return service_messages.ServiceAsk(
            holder=self._entry.name,
            incarnation=self._entry.incarnation,
            number=next(self._numbers),
            request_id=ctx.req.id,
            service=ctx.service.name,
            route=ctx.route.name,
            rank=ctx.rank(),
            workspace=ctx.workspace_name(),
            age_s=ctx.age_s(),
            deadline_s=-1.0 if deadline_s is None else deadline_s,
            timeout_s=ctx.route.timeout_s,
            target_s=ctx.route.target_s,
            data_centre=self._entry.data_centre,
            avoid=tuple(sorted(avoid)),
        )


def _out_of_time(
    queued: service_messages.ServiceAnswer, remaining_s: float
) -> service_messages.ServiceAnswer:
    """Returns the refusal of a call that is queued until its deadline."""
    return attrs.evolve(
        queued,
        state=_State.FULL,
        retry_after_s=retry_after_schedule.MAX_SHARE * max(0.0, remaining_s),
    )
