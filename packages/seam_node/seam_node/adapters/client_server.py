"""HTTP server with limits on its clients' connections."""

import asyncio
from collections.abc import Callable
import socket
import time
from typing import Any

import attrs
from tornado import httpserver
from tornado import ioloop

from seam_node.adapters import client_stream
from seam_policy import client_limits

SWEEP_INTERVAL_S = 5.0
"""Interval at which clients are sought that read nothing."""
CLOSE_POLL_INTERVAL_S = 0.01
"""Interval at which answers to the last requests are awaited."""
# Reasons for which connections are closed.
PIPELINED, IDLE, UNREAD, REFUSED = "pipelined", "idle", "unread", "refused"

OnClosed = Callable[[str, int], None]
"""Called with the reason and the number of connections that were closed."""


@attrs.frozen
class ConnectionLimits:
    """Limits on the connections of one listener."""

    max_connections: int
    read_ahead_bytes: int
    """Bytes that are read of a connection before they are awaited."""
    unread_s: float
    """Time after which a client is cut off that reads nothing of what is
    buffered for it, in seconds."""
    keeps_idle: bool = False
    """Whether a new connection is refused rather than an idle one closed."""


class ClientServer(httpserver.HTTPServer):
    """An HTTP server that closes connections to make room for new ones.

    Connections that have pipelined are closed first, then those idle longest.
    If none of these is left, the new one is closed.
    """

    def initialize(
        self,
        *args: Any,
        limits: ConnectionLimits,
        on_closed: OnClosed = lambda reason, count: None,
        on_count: Callable[[int], None] = lambda count: None,
        **kwargs: Any,
    ) -> None:
        """Sets the limits and the arguments of `HTTPServer`.

        Args:
            args: arguments of `HTTPServer`.
            limits: limits on connections.
            on_closed: called when connections were closed by a limit.
            on_count: called when the number of connections has changed.
            kwargs: arguments of `HTTPServer`.
        """
        super().initialize(*args, **kwargs)
        self._limits = limits
        self._on_closed = on_closed
        self._on_count = on_count
        self._streams: set[client_stream.ClientStream] = set()
        self._sweep_timer: object | None = None

    @property
    def connection_count(self) -> int:
        """Open connections."""
        return len(self._streams)

    def close_idle(self) -> int:
        """Closes the connections on which no request is under way.

        Returns the number of those that are left.
        """
        for each in tuple(self._streams):
            if each.is_idle():
                self._close(each)
        return len(self._streams)

    async def close_connections(self, answer_s: float) -> int:
        """Closes all connections; the server must have stopped.

        All that are cut off are closed in one step, so that no request is
        taken from one of them meanwhile.

        Args:
            answer_s: time for the answers to requests that are under way.

        Returns the number of connections that were cut off.
        """
        gives_up_at = time.monotonic() + answer_s
        while self.close_idle() and time.monotonic() < gives_up_at:
            await asyncio.sleep(CLOSE_POLL_INTERVAL_S)
        cut = tuple(self._streams)
        for each in cut:
            self._close(each)
        await self.close_all_connections()
        return len(cut)

    def on_close(self, server_conn: Any) -> None:
        """Forgets a connection."""
        self._forget(server_conn.stream)
        super().on_close(server_conn)

    def _handle_connection(
        self, connection: socket.socket, address: Any
    ) -> None:
        if len(self._streams) >= self._limits.max_connections:
            self._make_room()
        if len(self._streams) >= self._limits.max_connections:
            connection.close()
            self._on_closed(REFUSED, 1)
            return
        stream = client_stream.ClientStream(
            connection, self._limits.read_ahead_bytes
        )
        self._streams.add(stream)
        self._on_count(len(self._streams))
        self._schedule_sweep()
        self.handle_stream(stream, address)

    def _make_room(self) -> None:
        uses = {_use_of(each): each for each in self._streams}
        closed = client_limits.to_close(
            uses,
            client_limits.closed_at_once(self._limits.max_connections),
            self._limits.keeps_idle,
        )
        pipelined_count = sum(each.pipelined for each in closed)
        for each in closed:
            self._close(uses[each])
        self._report(PIPELINED, pipelined_count)
        self._report(IDLE, len(closed) - pipelined_count)

    def _close(self, stream: client_stream.ClientStream) -> None:
        self._forget(stream)
        stream.abort()

    def _forget(self, stream: client_stream.ClientStream) -> None:
        self._streams.discard(stream)
        self._on_count(len(self._streams))

    def _report(self, reason: str, count: int) -> None:
        if count:
            self._on_closed(reason, count)

    def _schedule_sweep(self) -> None:
        if self._sweep_timer is None:
            self._sweep_timer = ioloop.IOLoop.current().call_later(
                SWEEP_INTERVAL_S, self._sweep
            )

    def _sweep(self) -> None:
        """Cuts off clients that leave what is buffered for them unread."""
        self._sweep_timer = None
        now = time.monotonic()
        unread = [
            each
            for each in self._streams
            if each.unread_s(now) > self._limits.unread_s
        ]
        for each in unread:
            self._close(each)
        self._report(UNREAD, len(unread))
        if self._streams:
            self._schedule_sweep()


def _use_of(stream: client_stream.ClientStream) -> client_limits.ConnectionUse:
    return client_limits.ConnectionUse(
        stream.pipelined, stream.in_progress, stream.idle_since
    )
