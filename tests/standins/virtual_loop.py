"""Event loop on virtual time.

When no callback is ready, time advances to the next timer at once.
"""

import asyncio
from collections.abc import Coroutine
import contextvars
import selectors
from typing import Any

from seam_node.ports import clock

PROCESS: contextvars.ContextVar[str] = contextvars.ContextVar(
    "process", default=""
)
"""Simulated process that a callback belongs to, for `FreezableLoop`."""
WALL_TIME_START_S = 1_750_000_000.0
"""Wall-clock time at which every virtual loop starts."""


class DeadlockError(Exception):
    """No callback is ready and no timer is set."""


class _AdvancingSelector(selectors.SelectSelector):
    """Advances virtual time by the requested timeout instead of waiting."""

    advance: Any = None

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise DeadlockError("no callback is ready and no timer is set")
        if timeout > 0:
            self.advance(timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time, without sockets."""

    def __init__(self):
        self._virtual_s = 0.0
        selector = _AdvancingSelector()
        super().__init__(selector)
        selector.advance = self.advance

    def time(self) -> float:
        """Returns virtual seconds since the loop was created."""
        return self._virtual_s

    def advance(self, timeout_s: float) -> None:
        """Lets time pass while no callback runs."""
        self._virtual_s += timeout_s


class FreezableLoop(VirtualLoop):
    """A virtual loop that can stop single processes, as SIGSTOP does.

    A callback belongs to the process that `PROCESS` names in its context.
    Callbacks that become due for a stopped process run, in order, when it is
    resumed.
    """

    def __init__(self):
        super().__init__()
        self._stopped: dict[str, list] = {}

    def freeze(self, process: str) -> None:
        """Stops a process until `thaw`."""
        self._stopped[process] = []

    def thaw(self, process: str) -> None:
        """Resumes a stopped process."""
        for context, callback in self._stopped.pop(process):
            super().call_soon(callback, context=context)

    def call_soon(self, callback, *args, context=None):
        return self._schedule_guarded(
            super().call_soon, callback, args, context
        )

    def call_at(self, when, callback, *args, context=None):
        def call(run_unless_frozen, context):
            return super(FreezableLoop, self).call_at(
                when, run_unless_frozen, context=context
            )

        return self._schedule_guarded(call, callback, args, context)

    def _schedule_guarded(self, schedule, callback, args, context):
        if context is None:
            context = contextvars.copy_context()

        def run_unless_frozen():
            stopped = self._stopped.get(PROCESS.get())
            if stopped is None:
                callback(*args)
            elif not handle.cancelled():
                stopped.append((context, run_deferred))

        def run_deferred():
            if not handle.cancelled():
                callback(*args)

        handle = schedule(run_unless_frozen, context=context)
        return handle


class VirtualClock(clock.Clock):
    """Clock of the running virtual loop."""

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        return WALL_TIME_START_S + self.monotonic()


def run(
    coro: Coroutine, limit_s: float = 3600.0, loop: type = VirtualLoop
) -> Any:
    """Runs a coroutine to completion on a new loop.

    Raises `DeadlockError` if it can never continue, `TimeoutError` if it takes
    more than `limit_s` virtual seconds.
    """
    with asyncio.Runner(loop_factory=loop) as runner:
        return runner.run(asyncio.wait_for(coro, limit_s))
