"""Event loop whose time jumps to the next timer when nothing is ready."""

import asyncio
from collections.abc import Coroutine
import contextvars
import selectors
from typing import Any

from seam_node.ports import clock

PROCESS: contextvars.ContextVar[str] = contextvars.ContextVar(
    "process", default=""
)
"""Process that a callback belongs to, for `FreezableLoop`."""
EPOCH_S = 1_750_000_000.0
"""Wall clock time at which every virtual loop starts."""


class DeadlockError(Exception):
    """Nothing is ready and no timer is set."""


class _JumpingSelector(selectors.SelectSelector):
    """Passes the loop's wait for the next timer to `jump` at once."""

    jump: Any = None

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise DeadlockError("nothing is ready and no timer is set")
        if timeout > 0:
            self.jump(timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time; it serves no sockets."""

    def __init__(self):
        self._virtual_s = 0.0
        selector = _JumpingSelector()
        super().__init__(selector)
        selector.jump = self._jump

    def time(self) -> float:
        """Returns virtual seconds since the loop was made."""
        return self._virtual_s

    def _jump(self, timeout_s: float) -> None:
        self._virtual_s += timeout_s


class FreezableLoop(VirtualLoop):
    """Also stops single processes, as SIGSTOP does.

    A callback belongs to the process that `PROCESS` names in its context.
    What falls due for a stopped process runs, in order, once it goes on.
    """

    def __init__(self):
        super().__init__()
        self._stopped: dict[str, list] = {}

    def freeze(self, process: str) -> None:
        """Stops a process until `thaw`."""
        self._stopped[process] = []

    def thaw(self, process: str) -> None:
        """Lets a stopped process go on."""
        for context, callback in self._stopped.pop(process):
            super().call_soon(callback, context=context)

    def call_soon(self, callback, *args, context=None):
        return self._guard(super().call_soon, callback, args, context)

    def call_at(self, when, callback, *args, context=None):
        def call(guarded, context):
            return super(FreezableLoop, self).call_at(
                when, guarded, context=context
            )

        return self._guard(call, callback, args, context)

    def _guard(self, schedule, callback, args, context):
        if context is None:
            context = contextvars.copy_context()

        def guarded():
            stopped = self._stopped.get(PROCESS.get())
            if stopped is None:
                callback(*args)
            elif not handle.cancelled():
                stopped.append((context, late))

        def late():
            if not handle.cancelled():
                callback(*args)

        handle = schedule(guarded, context=context)
        return handle


class VirtualClock(clock.Clock):
    """Clock of the running virtual loop."""

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        return EPOCH_S + self.monotonic()


def run(
    coro: Coroutine, limit_s: float = 3600.0, loop: type = VirtualLoop
) -> Any:
    """Runs a coroutine to its end on a loop of its own.

    Raises `DeadlockError` when it can never go on, `TimeoutError` when it takes
    more than `limit_s` virtual seconds.
    """
    with asyncio.Runner(loop_factory=loop) as runner:
        return runner.run(asyncio.wait_for(coro, limit_s))
