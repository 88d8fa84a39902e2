"""Decides how many clients' connections are kept and which are closed.

This handles clients that open many connections or pipeline many requests
without reading the responses, so that ordinary clients still get connections
and a process keeps descriptors for endpoints, the store and other instances.
"""

from collections.abc import Iterable
import heapq

import attrs

OWN_FILES = 32
"""Descriptors of the process itself: log, event loop, store, listeners."""
CONNECTION_BYTES = 48 * 1024
"""Memory that a connection with a request takes besides its body."""
MIN_CONNECTIONS = 4
"""Least number of connections of a listener."""
CLOSED_SHARE = 1 / 32
"""Share of the connections that is closed when all are taken. Choosing the ones
to close looks at each, so several are closed at a time."""


@attrs.frozen
class Shares:
    """Shares of the descriptors; the rest is left for endpoints."""

    callers: float
    feeds: float
    entry: float
    probes: float
    """Share of each of the listeners for readiness checks and metrics."""
    memory: float
    """Share of the memory that callers' connections may take."""


@attrs.frozen
class ClientLimits:
    """Largest numbers of connections by listener, and of requests."""

    callers: int
    requests: int
    """Callers' requests in progress; each may need an endpoint's connection."""
    feeds: int
    entry: int
    probes: int


def limits_of(shares: Shares, files: int, memory_bytes: int) -> ClientLimits:
    """Returns the limits of a process.

    Args:
        shares: shares of the resources.
        files: descriptors that the process may have open.
        memory_bytes: memory that the process may use.
    """
    usable = max(0, files - OWN_FILES)
    kept = shares.callers + shares.feeds + shares.entry + 2 * shares.probes
    by_memory = int(memory_bytes * shares.memory / CONNECTION_BYTES)
    return ClientLimits(
        callers=_at_least(min(int(usable * shares.callers), by_memory)),
        requests=_at_least(int(usable * max(0.0, 1 - kept))),
        feeds=_at_least(int(usable * shares.feeds)),
        entry=_at_least(int(usable * shares.entry)),
        probes=_at_least(int(usable * shares.probes)),
    )


@attrs.frozen(eq=False)
class ConnectionUse:
    """What is known of one connection."""

    pipelined: bool
    """Whether bytes arrived before the previous request was answered."""
    in_progress: bool
    """Whether a request is being received or answered."""
    idle_since: float
    """Time since which the next request is awaited, in seconds."""


def closed_at_once(limit: int) -> int:
    """Returns how many connections are closed when all are taken."""
    return max(1, int(limit * CLOSED_SHARE))


def to_close(
    connections: Iterable[ConnectionUse], count: int, pipelined_only: bool
) -> list[ConnectionUse]:
    """Returns the connections to close, at most `count`.

    Those that have pipelined come first, then those idle longest. One with a
    request in progress is closed only if it has pipelined.

    Args:
        connections: all connections.
        count: how many have to be closed.
        pipelined_only: whether idle connections are kept.
    """
    closable = (
        each
        for each in connections
        if each.pipelined or not (each.in_progress or pipelined_only)
    )
    return heapq.nsmallest(count, closable, key=_order)


def _order(use: ConnectionUse) -> tuple[bool, bool, float]:
    return (not use.pipelined, use.in_progress, use.idle_since)


def _at_least(count: int) -> int:
    return max(MIN_CONNECTIONS, count)
