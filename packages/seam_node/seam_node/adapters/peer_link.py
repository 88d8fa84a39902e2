"""The asking end of a link to one peer.

A link opens at the first send and is replaced after it was closed. Something
between the two ends can lose track of a connection without closing it, so a
link that owes an answer and on which nothing was heard is pinged once, and
closed after the silence limit.
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
SILENCE_LIMIT_S = 2.0
IDLE_LIMIT_S = 30.0
BACKOFF_FIRST_S = 0.05
BACKOFF_LAST_S = 2.0
MAX_CORRELATION = 2**16 - 1
MAX_WAITING = 10_000
NO_ANSWER = 0
PING: list[Any] = []


@attrs.define
class _Waiting:
    fut: asyncio.Future
    sent: bool = False


class PeerLink:
    """Sends messages to one peer over one connection at a time."""

    def __init__(
        self,
        own: peer_auth.Hello,
        record: endpoints.InstanceRecord,
        key: bytes,
        refused: Callable[[errors.PeerUnauthenticated], None],
        silence_s: float = SILENCE_LIMIT_S,
        traffic: peer_stream.Traffic | None = None,
    ):
        """Names both ends; `own.nonce` is replaced for each handshake."""
        self._traffic = traffic
        self.record = record
        self._own = own
        self._key = key
        self._refused = refused
        self._silence_s = silence_s
        self._frames: peer_stream.FrameStream | None = None
        self._opening: asyncio.Task | None = None
        self._reading: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._queue: list[tuple[int, list[Any]]] = []
        self._waiting: dict[int, _Waiting] = {}
        self._last_id = 0
        self._backoff_s = 0.0
        self._retry_at = 0.0
        self._used_at = 0.0
        self._awaited_since: float | None = None
        self._error: errors.PeerError = errors.PeerUnreachable(record.name)

    async def request(
        self, message: Any, timeout_s: float
    ) -> expression.Result[Any, errors.PeerError]:
        """Sends a message and waits for its answer."""
        if self._barred() or len(self._waiting) >= MAX_WAITING:
            return expression.Error(self._error)
        ident = self._next_id()
        waiting = _Waiting(asyncio.get_running_loop().create_future())
        self._waiting[ident] = waiting
        self._put(ident, codec.message_to_row(message))
        try:
            return await asyncio.wait_for(waiting.fut, timeout_s)
        except TimeoutError:
            return expression.Error(self._failure(waiting))
        finally:
            self._waiting.pop(ident, None)

    def notify(self, message: Any) -> None:
        """Sends a message without an answer."""
        if not self._barred() and len(self._queue) < MAX_WAITING:
            self._put(NO_ANSWER, codec.message_to_row(message))

    def close(self) -> None:
        """Closes the connection and fails what waits."""
        if self._opening is not None:
            self._opening.cancel()
        self._drop(None)

    # Opening

    def _barred(self) -> bool:
        idle = self._frames is None and self._opening is None
        return idle and asyncio.get_running_loop().time() < self._retry_at

    async def _open(self) -> None:
        try:
            frames = await asyncio.wait_for(self._connect(), CONNECT_TIMEOUT_S)
        except (OSError, iostream.StreamClosedError, TimeoutError):
            self._opening = None
            self._bar(errors.PeerUnreachable(self.record.name))
            return
        except ValueError:
            self._opening = None
            error = errors.PeerUnauthenticated(self.record.name)
            self._refused(error)
            self._bar(error)
            return
        self._opening = None
        self._frames = frames
        self._backoff_s = 0.0
        self._error = errors.PeerUnreachable(self.record.name)
        self._reading = asyncio.ensure_future(self._read(frames))
        self._rearm()
        self._flush()

    async def _connect(self) -> peer_stream.FrameStream:
        client = tcpclient.TCPClient()
        stream = await client.connect(
            self.record.peer_host, self.record.peer_port
        )
        stream.set_nodelay(True)
        frames = peer_stream.FrameStream(stream, self._traffic)
        try:
            await self._shake_hands(frames)
        except BaseException:
            frames.close()
            raise
        return frames

    async def _shake_hands(self, frames: peer_stream.FrameStream) -> None:
        hello = attrs.evolve(self._own, nonce=peer_auth.make_nonce())
        frames.write(peer_auth.hello_row(hello))
        seen = peer_auth.read_challenge(await frames.read())
        if seen is None or seen.name != self.record.name:
            raise ValueError("another instance listens there")
        if not peer_auth.proof_fits(
            self._key, "acceptor", hello, seen, seen.proof
        ):
            raise ValueError("wrong peer key")
        frames.write(
            peer_auth.prove(
                self._key,
                "opener",
                hello,
                seen.name,
                seen.incarnation,
                seen.nonce,
            )
        )

    def _bar(self, error: errors.PeerError) -> None:
        grown = max(BACKOFF_FIRST_S, self._backoff_s * 2)
        self._backoff_s = min(BACKOFF_LAST_S, grown)
        now = asyncio.get_running_loop().time()
        self._retry_at = now + self._backoff_s
        self._error = error
        self._drop(None)

    # Sending

    def _next_id(self) -> int:
        while True:
            self._last_id = self._last_id % MAX_CORRELATION + 1
            if self._last_id not in self._waiting:
                return self._last_id

    def _put(self, ident: int, row: list[Any]) -> None:
        self._queue.append((ident, row))
        if self._frames is not None:
            self._flush()
        elif self._opening is None:
            self._opening = asyncio.ensure_future(self._open())

    def _flush(self) -> None:
        now = asyncio.get_running_loop().time()
        queue, self._queue = self._queue, []
        for ident, row in queue:
            waiting = self._waiting.get(ident)
            if ident != NO_ANSWER and waiting is None:
                continue
            if waiting is not None:
                waiting.sent = True
                self._await_from(now)
            self._used_at = now
            self._frames.write([ident, row])

    def _await_from(self, now: float) -> None:
        if self._awaited_since is None:
            self._awaited_since = now
            self._rearm()

    # Hearing

    async def _read(self, frames: peer_stream.FrameStream) -> None:
        try:
            while True:
                self._heard(await frames.read())
        except (iostream.StreamClosedError, ValueError, TypeError):
            self._drop(frames)

    def _heard(self, frame: Any) -> None:
        now = asyncio.get_running_loop().time()
        self._awaited_since = None
        if frame:
            waiting = self._waiting.pop(frame[0], None)
            if waiting is not None and not waiting.fut.done():
                waiting.fut.set_result(self._result(frame))
        if any(waiting.sent for waiting in self._waiting.values()):
            self._await_from(now)

    def _result(
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

    # Silence

    def _rearm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        awaited = self._awaited_since is not None
        delay = self._silence_s / 2 if awaited else IDLE_LIMIT_S
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay, self._check)

    def _check(self) -> None:
        if self._frames is None:
            return
        now = asyncio.get_running_loop().time()
        if self._awaited_since is None:
            if now - self._used_at >= IDLE_LIMIT_S and not self._waiting:
                self._drop(self._frames)
                return
        elif now - self._awaited_since >= self._silence_s:
            self._drop(self._frames)
            return
        else:
            self._frames.write(PING)
        self._rearm()

    # Closing

    def _failure(self, waiting: _Waiting) -> errors.PeerError:
        if waiting.sent:
            return errors.PeerTimeout(self.record.name)
        return self._error

    def _drop(self, only: peer_stream.FrameStream | None) -> None:
        if only is not None and only is not self._frames:
            return
        frames, self._frames = self._frames, None
        if frames is not None:
            frames.close()
        if self._timer is not None:
            self._timer.cancel()
        self._awaited_since = None
        self._queue.clear()
        for waiting in self._waiting.values():
            if not waiting.fut.done():
                waiting.fut.set_result(expression.Error(self._failure(waiting)))
        self._waiting.clear()
