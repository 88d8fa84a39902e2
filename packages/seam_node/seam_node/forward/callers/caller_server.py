"""The HTTP server for callers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket

import attrs
from tornado import http1connection
from tornado import httputil

from seam_model import forwarding
from seam_node.adapters import client_server
from seam_node.adapters import client_stream
from seam_node.forward import sockets
from seam_node.forward.callers import answer_backlog
from seam_node.forward.callers import caller_memory
from seam_node.forward.callers import connection_answer

SMALL_BODY_BYTES = 64 * 1024
"""Size up to which a body is copied once, so that it can't be changed."""
SMALL_HEAD_BYTES = 4 * 1024
"""Size up to which a head is read whether there is memory for it or not. It is
not counted, but measured with the rest of the process."""
MAX_SIZE_DIGITS = 15
DRAIN_POLL_INTERVAL_S = 0.05
"""Interval at which the end of all requests is checked."""
LAST_ANSWERS_S = 0.1
"""Time at the exit for the answers to requests that had just arrived."""
MAX_BODY_S = 20.0
"""Longest time in which a body arrives; no caller waits longer."""

INITIAL_LIMITS = forwarding.CallerLimits(
    max_header_bytes=64 * 1024,
    max_body_bytes=16 * 1024 * 1024,
    header_timeout_s=10.0,
    idle_timeout_s=60.0,
)
"""Limits until a configuration is in force."""


class RawRequest:
    """An unparsed request."""

    def __init__(
        self,
        start: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
        arrived_at: float,
        hold: caller_memory.BodyHold,
    ):
        """Takes the head of a request, its arrival time and its memory."""
        self.hold = hold
        self.start = start
        self.headers = headers
        self.arrived_at = arrived_at
        self._body = bytearray()
        self._size = 0

    def expect(self, size: int) -> None:
        """Prepares for a body of a known size.

        Its pages are in use only once they are written to, and a body that
        does not grow is never copied.
        """
        self._body = bytearray(size)

    def append(self, chunk: bytes) -> None:
        """Adds bytes to the body."""
        self._body[self._size : self._size + len(chunk)] = chunk
        self._size += len(chunk)
        self.hold.note_arrived(len(chunk))

    def take_body(self) -> bytes | bytearray:
        """Returns the body and keeps none of it."""
        body, self._body = self._body, bytearray()
        return body if len(body) > SMALL_BODY_BYTES else bytes(body)

    def drop_body(self) -> None:
        """Drops what has arrived of the body."""
        self._body = bytearray()
        self._size = 0
        self.hold.release()


Handler = Callable[
    [RawRequest, connection_answer.ConnectionAnswer], Awaitable[None]
]
Refuse = Callable[[connection_answer.ConnectionAnswer, bool], None]
"""Starts to answer a request that must not run: as the instance exits (True),
or for want of room."""


