"""Socket options for dead peer detection by the kernel."""

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
