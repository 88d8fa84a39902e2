"""HTTP client for endpoints."""

import abc
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import attrs
import expression
from tornado import http1connection
from tornado import httputil
from tornado import iostream

from seam_model import endpoint_errors
from seam_model import forwarding
from seam_node import logs
from seam_node.forward import sockets
from seam_node.forward.endpoints import availability
from seam_node.forward.endpoints import connections
from seam_node.forward.endpoints import endpoint_limits
from seam_node.ports import wire

MAX_MISMATCHED_ANSWERS = 4
"""Answers to other requests that are skipped on one connection."""

MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Size of an answer that is no stream. An endpoint may send without end."""
MAX_INTERNAL_ANSWER_BYTES = 1024 * 1024
"""Size of an answer to a call of the instance's own."""

MAX_JOINED_BODY_BYTES = 16 * 1024
"""Size of a body that is written together with its head, which copies it."""

MIN_STATUS = 100
MAX_STATUS = 599
"""Range of the statuses that HTTP has, interim ones included."""

_PARAMS = http1connection.HTTP1ConnectionParameters(
    max_header_size=64 * 1024, max_body_size=64 * 1024 * 1024
)

SendResult = expression.Result[
    forwarding.AnswerHead, endpoint_errors.EndpointError
]


class Receiver(abc.ABC):
    """Receives an answer as it arrives."""

    @abc.abstractmethod
    def head(self, head: forwarding.AnswerHead) -> None:
        """Handles the head; called once."""

    @abc.abstractmethod
    def data(self, chunk: bytes) -> Awaitable[None] | None:
        """Handles bytes of the body; the reader awaits the result."""


class BodyWriteObserver(abc.ABC):
    """Observes how long connections hold the body of a request."""

    @abc.abstractmethod
    def body_write_started(self) -> None:
        """Records that a connection holds bytes yet to be written."""

    @abc.abstractmethod
    def body_write_ended(self) -> None:
        """Records that it holds none any more; called once for each start."""


class BodyCollector(Receiver):
    """Collects the body of an answer to an internal call."""

    def __init__(self) -> None:
        """Starts empty."""
        self._chunks: list[bytes] = []
        self._size = 0

    @property
    def body(self) -> bytes:
        """The body received so far."""
        return b"".join(self._chunks)

    def head(self, head: forwarding.AnswerHead) -> None:
        """Ignores the head, which `EndpointClient.send` returns."""

    def data(self, chunk: bytes) -> None:
        """Appends bytes to the body.

        Errors: `tornado.httputil.HTTPInputError` for a body that is too large;
        the connection is closed then.
        """
        self._size += len(chunk)
        if self._size > MAX_INTERNAL_ANSWER_BYTES:
            raise httputil.HTTPInputError("body too large")
        self._chunks.append(chunk)


class _AnswerReader(httputil.HTTPMessageDelegate):
    """Reads one answer and passes it to the receiver if the ids match."""

    def __init__(
        self,
        codec: wire.Wire,
        call: forwarding.EndpointCall,
        receiver: Receiver,
        stream: sockets.EndpointStream,
        on_head: Callable[[forwarding.AnswerHead], None],
    ):
        self._codec = codec
        self._call = call
        self._receiver = receiver
        self._stream = stream
        self._on_head = on_head
        self.head: forwarding.AnswerHead | None = None
        self.mismatched = False
        self.complete = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        if not MIN_STATUS <= start_line.code <= MAX_STATUS:
            raise httputil.HTTPInputError("impossible status")
        if start_line.code < 200:
            return
        self.head = self._codec.decode_answer_head(start_line, headers)
        # A call without an id gets an answer without one.
        self.mismatched = self.head.request_id != self._call.request_id
        if not self.mismatched:
            self._on_head(self.head)
            self._receiver.head(self.head)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self.mismatched:
            return None
        return self._receiver.data(chunk)

    def finish(self) -> None:
        self.complete = self._is_complete()
        if self._stream.writing():
            self._stream.close()

    def on_connection_close(self) -> None:
        self.complete = False

    def _is_complete(self) -> bool:
        """Returns whether a body that has ended is complete.

        A body without a length ends with the connection. It is truncated if
        the connection was reset, or ended before the request was written, as
        a reset may follow.
        """
        if self._stream.error is not None:
            return False
        is_framed = self.head is not None and self.head.framed
        return is_framed or self._stream.has_written_all()


