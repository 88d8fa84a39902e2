"""Drains the instance: takes it out of service without cutting requests."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import enum
from typing import Any

import attrs
import expression

from seam_model import errors
from seam_node import task

REFUSE_AFTER_S = 3.0
EXPEDITED_HOOKS_S = 1.0
"""Time limit of the final hooks after a second signal."""


class Phase(enum.IntEnum):
    """Phases of the drain, in order."""

    SERVING = 0
    ANNOUNCED = 1
    """Removed from entry answers and peers' choices; still accepts work."""
    REFUSING = 2
    ENDED = 3


@attrs.frozen
class Begin:
    """Requests the start of the drain; expedites one that has started."""

    reason: str
    expedites: bool = True
    """Whether to expedite a drain that has already started."""


class DrainController(task.Task):
    """Counts requests in progress and runs the phases of the drain.

    `on_phase` is called at each change of phase, before any other action.
    The hooks in `final_hooks` are run after the last request has ended.
    """

    def __init__(
        self,
        instance: str,
        on_phase: Callable[[Phase], None],
        final_hooks: tuple[Callable[[], Awaitable[None]], ...] = (),
        refuse_after_s: float = REFUSE_AFTER_S,
    ):
        """Starts in phase SERVING."""
        super().__init__("drain")
        self._instance = instance
        self._on_phase = on_phase
        self._final_hooks = final_hooks
        self._refuse_after_s = refuse_after_s
        self.phase = Phase.SERVING
        self.reason = ""
        self.in_progress = 0
        self.failed_hooks: list[BaseException] = []
        self._started = False
        self._expedite = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()
        self._ended = asyncio.Event()

    def configure(self, refuse_after_s: float) -> None:
        """Sets for how long a leaving instance still accepts new work."""
        self._refuse_after_s = refuse_after_s

    def begin(self, reason: str) -> None:
        """Starts the drain; a second call skips all waits but for requests."""
        self.tell(Begin(reason))

    async def begin_once(self, reason: str) -> None:
        """Starts the drain, waits for ANNOUNCED; a repeat has no effect."""
        await self.ask(Begin(reason, expedites=False))

    def admit(self) -> expression.Result[None, errors.InstanceLeaving]:
        """Counts a new request, or refuses it with `InstanceLeaving`."""
        if self.phase >= Phase.REFUSING:
            return expression.Error(errors.InstanceLeaving(self._instance))
        self.in_progress += 1
        self._idle.clear()
        return expression.Ok(None)

    def end_request(self) -> None:
        """Removes an admitted request from the count."""
        self.in_progress -= 1
        if self.in_progress == 0:
            self._idle.set()

    async def wait_ended(self) -> None:
        """Waits for phase ENDED."""
        await self._ended.wait()

    async def receive(self, message: Any) -> Any:
        """Handles `Begin`."""
        if not isinstance(message, Begin):
            return
        if self._started:
            if message.expedites:
                self._expedite.set()
            return
        self._started = True
        self.reason = message.reason
        self._set_phase(Phase.ANNOUNCED)
        self.spawn(self._run_phases())

    def _set_phase(self, phase: Phase) -> None:
        self.phase = phase
        self._on_phase(phase)

    async def _run_phases(self) -> None:
        await self._wait_announced()
        self._set_phase(Phase.REFUSING)
        await self._idle.wait()
        await self._run_hooks_with_limit()
        self._set_phase(Phase.ENDED)
        self._ended.set()

    async def _wait_announced(self) -> None:
        try:
            async with asyncio.timeout(self._refuse_after_s):
                await self._expedite.wait()
        except TimeoutError:
            return

    async def _run_hooks_with_limit(self) -> None:
        hooks = asyncio.ensure_future(self._run_hooks())
        expedite = asyncio.ensure_future(self._expedite.wait())
        both = {hooks, expedite}
        try:
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            await asyncio.wait({hooks}, timeout=EXPEDITED_HOOKS_S)
        finally:
            for fut in both:
                fut.cancel()
            await asyncio.gather(*both, return_exceptions=True)

    async def _run_hooks(self) -> None:
        """Runs all hooks; records an exception and continues with the next."""
        for hook in self._final_hooks:
            try:
                await hook()
            except Exception as exc:
                self.failed_hooks.append(exc)