class _Incoming(httputil.HTTPMessageDelegate):
    """Reads one request and runs its handler in a separate task."""

    def __init__(
        self,
        caller_server: "CallerServer",
        conn: http1connection.HTTP1Connection,
    ):
        self._server = caller_server
        self._conn = conn
        self._answer = connection_answer.ConnectionAnswer(
            conn, caller_memory.AnswerHold(caller_server.memory)
        )
        self._head_hold = caller_memory.HeadHold(caller_server.memory)
        self._request: RawRequest | None = None
        self._task: asyncio.Task | None = None
        self._refused = False
        """Whether it must not run; the body is then dropped as it comes."""
        self._is_sized = False
        """Whether the body's length is known and has been taken."""
        self._body_timer: asyncio.TimerHandle | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        now = self._server.now()
        hold = caller_memory.BodyHold(
            self._server.memory, now, self._refuse_unread
        )
        self._request = RawRequest(start_line, headers, now, hold)
        size = _body_size(headers)
        if size > self._server.max_body_bytes:
            # The HTTP server refuses it.
            return None
        if size or "Transfer-Encoding" in headers:
            self._body_timer = asyncio.get_running_loop().call_later(
                MAX_BODY_S, self._conn.close
            )
        if self._server.admits_none():
            self._refuse_unread()
            return None
        head_size = _head_size(headers)
        if head_size > SMALL_HEAD_BYTES and not self._head_hold.take(head_size):
            self._refuse_unread()
            return None
        self._is_sized = size > 0
        if not size:
            return None
        if hold.take(size):
            self._request.expect(size)
            return None
        return self._admit(size)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self._refused:
            return None
        if self._is_sized or self._request.hold.take(len(chunk)):
            self._request.append(chunk)
            return None
        return self._admit(len(chunk), chunk)

    def finish(self) -> None:
        self._stop_body_timer()
        if not self._refused and self._server.admits_none():
            # Others have begun to run while its body arrived, or the instance
            # exits.
            self._refuse()
        if self._refused:
            self._answer.finish()
            return
        self._request.hold.note_whole()
        self._task = asyncio.ensure_future(self._run())
        self._server.running.add(self._task)
        self._task.add_done_callback(self._server.running.discard)
        self._conn.set_close_callback(self._on_disconnect)

    def on_connection_close(self) -> None:
        self._stop_body_timer()
        self._request.hold.release()
        self._head_hold.release()
        self._on_disconnect()

    async def _admit(self, size: int, chunk: bytes = b"") -> None:
        """Reads no further until there is memory, or refuses the request."""
        hold = self._request.hold
        has_room = await hold.take_soon(size)
        if self._refused:
            hold.release()
        elif not has_room:
            self._refuse_unread()
        elif chunk:
            self._request.append(chunk)
        else:
            self._request.expect(size)

    def _refuse_unread(self) -> None:
        """Refuses a request whose body has not arrived."""
        self._refuse()
        if "Expect" in self._request.headers:
            # The caller waits for a word before it sends the body.
            self._answer.finish()

    def _refuse(self) -> None:
        self._refused = True
        self._request.drop_body()
        self._head_hold.release()
        self._server.refuse(self._answer)

    def _stop_body_timer(self) -> None:
        if self._body_timer is not None:
            self._body_timer.cancel()

    def _on_disconnect(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        answer = self._answer
        try:
            await self._server.handler(self._request, answer)
            if not answer.is_counted:
                self._server.count_unsent(self._conn.stream)
            await answer.deliver()
        finally:
            self._request.hold.release()
            self._head_hold.release()
            answer.close()


@attrs.frozen
class CapacityLimits:
    """Limits on the numbers of callers' connections and requests."""

    connections: client_server.ConnectionLimits
    max_requests: int
    """Most requests in progress."""
    on_closed: client_server.OnClosed
    """Called when connections were closed by a limit."""


class CallerServer(httputil.HTTPServerConnectionDelegate):
    """Accepts callers' connections and tracks the running requests."""

    def __init__(
        self,
        handler: Handler,
        refuse: Refuse,
        memory: caller_memory.CallerMemory,
        now: Callable[[], float],
        limits: forwarding.CallerLimits,
        capacity: CapacityLimits,
    ):
        """Creates a server that does not listen yet.

        Args:
            handler: handles each request.
            refuse: starts the answer to a request that must not run.
            memory: admits the bodies.
            now: the clock for arrival times.
            limits: initial limits on requests.
            capacity: limits on connections and requests in progress.
        """
        self.handler = handler
        self._start_refusal = refuse
        self.memory = memory
        self.now = now
        self.running: set[asyncio.Task] = set()
        self._max_requests = capacity.max_requests
        self._is_closing = False
        self._server = client_server.ClientServer(
            self,
            limits=capacity.connections,
            on_closed=capacity.on_closed,
            on_count=memory.note_connections,
            idle_connection_timeout=limits.idle_timeout_s,
            max_header_size=limits.max_header_bytes,
            max_body_size=limits.max_body_bytes,
            chunk_size=answer_backlog.CHUNK_BYTES,
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

    def admits_none(self) -> bool:
        """Returns whether no further request may run now."""
        return self._is_closing or len(self.running) >= self._max_requests

    def refuse(self, answer: connection_answer.ConnectionAnswer) -> None:
        """Starts to answer a request that must not run."""
        if not self._is_closing:
            self.memory.refused += 1
        self._start_refusal(answer, self._is_closing)

    def count_unsent(self, stream: client_stream.ClientStream) -> None:
        """Counts buffered bytes of an answer until the caller has read them."""
        size = stream.unsent_bytes
        if not size:
            return
        self.memory.take_unsent(size)
        sockets.call_when_written(
            stream, lambda _: self.memory.release_answer(size)
        )

    @property
    def connection_count(self) -> int:
        """Callers' open connections."""
        return self._server.connection_count

    @property
    def max_body_bytes(self) -> int:
        """Size of the largest body that callers may send."""
        return self._server.conn_params.max_body_size

    def refuse_reuse(self) -> None:
        """Closes each connection after its next answer."""
        self._server.conn_params.no_keep_alive = True

    async def drain(self, until: float) -> None:
        """Waits for the running requests, then closes the idle connections.

        A connection on which a request arrives stays until that is answered,
        so none is taken that the exit would cut off.

        Args:
            until: time of the clock at which to return in any case.
        """
        while self.now() < until:
            if not self.running and not self._server.close_idle():
                return
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    def stop_accepting(self) -> None:
        """Closes the listening sockets."""
        self._server.stop()

    async def close(self) -> int:
        """Cancels the running requests and closes all connections.

        Requests that arrive meanwhile are refused. Returns the number of
        connections that were cut off.
        """
        self._is_closing = True
        self.refuse_reuse()
        self._server.stop()
        running = tuple(self.running)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        return await self._server.close_connections(LAST_ANSWERS_S)


def _body_size(headers: httputil.HTTPHeaders) -> int:
    """Returns the stated size of a body; 0 if it is not known."""
    text = headers.get("Content-Length", "")
    is_size = text.isdecimal() and len(text) <= MAX_SIZE_DIGITS
    return int(text) if is_size else 0


def _head_size(headers: httputil.HTTPHeaders) -> int:
    """Returns the bytes that the fields of a head take."""
    return sum(len(name) + len(value) for name, value in headers.get_all())
