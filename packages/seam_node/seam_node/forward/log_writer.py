"""Writes log lines without ever blocking the event loop."""

import collections
import os
import threading
import time
from typing import Any

from seam_node import logs

_LEVELS = ("debug", "info", "warning", "error")
RATE_LIMIT_WINDOW_S = 1.0


class LineWriter:
    """An eliot destination with a bounded queue and a writer thread.

    Lines that exceed the rate limit of their event or find the queue full are
    dropped and counted. The count is added to the next line that is written.
    """

    def __init__(
        self, fd: int, level: str, max_queued: int, max_lines_per_s: int
    ):
        """Creates a writer whose thread is not started.

        Args:
            fd: file descriptor to write to.
            level: lowest level that is written.
            max_queued: maximum number of queued lines.
            max_lines_per_s: rate limit of each event.
        """
        self._fd = fd
        self._min_level = _LEVELS.index(level)
        self._max_queued = max_queued
        self._max_lines_per_event = max_lines_per_s
        self._lines: collections.deque[bytes] = collections.deque()
        self._has_lines = threading.Event()
        self._closing = False
        self._event_counts: collections.Counter[str] = collections.Counter()
        self._window_ends_at = 0.0
        self.dropped_lines = 0
        """Lines dropped since the start."""
        self._reported_drops = 0
        self._thread = threading.Thread(target=self._write, daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def close(self, timeout_s: float = 0.5) -> None:
        """Writes the queued lines, for at most `timeout_s`."""
        self._closing = True
        self._has_lines.set()
        self._thread.join(timeout_s)

    def set_level(self, level: str) -> None:
        """Sets the lowest level that is written."""
        self._min_level = _LEVELS.index(level)

    def __call__(self, message: dict[str, Any]) -> None:
        """Queues one eliot message as a line."""
        level = message.get("level", "info")
        if level in _LEVELS and _LEVELS.index(level) < self._min_level:
            return
        if not self._admits(message.get("message_type", "none")):
            self.dropped_lines += 1
            return
        line = logs.format_event(message)
        if self.dropped_lines > self._reported_drops:
            line += (
                f" lines_left_out={self.dropped_lines - self._reported_drops}"
            )
            self._reported_drops = self.dropped_lines
        self._lines.append(line.encode("utf-8", "replace") + b"\n")
        self._has_lines.set()

    def _admits(self, event: str) -> bool:
        if len(self._lines) >= self._max_queued:
            return False
        now = time.monotonic()
        if now >= self._window_ends_at:
            self._window_ends_at = now + RATE_LIMIT_WINDOW_S
            self._event_counts.clear()
        self._event_counts[event] += 1
        return self._event_counts[event] <= self._max_lines_per_event

    def _write(self) -> None:
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            self._write_queued()
            if self._closing and not self._lines:
                return

    def _write_queued(self) -> None:
        while self._lines:
            batch = b"".join(
                self._lines.popleft() for _ in range(len(self._lines))
            )
            view = memoryview(batch)
            while view:
                try:
                    view = view[os.write(self._fd, view) :]
                except BlockingIOError:
                    time.sleep(0.01)
                except OSError:
                    return
