"""Maintains the slot ledgers of the engines that this instance owns."""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs

from seam_model import config
from seam_model import endpoints
from seam_model import ids
from seam_model import peers
from seam_node import task
from seam_node.controllers import engines
from seam_node.controllers import ownership
from seam_node.ports import clock
from seam_node.ports import peer
from seam_policy import ledger
from seam_policy import slot_requests

TICK_INTERVAL_S = 0.01
NOT_OWNER = "not_owner"
MICROS_PER_S = 1e6
FIRST_REPORT_TIMEOUT_S = 0.3
"""Time for which the first requests wait for the engine's load report."""


@attrs.frozen
class ReportReceived:
    """A load report of an owned engine."""

    report: endpoints.LoadReport


@attrs.frozen
class _Waiter:
    fut: asyncio.Future
    rank: int


@attrs.frozen
class Reconfigure:
    """Requests that changed settings are applied to the ledgers."""


@attrs.frozen
class _Tick:
    pass


@attrs.frozen
class _FirstReportMissing:
    """The first load report for a new ledger failed or timed out."""

    engine: str


@attrs.frozen
class _DeferredRequest:
    """A slot request that waits for the first load report."""

    message: peers.SlotRequest
    fut: asyncio.Future


class OwnerController(task.Task):
    """Answers slot requests from the ledgers of owned engines.

    A slot request is answered when its ledger grants or declines it, so the
    answers of waiting requests are futures that the mailbox loop completes.
    """

    def __init__(
        self,
        self_name: str,
        directory: engines.EngineDirectory,
        owners: ownership.Ownership,
        network: peer.PeerNetwork,
        defaults: Callable[[endpoints.EndpointRecord], config.Defaults | None],
        clk: clock.Clock,
    ):
        """Registers the handlers of slot messages.

        `defaults` returns the settings in force for an engine.
        """
        super().__init__("owner")
        self._self_name = self_name
        self._directory = directory
        self._owners = owners
        self._defaults = defaults
        self._clock = clk
        self._ledgers: dict[str, ledger.SlotLedger] = {}
        self._has_waiting = asyncio.Event()
        """Set while a request waits, so that an idle owner runs no ticks."""
        self._waiting: dict[tuple[str, bytes], _Waiter] = {}
        self._awaiting_report: dict[str, list[_DeferredRequest]] = {}
        """Deferred requests by engine, until the engine's first report."""
        network.register_handler(peers.SlotRequest, self._on_request)
        network.register_handler(peers.SlotRelease, self._on_release)

    async def start(self) -> None:
        """Starts the mailbox loop and the timer of the ledgers."""
        await super().start()
        self.spawn(self._tick_loop())

    def ledgers(self) -> dict[str, ledger.SlotLedger]:
        """Returns the ledgers by engine, for status and metrics."""
        return dict(self._ledgers)

    async def receive(self, message: Any) -> Any:
        """Handles slot messages, load reports and ticks."""
        match message:
            case peers.SlotRequest():
                return self._request_slot(message)
            case peers.SlotRelease():
                self._release(message)
            case ReportReceived(report):
                self._observe(report)
                self._submit_deferred(report.engine)
            case _FirstReportMissing(engine):
                self._submit_deferred(engine)
            case Reconfigure():
                self._reconfigure()
            case _Tick():
                self._tick()
        return None

    async def _on_request(
        self, sender: str, message: peers.SlotRequest
    ) -> peers.SlotAnswer:
        del sender
        return await (await self.ask(message))

    async def _on_release(
        self, sender: str, message: peers.SlotRelease
    ) -> None:
        del sender
        self.tell(message)

    async def _tick_loop(self) -> None:
        while True:
            await self._has_waiting.wait()
            await asyncio.sleep(TICK_INTERVAL_S)
            self.tell(_Tick())
            if not self._waiting:
                self._has_waiting.clear()

    # Messages

    def _request_slot(self, message: peers.SlotRequest) -> asyncio.Future:
        fut = asyncio.get_running_loop().create_future()
        slot_ledger = self._ledger(message.engine)
        if slot_ledger is None:
            fut.set_result(_not_owner())
            return fut
        if message.engine in self._awaiting_report:
            self._awaiting_report[message.engine].append(
                _DeferredRequest(message, fut)
            )
            return fut
        self._submit(slot_ledger, message, fut)
        return fut

    def _submit(
        self,
        slot_ledger: ledger.SlotLedger,
        message: peers.SlotRequest,
        fut: asyncio.Future,
    ) -> None:
        key = (message.engine, message.request_id)
        self._waiting[key] = _Waiter(fut, message.rank)
        self._has_waiting.set()
        slot_request = slot_requests.SlotRequest(
            message.request_id,
            message.rank,
            message.workspace,
            message.wait_s,
            message.kv_blocks,
            message.tokens,
            message.lead_s,
        )
        now = self._clock.monotonic()
        self._deliver(
            message.engine, slot_ledger.request_slot(slot_request, now), now
        )

    def _submit_deferred(self, engine: str) -> None:
        """Submits the requests that waited for the engine's first report."""
        for deferred in self._awaiting_report.pop(engine, ()):
            slot_ledger = self._ledger(engine)
            if slot_ledger is not None:
                self._submit(slot_ledger, deferred.message, deferred.fut)
            else:
                deferred.fut.set_result(_not_owner())

    def _release(self, message: peers.SlotRelease) -> None:
        slot_ledger = self._ledgers.get(message.engine)
        if slot_ledger is None:
            return
        deferred = self._awaiting_report.get(message.engine, [])
        for each in tuple(deferred):
            if each.message.request_id == message.request_id:
                deferred.remove(each)
                each.fut.set_result(_not_owner())
        now = self._clock.monotonic()
        if not message.tokens:
            decisions = slot_ledger.cancel(message.request_id, now)
        else:
            decisions = slot_ledger.release(
                message.request_id,
                message.tokens,
                message.per_token_us / MICROS_PER_S,
                message.failed,
                now,
            )
        self._deliver(message.engine, decisions, now)

    def _observe(self, report: endpoints.LoadReport) -> None:
        slot_ledger = self._ledger(report.engine)
        if slot_ledger is None:
            return
        now = self._clock.monotonic()
        streams = {ids.pack(stream.request_id) for stream in report.streams}
        decisions = slot_ledger.reconcile(
            report.running,
            report.kv_blocks_free,
            now,
            report.age_s,
            streams if streams or not report.running else None,
        )
        self._deliver(report.engine, decisions or [], now)

    def _tick(self) -> None:
        now = self._clock.monotonic()
        for engine in dict.fromkeys(key[0] for key in self._waiting):
            slot_ledger = self._ledgers.get(engine)
            if slot_ledger is not None:
                self._deliver(engine, slot_ledger.tick(now), now)

    # Ledgers

    def _reconfigure(self) -> None:
        for engine, slot_ledger in self._ledgers.items():
            record = self._directory.record(engine)
            if record is not None:
                slot_ledger.configure(self._limits(record))

    def _ledger(self, engine: str) -> ledger.SlotLedger | None:
        if self._owners.owner_of(engine) != self._self_name:
            self._drop(engine)
            return None
        if engine not in self._ledgers:
            record = self._directory.record(engine)
            self._ledgers[engine] = ledger.SlotLedger(self._limits(record))
            self._awaiting_report[engine] = []
            self.spawn(self._read_first_report(engine))
        return self._ledgers[engine]

    async def _read_first_report(self, engine: str) -> None:
        """Reads which streams the engine already holds by earlier grants."""
        load = self._directory.engine(engine).load()
        try:
            report = await asyncio.wait_for(load, FIRST_REPORT_TIMEOUT_S)
        except TimeoutError:
            self.tell(_FirstReportMissing(engine))
            return
        if report.is_error():
            self.tell(_FirstReportMissing(engine))
        else:
            self.tell(ReportReceived(report.ok))

    def _drop(self, engine: str) -> None:
        """Discards the ledger of an engine that another instance now owns."""
        if self._ledgers.pop(engine, None) is None:
            return
        for deferred in self._awaiting_report.pop(engine, ()):
            deferred.fut.set_result(_not_owner())
        for key in [key for key in self._waiting if key[0] == engine]:
            fut = self._waiting.pop(key).fut
            if not fut.done():
                fut.set_result(_not_owner())

    def _limits(
        self, record: endpoints.EndpointRecord
    ) -> slot_requests.LedgerLimits:
        defaults = self._defaults(record)
        if defaults is None:
            return slot_requests.LedgerLimits(record.slots, record.kv_blocks)
        return slot_requests.LedgerLimits(
            record.slots,
            record.kv_blocks,
            other_floor=defaults.admission.other_floor,
            urgent_reserve=defaults.admission.urgent_reserve,
            queue_limit=defaults.admission.queue_limit,
        )

    def _deliver(
        self, engine: str, decisions: list[slot_requests.Decision], now: float
    ) -> None:
        slot_ledger = self._ledgers[engine]
        for decision in decisions:
            waiter = self._waiting.pop((engine, decision.request_id), None)
            if waiter is None or waiter.fut.done():
                continue
            waiter.fut.set_result(
                _answer(slot_ledger, decision, waiter.rank, now)
            )


def _not_owner() -> peers.SlotAnswer:
    return peers.SlotAnswer(False, NOT_OWNER, 0, 0.0)


def _answer(
    slot_ledger: ledger.SlotLedger,
    decision: slot_requests.Decision,
    rank: int,
    now: float,
) -> peers.SlotAnswer:
    granted = isinstance(decision, slot_requests.Granted)
    return peers.SlotAnswer(
        granted=granted,
        reason="" if granted else decision.reason.value,
        room=slot_ledger.free_slots(rank, now),
        wait_s=slot_ledger.estimated_wait_s(rank, now),
        delay_s=decision.delay_s if granted else 0.0,
    )
