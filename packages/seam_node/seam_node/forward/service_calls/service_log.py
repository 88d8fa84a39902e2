"""Log lines of a service placer, limited in number."""

from collections.abc import Callable
import math
from typing import Any

from seam_node import logs

MAX_LINES_PER_S = 20.0


class ServiceLog:
    """Writes at most `MAX_LINES_PER_S` lines of each event.

    A line that follows others that were left out says how many they were.
    """

    def __init__(self, now: Callable[[], float], log: logs.Log):
        """Takes the clock and the log."""
        self._now = now
        self._log = log
        self._tokens: dict[str, float] = {}
        """Lines that may be written at once, by event."""
        self._refilled_at: dict[str, float] = {}
        self._left_out: dict[str, int] = {}
        """Lines left out since the last one that was written, by event."""

    def granted(self, **fields: Any) -> None:
        """Logs a call that got an endpoint."""
        self._write("service_granted", fields)

    def refused(self, **fields: Any) -> None:
        """Logs a call that was refused."""
        self._write("service_refused", fields)

    def _write(self, event: str, fields: dict[str, Any]) -> None:
        if self._admits(event):
            left_out = self._left_out.pop(event, 0)
            self._log.event(event, left_out=left_out, **fields)
        else:
            self._left_out[event] = self._left_out.get(event, 0) + 1

    def _admits(self, event: str) -> bool:
        """Returns whether one more line of an event may be written."""
        now = self._now()
        elapsed_s = now - self._refilled_at.get(event, -math.inf)
        tokens = self._tokens.get(event, 0.0) + elapsed_s * MAX_LINES_PER_S
        tokens = min(MAX_LINES_PER_S, tokens)
        admitted = tokens >= 1.0
        self._refilled_at[event] = now
        self._tokens[event] = tokens - 1.0 if admitted else tokens
        return admitted
