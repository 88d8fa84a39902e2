"""Callers that send orders and retry them until the outcome is known."""

import asyncio
import contextlib
import random
from typing import Any

import attrs

from proofs import fleet as fleet_module
from seam_model import ids
from seam_node.filters import base
from standins import history
from standins import virtual_loop

CALL_TIMEOUT_S = 3.0
"""Time after which a caller abandons a connection."""
RETRY_PAUSE_S = 0.4


def _now() -> float:
    return asyncio.get_running_loop().time()


class Call(base.Sink):
    """One order on its own connection."""

    def __init__(self, key: str, instance: str):
        """Opens the connection of an order to an instance."""
        self.key, self.instance = key, instance
        self.start_s, self.end_s = _now(), float("inf")
        self.ctx: base.Context | None = None
        self.broken = False
        self.finished = asyncio.Event()

    async def write(self, data: bytes) -> bool:
        """Fails: the answers of services are not streamed."""
        raise AssertionError(data)

    def is_disconnected(self) -> bool:
        """Returns False: callers of orders do not close early."""
        return False

    def on_disconnect(self, callback: Any) -> None:
        """Ignores the callback: callers of orders do not close early."""

    def finish(self, ctx: base.Context) -> None:
        """Stores the outcome of the filter chain."""
        self.ctx = ctx
        self._end()

    def break_off(self) -> None:
        """Closes without an answer, as a dead process does."""
        self.broken = True
        self._end()

    def _end(self) -> None:
        self.end_s = _now()
        self.finished.set()

    @property
    def refusal(self) -> Any:
        """The refusal of the instance, if any."""
        return self.ctx.refusal if self.ctx else None

    @property
    def reply(self) -> Any:
        """The reply of the service, if any."""
        return self.ctx.reply if self.ctx and not self.refusal else None

    def attempt(self) -> history.Attempt:
        """Returns the record for the history checker."""
        return history.Attempt(
            self.key,
            self.instance,
            self.start_s,
            min(self.end_s, _now()),
            is_order=True,
            status=self.reply.status if self.reply else 0,
            ran=self.refusal.ran.value if self.refusal else "",
            broken=self.broken,
        )


@attrs.define
class Outcome:
    """All replies and refusals that a caller received for its order."""

    key: str
    replies: list[bytes] = attrs.field(factory=list)
    refusals: list[Any] = attrs.field(factory=list)
    """Error code and `ran` (`no` or `unknown`) of each refusal."""


class Senders:
    """Sends orders to a fleet and records the calls."""

    def __init__(self, flt: fleet_module.Fleet):
        """Creates senders to a started fleet."""
        self._fleet = flt
        self._rng = random.Random(flt.rng.getrandbits(32))
        self.calls: list[Call] = []

    def new_key(self, age_s: float = 0.0) -> str:
        """Returns a key that is `age_s` old."""
        wall_s = virtual_loop.VirtualClock().wall()
        return ids.make_uuid7(wall_s - age_s, self._rng)

    def send(self, key: str, name: str) -> Call:
        """Sends one order."""
        call = Call(key, name)
        self.calls.append(call)
        headers = fleet_module.headers(
            idempotency_key=key, x_workspace=fleet_module.WORKSPACE
        )
        body = f'{{"plank":"{key}"}}'.encode()
        raw = base.RawRequest(body, headers, fleet_module.SERVICE, "reserve")
        self._fleet.serve(name, raw, call)
        return call

    async def send_and_wait(self, key: str, name: str) -> Call:
        """Sends one order and waits for its end or the timeout."""
        call = self.send(key, name)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(call.finished.wait(), CALL_TIMEOUT_S)
        return call

    async def send_until_answered(
        self, key: str | None = None, max_attempts: int = 40, repeats: int = 1
    ) -> Outcome:
        """Sends an order to random instances until `repeats` answers came.

        Stops after `max_attempts` attempts.
        """
        outcome = Outcome(key or self.new_key())
        for _ in range(max_attempts):
            name = self._rng.choice(self._fleet.names)
            call = await self.send_and_wait(outcome.key, name)
            if call.reply is not None:
                outcome.replies.append(call.reply.body)
            elif call.refusal is not None:
                error = call.refusal.error.code
                outcome.refusals.append((error, call.refusal.ran.value))
            if len(outcome.replies) == repeats:
                return outcome
            await asyncio.sleep(RETRY_PAUSE_S * self._rng.random())
        return outcome

    async def send_many(
        self, count: int, gap_s: float, **options: Any
    ) -> list[Outcome]:
        """Starts orders at random intervals and waits for all of them."""
        jobs = []
        for _ in range(count):
            jobs.append(
                asyncio.ensure_future(self.send_until_answered(**options))
            )
            await asyncio.sleep(2 * gap_s * self._rng.random())
        return await asyncio.gather(*jobs)

    def record(self) -> None:
        """Adds every attempt to the fleet's history."""
        self._fleet.history.attempts += [c.attempt() for c in self.calls]
