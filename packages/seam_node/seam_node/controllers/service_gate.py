"""Limits the calls in progress at each plain service, by rank.

Each instance limits its calls to a service by a slot ledger, of the same kind
that engines have at their owners: urgent calls first, a minimum share for the
other rank, fair shares between workspaces, and fewer slots while answers are
too slow.
"""

import asyncio
import contextlib

import attrs
import expression

from seam_model import config
from seam_model import errors
from seam_node.controllers import engines
from seam_node.ports import clock
from seam_policy import ledger
from seam_policy import slot_requests

MIN_SLOTS = 2
PERMIT_ID_BYTES = 8

PermitResult = expression.Result["Permit", errors.SeamError]


@attrs.frozen
class CallerShare:
    """Rank and workspace of a call."""

    rank: int
    workspace: str


@attrs.frozen
class Permit:
    """Permission to have one call in progress."""

    service: str
    permit_id: bytes


class ServiceGates:
    """Concurrency limits of all services on this instance.

    Used only on the event loop's thread. Only `acquire` waits.
    """

    def __init__(self, directory: engines.EngineDirectory, clk: clock.Clock):
        """Starts without ledgers; `directory` has the listed endpoints."""
        self._directory = directory
        self._clock = clk
        self._ledgers: dict[str, ledger.SlotLedger] = {}
        self._waiting: dict[bytes, asyncio.Future] = {}
        self._last_id = 0

    def ledgers(self) -> dict[str, ledger.SlotLedger]:
        """Returns the ledgers by service, for status and metrics."""
        return dict(self._ledgers)

    async def acquire(
        self,
        service: str,
        share: CallerShare,
        wait_s: float,
        rule: config.Admission,
    ) -> PermitResult:
        """Waits at most `wait_s` seconds for a permit.

        Errors: `NoEndpoint` without a listed endpoint, `Overloaded`.
        """
        slot_ledger = self._ledger(service, rule)
        if slot_ledger is None:
            return expression.Error(errors.NoEndpoint(service))
        self._last_id += 1
        permit = Permit(service, self._last_id.to_bytes(PERMIT_ID_BYTES))
        fut = asyncio.get_running_loop().create_future()
        self._waiting[permit.permit_id] = fut
        request = slot_requests.SlotRequest(
            permit.permit_id, share.rank, share.workspace, wait_s, 0, 1, 0.0
        )
        try:
            self._deliver(
                slot_ledger.request_slot(request, self._clock.monotonic())
            )
            decision = await self._answer(slot_ledger, permit, fut, wait_s)
        except asyncio.CancelledError:
            self._cancel(slot_ledger, permit)
            raise
        if isinstance(decision, slot_requests.Granted):
            return expression.Ok(permit)
        return expression.Error(errors.Overloaded(decision.reason.value))

    def release(self, permit: Permit, took_s: float, failed: bool) -> None:
        """Releases a permit and records the duration of its call."""
        slot_ledger = self._ledgers[permit.service]
        now = self._clock.monotonic()
        self._deliver(
            slot_ledger.release(permit.permit_id, 1, took_s, failed, now)
        )

    # Ledgers

    def _ledger(
        self, service: str, rule: config.Admission
    ) -> ledger.SlotLedger | None:
        count = len(self._directory.services(service))
        if not count:
            return None
        limits = slot_requests.LedgerLimits(
            slots=count * rule.service_slots,
            other_floor=rule.other_floor,
            urgent_reserve=rule.urgent_reserve,
            queue_limit=rule.queue_limit,
            overbook=0,
            min_slots=MIN_SLOTS,
            per_token_target_s=rule.service_target_s,
            per_token_s=rule.service_target_s / 2,
        )
        slot_ledger = self._ledgers.get(service)
        if slot_ledger is None:
            slot_ledger = ledger.SlotLedger(limits)
            self._ledgers[service] = slot_ledger
        slot_ledger.configure(limits)
        return slot_ledger

    async def _answer(
        self,
        slot_ledger: ledger.SlotLedger,
        permit: Permit,
        fut: asyncio.Future,
        wait_s: float,
    ) -> slot_requests.Decision:
        with contextlib.suppress(TimeoutError):
            return await asyncio.wait_for(asyncio.shield(fut), wait_s)
        self._cancel(slot_ledger, permit)
        return await fut

    def _cancel(self, slot_ledger: ledger.SlotLedger, permit: Permit) -> None:
        now = self._clock.monotonic()
        self._deliver(slot_ledger.cancel(permit.permit_id, now))
        fut = self._waiting.pop(permit.permit_id, None)
        if fut is not None and not fut.done():
            reason = slot_requests.DeclineReason.DROPPED
            fut.set_result(slot_requests.Declined(permit.permit_id, reason))

    def _deliver(self, decisions: list[slot_requests.Decision]) -> None:
        for decision in decisions:
            fut = self._waiting.pop(decision.request_id, None)
            if fut is not None and not fut.done():
                fut.set_result(decision)
