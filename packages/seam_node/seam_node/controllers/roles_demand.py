"""Measures the utilization of the engine pools whose roles may change.

Only the holder of the lease reads load reports, round-robin from a bounded
number of engines per period. In a fleet with more engines than can be read
within `SAMPLE_TTL_S`, utilization is computed from the recent samples only.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable

import attrs

from seam_model import endpoints
from seam_node import task
from seam_node.controllers import lease
from seam_node.ports import clock
from seam_node.ports import engine
from seam_policy import roles

READ_PERIOD_S = 5.0
READS_PER_PERIOD = 8
SAMPLE_TTL_S = 60.0
"""Age up to which a load report is used."""
FULL_PREFILL_TOKENS = 8192
"""Queued prefill tokens at which a prefill engine counts as full."""

Records = tuple[endpoints.EndpointRecord, ...]


@attrs.frozen
class _Sample:
    utilization: float
    """Share of the engine's capacity in use; 1 is full."""
    busy: int
    at_s: float


class PoolDemand(task.Task):
    """Reads load reports while the lease is held.

    `watched` returns the engines in whose pools a role may change.
    """

    def __init__(
        self,
        roles_lease: lease.LeaseController,
        engines: engine.EngineFactory,
        watched: Callable[[], Records],
        clk: clock.Clock,
    ):
        """Starts without samples."""
        super().__init__("roles_demand")
        self._lease = roles_lease
        self._engines = engines
        self._watched = watched
        self._clock = clk
        self._samples: dict[str, _Sample] = {}
        self._next_index = 0

    async def start(self) -> None:
        """Starts the reading loop."""
        await super().start()
        self.spawn(self._read_loop())

    async def receive(self, message: object) -> None:
        """Ignores messages: this task has none."""

    def busy(self, name: str) -> int:
        """Returns how many requests ran at an engine when it was last read."""
        sample = self._samples.get(name)
        return sample.busy if sample else 0

    def demands(self, records: Iterable[endpoints.EndpointRecord]) -> list:
        """Returns the utilization of both pools of each model with samples."""
        records = tuple(records)
        models = sorted({name for record in records for name in record.models})
        role_demands = []
        for model in models:
            prefill = self._utilization(
                records, model, endpoints.EngineRole.PREFILL
            )
            decode = self._utilization(
                records, model, endpoints.EngineRole.DECODE
            )
            if prefill is not None and decode is not None:
                role_demands.append(roles.RoleDemand(model, prefill, decode))
        return role_demands

    def _utilization(
        self, records: Records, model: str, role: endpoints.EngineRole
    ) -> float | None:
        """Returns the mean utilization of a pool, or None without samples."""
        oldest_s = self._clock.monotonic() - SAMPLE_TTL_S
        utilizations = [
            self._samples[record.name].utilization
            for record in records
            if record.role is role
            and model in record.models
            and record.name in self._samples
            and self._samples[record.name].at_s >= oldest_s
        ]
        return sum(utilizations) / len(utilizations) if utilizations else None

    async def _read_loop(self) -> None:
        while True:
            if self._lease.valid_for(self._clock.monotonic()) > 0:
                await asyncio.gather(*map(self._read, self._next_records()))
            else:
                self._samples.clear()
            await asyncio.sleep(READ_PERIOD_S)

    def _next_records(self) -> list[endpoints.EndpointRecord]:
        records = sorted(self._watched(), key=lambda record: record.name)
        count = min(READS_PER_PERIOD, len(records))
        start, self._next_index = self._next_index, self._next_index + count
        return [records[(start + i) % len(records)] for i in range(count)]

    async def _read(self, record: endpoints.EndpointRecord) -> None:
        load = await self._engines.engine(record).load()
        if load.is_error():
            self._samples.pop(record.name, None)
            return
        report = load.ok
        utilization = report.running / max(1, report.slots)
        if record.role is endpoints.EngineRole.PREFILL:
            utilization = min(
                1.0, report.queued_prefill_tokens / FULL_PREFILL_TOKENS
            )
        at_s = self._clock.monotonic() - report.age_s
        self._samples[record.name] = _Sample(utilization, report.running, at_s)
