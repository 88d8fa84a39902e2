"""Streams of connections to endpoints."""

import socket

from tornado import iostream

from seam_node.adapters import tcp


class EndpointStream(iostream.IOStream):
    """A connection to an endpoint that can tell whether it may be reused."""

    def __init__(self, sock: socket.socket):
        """Takes a non-blocking socket."""
        super().__init__(sock)
        self.idle_until = 0.0
        """Time of the event loop until which it may rest unused."""

    def is_clean(self) -> bool:
        """Tells whether the connection is open and has nothing to read.

        Bytes on an idle connection belong to no request.
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
    """Returns a stream that is not connected yet."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    tcp.enable_dead_peer_detection(sock)
    return EndpointStream(sock)
