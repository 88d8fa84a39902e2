"""Sends orders that set the role, models and adapters of engines.

An order states the wanted end state, so orders are idempotent. An engine that
ignores fencing tokens gets an order only if the lease is valid for longer than
the order's timeout.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
import expression

from seam_model import endpoint_errors
from seam_model import endpoints
from seam_node import logs
from seam_node import task
from seam_node.controllers import lease as lease_module
from seam_node.ports import clock as clock_port
from seam_node.ports import engine as engine_port

ORDER_TIMEOUT_S = 5.0
PERIOD_S = 5.0
RESEND_AFTER_S = 60.0
"""Time after which an order is sent again if the list does not show it."""


@attrs.frozen
class WantedState:
    """The wanted end state of one engine."""

    role: endpoints.EngineRole
    models: tuple[str, ...]
    adapters: tuple[str, ...] = ()


Records = tuple[endpoints.EndpointRecord, ...]
OnResult = Callable[
    [endpoints.EndpointRecord, endpoints.ModelOrder, expression.Result], None
]


@attrs.frozen
class Apply:
    """Requests that all due orders are sent."""


@attrs.frozen
class _Sent:
    target: WantedState
    fence: int
    at_s: float


class RolesController(task.Task):
    """Sends model orders while it holds the lease.

    `observed` returns the engines as the platform lists them; `decide` returns
    the wanted state of each by engine name, from configuration and measured
    demand. `load_s` returns for how many seconds the loads of an order keep
    the weight store busy; `on_result` is called with each order's outcome.
    """

    def __init__(
        self,
        lease: lease_module.LeaseController,
        engines: engine_port.EngineFactory,
        clock: clock_port.Clock,
        observed: Callable[[], Records],
        decide: Callable[[Records], dict[str, WantedState]],
        load_s: Callable[[endpoints.EndpointRecord, WantedState], float],
        on_result: OnResult = lambda record, order, result: None,
        order_timeout_s: float = ORDER_TIMEOUT_S,
    ):
        """Starts without sent orders."""
        super().__init__("roles")
        self._lease = lease
        self._engines = engines
        self._clock = clock
        self._observed = observed
        self._decide = decide
        self._load_s = load_s
        self._on_result = on_result
        self._timeout_s = order_timeout_s
        self._sent: dict[str, _Sent] = {}
        self._next_load_at_s = float("-inf")
        self._order_count = 0

    async def start(self) -> None:
        """Starts the mailbox loop and the timer."""
        await super().start()
        self.spawn(self._timer())

    async def receive(self, message: Any) -> Any:
        """Handles `Apply`."""
        if isinstance(message, Apply):
            await self._apply()

    async def _timer(self) -> None:
        while True:
            await asyncio.sleep(PERIOD_S)
            self.tell(Apply())

    async def _apply(self) -> None:
        if not self._may_send(checks_fence=True):
            return
        records = self._observed()
        targets = self._decide(records)
        for record in sorted(records, key=lambda item: item.name):
            target = targets.get(record.name)
            if target is None or record.leaving:
                continue
            if _matches(record, target):
                self._sent.pop(record.name, None)
            elif self._needs_order(record.name, target):
                await self._order(record, target)

    def _may_send(self, checks_fence: bool) -> bool:
        valid_s = self._lease.valid_for(self._clock.monotonic())
        if checks_fence:
            return valid_s > 0
        return valid_s > self._timeout_s

    def _needs_order(self, name: str, target: WantedState) -> bool:
        sent = self._sent.get(name)
        if sent is None or sent.target != target:
            return True
        if sent.fence != self._lease.fence():
            return True
        return self._clock.monotonic() - sent.at_s > RESEND_AFTER_S

    async def _order(
        self, record: endpoints.EndpointRecord, target: WantedState
    ) -> None:
        load_s = self._load_s(record, target)
        now = self._clock.monotonic()
        if load_s and now < self._next_load_at_s:
            return
        # The lease is checked last: nothing may be awaited before the send.
        if not self._may_send(record.checks_fence):
            return
        if load_s:
            self._next_load_at_s = now + load_s
        await self._send(record, target)

    async def _send(
        self, record: endpoints.EndpointRecord, target: WantedState
    ) -> None:
        self._order_count += 1
        fence = self._lease.fence()
        order = endpoints.ModelOrder(
            f"{fence}-{self._order_count}",
            fence,
            target.role,
            target.models,
            target.adapters,
        )
        sent_s = self._clock.monotonic()
        done = await self._configure(record, order)
        self._on_result(record, order, done)
        if done.is_ok():
            self._sent[record.name] = _Sent(target, fence, sent_s)

    async def _configure(
        self, record: endpoints.EndpointRecord, order: endpoints.ModelOrder
    ) -> expression.Result[None, endpoint_errors.EndpointError]:
        engine = self._engines.engine(record)
        try:
            async with asyncio.timeout(self._timeout_s):
                return await engine.configure(order, self._timeout_s)
        except TimeoutError:
            return expression.Error(endpoint_errors.EndpointLost(record.name))


def _matches(record: endpoints.EndpointRecord, target: WantedState) -> bool:
    return (
        record.role is target.role
        and set(record.models) == set(target.models)
        and set(record.adapters) == set(target.adapters)
    )


def log_order(
    log: logs.Log,
    record: endpoints.EndpointRecord,
    order: endpoints.ModelOrder,
    result: expression.Result,
) -> None:
    """Logs an order and what became of it."""
    log.event(
        "model_order",
        engine=record.name,
        order=order.order_id,
        role=order.role.value,
        models=",".join(order.models),
        outcome="ok" if result.is_ok() else result.error.code,
    )
