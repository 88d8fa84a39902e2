"""Asks the fleet's placer for places at engines.

An ask is repeated until it is answered. If the placer does not answer, the next
coordinator is asked, and in the end this instance decides by itself.
"""

import asyncio
from collections.abc import Callable
import itertools

import attrs
import expression

from seam_model import errors
from seam_model import forwarding
from seam_node import logs
from seam_node.forward.callers import context
from seam_node.forward.endpoints import availability
from seam_node.forward.fleet import coordinators
from seam_node.forward.fleet import messages
from seam_node.forward.placement import engine_outcomes
from seam_node.forward.placement import placer
from seam_node.forward.store import catalog_state
from seam_policy import endpoint_signs
from seam_policy import kv_forecast
from seam_policy import retry_after_schedule
from seam_policy import stream_ledger

ANSWER_TIMEOUT_S = 0.06
"""Time for an answer; only a queued request takes longer, after a notice."""
QUEUED_TIMEOUT_S = 0.3
"""Interval at which an ask that is queued is repeated."""
RETRY_ELSEWHERE_S = 0.02
"""Retry-After of a request whose next attempt finds free engines."""
MAX_SENDS = 2
"""Unanswered sends after which a coordinator is suspected."""

Placed = expression.Result[context.Placement, errors.SeamError]
Send = Callable[[messages.Message, forwarding.InstanceEntry], None]


@attrs.define(eq=False)
class _Pending:
    """An ask that another instance has not settled yet."""

    answers: asyncio.Queue[messages.PlaceAnswer] = attrs.field(
        factory=asyncio.Queue
    )


