"""TCP streams to endpoints, and what is common to all streams."""

import asyncio
from collections.abc import Callable
import socket

from tornado import iostream

from seam_node.adapters import tcp

MAX_BUFFER_BYTES = 8 * 1024 * 1024
"""Limit of unread bytes; a body without a length is read as a whole."""


def call_when_written(
    stream: iostream.IOStream, callback: Callable[[asyncio.Future], None]
) -> None:
    """Calls back once all that was written is gone, or the stream is closed.

    Args:
        stream: an open stream.
        callback: gets a future that has the error if the stream is closed.
    """
    # This write is empty, but ends after all that was written before.
    stream.write(b"").add_done_callback(callback)


class EndpointStream(iostream.IOStream):
    """A connection to an endpoint that can be checked before reuse."""

    def __init__(self, sock: socket.socket):
        """Takes a non-blocking socket."""
        super().__init__(sock, max_buffer_size=MAX_BUFFER_BYTES)
        self.number = 0
        """Number of the connection among those of its pool."""
        self.idle_until = 0.0
        """Event loop time until which the connection may stay idle."""

    def has_written_all(self) -> bool:
        """Returns whether the kernel has taken all bytes that were written.

        It also answers for a closed connection: what was dropped at the close
        has not been taken.
        """
        return self._total_write_done_index == self._total_write_index

    def is_clean(self) -> bool:
        """Returns whether the connection is open and has no unread bytes.

        Bytes that arrive on an idle connection belong to no request, so such a
        connection must not be reused.
        """
        if self.closed() or self._read_buffer_size:
            return False
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


def open_stream() -> EndpointStream:
    """Returns an unconnected stream."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    tcp.enable_dead_peer_detection(sock)
    return EndpointStream(sock)
