"""Answers the placement messages of other instances."""

import asyncio
from collections.abc import Callable

import attrs

from seam_model import forwarding
from seam_node import logs
from seam_node.forward.endpoints import endpoint_limits
from seam_node.forward.fleet import messages
from seam_node.forward.placement import engine_outcomes
from seam_node.forward.placement import placer
from seam_node.forward.placement import prompt_guard
from seam_node.forward.placement import workload
from seam_node.forward.quota import fleet_quotas
from seam_policy import stream_ledger

QUEUED_NOTICE_S = 0.02
"""Time after which an asker is told that its request is queued."""
KEEP_ANSWER_S = 2.0
"""Time for which an answer is kept for a repeated ask."""
DROP_SILENT_INTERVAL_S = 0.5


@attrs.frozen
class _AskId:
    holder: str
    incarnation: int
    number: int


@attrs.define(eq=False)
class _Ask:
    """An ask in progress, or its answer."""

    task: asyncio.Task
    answer: messages.PlaceAnswer | None = None


class PlacementService:
    """Runs the placer for other instances and keeps their streams."""

    def __init__(
        self,
        entry: forwarding.InstanceEntry,
        own_placer: placer.Placer,
        ledger: stream_ledger.StreamLedger,
        outcomes: engine_outcomes.EngineOutcomes,
        load: workload.WorkloadEstimate,
        prompts: prompt_guard.PromptGuard,
        limits: endpoint_limits.EndpointLimits,
        quotas: fleet_quotas.FleetQuotas,
        address_of: Callable[[str], forwarding.InstanceEntry | None],
        send: Callable[[messages.Message, forwarding.InstanceEntry], None],
        now: Callable[[], float],
        log: logs.Log,
    ):
        """Creates a service without asks.

        Args:
            entry: this instance.
            own_placer: grants the places.
            ledger: the streams of all instances.
            outcomes: told how engines did at other instances.
            load: told what other instances observed.
            prompts: told which prompts were lost or started there.
            limits: told which limits endpoints named there.
            quotas: told what other instances counted.
            address_of: returns the entry of an instance.
            send: sends a message to an instance.
            now: the clock.
            log: the log.
        """
        self._entry = entry
        self._placer = own_placer
        self._ledger = ledger
        self._outcomes = outcomes
        self._load = load
        self._prompts = prompts
        self._limits = limits
        self._quotas = quotas
        self._address_of = address_of
        self._send = send
        self._now = now
        self._log = log
        self._asks: dict[_AskId, _Ask] = {}
        self._incarnations: dict[str, int] = {}
        self._sweeper: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts dropping the streams of silent instances."""
        self._sweeper = asyncio.ensure_future(self._drop_silent())

    async def close(self) -> None:
        """Cancels all asks."""
        tasks = [ask.task for ask in self._asks.values()]
        if self._sweeper is not None:
            tasks.append(self._sweeper)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._placer.close()

    def on_ask(self, ask: messages.PlaceAsk) -> None:
        """Starts an ask, or answers a repeated one again."""
        if not self._note_holder(ask.holder, ask.incarnation):
            return
        ask_id = _AskId(ask.holder, ask.incarnation, ask.number)
        known = self._asks.get(ask_id)
        if known is None:
            task = asyncio.ensure_future(self._run(ask_id, ask))
            self._asks[ask_id] = _Ask(task)
        elif known.answer is not None:
            self._reply(ask, known.answer)
        else:
            self._reply(ask, self._queued(ask))

    def on_ended(self, ended: messages.StreamEnded) -> None:
        """Frees a place, or ends the ask for it."""
        if not self._note_holder(ended.holder, ended.incarnation):
            return
        ask_id = _AskId(ended.holder, ended.incarnation, ended.number)
        known = self._asks.get(ask_id)
        if known is not None and known.answer is None:
            known.task.cancel()
        self._placer.ended(ended)
        if ended.outcome is messages.Outcome.SERVED:
            self._outcomes.add(ended.engine, failed=False)
        elif ended.outcome in (messages.Outcome.FAILED, messages.Outcome.GONE):
            self._outcomes.add(ended.engine, failed=True)

    def on_prefill_ended(self, ended: messages.PrefillEnded) -> None:
        """Records how a prefill of another instance went."""
        self._outcomes.add_prefill(ended)

    def on_report(self, report: messages.StreamReport) -> None:
        """Replaces the streams of another instance."""
        if not self._note_holder(report.holder, report.incarnation):
            return
        now = self._now()
        streams = {
            row.number: stream_ledger.Stream(
                row.engine, row.size, now - row.age_s
            )
            for row in report.streams
        }
        self._ledger.replace(report.holder, streams, now)
        self._outcomes.exclude(report.excluded)
        self._load.merge(report.holder, report.workload)
        self._quotas.on_report(report)
        entry = self._address_of(report.holder)
        if entry is not None:
            self._prompts.on_report(report.prompts, entry)
            self._limits.on_report(report.limits, entry)

    def on_usage(self, report: messages.UsageReport) -> None:
        """Charges what another instance has counted, to this one's keeper."""
        if self._note_holder(report.holder, report.incarnation):
            self._quotas.on_usage(report)

    def _note_holder(self, holder: str, incarnation: int) -> bool:
        """Notes a holder's incarnation; returns whether it is the latest."""
        known = self._incarnations.get(holder, incarnation)
        if incarnation < known and self._ledger.is_reporting(
            holder, self._now()
        ):
            return False
        if incarnation != known:
            self._ledger.drop_holder(holder)
            self._placer.forget(holder)
        self._incarnations[holder] = incarnation
        return True

    async def _run(self, ask_id: _AskId, ask: messages.PlaceAsk) -> None:
        try:
            placing = asyncio.ensure_future(self._placer.place(ask))
            try:
                await asyncio.wait({placing}, timeout=QUEUED_NOTICE_S)
                if not placing.done():
                    self._reply(ask, self._queued(ask))
                answer = await placing
            finally:
                placing.cancel()
            self._asks[ask_id].answer = answer
            self._reply(ask, answer)
            await asyncio.sleep(KEEP_ANSWER_S)
        finally:
            del self._asks[ask_id]

    def _queued(self, ask: messages.PlaceAsk) -> messages.PlaceAnswer:
        return messages.PlaceAnswer(
            self._entry.name, ask.number, messages.PlaceState.QUEUED
        )

    def _reply(
        self, ask: messages.PlaceAsk, answer: messages.PlaceAnswer
    ) -> None:
        entry = self._address_of(ask.holder)
        if entry is not None:
            self._send(answer, entry)

    async def _drop_silent(self) -> None:
        while True:
            await asyncio.sleep(DROP_SILENT_INTERVAL_S)
            silent = self._ledger.drop_silent(self._now(), self._entry.name)
            for holder in silent:
                self._placer.forget(holder)
                self._log.event("streams_lapsed", "warning", holder=holder)
