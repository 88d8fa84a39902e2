"""Callers that behave as real ones, and record what they got."""

import asyncio
import collections
import contextvars
import json
from typing import Any

import attrs

from proofs import fleet as fleet_module
from seam_model import errors
from seam_model import ids
from seam_node.filters import base
from standins import history
from standins import virtual_loop

WAY_S = 0.003
"""Time of a message between caller and instance."""
SILENCE_S = 1.5
"""Time without an event after which a caller gives a connection up."""
FIRST_SILENCE_S = 4.0
PAUSE_S = 0.3
_NEUTRAL = contextvars.Context()


@attrs.frozen
class _End:
    refusal: Any = None
    reply: Any = None
    broken: bool = False


def _now() -> float:
    return asyncio.get_running_loop().time()


class Connection(base.Sink):
    """One request on a connection of its own."""

    def __init__(self, request_id: str, instance: str, after_seq: int):
        """Takes what is asked of whom."""
        self.request_id, self.instance = request_id, instance
        self.after_seq = after_seq
        self.silent = False
        """Whether something between the ends drops every byte."""
        self.silent_after = float("inf")
        """Number of events after which it does."""
        self.close_lost = False
        """Whether the instance never hears of the caller's close."""
        self.arrived: asyncio.Queue = asyncio.Queue()
        self.events: list[history.Event] = []
        """What the instance sent, with the time of sending."""
        self.end: _End | None = None
        self.start_s, self.end_s = _now(), float("inf")
        self.left = False
        self._wire: collections.deque = collections.deque()
        self._gone = False
        self._callback: Any = None

    # The instance's side

    async def write(self, data: bytes) -> bool:
        """Sends whole events."""
        if self._gone:
            return False
        for text in data.decode().split("\n\n")[:-1]:
            self.silent |= len(self.events) >= self.silent_after
            if self.silent:
                break
            event, is_done = _parse(text)
            self.events.append(event)
            self._send((event, is_done))
        return True

    def gone(self) -> bool:
        """Tells whether the caller's close was noticed."""
        return self._gone

    def on_gone(self, callback: Any) -> None:
        """Sets what the caller's close calls."""
        self._callback = callback
        if self._gone:
            callback()

    def ended(self, ctx: base.Context) -> None:
        """Takes the outcome of the chain."""
        self.end_s = _now()
        if not self._gone and not self.silent:
            self.end = _End(ctx.refusal, ctx.reply)
            self._send(self.end)

    def broke(self) -> None:
        """Closes without an end, as a dead process does."""
        self.end_s = _now()
        if not self.silent:
            self.end = _End(broken=True)
            self._send(self.end)

    def _send(self, item: Any) -> None:
        self._wire.append(item)
        loop = asyncio.get_running_loop()
        loop.call_later(WAY_S, self._arrive, context=_NEUTRAL.copy())

    def _arrive(self) -> None:
        self.arrived.put_nowait(self._wire.popleft())

    # The caller's side

    def hang_up(self) -> None:
        """Closes; on a silent connection nobody hears of it."""
        self.left = True
        deaf = self.silent or self.close_lost
        if not deaf and self.end is None:
            context = fleet_module.process(self.instance)
            loop = asyncio.get_running_loop()
            loop.call_later(WAY_S, self._closed, context=context)

    def _closed(self) -> None:
        if self._gone or self.end is not None:
            return
        self._gone = True
        if self._callback is not None:
            self._callback()

    def answered(self) -> bool:
        """Tells whether the whole answer was sent on this connection."""
        whole = self.end is not None and self.end.refusal is None
        return whole and not self.end.broken

    def attempt(self) -> history.Attempt:
        """Returns what the checker reads."""
        end = self.end or _End()
        ran = end.refusal.ran.value if end.refusal else ""
        events, tokens = list(self.events), 0
        if self.answered() and events:
            tokens = int(events[-1].text)
            events[-1] = attrs.evolve(events[-1], text="")
        return history.Attempt(
            self.request_id,
            self.instance,
            self.start_s,
            min(self.end_s, _now()),
            after_seq=self.after_seq,
            events=tuple(events),
            done_tokens=tokens,
            ran=ran,
            broken=end.broken and not self.left,
        )


def _parse(text: str) -> tuple[history.Event, bool]:
    fields = dict(line.split(": ", 1) for line in text.split("\n"))
    data = json.loads(fields["data"])
    is_done = fields.get("event") == "done"
    shown = str(data["tokens"]) if is_done else data["text"]
    return history.Event(int(fields["id"]), shown, _now()), is_done


@attrs.define(eq=False)
class Answer:
    """What one caller has of its answer so far."""

    request_id: str
    last_seq: int = 0
    done: bool = False
    refusals: list[Any] = attrs.field(factory=list)
    connections: list[Connection] = attrs.field(factory=list)


