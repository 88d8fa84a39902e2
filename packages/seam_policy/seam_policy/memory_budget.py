"""Decides whether an instance has memory for more bytes of its callers.

Those that are held at once, of requests and of answers, are bounded by what the
rest of the process leaves of its memory. Small requests go on being served when
there is no room for large ones. This handles many large bodies at once, as
after the loss of other instances.
"""

from collections.abc import Iterable

import attrs

USABLE_SHARE = 0.75
"""Share of the memory limit that is used on purpose. The rest is for what the
process needs for many connections, until that is measured."""
ASSUMED_BASE_BYTES = 64 * 1024 * 1024
"""Memory of the process without bodies, until it was measured."""
IDLE_CONNECTION_BYTES = 16 * 1024
"""Estimate of an idle connection's memory, with the bytes read ahead."""
SMALL_BYTES = 64 * 1024
"""Size up to which a request or an answer counts as small."""
SMALL_SHARE = 0.1
"""Share of the memory that only small ones may use."""
MIN_SMALL_BYTES = 2 * 1024 * 1024
"""Memory for small ones beyond what the process leaves. To refuse them would
free nothing."""
ANSWER_SHARE = 0.5
"""Share of the memory for answers, which are passed on beyond it."""
SLOW_BODY_S = 1.0
"""Time after which a body that still arrives counts as slow."""
SLOW_SHARE = 0.5
"""Share of the memory that slow bodies keep when others wait for it."""


@attrs.frozen(eq=False)
class Arriving:
    """A body that memory is kept for and that is still arriving."""

    size: int
    since: float
    """Time of the request's head, in seconds."""


class MemoryBudget:
    """Counts callers' bytes against the memory of the process."""

    def __init__(self, limit_bytes: int):
        """Takes the memory beyond which the process is killed."""
        self._limit_bytes = limit_bytes
        self._base_bytes = ASSUMED_BASE_BYTES
        self.held_bytes = 0
        """Bytes that are there, or that memory is kept for."""
        self._present_bytes = 0
        self._answer_bytes = 0
        self._connection_bytes = 0
        self._measured_connection_bytes = 0

    def note_connections(self, count: int) -> None:
        """Records the number of callers' connections.

        Connections opened since the last measurement of the process are counted
        at `IDLE_CONNECTION_BYTES` each.
        """
        self._connection_bytes = count * IDLE_CONNECTION_BYTES

    def note_private(self, private_bytes: int) -> None:
        """Records the measured private memory of the process."""
        self._base_bytes = max(0, private_bytes - self._present_bytes)
        self._measured_connection_bytes = self._connection_bytes

    def note_arrived(self, size: int) -> None:
        """Records that bytes are there that were counted before."""
        self._present_bytes += size

    def total_bytes(self) -> int:
        """Returns what the process leaves for all bytes of callers."""
        usable = int(self._limit_bytes * USABLE_SHARE)
        unmeasured_bytes = max(
            0, self._connection_bytes - self._measured_connection_bytes
        )
        return max(0, usable - self._base_bytes - unmeasured_bytes)

    def fits(self, size: int, whole_size: int) -> bool:
        """Returns whether there is room for more bytes of something now.

        Args:
            size: the bytes.
            whole_size: all bytes of the request or answer, as far as known.
        """
        return self.held_bytes + size <= self._allowed(whole_size)

    def fits_answer(self, size: int, whole_size: int) -> bool:
        """Returns whether there is room for more bytes of an answer now."""
        most = self.total_bytes() * ANSWER_SHARE
        return self._answer_bytes + size <= most and self.fits(size, whole_size)

    def slow_to_drop(
        self, arriving: Iterable[Arriving], now: float
    ) -> Arriving | None:
        """Returns the oldest slow body if those have more than their share.

        Its caller is refused, so that a few slow ones do not keep the memory
        from all others.
        """
        slow = [each for each in arriving if now - each.since > SLOW_BODY_S]
        if sum(each.size for each in slow) <= SLOW_SHARE * self.total_bytes():
            return None
        return min(slow, key=lambda each: each.since, default=None)

    def can_ever_fit(self, size: int, whole_size: int) -> bool:
        """Returns whether there would be room if nothing else was held."""
        return size <= self._allowed(whole_size)

    def take(self, size: int) -> None:
        """Counts bytes that are held from now on."""
        self.held_bytes += size

    def release(self, size: int, arrived: int) -> None:
        """Ends the count of bytes, of which some have arrived."""
        self.held_bytes -= size
        self._present_bytes -= arrived

    def take_answer(self, size: int) -> None:
        """Counts bytes of an answer, which have arrived."""
        self.take(size)
        self.note_arrived(size)
        self._answer_bytes += size

    def release_answer(self, size: int) -> None:
        """Ends the count of bytes of an answer."""
        self.release(size, size)
        self._answer_bytes -= size

    def _allowed(self, whole_size: int) -> int:
        total = self.total_bytes()
        if whole_size <= SMALL_BYTES:
            return max(total, MIN_SMALL_BYTES)
        return int(total * (1 - SMALL_SHARE))
