"""Dead peer detection by the kernel, and what it has received."""

import socket

USER_TIMEOUT_MS = 1500
"""Longest time that sent bytes may stay unacknowledged."""
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)


def enable_dead_peer_detection(sock: socket.socket) -> None:
    """Lets the kernel close a connection whose peer stops answering."""
    for level, option, value in _OPTIONS:
        sock.setsockopt(level, option, value)


def has_unread(sock: socket.socket) -> bool:
    """Returns whether bytes of the peer have arrived that nobody has read.

    Args:
        sock: a non-blocking socket.
    """
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        # Nothing is there, or the connection has failed.
        return False