class Callers:
    """Sends requests to a fleet and records them."""

    def __init__(self, flt: fleet_module.Fleet):
        """Takes a started fleet."""
        self._fleet = flt
        self.connections: list[Connection] = []

    def new_id(self) -> str:
        """Returns a request id of now."""
        clock = virtual_loop.VirtualClock()
        return ids.make_uuid7(clock.wall(), self._fleet.rng)

    def open(
        self, answer: Answer, name: str, resumes: bool = False, **fields: Any
    ) -> Connection:
        """Sends one request; the last event id goes along if it resumes."""
        conn = Connection(answer.request_id, name, answer.last_seq)
        self.connections.append(conn)
        answer.connections.append(conn)
        heads = fleet_module.headers()
        if resumes:
            heads["last-event-id"] = str(answer.last_seq)
        sent = fleet_module.body(answer.request_id, **fields)
        self._fleet.serve(name, base.RawRequest(sent, heads), conn)
        return conn

    async def read(
        self, answer: Answer, conn: Connection, until_seq: int = 10**9
    ) -> _End | None:
        """Reads until the end, an event, or silence, which gives None."""
        while answer.last_seq < until_seq:
            wait_s = SILENCE_S if conn.events else FIRST_SILENCE_S
            try:
                item = await asyncio.wait_for(conn.arrived.get(), wait_s)
            except TimeoutError:
                return None
            if isinstance(item, _End):
                return item
            event, is_done = item
            answer.last_seq = event.seq
            answer.done = answer.done or is_done
        return None

    async def generate(
        self,
        route: list[str],
        answer: Answer | None = None,
        tries: int = 12,
        silent_after: float = float("inf"),
        **fields: Any,
    ) -> Answer:
        """Asks until the answer is whole or is refused for good."""
        answer = answer or Answer(self.new_id())
        maybe_ran = bool(answer.connections)
        for n in range(tries):
            name = route[n % len(route)]
            conn = self.open(answer, name, maybe_ran, **fields)
            if not maybe_ran:
                conn.silent_after = silent_after
            end = await self.read(answer, conn)
            if answer.done:
                return answer
            if end is None:
                conn.hang_up()
            elif end.refusal is not None:
                answer.refusals.append(end.refusal)
                if _is_final(end.refusal.error):
                    return answer
            unsure = end is None or end.refusal is None
            maybe_ran = maybe_ran or unsure or end.refusal.ran.value != "no"
            if not unsure and _may_start(end.refusal.error, answer):
                maybe_ran = False
            await asyncio.sleep(PAUSE_S)
        return answer

    async def leave_after(
        self, name: str, events: int, **fields: Any
    ) -> tuple[Answer, Connection]:
        """Asks, and closes the connection after some events."""
        answer = Answer(self.new_id())
        conn = self.open(answer, name, **fields)
        await self.read(answer, conn, events)
        conn.hang_up()
        return answer, conn

    def record(self) -> None:
        """Puts every attempt into the fleet's history."""
        self._fleet.history.attempts = [
            conn.attempt() for conn in self.connections
        ]


def _may_start(error: errors.SeamError, answer: Answer) -> bool:
    """Tells whether a caller that has nothing may ask as if anew."""
    return isinstance(error, errors.RunUnknown) and not answer.last_seq


def _is_final(error: errors.SeamError) -> bool:
    kinds = (errors.AlreadyEnded, errors.DeadlinePassed, errors.BadInput)
    return isinstance(error, kinds)


# Sessions


def session(seed, scenario, **options):
    """Runs a scenario on a fresh fleet; returns violations and its result."""

    async def main():
        flt = fleet_module.Fleet(seed, **options)
        await flt.start()
        clients = Callers(flt)
        result = await scenario(flt, clients)
        clients.record()
        found = flt.violations()
        await flt.close()
        return found, result

    return fleet_module.run(main())


def not_whole(answers):
    """Tells which answers are not whole, and why."""
    return [
        [refusal.error.describe() for refusal in answer.refusals]
        for answer in answers
        if not answer.done
    ]


def holder(flt, answer):
    """Returns the engine that runs a request."""
    held = [
        name
        for name, core in flt.engines.items()
        for stream in core.held()
        if stream.request_id == answer.request_id
    ]
    return held[0]


def taken(flt):
    """Returns slots and memory that are not free, by engine."""
    return {
        name: (core._slots_used, core.cost.kv_blocks - core._blocks_free)
        for name, core in flt.engines.items()
        if core._slots_used or core._blocks_free != core.cost.kv_blocks
    }


def ledgers(flt):
    """Returns the grants that owners still count, by engine."""
    return {
        (name, engine): book.running
        for name, instance in flt.instances.items()
        for engine, book in instance.node.owner.ledgers().items()
        if book.running
    }


async def until(condition, limit_s=5.0):
    """Waits until a condition holds."""
    for _ in range(int(limit_s / 0.001)):
        if condition():
            return
        await asyncio.sleep(0.001)
    raise AssertionError("the condition did not come true")
