"""The requesting end of a link to one peer.

A link connects at the first send and reconnects after it was closed. A network
device between the two ends can drop a connection without closing it. So a link
that awaits an answer and receives nothing is pinged after half the silence
timeout and closed when the timeout expires.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
import expression
from tornado import iostream
from tornado import tcpclient

from seam_model import codec
from seam_model import endpoints
from seam_model import errors
from seam_node.adapters import peer_auth
from seam_node.adapters import peer_stream

CONNECT_TIMEOUT_S = 2.0
SILENCE_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 30.0
BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 2.0
MAX_CORRELATION_ID = 2**16 - 1
MAX_PENDING = 10_000
NO_ANSWER = 0
"""Correlation id of messages that are not answered."""
PING: list[Any] = []


@attrs.define
class _PendingRequest:
    fut: asyncio.Future
    sent: bool = False


class PeerLink:
    """Sends messages to one peer over at most one connection."""

    def __init__(
        self,
        own: peer_auth.Hello,
        record: endpoints.InstanceRecord,
        key: bytes,
        on_refused: Callable[[errors.PeerUnauthenticated], None],
        silence_timeout_s: float = SILENCE_TIMEOUT_S,
        traffic: peer_stream.Traffic | None = None,
    ):
        """Sets both ends; each handshake uses a new nonce, not `own.nonce`."""
        self._traffic = traffic
        self.record = record
        self._own = own
        self._key = key
        self._on_refused = on_refused
        self._silence_timeout_s = silence_timeout_s
        self._frames: peer_stream.FrameStream | None = None
        self._open_task: asyncio.Task | None = None
        self._read_task: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._queue: list[tuple[int, list[Any]]] = []
        self._pending: dict[int, _PendingRequest] = {}
        self._last_correlation_id = 0
        self._backoff_s = 0.0
        self._backoff_until = 0.0
        self._last_sent_at = 0.0
        self._awaited_since: float | None = None
        self._last_error: errors.PeerError = errors.PeerUnreachable(record.name)

    async def request(
        self, message: Any, timeout_s: float
    ) -> expression.Result[Any, errors.PeerError]:
        """Sends a message and waits for its answer."""
        if self._in_backoff() or len(self._pending) >= MAX_PENDING:
            return expression.Error(self._last_error)
        correlation_id = self._next_correlation_id()
        pending = _PendingRequest(asyncio.get_running_loop().create_future())
        self._pending[correlation_id] = pending
        self._enqueue(correlation_id, codec.message_to_row(message))
        try:
            return await asyncio.wait_for(pending.fut, timeout_s)
        except TimeoutError:
            return expression.Error(self._error_for(pending))
        finally:
            self._pending.pop(correlation_id, None)

    def notify(self, message: Any) -> None:
        """Sends a message without an answer."""
        if not self._in_backoff() and len(self._queue) < MAX_PENDING:
            self._enqueue(NO_ANSWER, codec.message_to_row(message))

    def close(self) -> None:
        """Closes the connection and fails all pending requests."""
        if self._open_task is not None:
            self._open_task.cancel()
        self._disconnect(None)

    # Opening

    def _in_backoff(self) -> bool:
        disconnected = self._frames is None and self._open_task is None
        return (
            disconnected
            and asyncio.get_running_loop().time() < self._backoff_until
        )

    async def _open(self) -> None:
        try:
            frames = await asyncio.wait_for(self._connect(), CONNECT_TIMEOUT_S)
        except (OSError, iostream.StreamClosedError, TimeoutError):
            self._open_task = None
            self._start_backoff(errors.PeerUnreachable(self.record.name))
            return
        except ValueError:
            self._open_task = None
            error = errors.PeerUnauthenticated(self.record.name)
            self._on_refused(error)
            self._start_backoff(error)
            return
        self._open_task = None
        self._frames = frames
        self._backoff_s = 0.0
        self._last_error = errors.PeerUnreachable(self.record.name)
        self._read_task = asyncio.ensure_future(self._read(frames))
        self._reset_timer()
        self._flush()

    async def _connect(self) -> peer_stream.FrameStream:
        client = tcpclient.TCPClient()
        stream = await client.connect(
            self.record.peer_host, self.record.peer_port
        )
        stream.set_nodelay(True)
        frames = peer_stream.FrameStream(stream, self._traffic)
        try:
            await self._authenticate(frames)
        except BaseException:
            frames.close()
            raise
        return frames

    async def _authenticate(self, frames: peer_stream.FrameStream) -> None:
        hello = attrs.evolve(self._own, nonce=peer_auth.make_nonce())
        frames.write(peer_auth.encode_hello(hello))
        challenge = peer_auth.decode_challenge(await frames.read())
        if challenge is None or challenge.name != self.record.name:
            raise ValueError("challenge is invalid or from another instance")
        if not peer_auth.is_valid_proof(
            self._key, "acceptor", hello, challenge, challenge.proof
        ):
            raise ValueError("proof does not match the peer key")
        frames.write(
            peer_auth.prove(
                self._key,
                "opener",
                hello,
                challenge.name,
                challenge.incarnation,
                challenge.nonce,
            )
        )

    def _start_backoff(self, error: errors.PeerError) -> None:
        backoff_s = max(BACKOFF_MIN_S, self._backoff_s * 2)
        self._backoff_s = min(BACKOFF_MAX_S, backoff_s)
        now = asyncio.get_running_loop().time()
        self._backoff_until = now + self._backoff_s
        self._last_error = error
        self._disconnect(None)

    # Sending

    def _next_correlation_id(self) -> int:
        while True:
            self._last_correlation_id = (
                self._last_correlation_id % MAX_CORRELATION_ID + 1
            )
            if self._last_correlation_id not in self._pending:
                return self._last_correlation_id

    def _enqueue(self, correlation_id: int, row: list[Any]) -> None:
        self._queue.append((correlation_id, row))
        if self._frames is not None:
            self._flush()
        elif self._open_task is None:
            self._open_task = asyncio.ensure_future(self._open())

    def _flush(self) -> None:
        now = asyncio.get_running_loop().time()
        queue, self._queue = self._queue, []
        for correlation_id, row in queue:
            pending = self._pending.get(correlation_id)
            if correlation_id != NO_ANSWER and pending is None:
                continue
            if pending is not None:
                pending.sent = True
                self._start_awaiting(now)
            self._last_sent_at = now
            self._frames.write([correlation_id, row])

    def _start_awaiting(self, now: float) -> None:
        if self._awaited_since is None:
            self._awaited_since = now
            self._reset_timer()

    # Receiving

    async def _read(self, frames: peer_stream.FrameStream) -> None:
        try:
            while True:
                self._on_frame(await frames.read())
        except (iostream.StreamClosedError, ValueError, TypeError):
            self._disconnect(frames)

    def _on_frame(self, frame: Any) -> None:
        now = asyncio.get_running_loop().time()
        self._awaited_since = None
        if frame:
            pending = self._pending.pop(frame[0], None)
            if pending is not None and not pending.fut.done():
                pending.fut.set_result(self._decode_answer(frame))
        if any(pending.sent for pending in self._pending.values()):
            self._start_awaiting(now)

    def _decode_answer(
        self, frame: list[Any]
    ) -> expression.Result[Any, errors.PeerError]:
        if len(frame) < 2:
            return expression.Error(errors.PeerTimeout(self.record.name))
        if frame[1] is None:
            return expression.Ok(None)
        answer = codec.row_to_message(frame[1])
        if answer.is_error():
            return expression.Error(errors.PeerTimeout(self.record.name))
        return answer

    # Silence and idle timeouts

    def _reset_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        awaited = self._awaited_since is not None
        delay = self._silence_timeout_s / 2 if awaited else IDLE_TIMEOUT_S
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay, self._check_timeouts)

    def _check_timeouts(self) -> None:
        if self._frames is None:
            return
        now = asyncio.get_running_loop().time()
        if self._awaited_since is None:
            if now - self._last_sent_at >= IDLE_TIMEOUT_S and not self._pending:
                self._disconnect(self._frames)
                return
        elif now - self._awaited_since >= self._silence_timeout_s:
            self._disconnect(self._frames)
            return
        else:
            self._frames.write(PING)
        self._reset_timer()

    # Closing

    def _error_for(self, pending: _PendingRequest) -> errors.PeerError:
        if pending.sent:
            return errors.PeerTimeout(self.record.name)
        return self._last_error

    def _disconnect(self, expected: peer_stream.FrameStream | None) -> None:
        if expected is not None and expected is not self._frames:
            return
        frames, self._frames = self._frames, None
        if frames is not None:
            frames.close()
        if self._timer is not None:
            self._timer.cancel()
        self._awaited_since = None
        self._queue.clear()
        for pending in self._pending.values():
            if not pending.fut.done():
                pending.fut.set_result(
                    expression.Error(self._error_for(pending))
                )
        self._pending.clear()
