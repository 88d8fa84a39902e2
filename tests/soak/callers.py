"""Callers of the soak: they keep using connections until these are closed."""

import asyncio
import itertools
import time

import attrs
from soak import backends
from soak import workspaces

from standins import forward_world

REQUEST_S = 8.0
"""Time after which a caller gives a request up."""
DEADLINE_MS = 5000
PAUSE_S = 0.1
"""Longest time between two requests of a caller."""
KINDS = ("read", "write", "write", "draft", "draft", "long")

_ids = itertools.count(1)


@attrs.define
class Outcome:
    """What became of one request."""

    kind: str
    request_id: str
    member: str
    deadly: bool
    sent_at: float
    status: int = 0
    """0 if no head of an answer arrived."""
    complete: bool = False
    body: bytes = b""
    ended_at: float = 0.0
    key: workspaces.Key | None = None
    """The key that it was sent with, if any."""
    cost: int = 0
    """Tokens that it counts against a quota."""

    @property
    def expected(self):
        """The whole body of the request's own answer."""
        if self.kind in ("read", "write"):
            return backends.plain_body(self.request_id)
        return backends.stream_body(self.request_id)


class SoakCaller:
    """Sends one request after the other."""

    def __init__(self, fleet, rng, deadly_share):
        self._fleet = fleet
        self._rng = rng
        self._deadly_share = deadly_share
        self._conn = None
        self._member = None
        self._kind = None
        self.kinds = KINDS
        self.outcomes = []
        self.stopping = False
        self.keeps_connections = True
        self.pause_s = PAUSE_S
        self.deadline_ms = DEADLINE_MS
        self.wanted = ()
        """Instances and kinds of request, of which some is sent next."""

    async def run(self):
        try:
            while not self.stopping:
                await self._request()
                if not self.keeps_connections:
                    self._drop()
                await asyncio.sleep(self._rng.uniform(0.0, self.pause_s))
        finally:
            self._drop()

    def _drop(self):
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    async def _connect(self):
        if self._conn is not None and not self._conn.reader.at_eof():
            return True
        self._drop()
        self._member, self._kind = self._pick()
        if self._member is None:
            return False
        port = self._member.ports["callers"]
        try:
            streams = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            return False
        self._conn = forward_world.Caller(*streams)
        return True

    def _pick(self):
        """Returns an instance for a new connection, and a kind or None."""
        if self.wanted:
            return self._rng.choice(self.wanted)
        return self._fleet.pick(self._rng), None

    async def _request(self):
        if not await self._connect():
            await asyncio.sleep(0.1)
            return
        kind = self._kind or self._rng.choice(self.kinds)
        is_model = kind in ("draft", "long")
        deadly = is_model and self._rng.random() < self._deadly_share
        outcome = Outcome(
            kind,
            f"s-{next(_ids)}",
            self._member.name,
            deadly,
            time.monotonic(),
        )
        self.outcomes.append(outcome)
        headers = {}
        if is_model:
            parts = [backends.DEADLY] if deadly else []
            parts = ["first", *parts, outcome.request_id]
            prefix = ",".join(f"{part}:30" for part in parts)
            headers = {"Model": "m", "Token_Count": "90,50"}
            headers["Prompt_Prefix"] = prefix
        if self._fleet.workspaces is not None:
            headers |= self._identify(outcome, is_model)
        try:
            self._conn.send(
                f"/{kind}/x",
                request_id=outcome.request_id,
                deadline_ms=self.deadline_ms,
                **headers,
            )
            async with asyncio.timeout(REQUEST_S):
                await self._read(outcome)
        except (OSError, EOFError, TimeoutError):
            self._drop()
        outcome.ended_at = time.monotonic()

    def _identify(self, outcome, is_model):
        """Draws a key; returns the fields that are sent with it."""
        known = self._fleet.workspaces
        outcome.key, fields = known.draw(self._rng, bool(self.wanted))
        outcome.cost = workspaces.PLAIN_TOKENS
        if is_model:
            outcome.cost = known.prompt_tokens + workspaces.OUTPUT_TOKENS
            fields["Token_Count"] = (
                f"{known.prompt_tokens},{workspaces.OUTPUT_TOKENS}"
            )
        return fields

    async def _read(self, outcome):
        """Reads an answer; keeps what arrived of one that breaks off."""
        response = await self._conn.read()
        outcome.status = response.status
        outcome.complete = response.complete
        outcome.body = response.body
        if (
            not response.complete
            or response.headers.get("connection", "").lower() == "close"
        ):
            self._drop()
