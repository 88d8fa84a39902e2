"""Bounds the bytes that an instance holds for its callers."""

import asyncio
import bisect
from collections.abc import Callable
import itertools

import attrs

from seam_policy import memory_budget

MEASURE_INTERVAL_S = 0.5
ROOM_WAIT_S = 0.45
"""Longest time for which a body is not read. Callers give a request up that is
not read for a second, or a third of their time."""


@attrs.define(order=True)
class _Waiting:
    size: int
    whole_size: int
    number: int
    admitted: asyncio.Future = attrs.field(order=False)


class CallerMemory:
    """Admits callers' bytes while there is memory, the small ones first."""

    def __init__(
        self,
        budget: memory_budget.MemoryBudget,
        measure: Callable[[], int | None],
        now: Callable[[], float],
    ):
        """Creates an empty memory.

        Args:
            budget: decides what fits.
            measure: returns the private memory of the process in bytes, or
                None if it is unknown.
            now: the clock.
        """
        self._now = now
        self._budget = budget
        self._measure = measure
        self._waiting: list[_Waiting] = []
        self._numbers = itertools.count()
        self._arriving: dict[BodyHold, memory_budget.Arriving] = {}
        self._task: asyncio.Task | None = None
        self.refused = 0
        """Requests that were refused for want of memory, since the start."""

    @property
    def held_bytes(self) -> int:
        """Bytes that are held for callers now."""
        return self._budget.held_bytes

    async def start(self) -> None:
        """Starts to measure the process."""
        self._task = asyncio.ensure_future(self._measure_often())

    async def close(self) -> None:
        """Stops measuring."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def take(self, size: int, whole_size: int) -> bool:
        """Takes memory for bytes if there is room.

        `whole_size` counts all bytes of the same request or answer.
        """
        if not self._budget.fits(size, whole_size):
            return False
        self._budget.take(size)
        return True

    async def take_soon(self, size: int, whole_size: int) -> bool:
        """Takes memory once there is room; returns whether there was in time.

        Cancellation takes nothing.
        """
        if self.take(size, whole_size):
            return True
        if not self._budget.can_ever_fit(size, whole_size):
            return False
        self._drop_slow()
        if self.take(size, whole_size):
            return True
        admitted = asyncio.get_running_loop().create_future()
        waiting = _Waiting(size, whole_size, next(self._numbers), admitted)
        bisect.insort(self._waiting, waiting)
        try:
            async with asyncio.timeout(ROOM_WAIT_S):
                await admitted
        except TimeoutError:
            return False
        except asyncio.CancelledError:
            if admitted.done() and not admitted.cancelled():
                self.release(size, 0)
            raise
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)
        return True

    def note_arrived(self, size: int) -> None:
        """Records that bytes of a body with memory have arrived."""
        self._budget.note_arrived(size)

    def release(self, size: int, arrived: int) -> None:
        """Gives memory back and admits those that wait for it.

        Args:
            size: the memory that was taken.
            arrived: how much of it was in use.
        """
        self._budget.release(size, arrived)
        self._admit()

    def take_answer(self, size: int, whole_size: int) -> bool:
        """Takes memory for bytes of an answer if there is room."""
        if not self._budget.fits_answer(size, whole_size):
            return False
        self._budget.take_answer(size)
        return True

    def release_answer(self, size: int) -> None:
        """Gives memory of an answer back and admits those that wait."""
        self._budget.release_answer(size)
        self._admit()

    def note_connections(self, count: int) -> None:
        """Records the number of callers' connections."""
        self._budget.note_connections(count)

    def take_unsent(self, size: int) -> None:
        """Counts bytes of an answer that the caller has not read.

        They are buffered already, so they are counted without regard to room.
        """
        self._budget.take_answer(size)

    def set_arriving(self, hold: "BodyHold", size: int, since: float) -> None:
        """Records that a body arrives, with the memory that it has."""
        self._arriving[hold] = memory_budget.Arriving(size, since)

    def end_arriving(self, hold: "BodyHold") -> None:
        """Records that a body has arrived, or does not any more."""
        self._arriving.pop(hold, None)

    def _drop_slow(self) -> None:
        """Refuses slow bodies that keep the memory from others."""
        while self._arriving:
            slow = self._budget.slow_to_drop(
                self._arriving.values(), self._now()
            )
            if slow is None:
                return
            hold = next(k for k, v in self._arriving.items() if v is slow)
            self.end_arriving(hold)
            hold.drop()

    def _admit(self) -> None:
        while self._waiting:
            first = self._waiting[0]
            if not self.take(first.size, first.whole_size):
                return
            self._waiting.pop(0).admitted.set_result(None)

    async def _measure_often(self) -> None:
        while True:
            private_bytes = self._measure()
            if private_bytes is not None:
                self._budget.note_private(private_bytes)
                self._admit()
            await asyncio.sleep(MEASURE_INTERVAL_S)


class HeadHold:
    """The memory of one request's head, which has arrived."""

    def __init__(self, memory: CallerMemory):
        """Holds nothing yet."""
        self._memory = memory
        self._bytes = 0

    def take(self, size: int) -> bool:
        """Takes memory; returns whether there was room."""
        if not self._memory.take(size, size):
            return False
        self._memory.note_arrived(size)
        self._bytes = size
        return True

    def release(self) -> None:
        """Gives it back."""
        size, self._bytes = self._bytes, 0
        if size:
            self._memory.release(size, size)


class AnswerHold:
    """The memory of one answer, as far as it is held."""

    def __init__(self, memory: CallerMemory):
        """Holds nothing yet."""
        self._memory = memory
        self._bytes = 0

    def take(self, size: int) -> bool:
        """Takes memory for bytes; returns whether there was room."""
        if not self._memory.take_answer(size, self._bytes + size):
            return False
        self._bytes += size
        return True

    @property
    def size(self) -> int:
        """Bytes for which memory is taken."""
        return self._bytes

    def shrink(self, size: int) -> None:
        """Gives the memory beyond a size back."""
        excess = self._bytes - size
        if excess > 0:
            self._bytes = size
            self._memory.release_answer(excess)

    def release(self) -> None:
        """Gives all of it back."""
        self.shrink(0)


class BodyHold:
    """The memory that one request's body takes."""

    def __init__(
        self, memory: CallerMemory, since: float, drop: Callable[[], None]
    ):
        """Holds nothing yet.

        Args:
            memory: where memory is taken from.
            since: arrival time of the request's head.
            drop: refuses the request, to get its memory back.
        """
        self._memory = memory
        self._since = since
        self.drop = drop
        self._bytes = 0
        self._arrived = 0

    async def take_soon(self, size: int) -> bool:
        """Takes more memory; returns whether there was room in time."""
        if not await self._memory.take_soon(size, self._bytes + size):
            return False
        self._add(size)
        return True

    def take(self, size: int) -> bool:
        """Takes more memory if there is room at once."""
        if not self._memory.take(size, self._bytes + size):
            return False
        self._add(size)
        return True

    def note_arrived(self, size: int) -> None:
        """Records bytes of the body."""
        self._arrived += size
        self._memory.note_arrived(size)

    def note_whole(self) -> None:
        """Records that the whole body has arrived."""
        self._memory.end_arriving(self)

    def release(self) -> None:
        """Gives all of it back."""
        self._memory.end_arriving(self)
        size, self._bytes = self._bytes, 0
        arrived, self._arrived = self._arrived, 0
        if size or arrived:
            self._memory.release(size, arrived)

    def _add(self, size: int) -> None:
        self._bytes += size
        self._memory.set_arriving(self, self._bytes, self._since)
