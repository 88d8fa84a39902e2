"""Holds what a caller has yet to read of its answer.

An endpoint cuts off an answer that stays unread, so a caller that reads slowly
must not delay the read from the endpoint. Only without memory, or beyond
`MAX_BACKLOG_BYTES`, is the endpoint's answer read at the caller's pace.
"""

import asyncio
import collections
from collections.abc import Awaitable
import fcntl
import struct
import termios

from tornado import http1connection
from tornado import httputil
from tornado import iostream

from seam_node.forward import sockets
from seam_node.forward.callers import caller_memory
from seam_node.forward.endpoints import exchange

CHUNK_BYTES = 64 * 1024
"""Size of the chunks in which a backlog is written."""
MAX_BACKLOG_BYTES = exchange.MAX_ANSWER_BYTES
"""Most bytes of one answer that are held, as for one that is held until it is
whole."""
MAX_UNREAD_S = 20.0
"""Longest time in which a caller reads nothing of what is there for it."""
CHECK_INTERVAL_S = 1.0
"""Interval at which the caller's progress is checked."""


class AnswerBacklog:
    """Writes an answer to its connection and holds what does not fit."""

    def __init__(
        self,
        conn: http1connection.HTTP1Connection,
        hold: caller_memory.AnswerHold,
    ):
        """Starts empty.

        Args:
            conn: the caller's connection.
            hold: the memory of the answer.
        """
        self._conn = conn
        self._stream = conn.stream
        self._hold = hold
        self._waiting: collections.deque[bytes | bytearray] = (
            collections.deque()
        )
        self._size = 0
        """Bytes that are waiting or being written."""
        self._writing_size = 0
        """Bytes that are being written."""
        self.is_counted = False
        """Whether memory has been taken for the bytes of the backlog."""
        self._has_room: asyncio.Future | None = None
        """Done once more may be written."""
        self._is_read: asyncio.Future | None = None
        """Done once the backlog is empty."""
        self._timer: asyncio.TimerHandle | None = None
        """Checks the caller's progress while there is a backlog."""
        self._acked = -1
        """Bytes that the caller's side had acknowledged at `_acked_at`."""
        self._acked_at = 0.0
        """Time of the event loop at the last progress."""

    @property
    def empty(self) -> bool:
        """Whether the kernel has taken everything."""
        return not self._size

    def write(self, chunk: bytes) -> Awaitable[None] | None:
        """Sends bytes, or holds them until the caller reads.

        Returns what to wait for before more may follow, or None.
        """
        if not self._size:
            self._conn.write(chunk)
            if not self._stream.writing():
                return None
            self._watch_write(len(chunk))
        else:
            self._append(chunk)
        self._size += len(chunk)
        self.is_counted = True
        return None if self._take_memory() else self._wait_for_room()

    async def write_all(self, body: bytes) -> None:
        """Sends a body in chunks, as the caller reads it.

        The memory for it has been taken already.
        """
        for at in range(0, len(body), CHUNK_BYTES):
            if self._stream.closed():
                return
            chunk = body[at : at + CHUNK_BYTES]
            self._conn.write(chunk)
            self.note_written(len(chunk))
            await self.wait_until_read()

    def note_written(self, size: int) -> None:
        """Records that bytes were written to the empty connection."""
        if self._stream.writing():
            self._watch_write(size)
            self._size += size

    async def wait_until_read(self) -> None:
        """Waits until the kernel has taken everything."""
        while self._size:
            self._is_read = asyncio.get_running_loop().create_future()
            await self._is_read

    def drop(self) -> None:
        """Drops what was not sent."""
        self._waiting.clear()
        self._size = self._writing_size = 0
        self._on_shrunk()

    def _append(self, chunk: bytes) -> None:
        """Adds bytes; many small ones are joined, as each takes memory."""
        if len(chunk) >= CHUNK_BYTES:
            self._waiting.append(chunk)
            return
        last = self._waiting[-1] if self._waiting else None
        if (
            isinstance(last, bytearray)
            and len(last) + len(chunk) <= CHUNK_BYTES
        ):
            last += chunk
        else:
            self._waiting.append(bytearray(chunk))

    def _watch_write(self, size: int) -> None:
        """Goes on once the bytes that were written last are gone."""
        self._writing_size = size
        sockets.call_when_written(self._stream, self._on_written)
        if self._timer is None:
            self._acked = -1
            self._check_progress()

    def _on_written(self, written: asyncio.Future) -> None:
        if written.cancelled() or written.exception() is not None:
            self.drop()
            return
        self._size -= self._writing_size
        self._writing_size = 0
        while self._waiting:
            chunk = self._waiting.popleft()
            try:
                self._conn.write(bytes(chunk))
            except httputil.HTTPOutputError:
                # The answer exceeds the length that its head states.
                self._stream.close()
                self.drop()
                return
            if self._stream.writing():
                self._watch_write(len(chunk))
                break
            self._size -= len(chunk)
        self._on_shrunk()

    def _on_shrunk(self) -> None:
        """Gives memory back and wakes those that wait for the caller."""
        if self.is_counted:
            self._hold.shrink(self._size)
        if self._has_room is not None and self._take_memory():
            _wake(self._has_room)
            self._has_room = None
        if self._size:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._is_read is not None:
            _wake(self._is_read)

    def _take_memory(self) -> bool:
        """Takes memory for the backlog; returns whether more may follow."""
        if self._size > MAX_BACKLOG_BYTES:
            return False
        missing = self._size - self._hold.size
        return missing <= 0 or self._hold.take(missing)

    def _wait_for_room(self) -> Awaitable[None]:
        if self._has_room is None or self._has_room.done():
            self._has_room = asyncio.get_running_loop().create_future()
        return self._has_room

    def _check_progress(self) -> None:
        """Cuts off a caller that has read nothing for too long.

        Progress is what the caller's side has acknowledged: the kernel may
        take no more bytes for some time although the caller reads.
        """
        self._timer = None
        if self._stream.closed():
            return
        loop = asyncio.get_running_loop()
        acked = _acked_bytes(self._stream)
        if acked != self._acked:
            self._acked, self._acked_at = acked, loop.time()
        elif loop.time() - self._acked_at >= MAX_UNREAD_S:
            self._stream.close()
            return
        self._timer = loop.call_later(CHECK_INTERVAL_S, self._check_progress)


def _wake(waiting: asyncio.Future) -> None:
    if not waiting.done():
        waiting.set_result(None)


def _acked_bytes(stream: iostream.IOStream) -> int:
    """Returns how many bytes the other side has acknowledged.

    If the system does not tell, these are the bytes that it has taken.
    """
    taken = stream._total_write_done_index
    try:
        unacked = fcntl.ioctl(stream.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        return taken
    return taken - struct.unpack("i", unacked)[0]
