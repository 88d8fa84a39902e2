"""Grants places at engines to the requests of all instances.

One instance of the fleet does this for all others, so that it knows every
stream at once; see `coordinators`. It does no I/O.
"""

import asyncio
from collections.abc import Callable
import math

import attrs

from seam_model import forwarding
from seam_node import logs
from seam_node.forward.fleet import messages
from seam_node.forward.placement import decode_engines
from seam_node.forward.placement import prefill_engines
from seam_node.forward.placement import prompt_guard
from seam_node.forward.placement import workload
from seam_node.forward.quota import keeper
from seam_policy import decode_choice
from seam_policy import kv_forecast
from seam_policy import output_length
from seam_policy import place_queue
from seam_policy import quarantine
from seam_policy import retry_after_schedule
from seam_policy import returning_callers
from seam_policy import stream_ledger

SERVE_INTERVAL_S = 0.025
"""Interval at which waiting requests are tried again."""
LATE_MAX_PREFILL_QUEUE_S = 0.15
"""Queue of a prefill engine beyond which late requests wait."""
LAST_CHANCE_S = 0.5
"""Remaining wait from which a late request may take the last capacity."""
IN_PLACE_PREFILL_SPEED = 0.5
"""Speed of a prefill at a decode engine, relative to a prefill engine."""


@attrs.define(eq=False)
class _Waiting:
    """A queued request."""

    ask: messages.PlaceAsk
    limits: place_queue.Limits
    size: kv_forecast.StreamSize
    answered: asyncio.Future
    ticket: place_queue.Ticket


