"""One HTTP exchange with an endpoint."""

import abc
import asyncio
from collections.abc import Awaitable

import expression
from tornado import http1connection
from tornado import httputil
from tornado import iostream

from seam_model import errors
from seam_model import forwarding
from seam_node.forward import connections
from seam_node.forward import sockets
from seam_node.ports import wire

MAX_FOREIGN_ANSWERS = 4
"""Answers to other requests that are passed over on one connection."""

_PARAMS = http1connection.HTTP1ConnectionParameters(
    max_header_size=64 * 1024, max_body_size=64 * 1024 * 1024
)

Answered = expression.Result[forwarding.AnswerHead, errors.EndpointError]


class Receiver(abc.ABC):
    """Takes an answer as it comes in."""

    @abc.abstractmethod
    def head(self, head: forwarding.AnswerHead) -> None:
        """Takes the head; called once."""

    @abc.abstractmethod
    def data(self, chunk: bytes) -> Awaitable[None] | None:
        """Takes bytes of the body; the sender waits for what it returns."""


class Collector(Receiver):
    """Keeps a whole body."""

    def __init__(self) -> None:
        """Starts empty."""
        self._chunks: list[bytes] = []

    @property
    def body(self) -> bytes:
        """What has come in."""
        return b"".join(self._chunks)

    def head(self, head: forwarding.AnswerHead) -> None:
        """Ignores the head, which the exchange returns as well."""

    def data(self, chunk: bytes) -> None:
        """Keeps bytes of the body."""
        self._chunks.append(chunk)


class _Reading(httputil.HTTPMessageDelegate):
    """Reads one answer and passes it to the receiver if it is the right one."""

    def __init__(
        self,
        codec: wire.Wire,
        call: forwarding.EndpointCall,
        receiver: Receiver,
        stream: sockets.EndpointStream,
    ):
        self._codec = codec
        self._call = call
        self._receiver = receiver
        self._stream = stream
        self.head: forwarding.AnswerHead | None = None
        self.foreign = False
        self.complete = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        if start_line.code < 200:
            return
        self.head = self._codec.decode_answer_head(start_line, headers)
        wanted = self._call.request_id
        self.foreign = bool(wanted) and self.head.request_id != wanted
        if not self.foreign:
            self._receiver.head(self.head)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self.foreign:
            return None
        return self._receiver.data(chunk)

    def finish(self) -> None:
        # A body without a length that ends with a reset is cut off.
        self.complete = self._stream.error is None
        if self._stream.writing():
            self._stream.close()

    def on_connection_close(self) -> None:
        self.complete = False


class EndpointClient:
    """Sends calls to endpoints over kept connections."""

    def __init__(self, codec: wire.Wire, conns: connections.Connections):
        """Takes the codec and the connections."""
        self._codec = codec
        self._conns = conns

    async def send(
        self,
        address: forwarding.Address,
        call: forwarding.EndpointCall,
        receiver: Receiver,
        fresh: bool = False,
    ) -> Answered:
        """Sends a call and waits for the whole answer.

        Cancelling it closes the connection. Errors: `EndpointUnreachable` if
        no byte was sent; `EndpointLost` if the answer broke off or never came;
        `AnswerInvalid` if only answers to other requests came.
        """
        opened = await self._conns.acquire(address, fresh)
        if opened.is_error():
            return expression.Error(opened.error)
        stream = opened.ok
        head = None
        try:
            head = await self._exchange(stream, call, receiver)
        except iostream.StreamClosedError:
            head = None
        finally:
            self._give_back(address, stream, head)
        if head is None:
            return expression.Error(errors.EndpointLost(str(address)))
        return expression.Ok(head)

    async def _exchange(
        self,
        stream: sockets.EndpointStream,
        call: forwarding.EndpointCall,
        receiver: Receiver,
    ) -> forwarding.AnswerHead | None:
        conn = http1connection.HTTP1Connection(stream, True, _PARAMS)
        conn.write_headers(
            httputil.RequestStartLine(call.method, call.target, "HTTP/1.1"),
            _headers(call),
            call.body or None,
        )
        conn.finish()
        for _ in range(MAX_FOREIGN_ANSWERS):
            reading = _Reading(self._codec, call, receiver, stream)
            await conn.read_response(reading)
            if not reading.complete:
                return None
            if not reading.foreign:
                return reading.head
        return None

    def _give_back(
        self,
        address: forwarding.Address,
        stream: sockets.EndpointStream,
        head: forwarding.AnswerHead | None,
    ) -> None:
        if head is None or head.closing or not stream.is_clean():
            stream.close()
            return
        self._conns.release(address, stream, head.keep_alive_s)


def _headers(call: forwarding.EndpointCall) -> httputil.HTTPHeaders:
    headers = httputil.HTTPHeaders()
    for each in call.fields:
        headers.add(each.name, each.value)
    if call.body or call.method in ("POST", "PUT", "PATCH"):
        headers["Content-Length"] = str(len(call.body))
    return headers


async def ask(
    client: EndpointClient,
    address: forwarding.Address,
    call: forwarding.EndpointCall,
    timeout_s: float,
) -> expression.Result[bytes, errors.EndpointError]:
    """Sends a short call of our own; returns the body of a success.

    Errors: `EndpointRefused` for any other status, or `EndpointLost`.
    """
    body = Collector()
    try:
        async with asyncio.timeout(timeout_s):
            answered = await client.send(address, call, body)
    except TimeoutError:
        return expression.Error(errors.EndpointLost(str(address)))
    if answered.is_error():
        return expression.Error(answered.error)
    head = answered.ok
    if not head.success:
        return expression.Error(
            errors.EndpointRefused(str(address), head.status)
        )
    return expression.Ok(body.body)
