"""Assigns engines to the prefill or decode stage according to the load.

Only the holder of the stage lease sends orders, one at a time. The next order
follows as soon as an engine has accepted the previous one. An order whose
answer was lost may still take effect, so the next one waits until it can no
longer do so. The lease is requested only while an order is due, so a balanced
fleet causes no load on the platform.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

import attrs

from seam_model import endpoint_errors
from seam_model import forwarding
from seam_node.controllers import lease
from seam_node.forward.endpoints import engine_access
from seam_node.forward.endpoints import exchange
from seam_node.forward.placement import workload
from seam_node.forward.store import catalog_state
from seam_node.ports import wire
from seam_policy import stage_balance

CHECK_INTERVAL_S = 0.5
MIN_SERVER_ERROR_STATUS = 500
"""From this status on, an order's answer does not tell whether it is carried
out."""
ORDER_TIMEOUT_S = 1.0
STAGE_CHANGE_MAX_S = 14.0
"""Longest time an engine needs to finish its streams and change its stage."""
LEASE_S = 6.0
LEASE_READ_INTERVAL_S = 5.0
"""Interval between reads of the lease."""
MAX_LEASE_OBSERVERS = 3
"""Number of instances, in succession order, that read the lease regularly."""
MIN_UNCHANGED_S = 1.0
"""How long the set of engines must be unchanged before an order is sent."""
MIN_UNCHANGED_AFTER_LOSS_S = 2.5
"""The same after engines disappeared, because they often return."""
UNANSWERED_ORDER_WAIT_S = 13.0
"""Time after which an unanswered order has either taken effect or never
will."""


@attrs.frozen
class _StageChange:
    """A stage change that an engine should make."""

    endpoint: forwarding.Endpoint
    stage: forwarding.Stage


@attrs.frozen
class _AcceptedOrder:
    """An accepted order whose stage change is in progress."""

    stage: forwarding.Stage
    until: float
    """Time by which the engine should have announced its new stage."""


class StageController:
    """Balances the prefill and decode engines of each service."""

    def __init__(
        self,
        routes: catalog_state.Routes,
        access: engine_access.EngineAccess,
        load: workload.WorkloadEstimate,
        order_position: Callable[[], int],
        now: Callable[[], float],
    ):
        """Creates a controller without a lease; see `set_lease`.

        Args:
            routes: the configuration, which names the engine services.
            access: the engines, their statistics and the client.
            load: average size and output rate of requests.
            order_position: returns how many instances precede this one in the
                succession for sending orders; 0 for the first.
            now: the clock.
        """
        self._routes = routes
        self._endpoints = access.endpoints
        self._stats = access.stats
        self._available = access.available
        self._load = load
        self._client = access.client
        self._codec = access.codec
        self._order_position = order_position
        self._now = now
        self._log = access.log
        self._lease: lease.LeaseController | None = None
        self._pending_change: _StageChange | None = None
        self._observe_at = float("-inf")
        self._accepted_orders: dict[str, _AcceptedOrder] = {}
        """Orders whose engines still announce their old stage, by key."""
        self._engine_keys: frozenset[str] = frozenset()
        self._stable_at = float("inf")
        self._next_order_at = float("-inf")
        self._task: asyncio.Task | None = None

    def set_lease(self, stage_lease: lease.LeaseController) -> None:
        """Sets the lease that authorizes orders."""
        self._lease = stage_lease

    async def start(self) -> None:
        """Starts the balancing loop."""
        self._task = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Stops the balancing loop."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def observe_soon(self) -> None:
        """Reads the lease soon, as the time from a restore counts anew."""
        self._observe_at = float("-inf")

    def _is_next(self) -> bool:
        return self._order_position() == 0

    def wants_lease(self) -> bool:
        """Returns whether this instance should hold the lease."""
        return self._pending_change is not None and self._is_next()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._observe()
            change = self._find_change()
            self._set_pending_change(change)
            if self._pending_change is None or not self._is_next():
                continue
            if self._lease.valid_for(self._now()) <= ORDER_TIMEOUT_S:
                self._lease.tell(lease.Tick())
                continue
            await self._order(self._pending_change)

    def _observe(self) -> None:
        """Requests a read of the lease at a fixed interval.

        A successor may acquire the lease only after observing it unchanged
        for its duration and the handover time, so it must read it in advance.
        """
        if (
            self._order_position() < MAX_LEASE_OBSERVERS
            and self._now() >= self._observe_at
        ):
            self._observe_at = self._now() + LEASE_READ_INTERVAL_S
            self._lease.tell(lease.Observe())

    def _set_pending_change(self, change: _StageChange | None) -> None:
        """Sets the pending stage change and logs a new one."""
        before, self._pending_change = self._pending_change, change
        if change is not None and change != before:
            self._log.event(
                "stage_due",
                endpoint=change.endpoint.id,
                stage=change.stage.value,
                gives_orders=self._is_next(),
                lease_s=round(self._lease.valid_for(self._now()), 2),
            )

    def _find_change(self) -> _StageChange | None:
        table = self._routes.table
        if table is None:
            return None
        engines = [
            each
            for spec in table.services.values()
            if spec.engine is not None
            for each in self._endpoints.usable(spec.name)
        ]
        if not self._is_stable(engines):
            return None
        for spec in table.services.values():
            change = self._change_for(spec)
            if change is not None:
                return change
        return None

    def _is_stable(self, engines: list[forwarding.Endpoint]) -> bool:
        """Returns whether the set of engines has been unchanged long enough."""
        keys = frozenset(each.key for each in engines)
        now = self._now()
        if keys != self._engine_keys:
            settles_fast = self._engine_keys <= keys or self._has_empty_stage(
                engines
            )
            min_unchanged_s = (
                MIN_UNCHANGED_S if settles_fast else MIN_UNCHANGED_AFTER_LOSS_S
            )
            self._stable_at = now + min_unchanged_s
            self._engine_keys = keys
        return now >= max(self._stable_at, self._next_order_at)

    def _change_for(self, spec: forwarding.ServiceSpec) -> _StageChange | None:
        if spec.engine is None:
            return None
        engines = self._endpoints.usable(spec.name)
        prefill = self._in_stage(engines, forwarding.Stage.PREFILL)
        decode = self._in_stage(engines, forwarding.Stage.DECODE)
        current = stage_balance.StageSplit(len(prefill), len(decode))
        size = stage_balance.EngineSize(
            spec.engine.slots, spec.engine.kv_tokens
        )
        observed = self._load.is_known()
        load = self._load.current() if observed else self._load.expected()
        target = stage_balance.target_split(current, size, load, observed)
        if target.prefill == current.prefill:
            return None
        donors, stage = (
            (prefill, forwarding.Stage.DECODE)
            if target.prefill < current.prefill
            else (decode, forwarding.Stage.PREFILL)
        )
        candidates = [
            each
            for each in donors
            if each.key not in self._accepted_orders
            and self._available.error(each.key) is None
        ]
        return (
            _StageChange(_engine_in_largest_data_centre(candidates), stage)
            if candidates
            else None
        )

    def _in_stage(
        self,
        engines: Sequence[forwarding.Endpoint],
        stage: forwarding.Stage,
    ) -> list[forwarding.Endpoint]:
        """Returns the engines in a stage, accepted orders included."""
        return [each for each in engines if self._stage_of(each) is stage]

    def _stage_of(self, engine: forwarding.Endpoint) -> forwarding.Stage:
        order = self._accepted_orders.get(engine.key)
        if order is None:
            return engine.stage
        if order.stage is engine.stage or order.until <= self._now():
            del self._accepted_orders[engine.key]
            return engine.stage
        return order.stage

    def _has_empty_stage(self, engines: list[forwarding.Endpoint]) -> bool:
        """Returns whether a stage that the service needs has no engine."""
        stages = {self._stage_of(each) for each in engines}
        if len(engines) == 1:
            return stages == {forwarding.Stage.PREFILL}
        return len(stages) == 1

    async def _order(self, change: _StageChange) -> None:
        address = change.endpoint.address
        response = await exchange.call_endpoint(
            self._client,
            address,
            self._codec.report_call(change.endpoint),
            ORDER_TIMEOUT_S,
        )
        report = (
            None
            if response.is_error()
            else self._codec.decode_report(response.ok)
        )
        if report is None or report.busy:
            return
        if self._lease.valid_for(self._now()) <= ORDER_TIMEOUT_S:
            return
        self._next_order_at = self._now() + UNANSWERED_ORDER_WAIT_S
        fence = self._lease.fence()
        self._stats.exclude(
            change.endpoint.key, self._now() + STAGE_CHANGE_MAX_S
        )
        order = wire.StageOrder(change.stage, fence, report.accepted_orders)
        done = await exchange.call_endpoint(
            self._client,
            address,
            self._codec.stage_order_call(change.endpoint, order),
            ORDER_TIMEOUT_S,
        )
        if done.is_ok():
            until = self._now() + STAGE_CHANGE_MAX_S
            self._accepted_orders[change.endpoint.key] = _AcceptedOrder(
                change.stage, until
            )
            self._next_order_at = self._now()
        elif _is_not_accepted(done.error):
            self._stats.include(change.endpoint.key)
        self._log.event(
            "stage_ordered",
            endpoint=change.endpoint.id,
            stage=change.stage.value,
            fence=fence,
            orders_before=report.accepted_orders,
            outcome="ok" if done.is_ok() else done.error.code,
            detail="" if done.is_ok() else done.error.describe(),
        )


def _is_not_accepted(error: endpoint_errors.EndpointError) -> bool:
    """Returns whether an order is certain not to be carried out."""
    if isinstance(error, endpoint_errors.EndpointRefused):
        return error.status < MIN_SERVER_ERROR_STATUS
    return isinstance(error, endpoint_errors.EndpointUnavailable)


def _engine_in_largest_data_centre(
    engines: list[forwarding.Endpoint],
) -> forwarding.Endpoint:
    """Returns an engine of the data centre that has most of the engines."""
    counts: dict[str, int] = {}
    for each in engines:
        counts[each.data_centre] = counts.get(each.data_centre, 0) + 1
    return max(engines, key=lambda e: (counts[e.data_centre], e.id))
