"""Limits on the connections of the product's own interface."""

from seam_node.adapters import client_server

READ_AHEAD_BYTES = 4096
"""Bytes that are read of a connection before they are awaited."""
UNREAD_TIMEOUT_S = 60.0
"""Time after which a client is cut off that reads nothing of an answer."""


def of_listener(
    max_connections: int, keeps_idle: bool = False
) -> client_server.ConnectionLimits:
    """Returns the limits of a listener.

    Args:
        max_connections: most connections at once.
        keeps_idle: whether a new connection is refused rather than an idle one
            closed.
    """
    return client_server.ConnectionLimits(
        max_connections, READ_AHEAD_BYTES, UNREAD_TIMEOUT_S, keeps_idle
    )
