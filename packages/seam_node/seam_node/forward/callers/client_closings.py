"""Counts and logs the connections that were closed by a limit."""

import asyncio
import collections

from seam_node import logs
from seam_node import metrics

LOG_INTERVAL_S = 1.0
"""Shortest interval between two log lines of one port."""


class ClientClosings:
    """The connections of one port that were closed by a limit."""

    def __init__(self, port: str, meter: metrics.Metrics, log: logs.Log):
        """Starts with no closings.

        Args:
            port: name of the port in metrics and log lines.
            meter: counts the closings.
            log: where they are logged.
        """
        self._port = port
        self._metrics = meter
        self._log = log
        self._unlogged: collections.Counter[str] = collections.Counter()

    def note(self, reason: str, count: int) -> None:
        """Counts connections that were closed for one reason."""
        self._metrics.client_connections_closed(self._port, reason, count)
        if not self._unlogged:
            loop = asyncio.get_running_loop()
            loop.call_later(LOG_INTERVAL_S, self._write_line)
        self._unlogged[reason] += count

    def _write_line(self) -> None:
        self._log.event(
            "client_connections_closed",
            "warning",
            port=self._port,
            **self._unlogged,
        )
        self._unlogged.clear()
