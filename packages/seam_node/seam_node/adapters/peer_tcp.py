"""Authenticated links between instances over TCP.

The requesting instance opens a link and receives the answers on it. A frame is
a msgpack array of a correlation id and a message row (see `seam_model.codec`);
an empty array is a ping, which is answered with an empty array.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import socket
from typing import Any

import expression
from tornado import iostream
from tornado import netutil
from tornado import tcpserver

from seam_model import codec
from seam_model import endpoints
from seam_model import errors
from seam_node.adapters import peer_auth
from seam_node.adapters import peer_link
from seam_node.adapters import peer_stream
from seam_node.ports import peer as peer_port

HANDSHAKE_TIMEOUT_S = 2.0
ACCEPTED_IDLE_TIMEOUT_S = 60.0

Refused = Callable[[errors.PeerUnauthenticated], None]


class _Server(tcpserver.TCPServer):
    def __init__(self, accept: Callable[[iostream.IOStream], Any]):
        super().__init__()
        self._accept = accept

    async def handle_stream(
        self, stream: iostream.IOStream, address: Any
    ) -> None:
        await self._accept(stream)


class TcpPeerNetwork(peer_port.PeerNetwork):
    """Peer links of one instance; `port` 0 binds a free port."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        host: str,
        port: int,
        key: bytes,
        on_refused: Refused = lambda error: None,
        on_handler_error: Callable[[str, Exception], None] = lambda peer, exc: (
            None
        ),
        silence_timeout_s: float = peer_link.SILENCE_TIMEOUT_S,
    ):
        """Sets own name, listening address and the shared peer key.

        `on_refused` is called when a peer fails authentication and
        `on_handler_error` when a handler raises.
        """
        if not key:
            raise ValueError("the peer key is empty")
        self._own = peer_auth.Hello(name, incarnation, b"")
        self._host = host
        self._port = port
        self._key = key
        self.traffic = peer_stream.Traffic()
        self._on_refused = on_refused
        self._on_handler_error = on_handler_error
        self._silence_timeout_s = silence_timeout_s
        self._handlers: dict[type, peer_port.Handler] = {}
        self._links: dict[str, peer_link.PeerLink] = {}
        self._server: _Server | None = None
        self._sockets: list[socket.socket] = []
        self._accepted: set[peer_stream.FrameStream] = set()
        self._handler_tasks: set[asyncio.Task] = set()

    def register_handler(
        self, message_type: type, handler: peer_port.Handler
    ) -> None:
        """Registers the only handler of a message type; before `start`."""
        if message_type in self._handlers:
            raise ValueError(f"{message_type.__name__} already has a handler")
        self._handlers[message_type] = handler

    def bind(self) -> int:
        """Binds the listening socket before `start`; returns its port."""
        self._sockets = netutil.bind_sockets(self._port, self._host)
        self._port = self._sockets[0].getsockname()[1]
        return self._port

    async def start(self) -> None:
        """Starts listening."""
        if not self._sockets:
            self.bind()
        self._server = _Server(self._accept)
        self._server.add_sockets(self._sockets)

    def bound_port(self) -> int:
        """Returns the listening port."""
        return self._port

    async def close(self) -> None:
        """Closes every link and cancels running handlers."""
        if self._server is not None:
            self._server.stop()
        for link in self._links.values():
            link.close()
        self._links.clear()
        for frames in tuple(self._accepted):
            frames.close()
        tasks = tuple(self._handler_tasks)
        for handler_task in tasks:
            handler_task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def set_peers(self, records: Iterable[endpoints.InstanceRecord]) -> None:
        """Sets the instances that links may be opened to."""
        records_by_name = {record.name: record for record in records}
        records_by_name.pop(self._own.name, None)
        for name, link in tuple(self._links.items()):
            record = records_by_name.get(name)
            if record is None or _address(record) != _address(link.record):
                link.close()
                del self._links[name]
        for name, record in records_by_name.items():
            if name not in self._links:
                self._links[name] = peer_link.PeerLink(
                    self._own,
                    record,
                    self._key,
                    self._on_refused,
                    self._silence_timeout_s,
                    self.traffic,
                )

    async def request(
        self, peer: str, message: Any, timeout_s: float
    ) -> expression.Result[Any, errors.PeerError]:
        """Sends a message and waits for its answer."""
        if peer == self._own.name:
            return await self._request_locally(message, timeout_s)
        link = self._links.get(peer)
        if link is None:
            return expression.Error(errors.PeerUnreachable(peer))
        return await link.request(message, timeout_s)

    def notify(self, peer: str, message: Any) -> None:
        """Sends a message without an answer; it may be lost."""
        if peer == self._own.name:
            self._start_task(self._run_handler(peer, message))
            return
        link = self._links.get(peer)
        if link is not None:
            link.notify(message)

    # Handling

    async def _request_locally(
        self, message: Any, timeout_s: float
    ) -> expression.Result[Any, errors.PeerError]:
        handler_task = self._start_task(
            self._run_handler(self._own.name, message)
        )
        done, _ = await asyncio.wait((handler_task,), timeout=timeout_s)
        if (
            not done
            or handler_task.cancelled()
            or handler_task.result() is None
        ):
            return expression.Error(errors.PeerTimeout(self._own.name))
        return expression.Ok(handler_task.result()[0])

    async def _run_handler(
        self, sender: str, message: Any
    ) -> tuple[Any] | None:
        handler = self._handlers.get(type(message))
        if handler is None:
            return None
        try:
            return (await handler(sender, message),)
        except Exception as exc:
            self._on_handler_error(sender, exc)
            return None

    def _start_task(self, coro: Any) -> asyncio.Task:
        handler_task = asyncio.ensure_future(coro)
        self._handler_tasks.add(handler_task)
        handler_task.add_done_callback(self._handler_tasks.discard)
        return handler_task

    # Accepted links

    async def _accept(self, stream: iostream.IOStream) -> None:
        stream.set_nodelay(True)
        frames = peer_stream.FrameStream(stream, self.traffic)
        self._accepted.add(frames)
        try:
            sender = await asyncio.wait_for(
                self._authenticate(frames), HANDSHAKE_TIMEOUT_S
            )
            if sender is not None:
                await self._serve(sender, frames)
        except (iostream.StreamClosedError, TimeoutError, ValueError):
            return
        finally:
            self._accepted.discard(frames)
            frames.close()

    async def _authenticate(
        self, frames: peer_stream.FrameStream
    ) -> str | None:
        try:
            hello = peer_auth.decode_hello(await frames.read())
        except ValueError:
            hello = None
        if hello is None:
            self._on_refused(errors.PeerUnauthenticated(""))
            return None
        sent = self._make_challenge(hello)
        frames.write([sent.name, sent.incarnation, sent.nonce, sent.proof])
        try:
            proof = await frames.read()
        except iostream.StreamClosedError:
            proof = None
        if not peer_auth.is_valid_proof(
            self._key, "opener", hello, sent, proof
        ):
            self._on_refused(errors.PeerUnauthenticated(hello.name))
            return None
        return hello.name

    def _make_challenge(self, hello: peer_auth.Hello) -> peer_auth.Challenge:
        nonce = peer_auth.make_nonce()
        own = self._own
        proof = peer_auth.prove(
            self._key, "acceptor", hello, own.name, own.incarnation, nonce
        )
        return peer_auth.Challenge(own.name, own.incarnation, nonce, proof)

    async def _serve(
        self, sender: str, frames: peer_stream.FrameStream
    ) -> None:
        while True:
            frame = await asyncio.wait_for(
                frames.read(), ACCEPTED_IDLE_TIMEOUT_S
            )
            if frame == peer_link.PING:
                frames.write(peer_link.PING)
                continue
            if not isinstance(frame, list) or len(frame) != 2:
                raise ValueError("frame is not an array of two elements")
            self._start_task(self._answer(sender, frames, *frame))

    async def _answer(
        self,
        sender: str,
        frames: peer_stream.FrameStream,
        correlation_id: int,
        row: list[Any],
    ) -> None:
        message = codec.row_to_message(row)
        result = None
        if message.is_ok():
            result = await self._run_handler(sender, message.ok)
        if correlation_id == peer_link.NO_ANSWER:
            return
        if result is None:
            frames.write([correlation_id])
            return
        answer = result[0]
        out = None if answer is None else codec.message_to_row(answer)
        frames.write([correlation_id, out])


def _address(record: endpoints.InstanceRecord) -> tuple[str, int, int]:
    return (record.peer_host, record.peer_port, record.incarnation)
