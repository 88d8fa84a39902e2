"""Simulates callers of the measured fleet and records their outcomes."""

import asyncio
from collections.abc import Callable
import json
import random

import attrs

from bench import measure_fleet
from bench import measure_load
from seam_model import ids
from seam_model import requests
from seam_node import node
from seam_node.filters import base
from standins import virtual_loop

MAX_CONNECT_ATTEMPTS = 5
EVENT_ID_HEADER = "last-event-id"
_EVENT_END = b"\n\n"
_DONE = b"event: done"


@attrs.define
class Outcome:
    """Result of one request at its caller; times in virtual seconds."""

    request_id: str
    rank: requests.Rank
    at_s: float
    first_s: float | None = None
    last_s: float | None = None
    events: int = 0
    connected: bool = False
    """Whether an instance may have received the request."""
    done: bool = False
    end_s: float = 0.0
    refused: str = ""
    """Code of the last refusal."""
    steps: tuple[str, ...] = ()
    """Trace of the request at the instance that ended it."""

    def first_token_s(self) -> float:
        """Returns the time to the first token."""
        return self.first_s - self.at_s

    def per_token_s(self) -> float:
        """Returns the mean time between tokens."""
        # The last event ends the stream and arrives with the last token, so
        # it adds no interval.
        return (self.last_s - self.first_s) / max(1, self.events - 2)

    def meets(self, targets: requests.Targets) -> bool:
        """Returns whether the complete answer arrived within both targets."""
        if not self.done or self.first_s is None:
            return False
        return (
            self.first_token_s() <= targets.first_token_s
            and self.per_token_s() <= targets.per_token_s
        )


class _Sink(base.Sink):
    """Counts events of one connection at their arrival at the caller."""

    def __init__(self, outcome: Outcome, one_way_s: float):
        self._outcome = outcome
        self._one_way_s = one_way_s
        self.closed = False

    async def write(self, data: bytes) -> bool:
        if self.closed:
            return False
        outcome = self._outcome
        at_s = asyncio.get_running_loop().time() + self._one_way_s
        if outcome.first_s is None:
            outcome.first_s = at_s
        outcome.last_s = at_s
        outcome.events += data.count(_EVENT_END)
        outcome.done = outcome.done or _DONE in data
        return True

    def is_disconnected(self) -> bool:
        return self.closed

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Ignores the callback, as simulated callers do not disconnect."""


class Callers:
    """Sends requests to instances; reconnects when an instance fails."""

    def __init__(self, fleet: measure_fleet.Fleet, seed: int):
        """Creates callers of a started fleet."""
        self._fleet = fleet
        self._rng = random.Random(f"{seed}/callers")
        self._clock = virtual_loop.VirtualClock()
        self._calls: dict[str, dict[asyncio.Future, None]] = {}
        self.outcomes: list[Outcome] = []

    def reset(self, instance: str) -> None:
        """Breaks every connection to an instance."""
        for call in list(self._calls.get(instance, ())):
            call.cancel()

    async def send(self, arrival: measure_load.Arrival) -> None:
        """Sends one request and records its outcome."""
        rng = random.Random(arrival.seed)
        outcome = Outcome(
            ids.make_uuid7(self._clock.wall(), rng),
            arrival.rank,
            self._clock.monotonic(),
        )
        self.outcomes.append(outcome)
        for _ in range(MAX_CONNECT_ATTEMPTS):
            ctx = await self._connect(arrival, outcome)
            if ctx is None:
                continue
            if ctx.refusal is not None:
                outcome.refused = ctx.refusal.error.code
            outcome.steps = tuple(
                f"{step.at_s:.3f} {step.filter}: {step.what}"
                for step in ctx.trace.steps
            )
            break
        outcome.end_s = self._clock.monotonic()

    async def _connect(
        self, arrival: measure_load.Arrival, outcome: Outcome
    ) -> base.Context | None:
        """Returns the finished request, or None if the connection broke."""
        one_way_s = self._fleet.deployment.client_one_way_s
        name = self._rng.choice(sorted(self._fleet.nodes))
        await asyncio.sleep(one_way_s)
        if name in self._fleet.links.dead:
            await asyncio.sleep(one_way_s)
            return None
        raw = self._raw_request(arrival, outcome)
        outcome.connected = True
        call = asyncio.ensure_future(
            self._call(self._fleet.nodes[name], raw, _Sink(outcome, one_way_s))
        )
        calls = self._calls.setdefault(name, {})
        calls[call] = None
        await asyncio.wait({call})
        del calls[call]
        await asyncio.sleep(one_way_s)
        return None if call.cancelled() else call.result()

    async def _call(
        self, instance: node.Node, raw: base.RawRequest, sink: _Sink
    ) -> base.Context:
        try:
            return await instance.generate(raw, sink)
        finally:
            sink.closed = True

    def _raw_request(
        self, arrival: measure_load.Arrival, outcome: Outcome
    ) -> base.RawRequest:
        body = {
            "id": outcome.request_id,
            "workspace": arrival.workspace,
            "rank": arrival.rank.name.lower(),
            "model": self._fleet.deployment.model,
            "prompt": arrival.prompt,
            "prompt_tokens": arrival.prompt_tokens,
            "max_tokens": arrival.max_tokens,
        }
        token = measure_fleet.token(arrival.workspace)
        headers = {"authorization": f"Bearer {token}"}
        if outcome.connected:
            headers[EVENT_ID_HEADER] = str(outcome.events)
        return base.RawRequest(json.dumps(body).encode(), headers)