class Placement:
    """Gets places for this instance's requests and gives them back."""

    def __init__(
        self,
        entry: forwarding.InstanceEntry,
        order: coordinators.Coordinators,
        own_placer: placer.Placer,
        ledger: stream_ledger.StreamLedger,
        endpoints: catalog_state.Endpoints,
        available: availability.Availability,
        outcomes: engine_outcomes.EngineOutcomes,
        send: Send,
        now: Callable[[], float],
        log: logs.Log,
    ):
        """Creates a client without asks.

        Args:
            entry: this instance.
            order: the coordinators.
            own_placer: decides if this instance coordinates, or if no
                coordinator answers.
            ledger: the streams known to this instance, its own included.
            endpoints: the announced endpoints.
            available: which of them may get calls.
            outcomes: records how engines do.
            send: sends a message to an instance.
            now: the clock.
            log: the log.
        """
        self._entry = entry
        self._order = order
        self._placer = own_placer
        self._ledger = ledger
        self._endpoints = endpoints
        self._available = available
        self._pause_returns = endpoint_signs.PauseReturns()
        self._outcomes = outcomes
        self._send = send
        self._now = now
        self._log = log
        self._numbers = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._streams: dict[int, stream_ledger.Stream] = {}
        """Streams of this instance, by number."""

    async def place(self, ctx: context.ForwardContext) -> Placed:
        """Waits for a place at a decode engine.

        Errors: `NoEndpoint`, `NoDecodePlace`, `QuotaExceeded`; the context's
        `retry_after_s` is set then.
        """
        while True:
            if self._all_pause(ctx):
                pausing = errors.EndpointsPausing(ctx.service.name)
                return expression.Error(pausing)
            ask = self._make_ask(ctx)
            answer, decided_by = await self._ask(ask)
            ctx.late = answer.late
            if not self._is_unavailable(ctx, answer):
                return self._result(ctx, ask, answer, decided_by)
            _note_charged(ctx)
            # The placer does not know yet that the engine is leaving.
            self.end(ask.number, answer.decode, messages.Outcome.UNKNOWN)
            if answer.decode in ctx.failed_keys:
                return expression.Error(errors.NoEndpoint(ctx.service.name))
            ctx.failed_keys.add(answer.decode)

    def _all_pause(self, ctx: context.ForwardContext) -> bool:
        """Returns whether all engines for a request pause.

        Its return time is set then: soon if engines that only another attempt
        may use do not pause.
        """
        pausing = self._available.pausing()
        if not pausing:
            return False
        engines = [
            each.key
            for each in self._endpoints.usable(ctx.service.name)
            if each.stage is forwarding.Stage.DECODE
        ]
        if not pausing.issuperset(ctx.only_keys() or engines) or not engines:
            return False
        if pausing.issuperset(engines):
            ctx.retry_after_s = self._pause_returns.assign(
                self._now(),
                [self._available.pause_left_s(key) for key in engines],
                retry_after_schedule.MAX_SHARE * ctx.remaining_s(),
            )
        else:
            ctx.retry_after_s = RETRY_ELSEWHERE_S
        return True

    def _is_unavailable(
        self, ctx: context.ForwardContext, answer: messages.PlaceAnswer
    ) -> bool:
        """Returns whether a place is at an engine that may get no work."""
        if answer.state is not messages.PlaceState.GRANTED:
            return False
        return self._available.error(answer.decode) is not None

    def _result(
        self,
        ctx: context.ForwardContext,
        ask: messages.PlaceAsk,
        answer: messages.PlaceAnswer,
        decided_by: str,
    ) -> Placed:
        if answer.state is messages.PlaceState.OVER_QUOTA:
            ctx.retry_after_s = answer.retry_after_s
            return expression.Error(errors.QuotaExceeded(ask.workspace))
        _note_charged(ctx)
        if answer.state is messages.PlaceState.NO_ENGINE:
            return expression.Error(errors.NoEndpoint(ctx.service.name))
        if answer.state is not messages.PlaceState.GRANTED:
            ctx.retry_after_s = answer.retry_after_s
        if answer.state is messages.PlaceState.QUARANTINED:
            parts = ",".join(ctx.req.prompt.shared_parts)
            return expression.Error(errors.PromptQuarantined(parts))
        if answer.state is not messages.PlaceState.GRANTED:
            return expression.Error(errors.NoDecodePlace(answer.engines))
        decode = self._endpoints.by_key(ctx.service.name, answer.decode)
        size = kv_forecast.StreamSize(
            ask.prompt_tokens, answer.expected_tokens, ask.max_tokens
        )
        self._record(ask.number, decode.key, size, answer.queued_s)
        self._log.event(
            "decode_placed",
            request=ctx.req.id,
            endpoint=decode.key,
            prefill=answer.prefill,
            placer=decided_by,
            number=ask.number,
            queued_s=round(answer.queued_s, 4),
            waited_s=round(ctx.age_s(), 4),
            left_s=round(ctx.remaining_s(), 3),
        )
        return expression.Ok(
            context.Placement(
                ask.number,
                decode,
                self._endpoints.by_key(ctx.service.name, answer.prefill),
                answer.queued_s,
                decided_by,
            )
        )

    def started(self, number: int) -> None:
        """Notes that the engine generates now, which may be late."""
        stream = self._streams.get(number)
        if stream is not None:
            self._record(number, stream.engine, stream.size, 0.0)

    def end(self, number: int, engine: str, outcome: messages.Outcome) -> None:
        """Gives a place back."""
        self._streams.pop(number, None)
        ended = messages.StreamEnded(
            self._entry.name, self._entry.incarnation, number, engine, outcome
        )
        self._placer.ended(ended)
        self._tell(ended)

    def prefill_ended(self, ended: messages.PrefillEnded) -> None:
        """Records how a prefill went and tells the coordinators."""
        self._outcomes.add_prefill(ended)
        self._tell(ended)

    def stream_id(self, number: int) -> stream_ledger.StreamId:
        """Returns the id of one of this instance's streams."""
        return stream_ledger.StreamId(self._entry.name, number)

    def streams(self) -> tuple[messages.StreamRow, ...]:
        """Returns this instance's streams, for its report."""
        now = self._now()
        return tuple(
            messages.StreamRow(
                number, stream.engine, stream.size, now - stream.starts_at
            )
            for number, stream in self._streams.items()
        )

    def on_answer(self, answer: messages.PlaceAnswer) -> None:
        """Handles a placer's answer; a late one gives its place back."""
        self._order.trust(answer.placer)
        pending = self._pending.get(answer.number)
        if pending is not None:
            pending.answers.put_nowait(answer)
        elif (
            answer.state is messages.PlaceState.GRANTED
            and answer.number not in self._streams
        ):
            self.end(answer.number, answer.decode, messages.Outcome.UNKNOWN)

    def _make_ask(self, ctx: context.ForwardContext) -> messages.PlaceAsk:
        prompt = ctx.req.prompt
        deadline_s = ctx.req.deadline_s
        charge = ctx.charge
        is_charged = charge is None or charge.granted
        return messages.PlaceAsk(
            self._entry.name,
            self._entry.incarnation,
            next(self._numbers),
            ctx.req.id,
            ctx.service.name,
            ctx.route.name,
            ctx.rank(),
            prompt.tokens,
            prompt.max_new_tokens,
            prompt.expected_new_tokens,
            ctx.age_s(),
            -1.0 if deadline_s is None else deadline_s,
            ctx.route.timeout_s,
            ctx.route.target_s,
            ctx.route.patience_s,
            self._entry.data_centre,
            tuple(ctx.failed_keys | self._available.avoided()),
            ctx.only_keys(),
            prompt.shared_parts,
            ctx.workspace_name(),
            0 if is_charged else charge.cost,
            0 if is_charged else charge.counted,
            0 if is_charged else charge.refunded,
        )

    async def _ask(
        self, ask: messages.PlaceAsk
    ) -> tuple[messages.PlaceAnswer, str]:
        """Returns the first decision and the name of who made it."""
        for entry in self._order.responsive():
            if entry.name == self._entry.name:
                break
            answer = await self._ask_other(ask, entry)
            if answer is not None:
                return answer, entry.name
        return await self._placer.place(ask), self._entry.name

    async def _ask_other(
        self, ask: messages.PlaceAsk, entry: forwarding.InstanceEntry
    ) -> messages.PlaceAnswer | None:
        """Asks one coordinator; None if it does not answer."""
        pending = self._pending[ask.number] = _Pending()
        sent_at = self._now()
        try:
            sends = 0
            while sends < MAX_SENDS:
                age_s = ask.age_s + self._now() - sent_at
                self._send(attrs.evolve(ask, age_s=age_s), entry)
                sends += 1
                answer = await _next_answer(pending, ANSWER_TIMEOUT_S)
                while (
                    answer is not None
                    and answer.state is messages.PlaceState.QUEUED
                ):
                    sends = 0
                    answer = await _next_answer(pending, QUEUED_TIMEOUT_S)
                if answer is not None:
                    return answer
        except asyncio.CancelledError:
            self._withdraw(ask, entry)
            raise
        finally:
            del self._pending[ask.number]
        self._order.suspect(entry.name)
        self._withdraw(ask, entry)
        return None

    def _withdraw(
        self, ask: messages.PlaceAsk, entry: forwarding.InstanceEntry
    ) -> None:
        ended = messages.StreamEnded(
            ask.holder,
            ask.incarnation,
            ask.number,
            "",
            messages.Outcome.UNKNOWN,
        )
        self._send(ended, entry)

    def _record(
        self,
        number: int,
        engine: str,
        size: kv_forecast.StreamSize,
        queued_s: float,
    ) -> None:
        now = self._now()
        stream = stream_ledger.Stream(engine, size, now + queued_s)
        self._streams[number] = stream
        self._ledger.add(self.stream_id(number), stream, now)

    def _tell(self, message: messages.Message) -> None:
        for entry in self._order.responsive():
            if entry.name != self._entry.name:
                self._send(message, entry)


def _note_charged(ctx: context.ForwardContext) -> None:
    """Notes that a placer has charged the request to its quota."""
    if ctx.charge is not None:
        ctx.charge.granted = True


async def _next_answer(
    pending: _Pending, timeout_s: float
) -> messages.PlaceAnswer | None:
    try:
        async with asyncio.timeout(timeout_s):
            return await pending.answers.get()
    except TimeoutError:
        return None
