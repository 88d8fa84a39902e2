"""Proof, after a pause, that this instance still owns its streams."""

import abc

from seam_node.controllers import runs
from seam_node.ports import clock

PAUSE_LIMIT_S = 1.0
TICK_S = 0.25


class Proof(abc.ABC):
    """Says whether a byte of a run may be sent to its caller now."""

    @abc.abstractmethod
    def holds(self) -> bool:
        """Tells whether the process has run without a pause."""

    @abc.abstractmethod
    async def renew(self, run: runs.Run) -> bool:
        """Asks the mirrors whether the run is still ours."""


class PauseWatch:
    """Notices that the process did not run for a while.

    `tick` is called by a timer; a gap longer than `PAUSE_LIMIT_S` between two
    calls means that the process was stopped or starved.
    """

    def __init__(self, clk: clock.Clock):
        """Takes the clock."""
        self._clock = clk
        self._last = clk.monotonic()
        self.pauses = 0

    def tick(self) -> None:
        """Records that the process runs."""
        now = self._clock.monotonic()
        if now - self._last > PAUSE_LIMIT_S:
            self.pauses += 1
        self._last = now

    def fresh(self) -> bool:
        """Tells whether the last tick is recent; counts a pause if not."""
        if self._clock.monotonic() - self._last <= PAUSE_LIMIT_S:
            return True
        self.tick()
        return False
