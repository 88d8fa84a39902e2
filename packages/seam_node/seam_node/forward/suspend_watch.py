"""Detects that the process did not run for a while.

Either the machine was suspended, which only one of its clocks counts, or the
process alone was frozen, so that its timers fire late.
"""

import asyncio
from collections.abc import Callable

from seam_node import logs

CHECK_INTERVAL_S = 0.25
MIN_SUSPENSION_S = 0.5
"""Shortest suspension that is reported."""


class SuspendWatch:
    """Watches a clock that includes suspended time."""

    def __init__(
        self,
        now: Callable[[], float],
        on_resume: Callable[[float], None],
        log: logs.Log,
    ):
        """Takes the clock and the callback for the end of a suspension."""
        self._now = now
        self._on_resume = on_resume
        self._log = log
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts the periodic check."""
        self._task = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Stops the periodic check."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        checked_at = self._now()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            lost_s = self._now() - checked_at - CHECK_INTERVAL_S
            checked_at = self._now()
            if lost_s >= MIN_SUSPENSION_S:
                self._log.event(
                    "instance_thawed",
                    "warning",
                    suspended_s=round(lost_s, 3),
                )
                self._on_resume(lost_s)
