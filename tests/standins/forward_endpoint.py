"""An endpoint as the users' platform describes it, with planted faults.

It implements HTTP on plain sockets, so that it can also send what a correct
server never sends: truncated, duplicate or early answers, or answers to
another request.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import socket

import attrs

EVENTS = 5
SMALL_BUFFER_BYTES = 16 * 1024
SMALL_SEGMENT_BYTES = 1400
"""Segments on loopback are else so large that a few fill megabytes."""


@attrs.define
class ReceivedRequest:
    """One received request."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        return self.headers.get("request-id", "")

    @property
    def prefills(self) -> bool:
        return self.headers.get("serving-stage") == "prefill"

    @property
    def runs(self) -> bool:
        """Whether it is a caller's request, no prefill or internal call."""
        internal = self.target.startswith("/sycamoreseam/")
        return not (internal or self.prefills)


Reply = Callable[
    ["Endpoint", ReceivedRequest, asyncio.StreamWriter], Awaitable[None]
]


def answer(
    received: ReceivedRequest,
    body: bytes = b"done",
    status: str = "200 OK",
    **extra: str,
) -> bytes:
    """Returns a complete answer with its seal."""
    fields = {
        "Request-Id": received.request_id,
        "Server-Seal": "seal",
        "Content-Length": str(len(body)),
        **{name.replace("_", "-"): value for name, value in extra.items()},
    }
    head = "".join(f"{k}: {v}\r\n" for k, v in fields.items() if v)
    return f"HTTP/1.1 {status}\r\n{head}\r\n".encode() + body


def refusal(received: ReceivedRequest, **extra: str) -> bytes:
    """Returns an answer that says that the request was not run."""
    return answer(
        received,
        b"",
        "503 Service Unavailable",
        Server_Seal="",
        Not_Executed="1",
        **extra,
    )


def event(number: int) -> bytes:
    """Returns one event of a stream."""
    return f"id: {number}\ndata: t{number}\n\n".encode()


