"""TCP streams of clients that read little more than is awaited."""

import asyncio
import socket
import time

from tornado import iostream

from seam_node.adapters import tcp

BODY_READ_BYTES = 64 * 1024
"""Most bytes of an awaited body that are read at a time."""
MIN_EARLY_REQUESTS = 2
"""Early requests from which a connection has pipelined; one may come early by
chance."""
MAX_EARLY_REQUESTS = 8
"""Bound of the count, so that a connection that stops pipelining is cleared
after a few requests."""
MAX_BUFFER_BYTES = 1024 * 1024
"""Limit of unread bytes; only awaited bytes come near it."""


class ClientStream(iostream.IOStream):
    """A client's connection with a bounded read-ahead.

    Tornado's stream reads up to 64 KB whenever it reads, also when it only
    listens for the end of the connection while a request is answered. The
    members with an underscore are Tornado's.
    """

    def __init__(self, sock: socket.socket, read_ahead_bytes: int):
        """Takes an accepted socket.

        Args:
            sock: the non-blocking socket.
            read_ahead_bytes: most bytes that are read before they are awaited.
        """
        super().__init__(sock, max_buffer_size=MAX_BUFFER_BYTES)
        self._read_ahead_bytes = read_ahead_bytes
        self._early_requests = 0
        """Requests that came early, less those that did not, from 0 to
        `MAX_EARLY_REQUESTS`."""
        self.idle_since = time.monotonic()
        """Time since which the next request is awaited, by the monotonic
        clock."""
        self._sent_bytes = 0
        """Bytes that the kernel had taken at `_sent_at`."""
        self._sent_at = self.idle_since

    @property
    def pipelined(self) -> bool:
        """Whether requests are sent before earlier ones are answered.

        A single early request counts only while the one before it is being
        answered: a client may send the next one on the last byte of an answer,
        which the server ends a moment later.
        """
        # The connection sets the callback once it has read a whole request.
        is_answering = self._close_callback is not None
        return self._early_requests >= MIN_EARLY_REQUESTS or (
            is_answering and self._read_buffer_size > 0
        )

    @property
    def in_progress(self) -> bool:
        """Whether a request's head has arrived and its answer is not sent."""
        return self._read_regex is None

    def is_idle(self) -> bool:
        """Returns whether the next request is awaited and none of it is here.

        Bytes that the kernel has received count as here.
        """
        if self.in_progress or self._read_buffer_size or self.unsent_bytes:
            return False
        return not tcp.has_unread(self.socket)

    @property
    def unsent_bytes(self) -> int:
        """Bytes that are buffered because the client does not read them."""
        return 0 if self.closed() else len(self._write_buffer)

    def unread_s(self, now: float) -> float:
        """Returns for how long the client has read none of what is buffered.

        It is measured from the first call after the last progress.

        Args:
            now: time of the monotonic clock, in seconds.
        """
        if not self.unsent_bytes or self._total_write_done_index != (
            self._sent_bytes
        ):
            self._sent_bytes = self._total_write_done_index
            self._sent_at = now
        return now - self._sent_at

    def abort(self) -> None:
        """Closes the connection and drops what has been read ahead.

        Otherwise requests that were read ahead would be served after the close.
        """
        self._read_buffer.clear()
        self._read_buffer_size = 0
        self.close()

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> asyncio.Future:
        """Reads the head of the next request."""
        self.idle_since = time.monotonic()
        change = 1 if self._read_buffer_size else -1
        self._early_requests = min(
            max(self._early_requests + change, 0), MAX_EARLY_REQUESTS
        )
        return super().read_until_regex(regex, max_bytes)

    def _read_to_buffer(self) -> int | None:
        """Reads a limited number of bytes; returns 0 if none may be read."""
        if not self.reading():
            if self._read_buffer_size >= self._read_ahead_bytes:
                return 0
            self.read_chunk_size = self._read_ahead_bytes
            return super()._read_to_buffer()
        self.read_chunk_size = self._next_read_bytes()
        return super()._read_to_buffer()

    def _next_read_bytes(self) -> int:
        if self._read_bytes is None:
            return self._read_ahead_bytes
        missing = self._read_bytes - self._read_buffer_size
        return min(max(missing, 1), BODY_READ_BYTES)
