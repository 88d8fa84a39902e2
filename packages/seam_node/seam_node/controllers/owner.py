"""Keeps the slot ledgers of the engines that this instance owns."""

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

TICK_S = 0.01
NOT_OWNER = "not_owner"
MICROS_PER_S = 1e6
FIRST_REPORT_S = 0.3
"""Longest wait of the first asks for a report of what the engine holds."""


@attrs.frozen
class Observed:
    """A load report of an owned engine."""

    report: endpoints.LoadReport


@attrs.frozen
class _Asker:
    fut: asyncio.Future
    rank: int


@attrs.frozen
class Reconfigure:
    """Asks the controller to apply changed settings to its ledgers."""


@attrs.frozen
class _Tick:
    pass


@attrs.frozen
class _Unread:
    """The first report of a new ledger's engine did not come."""

    engine: str


@attrs.frozen
class _Held:
    """An ask that waits for the first report."""

    message: peers.SlotRequest
    fut: asyncio.Future


class OwnerController(task.Task):
    """Answers slot requests from the ledgers of owned engines.

    A slot request is answered when its ledger decides, so the answers of
    waiting requests are futures that the mailbox loop completes.
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
        """Registers the slot messages' handlers.

        `defaults` returns the settings in force for an engine.
        """
        super().__init__("owner")
        self._self_name = self_name
        self._directory = directory
        self._owners = owners
        self._defaults = defaults
        self._clock = clk
        self._ledgers: dict[str, ledger.SlotLedger] = {}
        self._busy = asyncio.Event()
        """Set while an ask waits, so that an idle owner does not tick."""
        self._waiting: dict[tuple[str, bytes], _Asker] = {}
        self._unread: dict[str, list[_Held]] = {}
        """Asks for engines whose ledgers are new, by engine."""
        network.register_handler(peers.SlotRequest, self._on_request)
        network.register_handler(peers.SlotRelease, self._on_release)

    async def start(self) -> None:
        """Starts the mailbox loop and the ledgers' timer."""
        await super().start()
        self.spawn(self._tick_loop())

    def ledgers(self) -> dict[str, ledger.SlotLedger]:
        """Returns the ledgers by engine, for status and metrics."""
        return dict(self._ledgers)

    async def receive(self, message: Any) -> Any:
        """Handles slot messages, load reports and ticks."""
        match message:
            case peers.SlotRequest():
                return self._ask(message)
            case peers.SlotRelease():
                self._release(message)
            case Observed(report):
                self._observe(report)
                self._answer_held(report.engine)
            case _Unread(engine):
                self._answer_held(engine)
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
            await self._busy.wait()
            await asyncio.sleep(TICK_S)
            self.tell(_Tick())
            if not self._waiting:
                self._busy.clear()

    # Messages

    def _ask(self, message: peers.SlotRequest) -> asyncio.Future:
        fut = asyncio.get_running_loop().create_future()
        book = self._ledger(message.engine)
        if book is None:
            fut.set_result(_not_owner())
            return fut
        if message.engine in self._unread:
            self._unread[message.engine].append(_Held(message, fut))
            return fut
        self._ask_ledger(book, message, fut)
        return fut

    def _ask_ledger(
        self,
        book: ledger.SlotLedger,
        message: peers.SlotRequest,
        fut: asyncio.Future,
    ) -> None:
        key = (message.engine, message.request_id)
        self._waiting[key] = _Asker(fut, message.rank)
        self._busy.set()
        ask = slot_requests.SlotRequest(
            message.request_id,
            message.rank,
            message.workspace,
            message.wait_s,
            message.kv_blocks,
            message.tokens,
            message.lead_s,
        )
        now = self._clock.monotonic()
        self._deliver(message.engine, book.request_slot(ask, now), now)

    def _answer_held(self, engine: str) -> None:
        """Asks for those that waited for the engine's first report."""
        for held in self._unread.pop(engine, ()):
            book = self._ledger(engine)
            if book is not None:
                self._ask_ledger(book, held.message, held.fut)
            else:
                held.fut.set_result(_not_owner())

    def _release(self, message: peers.SlotRelease) -> None:
        book = self._ledgers.get(message.engine)
        if book is None:
            return
        held = self._unread.get(message.engine, [])
        for each in tuple(held):
            if each.message.request_id == message.request_id:
                held.remove(each)
                each.fut.set_result(_not_owner())
        now = self._clock.monotonic()
        if not message.tokens:
            actions = book.cancel(message.request_id, now)
        else:
            actions = book.release(
                message.request_id,
                message.tokens,
                message.per_token_us / MICROS_PER_S,
                message.failed,
                now,
            )
        self._deliver(message.engine, actions, now)

    def _observe(self, report: endpoints.LoadReport) -> None:
        book = self._ledger(report.engine)
        if book is None:
            return
        now = self._clock.monotonic()
        streams = {ids.pack(held.request_id) for held in report.streams}
        actions = book.reconcile(
            report.running,
            report.kv_blocks_free,
            now,
            report.age_s,
            streams if streams or not report.running else None,
        )
        self._deliver(report.engine, actions or [], now)

    def _tick(self) -> None:
        now = self._clock.monotonic()
        for engine in dict.fromkeys(key[0] for key in self._waiting):
            book = self._ledgers.get(engine)
            if book is not None:
                self._deliver(engine, book.tick(now), now)

    # Ledgers

    def _reconfigure(self) -> None:
        for engine, book in self._ledgers.items():
            record = self._directory.record(engine)
            if record is not None:
                book.configure(self._limits(record))

    def _ledger(self, engine: str) -> ledger.SlotLedger | None:
        if self._owners.owner_of(engine) != self._self_name:
            self._drop(engine)
            return None
        if engine not in self._ledgers:
            record = self._directory.record(engine)
            self._ledgers[engine] = ledger.SlotLedger(self._limits(record))
            self._unread[engine] = []
            self.spawn(self._read_first(engine))
        return self._ledgers[engine]

    async def _read_first(self, engine: str) -> None:
        """Learns what the engine holds already, by the owner before."""
        load = self._directory.engine(engine).load()
        try:
            report = await asyncio.wait_for(load, FIRST_REPORT_S)
        except TimeoutError:
            self.tell(_Unread(engine))
            return
        if report.is_error():
            self.tell(_Unread(engine))
        else:
            self.tell(Observed(report.ok))

    def _drop(self, engine: str) -> None:
        """Forgets the ledger of an engine that another instance owns now."""
        if self._ledgers.pop(engine, None) is None:
            return
        for held in self._unread.pop(engine, ()):
            held.fut.set_result(_not_owner())
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
        self, engine: str, actions: list[slot_requests.Decision], now: float
    ) -> None:
        book = self._ledgers[engine]
        for action in actions:
            asker = self._waiting.pop((engine, action.request_id), None)
            if asker is None or asker.fut.done():
                continue
            asker.fut.set_result(_answer(book, action, asker.rank, now))


def _not_owner() -> peers.SlotAnswer:
    return peers.SlotAnswer(False, NOT_OWNER, 0, 0.0)


def _answer(
    book: ledger.SlotLedger,
    action: slot_requests.Decision,
    rank: int,
    now: float,
) -> peers.SlotAnswer:
    granted = isinstance(action, slot_requests.Granted)
    return peers.SlotAnswer(
        granted=granted,
        reason="" if granted else action.reason.value,
        free_slots=book.free_slots(rank, now),
        wait_s=book.estimated_wait_s(rank, now),
        delay_s=action.delay_s if granted else 0.0,
    )