class Placer:
    """Queues requests for places and grants them in order."""

    def __init__(
        self,
        name: str,
        ledger: stream_ledger.StreamLedger,
        decodes: decode_engines.DecodeEngines,
        prefills: prefill_engines.PrefillEngines,
        load: workload.WorkloadEstimate,
        prompts: prompt_guard.PromptGuard,
        quotas: keeper.QuotaKeeper,
        now: Callable[[], float],
        log: logs.Log,
    ):
        """Creates a placer with empty queues.

        Args:
            name: name of this instance.
            ledger: the streams of all instances.
            decodes: the decode engines.
            prefills: the prefill engines and their queues.
            load: average size and output rate of requests.
            prompts: knows the prompts that crash engines.
            quotas: admits requests to the quotas of workspaces.
            now: the clock.
            log: where grants and refusals are logged.
        """
        self._name = name
        self._log = log
        self._ledger = ledger
        self._prefills = prefills
        self._decodes = decodes
        self._load = load
        self._prompts = prompts
        self._quotas = quotas
        self._now = now
        self._queues: dict[str, place_queue.PlaceQueue] = {}
        self._waiting: dict[tuple[str, place_queue.Ticket], _Waiting] = {}
        self._prefill_of: dict[stream_ledger.StreamId, str] = {}
        """Keys of the prefill engines of the streams granted here."""
        self._output_lengths = output_length.OutputLengthEstimator()
        self._returning = returning_callers.ReturningCallers()
        self._return_times = retry_after_schedule.RetryAfterSchedule()
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        """Returns the number of queued requests."""
        return len(self._waiting)

    async def place(self, ask: messages.PlaceAsk) -> messages.PlaceAnswer:
        """Waits for a place; cancel the call to leave the queue."""
        refusal = self._quotas.refusal(ask)
        if refusal is not None:
            return refusal
        ruling = self._prompts.admit(ask)
        if ruling.verdict is quarantine.Verdict.REFUSED:
            return messages.PlaceAnswer(
                self._name,
                ask.number,
                messages.PlaceState.QUARANTINED,
                retry_after_s=ruling.retry_after_s,
            )
        waiting = self._join(ask)
        try:
            self._serve()
            return await waiting.answered
        except asyncio.CancelledError:
            self._take_back(waiting)
            raise
        finally:
            self._leave(waiting)

    def ended(self, ended: messages.StreamEnded) -> None:
        """Frees the place of a stream and serves the queues."""
        stream_id = stream_ledger.StreamId(ended.holder, ended.number)
        self._ledger.remove(stream_id)
        prefill = self._prefill_of.pop(stream_id, "")
        if prefill:
            # The prompt was not prefilled, or the message about it was lost.
            self._prefills.complete(prefill, stream_id)
        if ended.outcome is messages.Outcome.FULL:
            self._decodes.note_full(ended.engine, self._now())
        elif ended.outcome is messages.Outcome.GONE:
            self._decodes.note_gone(ended.engine, self._now())
        elif ended.outcome is messages.Outcome.SERVED:
            self._decodes.note_served(ended.engine)
        self._serve()

    def forget(self, holder: str) -> None:
        """Drops what is known of the streams of an instance that ended."""
        for stream_id in tuple(self._prefill_of):
            if stream_id.holder == holder:
                del self._prefill_of[stream_id]

    def retain_routes(self, route_names: set[str]) -> None:
        """Drops the statistics of all routes but these."""
        self._returning.retain(route_names)

    def close(self) -> None:
        """Stops serving."""
        if self._timer is not None:
            self._timer.cancel()

    # Queue

    def _join(self, ask: messages.PlaceAsk) -> _Waiting:
        now = self._now()
        arrived_at = now - ask.age_s
        expected_tokens = self._output_lengths.expected_tokens(
            ask.hinted_tokens, ask.max_tokens
        )
        self._load.record_arrival(
            ask.prompt_tokens, kv_forecast.mean_tokens(expected_tokens)
        )
        late = self._returning.is_returning(
            ask.route,
            ask.deadline_s if ask.deadline_s >= 0 else None,
            ask.timeout_s,
        )
        queue = self._queues.setdefault(ask.service, place_queue.PlaceQueue())
        waiting = _Waiting(
            ask,
            place_queue.Limits(arrived_at, ask.target_s, ask.patience_s),
            kv_forecast.StreamSize(
                ask.prompt_tokens, expected_tokens, ask.max_tokens
            ),
            asyncio.get_running_loop().create_future(),
            queue.join(
                ask.rank,
                late,
                arrived_at,
                ask.workspace,
                ask.prompt_tokens + ask.max_tokens,
            ),
        )
        self._waiting[ask.service, waiting.ticket] = waiting
        return waiting

    def _leave(self, waiting: _Waiting) -> None:
        service = waiting.ask.service
        if self._waiting.pop((service, waiting.ticket), None) is None:
            return
        self._queues[service].leave(waiting.ticket)

    def _take_back(self, waiting: _Waiting) -> None:
        """Frees a place that was granted as the asker left."""
        answered = waiting.answered
        if not answered.done() or answered.cancelled():
            return
        answer = answered.result()
        if answer.state is messages.PlaceState.GRANTED:
            ask = waiting.ask
            self.ended(
                messages.StreamEnded(
                    ask.holder,
                    ask.incarnation,
                    ask.number,
                    answer.decode,
                    messages.Outcome.UNKNOWN,
                )
            )

    def _answer(self, waiting: _Waiting, answer: messages.PlaceAnswer) -> None:
        self._leave(waiting)
        if not waiting.answered.done():
            waiting.answered.set_result(answer)

    def _serve(self) -> None:
        """Grants as many places as there are, and refuses the hopeless."""
        now = self._now()
        for service, queue in self._queues.items():
            if queue:
                self._serve_queue(service, queue, now)
        if self._waiting and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(SERVE_INTERVAL_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._serve()

    def _serve_queue(
        self, service: str, queue: place_queue.PlaceQueue, now: float
    ) -> None:
        blocked = {False: False, True: False}
        for ticket in queue:
            waiting = self._waiting[service, ticket]
            if waiting.answered.done():
                # The request was cancelled and leaves the queue next.
                continue
            prefill_s = self._prefill_s(waiting, now)
            if not ticket.late and not waiting.limits.can_be_in_time(
                now, prefill_s
            ):
                self._make_late(service, queue, waiting)
                ticket = waiting.ticket
            if not blocked[ticket.late]:
                blocked[ticket.late] = not self._try(waiting, now)
        self._refuse_hopeless(service, queue, now)

    def _make_late(
        self,
        service: str,
        queue: place_queue.PlaceQueue,
        waiting: _Waiting,
    ) -> None:
        del self._waiting[service, waiting.ticket]
        waiting.ticket = queue.make_late(waiting.ticket)
        self._waiting[service, waiting.ticket] = waiting

    def _refuse_hopeless(
        self, service: str, queue: place_queue.PlaceQueue, now: float
    ) -> None:
        for ahead, ticket in enumerate(queue):
            if not ticket.late:
                continue
            waiting = self._waiting[service, ticket]
            engines = self._decodes.usable(waiting.ask, now)
            interval_s = max(
                self._decodes.interval_s(engines),
                1.0 / self._prefills.limited_rate(service, now),
            )
            time_left_s = min(
                waiting.limits.time_left_s(now, self._prefill_s(waiting, now)),
                self._remaining_s(waiting, now),
            )
            if place_queue.refuse_at_once(ahead, interval_s, time_left_s):
                self._refuse(waiting, engines, interval_s, now)

    def _refuse(
        self,
        waiting: _Waiting,
        engines: decode_engines.UsableEngines | None,
        interval_s: float,
        now: float,
    ) -> None:
        max_retry_s = retry_after_schedule.MAX_SHARE * self._remaining_s(
            waiting, now
        )
        retry_after_s = self._return_times.assign(now, interval_s, max_retry_s)
        count = len(engines.endpoints) if engines else 0
        self._log.event(
            "place_refused",
            request=waiting.ask.request_id,
            holder=waiting.ask.holder,
            late=waiting.ticket.late,
            queued=len(self._waiting),
            engines=count,
            place_each_s=round(interval_s, 4),
            waited_s=round(now - waiting.limits.arrived_at, 4),
            retry_after_s=round(retry_after_s, 3),
        )
        self._answer(
            waiting,
            messages.PlaceAnswer(
                self._name,
                waiting.ask.number,
                messages.PlaceState.FULL,
                late=waiting.ticket.late,
                retry_after_s=retry_after_s,
                engines=count,
            ),
        )

    # Places

    def _try(self, waiting: _Waiting, now: float) -> bool:
        """Grants a place if there is one; returns whether it was answered."""
        ask = waiting.ask
        engines = self._decodes.usable(ask, now)
        if engines is None:
            answer = messages.PlaceAnswer(
                self._name, ask.number, messages.PlaceState.NO_ENGINE
            )
            self._answer(waiting, answer)
            return True
        required = kv_forecast.DemandProfile(
            1,
            kv_forecast.stream_demand(
                waiting.size, 0.0, self._load.output_tokens_s
            ),
        )
        candidates = self._decodes.candidates(ask, engines, now)
        ordered = decode_choice.order(candidates, required, now)
        if waiting.ticket.late:
            ordered = self._choose_late(waiting, ordered, required, now)
        if self._waits_for_prefill(ask, now):
            ordered = [each for each in ordered if each.used.slots == 0]
        if not ordered:
            return False
        decode = engines.by_key(ordered[0].key)
        self._grant(waiting, decode, ordered[0], now)
        return True

    def _waits_for_prefill(self, ask: messages.PlaceAsk, now: float) -> bool:
        """Returns whether all prefill engines have used up their rate limits.

        A decode engine could prefill the prompt, but that would delay all of
        its streams.
        """
        if math.isinf(self._prefills.limited_rate(ask.service, now)):
            return False
        return self._prefills.plan(ask.service, ask.prompt_tokens, now) is None

    def _choose_late(
        self,
        waiting: _Waiting,
        ordered: list[decode_choice.DecodeCandidate],
        required: kv_forecast.DemandProfile,
        now: float,
    ) -> list[decode_choice.DecodeCandidate]:
        """Returns the engines that a late request may use."""
        ask = waiting.ask
        plan = self._prefills.plan(ask.service, ask.prompt_tokens, now)
        prefill_s = self._in_place_s(ask) if plan is None else plan.total_s
        time_left_s = waiting.limits.time_left_s(now, prefill_s)
        if time_left_s < LAST_CHANCE_S:
            return ordered
        if plan is not None and plan.queued_s > LATE_MAX_PREFILL_QUEUE_S:
            return []
        spare = required + self._typical()
        return [each for each in ordered if each.fits(spare)]

    def _typical(self) -> kv_forecast.DemandProfile:
        """Returns the demand of an average stream that starts now."""
        load = self._load.current()
        size = kv_forecast.StreamSize(
            round(load.prompt_tokens),
            round(load.output_tokens),
            round(2 * load.output_tokens),
        )
        return kv_forecast.DemandProfile(
            1, kv_forecast.stream_demand(size, 0.0, load.output_tokens_s)
        )

    def _grant(
        self,
        waiting: _Waiting,
        decode: forwarding.Endpoint,
        candidate: decode_choice.DecodeCandidate,
        now: float,
    ) -> None:
        ask = waiting.ask
        plan = self._prefills.plan(
            ask.service, ask.prompt_tokens, now, decode.data_centre
        )
        prefill_s = self._in_place_s(ask) if plan is None else plan.total_s
        stream_id = stream_ledger.StreamId(ask.holder, ask.number)
        if plan is not None:
            self._prefill_of[stream_id] = plan.endpoint.key
            self._prefills.enqueue(plan.endpoint, stream_id, ask.prompt_tokens)
        self._decodes.take(decode.key)
        self._ledger.add(
            stream_id,
            stream_ledger.Stream(decode.key, waiting.size, now + prefill_s),
            now,
        )
        self._log_grant(waiting, decode, candidate, plan, now)
        self._queues[ask.service].note_served(waiting.ticket)
        self._answer(
            waiting,
            messages.PlaceAnswer(
                self._name,
                ask.number,
                messages.PlaceState.GRANTED,
                decode=decode.key,
                prefill="" if plan is None else plan.endpoint.key,
                queued_s=0.0 if plan is None else plan.queued_s,
                expected_tokens=waiting.size.expected_tokens,
                late=waiting.ticket.late,
                engines=1,
            ),
        )

    # Times

    def _prefill_s(self, waiting: _Waiting, now: float) -> float:
        """Returns the expected duration of a prefill that is sent now."""
        ask = waiting.ask
        plan = self._prefills.plan(ask.service, ask.prompt_tokens, now)
        return self._in_place_s(ask) if plan is None else plan.total_s

    def _in_place_s(self, ask: messages.PlaceAsk) -> float:
        speed = IN_PLACE_PREFILL_SPEED * self._load.current().prefill_tokens_s
        return ask.prompt_tokens / speed

    def _remaining_s(self, waiting: _Waiting, now: float) -> float:
        """Returns the time until the request's deadline."""
        ask = waiting.ask
        allowed_s = ask.timeout_s
        if ask.deadline_s >= 0:
            allowed_s = min(allowed_s, ask.deadline_s)
        return max(0.0, waiting.limits.arrived_at + allowed_s - now)

    def _log_grant(
        self,
        waiting: _Waiting,
        decode: forwarding.Endpoint,
        candidate: decode_choice.DecodeCandidate,
        plan: prefill_engines.PrefillPlan | None,
        now: float,
    ) -> None:
        self._log.event(
            "place_granted",
            request=waiting.ask.request_id,
            holder=waiting.ask.holder,
            endpoint=decode.key,
            prefill="" if plan is None else plan.endpoint.key,
            streams=candidate.used.slots,
            used_tokens=round(candidate.used.peak()),
            kv_tokens=candidate.kv_tokens,
            failing=round(candidate.failure_share, 2),
            late=waiting.ticket.late,
            queued=len(self._waiting),
            waited_s=round(now - waiting.limits.arrived_at, 4),
        )
