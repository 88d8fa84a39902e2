"""Reports this instance's streams to the coordinators at an interval."""

import asyncio
from collections.abc import Callable

from seam_model import forwarding
from seam_node.forward.fleet import coordinators
from seam_node.forward.fleet import messages
from seam_node.forward.placement import prompt_guard

INTERVAL_S = 0.5
EARLY_REPORT_DELAY_S = 0.1
"""Delay of a report before its time, of an instance whose use of a quota grows
fast; calls for one within this time are joined."""
IDLE_INTERVALS = 8
"""Intervals between two reports of an instance without streams."""


class StreamReports:
    """Sends `StreamReport` messages, which repair what was lost before."""

    def __init__(
        self,
        entry: forwarding.InstanceEntry,
        order: coordinators.Coordinators,
        describe: Callable[[], messages.StreamReport],
        send: Callable[[messages.Message, forwarding.InstanceEntry], None],
    ):
        """Takes this instance, the coordinators and the report to send."""
        self._entry = entry
        self._order = order
        self._describe = describe
        self._send = send
        self._skipped = IDLE_INTERVALS
        self._had_streams = False
        self._usage: tuple[messages.UsageRow, ...] = ()
        """Use of quotas in the last report that was sent."""
        self._early_timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts reporting."""
        self._task = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Stops reporting."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._early_timer is not None:
            self._early_timer.cancel()

    def report_soon(self) -> None:
        """Reports before the time, as much of a quota has been used."""
        if self._early_timer is None:
            self._early_timer = asyncio.get_running_loop().call_later(
                EARLY_REPORT_DELAY_S, self._report_early
            )

    def _report_early(self) -> None:
        self._early_timer = None
        self._report()

    async def _run(self) -> None:
        while True:
            self._report()
            await asyncio.sleep(INTERVAL_S)

    def _report(self) -> None:
        report = self._describe()
        had_streams, self._had_streams = self._had_streams, bool(report.streams)
        is_idle = not (
            report.streams
            or had_streams
            or report.prompts.started
            or report.usage != self._usage
            or report.prompts.quarantine_digest == prompt_guard.UNKNOWN_DIGEST
        )
        self._skipped += 1
        if is_idle and self._skipped < IDLE_INTERVALS:
            return
        self._skipped = 0
        self._usage = report.usage
        for entry in self._order.responsive():
            if entry.name != self._entry.name:
                self._send(report, entry)
