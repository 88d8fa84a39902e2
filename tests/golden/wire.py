"""Records HTTP exchanges with the web handlers of whole nodes as text.

The handlers run on the virtual clock. A request is passed to them as
tornado's server does it, and the written answer is recorded.
"""

import asyncio
import json
import re
from typing import Any

import attrs
from proofs import fleet
from tornado import httpserver
from tornado import httputil

from seam_model import keys
from seam_model import settings
from seam_node.web import admin
from seam_node.web import callers

SHOWN_REQUEST = ("Last-Event-ID", "Idempotency-Key", "X-Workspace", "X-Rank")
SHOWN_RESPONSE = ("Content-Type", "Retry-After", "Cache-Control")
RESPONSE_TIMEOUT_S = 60.0
LONG_TEXT = re.compile(r'(?<="toml": )"(\\.|[^"])*"')
OPERATORS = ("ann", "bob")
SALT = b"golden-salt-0001"


class Connection(httputil.HTTPConnection):
    """Records the answer that a handler writes to its caller."""

    stream = None
    _chunking_output = False
    """Prevents the sink from bypassing tornado and writing to a socket."""

    def __init__(self):
        """Creates a connection without an answer."""
        self.status = 0
        self.headers = httputil.HTTPHeaders()
        self.body = b""
        self.changed = asyncio.Event()
        self.finished = False
        self._closed = None

    def set_close_callback(self, callback: Any) -> None:
        """Sets the callback for the caller's close."""
        self._closed = callback

    def write_headers(
        self, start_line: Any, headers: Any, chunk: bytes | None = None
    ) -> asyncio.Future:
        """Records status and headers."""
        self.status, self.headers = start_line.code, headers
        return self.write(chunk or b"")

    def write(self, chunk: bytes) -> asyncio.Future:
        """Records a part of the body."""
        self.body += chunk
        self.changed.set()
        fut = asyncio.get_running_loop().create_future()
        fut.set_result(None)
        return fut

    def finish(self) -> None:
        """Marks the end of the answer."""
        self.finished = True
        self.changed.set()

    def close(self) -> None:
        """Closes the connection from the caller's side."""
        if self._closed is not None and not self.finished:
            self._closed()

    async def until(self, events: int = 10**9) -> None:
        """Waits for the end of the answer or for a number of events."""
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            while not self.finished and self.body.count(b"\n\n") < events:
                self.changed.clear()
                await self.changed.wait()


@attrs.define
class Transcript:
    """The recorded text of a session."""

    lines: list[str] = attrs.field(factory=list)

    def note(self, text: str) -> None:
        """Adds what happened outside the exchanges."""
        self.lines.append(f"# {text}")

    def request(
        self, method: str, path: str, name: str, headers: dict, body: bytes
    ) -> None:
        """Adds a request."""
        self.lines.append(f"> {method} {path} at {name}")
        for header in SHOWN_REQUEST:
            if header in headers:
                self.lines.append(f"> {header}: {headers[header]}")
        if body:
            self.lines.append(f"> {LONG_TEXT.sub('(text)', body.decode())}")

    def response(self, conn: Connection) -> None:
        """Adds an answer; JSON is indented over several lines."""
        self.lines.append(f"< {conn.status}")
        for header in SHOWN_RESPONSE:
            if header in conn.headers:
                self.lines.append(f"< {header}: {conn.headers[header]}")
        text = conn.body.decode()
        if "json" in conn.headers.get("Content-Type", ""):
            text = json.dumps(json.loads(text), indent=2)
        self.lines += [f"< {line}" for line in text.split("\n")]
        if not conn.finished:
            self.lines.append("< (not ended)")

    def text(self) -> str:
        """Returns the text of the whole session."""
        return "\n".join(self.lines)


class Wire:
    """Sends requests to the instances of a fleet."""

    def __init__(self, flt: fleet.Fleet):
        """Adds the test operators to the settings of every instance."""
        self.flt = flt
        self.transcript = Transcript()
        operators = tuple(
            settings.OperatorSettings(
                name,
                settings.OperatorRole.ADMIN,
                keys.hash_operator_token(f"token-of-{name}", SALT),
            )
            for name in OPERATORS
        )
        for name in flt.names:
            node = flt.node(name)
            node.settings = attrs.evolve(node.settings, operators=operators)

    def note(self, text: str) -> None:
        """Adds what happened outside the exchanges."""
        self.transcript.note(text)

    def open(
        self,
        method: str,
        path: str,
        name: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        server: Any = callers.make_server,
    ) -> Connection:
        """Sends one request; the returned connection receives the answer."""
        headers = headers or {}
        self.transcript.request(method, path, name, headers, body)
        conn = Connection()
        line = httputil.RequestStartLine(method, path, "HTTP/1.1")
        http_headers = httputil.HTTPHeaders({"Host": name, **headers})
        http_server: httpserver.HTTPServer = server(self.flt.node(name))

        def deliver():
            delegate = http_server.request_callback.start_request(None, conn)
            delegate.headers_received(line, http_headers)
            if body:
                delegate.data_received(body)
            delegate.finish()

        self.flt.instances[name].context.run(deliver)
        return conn

    async def send(self, *args: Any, **kwargs: Any) -> Connection:
        """Sends one request and records the complete answer."""
        conn = self.open(*args, **kwargs)
        await conn.until()
        self.transcript.response(conn)
        return conn

    # Kinds of requests

    def generate(self, request_id: str, name: str, **more: Any) -> Connection:
        """Sends a model request; `last_event_id` resumes."""
        http_headers = workspace_headers()
        if "last_event_id" in more:
            http_headers["Last-Event-ID"] = more.pop("last_event_id")
        plain = {
            "id": request_id,
            "workspace": fleet.WORKSPACE,
            "model": fleet.MODEL,
            "prompt": "A dedication",
            "rank": "urgent",
            "max_tokens": 4,
            **more,
        }
        body = json.dumps(plain).encode()
        return self.open("POST", "/v1/generate", name, http_headers, body)

    async def generated(
        self, request_id: str, name: str, **more: Any
    ) -> Connection:
        """Sends a model request and records the complete answer."""
        conn = self.generate(request_id, name, **more)
        await conn.until()
        self.transcript.response(conn)
        return conn

    async def ordered(
        self, key: str, name: str, body: bytes = b'{"plank":7}'
    ) -> Connection:
        """Sends an order and records the answer."""
        http_headers = {
            **workspace_headers(),
            "X-Workspace": fleet.WORKSPACE,
            "Idempotency-Key": key,
        }
        path = f"/v1/services/{fleet.SERVICE}/reserve"
        return await self.send("POST", path, name, http_headers, body)

    async def administer(
        self, who: str, method: str, path: str, name: str, **fields: Any
    ) -> Connection:
        """Sends an operator's request and records the answer."""
        http_headers = {"Authorization": f"Bearer token-of-{who}"}
        body = json.dumps(fields).encode() if fields else b""
        self.note(f"operator {who}")
        return await self.send(
            method, path, name, http_headers, body, admin.make_server
        )


def workspace_headers() -> dict[str, str]:
    """Returns the headers that authenticate a caller's workspace."""
    token = fleet.headers()["authorization"]
    return {"Authorization": token}
