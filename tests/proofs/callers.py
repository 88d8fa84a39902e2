"""Callers that retry and resume as real ones do and record the answers."""

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

CALLER_LATENCY_S = 0.003
"""One-way latency between caller and instance."""
EVENT_TIMEOUT_S = 1.5
"""Time without an event after which a caller abandons a connection."""
FIRST_EVENT_TIMEOUT_S = 4.0
RETRY_PAUSE_S = 0.3
_NO_PROCESS_CONTEXT = contextvars.Context()


@attrs.frozen
class _End:
    """End of an answer or of its connection, as the caller receives it."""

    refusal: Any = None
    reply: Any = None
    broken: bool = False


def _now() -> float:
    return asyncio.get_running_loop().time()


class Connection(base.Sink):
    """One request on its own connection, seen from both ends."""

    def __init__(self, request_id: str, instance: str, after_seq: int):
        """Opens the connection of a request to an instance."""
        self.request_id, self.instance = request_id, instance
        self.after_seq = after_seq
        self.silent = False
        """Whether the network drops every byte of the connection."""
        self.silent_after = float("inf")
        """Number of events after which the connection becomes silent."""
        self.close_lost = False
        """Whether the instance never receives the caller's close."""
        self.arrived: asyncio.Queue = asyncio.Queue()
        self.events: list[history.Event] = []
        """Events that the instance sent, with the time of sending."""
        self.end: _End | None = None
        self.start_s, self.end_s = _now(), float("inf")
        self.closed_by_caller = False
        self._in_transit: collections.deque = collections.deque()
        self._disconnected = False
        self._callback: Any = None

    # Instance side

    async def write(self, data: bytes) -> bool:
        """Sends complete events."""
        if self._disconnected:
            return False
        for text in data.decode().split("\n\n")[:-1]:
            self.silent |= len(self.events) >= self.silent_after
            if self.silent:
                break
            event, is_done = _parse(text)
            self.events.append(event)
            self._send((event, is_done))
        return True

    def is_disconnected(self) -> bool:
        """Returns whether the caller's close has arrived."""
        return self._disconnected

    def on_disconnect(self, callback: Any) -> None:
        """Sets the callback for the caller's close."""
        self._callback = callback
        if self._disconnected:
            callback()

    def finish(self, ctx: base.Context) -> None:
        """Sends the outcome of the filter chain."""
        self.end_s = _now()
        if not self._disconnected and not self.silent:
            self.end = _End(ctx.refusal, ctx.reply)
            self._send(self.end)

    def break_off(self) -> None:
        """Closes without an end event, as a dead process does."""
        self.end_s = _now()
        if not self.silent:
            self.end = _End(broken=True)
            self._send(self.end)

    def _send(self, item: Any) -> None:
        self._in_transit.append(item)
        loop = asyncio.get_running_loop()
        loop.call_later(
            CALLER_LATENCY_S, self._arrive, context=_NO_PROCESS_CONTEXT.copy()
        )

    def _arrive(self) -> None:
        self.arrived.put_nowait(self._in_transit.popleft())

    # Caller side

    def close(self) -> None:
        """Closes; on a silent connection the instance does not notice."""
        self.closed_by_caller = True
        close_unseen = self.silent or self.close_lost
        if not close_unseen and self.end is None:
            context = fleet_module.process_context(self.instance)
            loop = asyncio.get_running_loop()
            loop.call_later(CALLER_LATENCY_S, self._closed, context=context)

    def _closed(self) -> None:
        if self._disconnected or self.end is not None:
            return
        self._disconnected = True
        if self._callback is not None:
            self._callback()

    def answered(self) -> bool:
        """Returns whether the complete answer was sent on this connection."""
        complete = self.end is not None and self.end.refusal is None
        return complete and not self.end.broken

    def attempt(self) -> history.Attempt:
        """Returns the record for the history checker."""
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
            broken=end.broken and not self.closed_by_caller,
        )


def _parse(text: str) -> tuple[history.Event, bool]:
    fields = dict(line.split(": ", 1) for line in text.split("\n"))
    data = json.loads(fields["data"])
    is_done = fields.get("event") == "done"
    shown = str(data["tokens"]) if is_done else data["text"]
    return history.Event(int(fields["id"]), shown, _now()), is_done


