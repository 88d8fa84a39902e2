"""The HTTP server for callers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket

from tornado import http1connection
from tornado import httpserver
from tornado import httputil
from tornado import iostream

from seam_model import forwarding
from seam_node.forward.callers import context

CHUNK_BYTES = 64 * 1024


class ConnectionAnswer(context.CallerAnswer):
    """Sends the answer on the connection of the request."""

    def __init__(self, conn: http1connection.HTTP1Connection):
        """Takes the request's connection."""
        self._conn = conn
        self._started = False
        self._ended = False

    @property
    def started(self) -> bool:
        """Whether the head has been sent."""
        return self._started

    def start(self, head: forwarding.AnswerHead) -> None:
        """Sends the head of an answer whose body follows in chunks."""
        self._started = True
        start = httputil.ResponseStartLine("HTTP/1.1", head.status, head.reason)
        self._conn.stream.set_nodelay(True)
        _ignore_closed(self._conn.write_headers(start, _headers(head.fields)))

    async def write(self, chunk: bytes) -> None:
        """Sends bytes of the body."""
        try:
            await self._conn.write(chunk)
        except iostream.StreamClosedError:
            return

    def finish(self) -> None:
        """Ends a complete answer."""
        self._ended = True
        self._conn.finish()

    def abort(self) -> None:
        """Closes the connection, so that the caller detects the truncation."""
        self._ended = True
        self._conn.close()

    def send_complete(
        self,
        status: int,
        reason: str,
        fields: tuple[forwarding.HeaderField, ...],
        body: bytes,
    ) -> None:
        """Sends a complete answer."""
        self._started = True
        headers = _headers(fields)
        headers["Content-Length"] = str(len(body))
        start = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        _ignore_closed(self._conn.write_headers(start, headers, body or None))
        self.finish()

    @property
    def connected(self) -> bool:
        """Whether the caller is still there."""
        return not self._conn.stream.closed()

    @property
    def ended(self) -> bool:
        """Whether the answer has been finished or aborted."""
        return self._ended


class RawRequest:
    """An unparsed request."""

    def __init__(
        self,
        start: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
        arrived_at: float,
    ):
        """Takes the head of a request and its arrival time."""
        self.start = start
        self.headers = headers
        self.arrived_at = arrived_at
        self.chunks: list[bytes] = []

    def take_body(self) -> bytes:
        """Returns the body and keeps none of it."""
        chunks, self.chunks = self.chunks, []
        return chunks[0] if len(chunks) == 1 else b"".join(chunks)


Handler = Callable[[RawRequest, ConnectionAnswer], Awaitable[None]]


class _Incoming(httputil.HTTPMessageDelegate):
    """Reads one request and runs its handler in a separate task."""

    def __init__(
        self,
        caller_server: "CallerServer",
        conn: http1connection.HTTP1Connection,
    ):
        self._server = caller_server
        self._conn = conn
        self._request: RawRequest | None = None
        self._task: asyncio.Task | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        self._request = RawRequest(start_line, headers, self._server.now())

    def data_received(self, chunk: bytes) -> None:
        self._request.chunks.append(chunk)

    def finish(self) -> None:
        self._task = asyncio.ensure_future(self._run())
        self._server.running.add(self._task)
        self._task.add_done_callback(self._server.running.discard)
        self._conn.set_close_callback(self._on_disconnect)

    def on_connection_close(self) -> None:
        self._on_disconnect()

    def _on_disconnect(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        answer = ConnectionAnswer(self._conn)
        try:
            await self._server.handler(self._request, answer)
        finally:
            if not answer.ended:
                answer.abort()


class CallerServer(httputil.HTTPServerConnectionDelegate):
    """Accepts callers' connections and tracks the running requests."""

    def __init__(
        self,
        handler: Handler,
        now: Callable[[], float],
        limits: forwarding.CallerLimits,
    ):
        """Creates a server that does not listen yet.

        Args:
            handler: handles each request.
            now: the clock for arrival times.
            limits: initial limits on requests.
        """
        self.handler = handler
        self.now = now
        self.running: set[asyncio.Task] = set()
        self._server = httpserver.HTTPServer(
            self,
            idle_connection_timeout=limits.idle_timeout_s,
            max_header_size=limits.max_header_bytes,
            max_body_size=limits.max_body_bytes,
            chunk_size=CHUNK_BYTES,
        )

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Returns the delegate that reads a connection's next request."""
        del server_conn
        return _Incoming(self, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Does nothing; each request handles its own disconnect."""

    def start(self, sockets: list[socket.socket]) -> None:
        """Accepts connections on bound sockets."""
        self._server.add_sockets(sockets)

    def configure(self, limits: forwarding.CallerLimits) -> None:
        """Applies limits to the next request of each connection."""
        params = self._server.conn_params
        params.header_timeout = limits.idle_timeout_s
        params.max_header_size = limits.max_header_bytes
        params.max_body_size = limits.max_body_bytes

    def refuse_reuse(self) -> None:
        """Closes each connection after its next answer."""
        self._server.conn_params.no_keep_alive = True

    def stop_accepting(self) -> None:
        """Closes the listening sockets."""
        self._server.stop()

    async def close(self) -> None:
        """Cancels the running requests and closes all connections."""
        self._server.stop()
        while self.running:
            # Requests that arrive meanwhile are cancelled in the next round.
            running = tuple(self.running)
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)
        await self._server.close_all_connections()


def _headers(
    fields: tuple[forwarding.HeaderField, ...],
) -> httputil.HTTPHeaders:
    headers = httputil.HTTPHeaders()
    for each in fields:
        headers.add(each.name, each.value)
    return headers


def _ignore_closed(fut: asyncio.Future) -> None:
    """Ignores a failed write; the close callback cancels the request."""
    fut.add_done_callback(_read_outcome)


def _read_outcome(fut: asyncio.Future) -> None:
    if not fut.cancelled():
        fut.exception()
