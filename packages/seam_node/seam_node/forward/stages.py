"""Gives engines the stage in which they are needed most.

Only the instance that holds the lease gives orders. The next one follows as
soon as an engine has accepted the one before; an order without an answer may
still be carried out, so the others wait until that is over. The lease is asked
for only while an order is due, so that a fleet whose stages fit costs the
platform nothing.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

import attrs

from seam_model import errors
from seam_model import forwarding
from seam_node.controllers import lease
from seam_node.forward import engine_access
from seam_node.forward import exchange
from seam_node.forward import fleet
from seam_node.forward import workload
from seam_node.ports import wire
from seam_policy import stage_balance

CHECK_S = 0.5
ORDER_TIMEOUT_S = 1.0
CHANGE_S = 14.0
"""Time that an engine takes to end its streams and then to change its stage,
at most."""
LEASE_S = 6.0
HANDOVER_S = 4.2
"""Time after a lease's end in which an order of its holder may arrive."""
OBSERVE_S = 5.0
"""Pause between two looks at the lease."""
OBSERVERS = 3
"""Instances that follow the lease, those whose turn is next."""
SETTLE_S = 1.0
"""How long the list of engines must stay the same before an order."""
SETTLE_LOSS_S = 2.5
"""The same after some were lost, which often come back."""
UNCERTAIN_S = 13.0
"""Time after which an order without an answer has been carried out, if it
ever is."""


@attrs.frozen
class _Due:
    """An engine that should change its stage."""

    endpoint: forwarding.Endpoint
    stage: forwarding.Stage


@attrs.frozen
class _Accepted:
    """An order that an engine carries out."""

    stage: forwarding.Stage
    until: float
    """When the engine should announce its new stage at the latest."""


