"""Decides whether an instance has the memory for another request's body.

The bodies that are held at once are bounded by what the rest of the process
leaves of its memory. Small requests go on being served when there is no room
for large ones. This handles many large bodies at once, as after the loss of
other instances.
"""

USABLE_SHARE = 0.75
"""Share of the memory limit that is used on purpose. The rest is for what the
process needs for many connections, until that is measured."""
ASSUMED_BASE_BYTES = 64 * 1024 * 1024
"""Memory of the process without bodies, until it was measured."""
SMALL_BYTES = 64 * 1024
"""Size up to which a body counts as small."""
SMALL_SHARE = 0.1
"""Share of the memory for bodies that only small ones may use."""


class MemoryBudget:
    """Counts the bytes of bodies against the memory of the process."""

    def __init__(self, limit_bytes: int):
        """Takes the memory beyond which the process is killed."""
        self._limit_bytes = limit_bytes
        self._base_bytes = ASSUMED_BASE_BYTES
        self.held_bytes = 0
        """Bytes of bodies that there are, or that memory is kept for."""
        self._present_bytes = 0

    def note_private(self, private_bytes: int) -> None:
        """Records the measured private memory of the process."""
        self._base_bytes = max(0, private_bytes - self._present_bytes)

    def note_arrived(self, size: int) -> None:
        """Records bytes of a body that was counted before."""
        self._present_bytes += size

    def total_bytes(self) -> int:
        """Returns the memory for all bodies together."""
        usable = int(self._limit_bytes * USABLE_SHARE)
        return max(0, usable - self._base_bytes)

    def fits(self, size: int) -> bool:
        """Returns whether there is room for a body of a size now."""
        return self.held_bytes + size <= self._allowed(size)

    def can_ever_fit(self, size: int) -> bool:
        """Returns whether there would be room if nothing else was held."""
        return size <= self._allowed(size)

    def take(self, size: int) -> None:
        """Counts a body, or a part of one, that is held from now on."""
        self.held_bytes += size

    def release(self, size: int, arrived: int) -> None:
        """Ends the count of bytes, of which some have arrived."""
        self.held_bytes -= size
        self._present_bytes -= arrived

    def _allowed(self, size: int) -> int:
        total = self.total_bytes()
        return total if size <= SMALL_BYTES else int(total * (1 - SMALL_SHARE))
