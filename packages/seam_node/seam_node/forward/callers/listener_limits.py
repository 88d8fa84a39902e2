"""Limits on the clients of each listener, from the settings and the process."""

from seam_model import forward_settings
from seam_node.adapters import client_server
from seam_node.adapters import process_files
from seam_policy import client_limits


def of_process(
    settings: forward_settings.ForwardSettings,
) -> client_limits.ClientLimits:
    """Returns the largest numbers of connections and requests."""
    clients = settings.clients
    shares = client_limits.Shares(
        clients.callers_share,
        clients.feeds_share,
        clients.entry_share,
        clients.probes_share,
        clients.memory_share,
    )
    files = process_files.open_files_limit(settings.capacity.max_open_files)
    memory_bytes = settings.capacity.memory_bytes()
    return client_limits.limits_of(shares, files, memory_bytes)


def of_listener(
    settings: forward_settings.ForwardSettings, max_connections: int
) -> client_server.ConnectionLimits:
    """Returns the limits of a listener with a number of connections."""
    clients = settings.clients
    return client_server.ConnectionLimits(
        max_connections, clients.read_ahead_bytes, clients.unread_s
    )