def chunk(data: bytes) -> bytes:
    """Returns one chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: seal\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)


async def reply_whole(
    endpoint: "Endpoint",
    received: ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> None:
    """Sends a complete answer to a plain call."""
    endpoint.ran.append(received)
    writer.write(answer(received))


async def reply_engine(
    endpoint: "Endpoint",
    received: ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> None:
    """Answers as a model engine: holds, prefills, streams, reports, orders."""
    if received.target.startswith("/sycamoreseam/hold-take"):
        endpoint.holds += 1
        body = json.dumps({"hold": f"h{endpoint.holds}"}).encode()
        writer.write(answer(received, body))
    elif received.target.startswith("/sycamoreseam/report"):
        body = json.dumps(
            {"busy": False, "sequence": len(endpoint.orders)}
        ).encode()
        writer.write(answer(received, body))
    elif received.target.startswith("/sycamoreseam/order"):
        endpoint.orders.append(json.loads(received.body))
        writer.write(answer(received, b"{}", "202 Accepted"))
    elif received.target.startswith("/sycamoreseam/"):
        endpoint.released.append(received.target)
        writer.write(answer(received, b""))
    elif received.prefills:
        writer.write(answer(received, b'{"kv_handle":"kv1","tokens":1}'))
    else:
        await reply_stream(endpoint, received, writer)


def crashes_on(part: str) -> Reply:
    """Returns a reply of an engine that crashes as it decodes a part."""

    async def reply(
        endpoint: "Endpoint",
        received: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        is_run = not (
            received.target.startswith("/sycamoreseam/") or received.prefills
        )
        if not is_run or part not in received.headers["prompt-prefix"]:
            await reply_engine(endpoint, received, writer)
            return
        endpoint.ran.append(received)
        writer.write(STREAM_HEAD % received.request_id.encode())
        await writer.drain()
        endpoint.crash()

    return reply


async def reply_stream(
    endpoint: "Endpoint",
    received: ReceivedRequest,
    writer: asyncio.StreamWriter,
    last: int = EVENTS,
) -> None:
    """Streams the events after the caller's last event id, up to `last`.

    The body ends properly only if `last` is the last event of the stream.
    """
    endpoint.ran.append(received)
    writer.write(STREAM_HEAD % received.request_id.encode())
    start = int(received.headers.get("last-event-id", "0")) + 1
    for number in range(start, last + 1):
        writer.write(chunk(event(number)))
        await writer.drain()
    if last == EVENTS:
        writer.write(b"0\r\n\r\n")


class _FieldWriter:
    """A writer that adds header fields to the head of each answer."""

    def __init__(self, writer: asyncio.StreamWriter, fields: dict[str, str]):
        self._writer = writer
        self._fields = fields

    def write(self, data: bytes) -> None:
        if data.startswith(b"HTTP/1.1 ") and self._fields:
            first, rest = data.split(b"\r\n", 1)
            lines = [f"{k}: {v}".encode() for k, v in self._fields.items()]
            data = b"\r\n".join([first, *lines, rest])
        self._writer.write(data)

    def __getattr__(self, name: str) -> object:
        return getattr(self._writer, name)


class Endpoint:
    """Listens on loopback and answers through its reply function."""

    def __init__(
        self, endpoint_id: str, reply: Reply, small_buffers: bool = False
    ):
        """Creates an endpoint.

        Args:
            endpoint_id: its id.
            reply: answers requests.
            small_buffers: whether little is taken of what the endpoint does
                not read, whatever the limits of the kernel are.
        """
        self.id = endpoint_id
        self.reply = reply
        self.small_buffers = small_buffers
        self.received: list[ReceivedRequest] = []
        self.ran: list[ReceivedRequest] = []
        self.orders: list[dict] = []
        self.released: list[str] = []
        self.holds = 0
        self.closed_early = 0
        self.has_crashed = False
        self.connections = 0
        self.fields: dict[str, str] = {}
        """Header fields that each answer has besides its own."""
        self.answers_early: Callable[[ReceivedRequest], bool] = lambda _: False
        """Whether a request is answered before its body is read."""
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        sock = socket.socket()
        limits = {}
        if self.small_buffers:
            _limit_buffers(sock)
            limits["limit"] = SMALL_BUFFER_BYTES
        sock.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(
            self._serve, sock=sock, **limits
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        self._server.close()
        for writer in tuple(self._writers):
            writer.close()
        await asyncio.sleep(0)

    def crash(self) -> None:
        """Ends as a killed process does: nothing is answered any more."""
        self.has_crashed = True
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def entry(self, service: str, stage: str = "", **changes: object) -> dict:
        """Returns the spec under which the endpoint is announced."""
        spec = {
            "service": service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "here",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1000,
            **({"stage": stage} if stage else {}),
        }
        return {**spec, **changes}

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while not writer.is_closing():
                received = await _read_head(reader)
                if received is None:
                    break
                self.received.append(received)
                if self.answers_early(received):
                    await self._answer(received, writer)
                    break
                received.body = await _read_body(reader, received)
                await self._answer(received, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.closed_early += 1
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer = _FieldWriter(writer, self.fields)
        if received.headers.get("expect-instance", self.id) != self.id:
            writer.write(
                answer(received, b"", "421 Misdirected Request", Server_Seal="")
            )
        else:
            await self.reply(self, received, writer)
        await writer.drain()


def _limit_buffers(sock: socket.socket) -> None:
    """Limits what the kernels of both ends hold, before the socket listens.

    The sender's buffer grows with the segments that the receiver lets through.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SMALL_SEGMENT_BYTES)


async def _read_head(reader: asyncio.StreamReader) -> ReceivedRequest | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin1").split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        values = [headers.get(name.lower(), ""), value.strip()]
        # A field that is sent twice counts with both values.
        headers[name.lower()] = ", ".join(filter(None, values))
    return ReceivedRequest(method, target, headers, b"")


async def _read_body(
    reader: asyncio.StreamReader, received: ReceivedRequest
) -> bytes:
    length = int(received.headers.get("content-length", "0"))
    return await reader.readexactly(length)
