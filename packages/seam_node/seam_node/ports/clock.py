"""Clocks of an instance."""

import abc
import asyncio
import time


class Clock(abc.ABC):
    """Source of monotonic and wall clock time, in seconds."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Returns seconds that never decrease, from an arbitrary zero."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Returns seconds since the epoch; may jump when the clock is set."""


class LoopClock(Clock):
    """Monotonic time of the running event loop, wall time of the host."""

    def monotonic(self) -> float:
        """Returns the event loop's time."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Returns the host's wall clock time."""
        return time.time()


class BootClock(Clock):
    """Clock whose monotonic time includes time in system suspend."""

    def monotonic(self) -> float:
        """Returns seconds since the host booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Returns the host's wall clock time."""
        return time.time()
