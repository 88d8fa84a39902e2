"""Callers that send orders and repeat them until the outcome is known."""

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

PATIENCE_S = 3.0
"""Time after which a caller gives a connection up."""
PAUSE_S = 0.4


def _now() -> float:
    return asyncio.get_running_loop().time()


class Call(base.Sink):
    """One order on a connection of its own."""

    def __init__(self, key: str, instance: str):
        """Takes what is asked of whom."""
        self.key, self.instance = key, instance
        self.start_s, self.end_s = _now(), float("inf")
        self.ctx: base.Context | None = None
        self.broken = False
        self.over = asyncio.Event()

    async def write(self, data: bytes) -> bool:
        """Takes nothing: services do not stream."""
        raise AssertionError(data)

    def gone(self) -> bool:
        """Tells that the caller waits."""
        return False

    def on_gone(self, callback: Any) -> None:
        """Forgets the callback: callers of orders wait."""

    def ended(self, ctx: base.Context) -> None:
        """Takes the outcome of the chain."""
        self.ctx = ctx
        self._end()

    def broke(self) -> None:
        """Closes without an answer, as a dead process does."""
        self.broken = True
        self._end()

    def _end(self) -> None:
        self.end_s = _now()
        self.over.set()

    @property
    def refusal(self) -> Any:
        """What the instance refused, if it did."""
        return self.ctx.refusal if self.ctx else None

    @property
    def reply(self) -> Any:
        """The reply of the service, if it came."""
        return self.ctx.reply if self.ctx and not self.refusal else None

    def attempt(self) -> history.Attempt:
        """Returns what the checker reads."""
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
    """What a caller knows of its order in the end."""

    key: str
    replies: list[bytes] = attrs.field(factory=list)
    refusals: list[Any] = attrs.field(factory=list)
    """Codes of the errors with `no` or `unknown`."""


class Senders:
    """Sends orders to a fleet and records them."""

    def __init__(self, flt: fleet_module.Fleet):
        """Takes a started fleet."""
        self._fleet = flt
        self._rng = random.Random(flt.rng.getrandbits(32))
        self.calls: list[Call] = []

    def new_key(self, age_s: float = 0.0) -> str:
        """Returns a key of now, or of some time ago."""
        wall_s = virtual_loop.VirtualClock().wall()
        return ids.make_uuid7(wall_s - age_s, self._rng)

    def send(self, key: str, name: str) -> Call:
        """Sends one order."""
        call = Call(key, name)
        self.calls.append(call)
        heads = fleet_module.headers(
            idempotency_key=key, x_workspace=fleet_module.WORKSPACE
        )
        body = f'{{"plank":"{key}"}}'.encode()
        raw = base.RawRequest(body, heads, fleet_module.SERVICE, "reserve")
        self._fleet.serve(name, raw, call)
        return call

    async def ask(self, key: str, name: str) -> Call:
        """Sends one order and waits for its end, within limits."""
        call = self.send(key, name)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(call.over.wait(), PATIENCE_S)
        return call

    async def order(
        self, key: str | None = None, tries: int = 40, repeats: int = 1
    ) -> Outcome:
        """Asks anywhere until an answer came `repeats` times, or tries end."""
        outcome = Outcome(key or self.new_key())
        for _ in range(tries):
            name = self._rng.choice(self._fleet.names)
            call = await self.ask(outcome.key, name)
            if call.reply is not None:
                outcome.replies.append(call.reply.body)
            elif call.refusal is not None:
                error = call.refusal.error.code
                outcome.refusals.append((error, call.refusal.ran.value))
            if len(outcome.replies) == repeats:
                return outcome
            await asyncio.sleep(PAUSE_S * self._rng.random())
        return outcome

    async def flow(
        self, count: int, gap_s: float, **options: Any
    ) -> list[Outcome]:
        """Sends orders one after another and waits for all of them."""
        jobs = []
        for _ in range(count):
            jobs.append(asyncio.ensure_future(self.order(**options)))
            await asyncio.sleep(2 * gap_s * self._rng.random())
        return await asyncio.gather(*jobs)

    def record(self) -> None:
        """Puts every attempt into the fleet's history."""
        self._fleet.history.attempts += [c.attempt() for c in self.calls]