class StageController:
    """Compares the engines of each service with what the load needs."""

    def __init__(
        self,
        routes: fleet.Routes,
        access: engine_access.EngineAccess,
        load: workload.WorkloadEstimate,
        turn: Callable[[], int],
        tell: Callable[[], None],
        now: Callable[[], float],
    ):
        """Takes what is known of engines and load.

        Args:
            routes: names the services that run on engines.
            access: the engines.
            load: the usual request.
            turn: how many instances should give orders before this one.
            tell: tells the other instances at once.
            now: the clock.
        """
        self._routes = routes
        self._endpoints = access.endpoints
        self._stats = access.stats
        self._load = load
        self._client = access.client
        self._codec = access.codec
        self._turn = turn
        self._tell = tell
        self._now = now
        self._log = access.log
        self._lease: lease.LeaseController | None = None
        self._due: _Due | None = None
        self._observe_at = float("-inf")
        self._accepted: dict[str, _Accepted] = {}
        """Orders whose engines still announce their earlier stage, by key."""
        self._seen: frozenset[str] = frozenset()
        self._settled_at = float("inf")
        self._next_order_at = float("-inf")
        self._task: asyncio.Task | None = None

    def use(self, held: lease.LeaseController) -> None:
        """Sets the lease under which orders are given."""
        self._lease = held

    async def start(self) -> None:
        """Starts to compare."""
        self._task = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Stops giving orders."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _wants(self) -> bool:
        return self._turn() == 0

    def order_due(self) -> bool:
        """Tells whether this instance should hold the lease."""
        return self._due is not None and self._wants()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_S)
            self._observe()
            due = self._find_due()
            self._note(due)
            if self._due is None or not self._wants():
                continue
            if self._lease.valid_for(self._now()) <= ORDER_TIMEOUT_S:
                self._lease.tell(lease.Tick())
                continue
            await self._order(self._due)

    def _observe(self) -> None:
        """Reads the lease now and then, so that its age is known in time."""
        if self._turn() < OBSERVERS and self._now() >= self._observe_at:
            self._observe_at = self._now() + OBSERVE_S
            self._lease.tell(lease.Observe())

    def _note(self, due: _Due | None) -> None:
        """Logs when it changes what should be ordered."""
        before, self._due = self._due, due
        if due is not None and due != before:
            self._log.event(
                "stage_due",
                endpoint=due.endpoint.id,
                stage=due.stage.value,
                gives_orders=self._wants(),
                lease_s=round(self._lease.valid_for(self._now()), 2),
            )

    def _find_due(self) -> _Due | None:
        table = self._routes.table
        if table is None:
            return None
        engines = [
            each
            for spec in table.services.values()
            if spec.engine is not None
            for each in self._endpoints.usable(spec.name)
        ]
        if not self._is_settled(engines):
            return None
        for spec in table.services.values():
            due = self._due_of(spec)
            if due is not None:
                return due
        return None

    def _is_settled(self, engines: list[forwarding.Endpoint]) -> bool:
        """Tells whether the same engines have been there for a while."""
        seen = frozenset(each.key for each in engines)
        now = self._now()
        if seen != self._seen:
            quick = self._seen <= seen or self._lacks_a_stage(engines)
            settle_s = SETTLE_S if quick else SETTLE_LOSS_S
            self._settled_at = now + settle_s
            self._seen = seen
        return now >= max(self._settled_at, self._next_order_at)

    def _due_of(self, spec: forwarding.ServiceSpec) -> _Due | None:
        if spec.engine is None:
            return None
        engines = self._endpoints.usable(spec.name)
        prefill = self._in_stage(engines, forwarding.Stage.PREFILL)
        decode = self._in_stage(engines, forwarding.Stage.DECODE)
        current = stage_balance.StageSplit(len(prefill), len(decode))
        size = stage_balance.EngineSize(
            spec.engine.slots, spec.engine.kv_tokens
        )
        best = stage_balance.target_split(current, size, self._load.current())
        if best.prefill == current.prefill:
            return None
        fewer, stage = (
            (prefill, forwarding.Stage.DECODE)
            if best.prefill < current.prefill
            else (decode, forwarding.Stage.PREFILL)
        )
        free = [each for each in fewer if each.key not in self._accepted]
        return _Due(_most_crowded(free), stage) if free else None

    def _in_stage(
        self,
        engines: Sequence[forwarding.Endpoint],
        stage: forwarding.Stage,
    ) -> list[forwarding.Endpoint]:
        """Returns the engines that have a stage or were ordered to it."""
        return [each for each in engines if self._stage_of(each) is stage]

    def _stage_of(self, engine: forwarding.Endpoint) -> forwarding.Stage:
        accepted = self._accepted.get(engine.key)
        if accepted is None:
            return engine.stage
        if accepted.stage is engine.stage or accepted.until <= self._now():
            del self._accepted[engine.key]
            return engine.stage
        return accepted.stage

    def _lacks_a_stage(self, engines: list[forwarding.Endpoint]) -> bool:
        """Tells whether a stage is empty that the service needs."""
        stages = {self._stage_of(each) for each in engines}
        if len(engines) == 1:
            return stages == {forwarding.Stage.PREFILL}
        return len(stages) == 1

    async def _order(self, due: _Due) -> None:
        address = due.endpoint.address
        asked = await exchange.ask(
            self._client,
            address,
            self._codec.report_call(due.endpoint),
            ORDER_TIMEOUT_S,
        )
        report = (
            None if asked.is_error() else self._codec.decode_report(asked.ok)
        )
        if report is None or report.busy:
            return
        if self._lease.valid_for(self._now()) <= ORDER_TIMEOUT_S:
            return
        self._next_order_at = self._now() + UNCERTAIN_S
        fence = self._lease.fence()
        self._stats.avoid(due.endpoint.key, self._now() + CHANGE_S)
        self._tell()
        order = wire.StageOrder(due.stage, fence, report.accepted_orders)
        done = await exchange.ask(
            self._client,
            address,
            self._codec.stage_order_call(due.endpoint, order),
            ORDER_TIMEOUT_S,
        )
        if done.is_ok():
            until = self._now() + CHANGE_S
            self._accepted[due.endpoint.key] = _Accepted(due.stage, until)
            self._next_order_at = self._now()
        elif isinstance(done.error, errors.EndpointRefused):
            self._stats.stop_avoiding(due.endpoint.key)
        self._log.event(
            "stage_ordered",
            endpoint=due.endpoint.id,
            stage=due.stage.value,
            fence=fence,
            orders_before=report.accepted_orders,
            outcome="ok" if done.is_ok() else done.error.code,
            detail="" if done.is_ok() else done.error.describe(),
        )


def _most_crowded(
    engines: list[forwarding.Endpoint],
) -> forwarding.Endpoint:
    """Returns an engine of the data centre that has most of them."""
    counts: dict[str, int] = {}
    for each in engines:
        counts[each.data_centre] = counts.get(each.data_centre, 0) + 1
    return max(engines, key=lambda e: (counts[e.data_centre], e.id))