@attrs.define(eq=False)
class Answer:
    """The part of its answer that a caller has received so far."""

    request_id: str
    last_seq: int = 0
    done: bool = False
    refusals: list[Any] = attrs.field(factory=list)
    connections: list[Connection] = attrs.field(factory=list)


class Callers:
    """Sends requests to a fleet and records them."""

    def __init__(self, flt: fleet_module.Fleet):
        """Creates callers of a started fleet."""
        self._fleet = flt
        self.connections: list[Connection] = []

    def new_id(self) -> str:
        """Returns a request id with the current time."""
        clock = virtual_loop.VirtualClock()
        return ids.make_uuid7(clock.wall(), self._fleet.rng)

    def open(
        self, answer: Answer, name: str, resumes: bool = False, **fields: Any
    ) -> Connection:
        """Sends one request, with the last event id if it resumes."""
        conn = Connection(answer.request_id, name, answer.last_seq)
        self.connections.append(conn)
        answer.connections.append(conn)
        headers = fleet_module.headers()
        if resumes:
            headers["last-event-id"] = str(answer.last_seq)
        sent = fleet_module.body(answer.request_id, **fields)
        self._fleet.serve(name, base.RawRequest(sent, headers), conn)
        return conn

    async def read(
        self, answer: Answer, conn: Connection, until_seq: int = 10**9
    ) -> _End | None:
        """Reads until the end, event `until_seq` or a timeout.

        Returns None on an event or a timeout.
        """
        while answer.last_seq < until_seq:
            wait_s = EVENT_TIMEOUT_S if conn.events else FIRST_EVENT_TIMEOUT_S
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
        max_attempts: int = 12,
        silent_after: float = float("inf"),
        **fields: Any,
    ) -> Answer:
        """Retries until the answer is complete or finally refused."""
        answer = answer or Answer(self.new_id())
        may_have_run = bool(answer.connections)
        for n in range(max_attempts):
            name = route[n % len(route)]
            conn = self.open(answer, name, may_have_run, **fields)
            if not may_have_run:
                conn.silent_after = silent_after
            end = await self.read(answer, conn)
            if answer.done:
                return answer
            if end is None:
                conn.close()
            elif end.refusal is not None:
                answer.refusals.append(end.refusal)
                if _is_final(end.refusal.error):
                    return answer
            outcome_unknown = end is None or end.refusal is None
            may_have_run = (
                may_have_run or outcome_unknown or end.refusal.ran.value != "no"
            )
            if not outcome_unknown and _may_restart(end.refusal.error, answer):
                may_have_run = False
            await asyncio.sleep(RETRY_PAUSE_S)
        return answer

    async def leave_after(
        self, name: str, events: int, **fields: Any
    ) -> tuple[Answer, Connection]:
        """Sends a request and closes the connection after some events."""
        answer = Answer(self.new_id())
        conn = self.open(answer, name, **fields)
        await self.read(answer, conn, events)
        conn.close()
        return answer, conn

    def record(self) -> None:
        """Adds every attempt to the fleet's history."""
        self._fleet.history.attempts = [
            conn.attempt() for conn in self.connections
        ]


def _may_restart(error: errors.SeamError, answer: Answer) -> bool:
    """Returns whether a caller without any event may start again."""
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


def incomplete(answers):
    """Returns the refusals of each incomplete answer."""
    return [
        [refusal.error.describe() for refusal in answer.refusals]
        for answer in answers
        if not answer.done
    ]


def engine_running(flt, answer):
    """Returns the engine that runs a request."""
    held = [
        name
        for name, core in flt.engines.items()
        for stream in core.held()
        if stream.request_id == answer.request_id
    ]
    return held[0]


def used_capacity(flt):
    """Returns the slots and memory blocks in use, by engine."""
    return {
        name: (core._slots_used, core.cost.kv_blocks - core._blocks_free)
        for name, core in flt.engines.items()
        if core._slots_used or core._blocks_free != core.cost.kv_blocks
    }


def remaining_grants(flt):
    """Returns the slots that owners still count as granted."""
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
    raise AssertionError("the condition was not met in time")