class EndpointClient:
    """Sends calls to endpoints over pooled connections."""

    def __init__(
        self,
        codec: wire.Wire,
        conns: connections.Connections,
        limits: endpoint_limits.EndpointLimits,
        available: availability.Availability,
        log: logs.Log,
    ):
        """Creates a client.

        Args:
            codec: decodes answers.
            conns: the connection pool.
            limits: told the rate limits that answers name.
            available: tells which endpoints may get work.
            log: where answers that belong to no call are logged.
        """
        self._available = available
        self._log = log
        self._codec = codec
        self._conns = conns
        self._limits = limits
        self.skipped_count = 0
        """Answers that did not belong to the call, since the start."""

    async def send(
        self,
        address: forwarding.Address,
        call: forwarding.EndpointCall,
        receiver: Receiver,
        used_conns: list[int] | None = None,
        write_observer: BodyWriteObserver | None = None,
    ) -> SendResult:
        """Sends a call and waits for the complete answer.

        Cancellation closes the connection. Errors: `EndpointUnreachable` if
        no byte was sent, `EndpointUnavailable` if the endpoint may get no work
        any more; `EndpointLost` if the answer was truncated, missing
        or replaced by answers to other requests.

        Args:
            address: address of the endpoint.
            call: the call.
            receiver: receives the answer.
            used_conns: numbers of the connections that have carried the call's
                request id, which is the same each time a request is sent. A
                second copy of an earlier answer may still arrive on them, so
                they are not used; the one that is used is added.
            write_observer: is told of the write of a large body, or None.
        """
        used_conns = [] if used_conns is None else used_conns
        unavailable = self._available.error(call.endpoint_key, call.is_work)
        if unavailable is not None:
            return expression.Error(unavailable)
        acquired = await self._conns.acquire(address, used_conns)
        if acquired.is_error():
            return expression.Error(acquired.error)
        stream = acquired.ok
        unavailable = self._available.error(call.endpoint_key, call.is_work)
        if unavailable is not None:
            stream.close()
            return expression.Error(unavailable)
        used_conns.append(stream.number)
        head = None
        try:
            conn = _write(stream, call)
            if len(call.body) > MAX_JOINED_BODY_BYTES:
                if write_observer is not None:
                    _observe_write(stream, write_observer)
                # It is not needed any more here.
                call = attrs.evolve(call, body=b"")
            head = await self._read(conn, stream, call, receiver)
        except iostream.StreamClosedError:
            head = None
        finally:
            self._release_connection(address, stream, head)
        if head is None:
            return expression.Error(endpoint_errors.EndpointLost(str(address)))
        return expression.Ok(head)

    async def is_refused(self, address: forwarding.Address) -> bool:
        """Returns whether nothing listens at an address any more."""
        return await self._conns.is_refused(address)

    async def _read(
        self,
        conn: http1connection.HTTP1Connection,
        stream: sockets.EndpointStream,
        call: forwarding.EndpointCall,
        receiver: Receiver,
    ) -> forwarding.AnswerHead | None:
        """Reads the answer to a call; None if there is no complete one."""
        sent_at = self._limits.now()

        def on_head(head: forwarding.AnswerHead) -> None:
            self._available.heard(call, head)
            if call.request_id and not head.misdirected:
                rate = head.rate_limit
                self._limits.heard(call.endpoint_key, rate, sent_at)

        for _ in range(MAX_MISMATCHED_ANSWERS):
            reader = _AnswerReader(self._codec, call, receiver, stream, on_head)
            await conn.read_response(reader)
            if not reader.complete:
                return None
            if not reader.mismatched:
                return reader.head
            self._skip(call, stream, reader.head)
        return None

    def _skip(
        self,
        call: forwarding.EndpointCall,
        stream: sockets.EndpointStream,
        head: forwarding.AnswerHead,
    ) -> None:
        self.skipped_count += 1
        self._log.event(
            "answer_skipped",
            "warning",
            endpoint=call.endpoint_key,
            connection=stream.number,
            request=call.request_id,
            answer_to=head.request_id,
            status=head.status,
        )

    def _release_connection(
        self,
        address: forwarding.Address,
        stream: sockets.EndpointStream,
        head: forwarding.AnswerHead | None,
    ) -> None:
        is_needed = head is not None and not (head.closing or head.leaving)
        if not is_needed or not stream.is_clean():
            stream.close()
            return
        self._conns.release(address, stream, head.keep_alive_s)


def _write(
    stream: sockets.EndpointStream, call: forwarding.EndpointCall
) -> http1connection.HTTP1Connection:
    """Starts to write a call."""
    conn = http1connection.HTTP1Connection(stream, True, _PARAMS)
    start = httputil.RequestStartLine(call.method, call.target, "HTTP/1.1")
    is_large = len(call.body) > MAX_JOINED_BODY_BYTES
    first = None if is_large else call.body or None
    conn.write_headers(start, _headers(call), first)
    if is_large:
        stream.set_nodelay(True)
        conn.write(call.body)
    conn.finish()
    return conn


def _observe_write(
    stream: sockets.EndpointStream, observer: BodyWriteObserver
) -> None:
    """Tells an observer of a write that has begun, until its end."""
    if not stream.writing():
        return
    observer.body_write_started()
    sockets.call_when_written(stream, lambda _: observer.body_write_ended())


def _headers(call: forwarding.EndpointCall) -> httputil.HTTPHeaders:
    headers = httputil.HTTPHeaders()
    for each in call.fields:
        headers.add(each.name, each.value)
    if call.body or call.method in ("POST", "PUT", "PATCH"):
        headers["Content-Length"] = str(len(call.body))
    return headers


async def call_endpoint(
    client: EndpointClient,
    address: forwarding.Address,
    call: forwarding.EndpointCall,
    timeout_s: float,
    used_conns: list[int] | None = None,
) -> expression.Result[bytes, endpoint_errors.EndpointError]:
    """Sends an internal call; returns the body of a successful answer.

    Errors: `EndpointRefused` for a status other than success;
    `EndpointUnreachable`; `EndpointLost`, also on timeout. `used_conns` is
    that of `EndpointClient.send`.
    """
    body = BodyCollector()
    try:
        async with asyncio.timeout(timeout_s):
            sent = await client.send(address, call, body, used_conns)
    except TimeoutError:
        return expression.Error(endpoint_errors.EndpointLost(str(address)))
    if sent.is_error():
        return expression.Error(sent.error)
    head = sent.ok
    if not head.success:
        return expression.Error(refusal(str(address), head))
    return expression.Ok(body.body)


def refusal(
    endpoint: str, head: forwarding.AnswerHead
) -> endpoint_errors.EndpointRefused:
    """Returns the error for an answer that says that nothing was run."""
    if head.pause_s:
        return endpoint_errors.EndpointPausing(endpoint, head.status)
    return endpoint_errors.EndpointRefused(endpoint, head.status)
