"""Polls load reports and cache events of a bounded number of engines."""

import asyncio

from seam_model import endpoints
from seam_node import task
from seam_node.controllers import engines
from seam_node.controllers import owner
from seam_node.controllers import ownership
from seam_node.controllers import planner
from seam_node.controllers import reaper

OWNED_PERIOD_S = 1.0
PREFILL_PERIOD_S = 0.5
MAX_PREFILL_POLLED = 8


class EngineWatch(task.Task):
    """Polls owned decode engines, and the nearest prefill engines."""

    def __init__(
        self,
        self_name: str,
        data_centre: str,
        directory: engines.EngineDirectory,
        owners: ownership.Ownership,
        ledgers: owner.OwnerController,
        plan: planner.Planner,
        stream_reaper: reaper.Reaper,
    ):
        """Passes the reports to `ledgers`, `plan` and `stream_reaper`."""
        super().__init__("engine_watch")
        self._self_name = self_name
        self._data_centre = data_centre
        self._directory = directory
        self._owners = owners
        self._ledgers = ledgers
        self._planner = plan
        self._reaper = stream_reaper
        self._cache_seqs: dict[str, int] = {}

    async def start(self) -> None:
        """Starts the two polling loops."""
        await super().start()
        self.spawn(self._owned_loop())
        self.spawn(self._prefill_loop())

    async def receive(self, message: object) -> None:
        """Ignores messages: this task has none."""

    async def _owned_loop(self) -> None:
        while True:
            for record in self._directory.engines(endpoints.EngineRole.DECODE):
                if self._owners.owner_of(record.name) == self._self_name:
                    self.spawn(self._poll_owned(record.name))
                elif self._planner.reads_reports:
                    self.spawn(self._read_report(record.name))
            await asyncio.sleep(OWNED_PERIOD_S)

    async def _prefill_loop(self) -> None:
        while True:
            for record in self._nearest_prefill_engines():
                self.spawn(self._poll_prefill(record.name))
            await asyncio.sleep(PREFILL_PERIOD_S)

    def _nearest_prefill_engines(self) -> list[endpoints.EndpointRecord]:
        records = list(self._directory.engines(endpoints.EngineRole.PREFILL))
        records.sort(
            key=lambda each: (
                each.data_centre != self._data_centre,
                each.name,
            )
        )
        return records[:MAX_PREFILL_POLLED]

    async def _read_report(self, name: str) -> None:
        load = await self._directory.engine(name).load()
        if load.is_ok():
            self._planner.observe(load.ok)

    async def _poll_owned(self, name: str) -> None:
        engine = self._directory.engine(name)
        load = await engine.load()
        if load.is_error():
            self._directory.suspect(name)
            return
        self._planner.observe(load.ok)
        self._ledgers.tell(owner.ReportReceived(load.ok))
        await self._reaper.cancel_orphans(engine, load.ok)

    async def _poll_prefill(self, name: str) -> None:
        engine = self._directory.engine(name)
        load = await engine.load()
        if load.is_error():
            self._directory.suspect(name)
            return
        self._planner.observe(load.ok)
        events = await engine.cache_events(self._cache_seqs.get(name, 0))
        if events.is_error():
            return
        for event in events.ok:
            self._cache_seqs[name] = event.seq
            self._planner.prefixes.record_event(
                name, event.seq, event.prefix_hash, event.stored
            )
