"""Limits the bytes of callers' bodies that are held at once."""


class BodyMemory:
    """Counts the bytes of all bodies against a limit."""

    def __init__(self, max_bytes: int):
        """Takes the limit."""
        self._max_bytes = max_bytes
        self.held_bytes = 0
        """Bytes that are counted now."""

    def take(self, size: int) -> bool:
        """Counts bytes if there is room; returns whether there was."""
        if self.held_bytes + size > self._max_bytes:
            return False
        self.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Ends the count of bytes."""
        self.held_bytes -= size


class BodyHold:
    """The memory of one request's body."""

    def __init__(self, memory: BodyMemory):
        """Holds nothing yet."""
        self._memory = memory
        self._taken_bytes = 0
        self._arrived_bytes = 0

    def expect(self, size: int) -> bool:
        """Takes memory for a body of known size; returns whether it fits."""
        if not self._memory.take(size):
            return False
        self._taken_bytes += size
        return True

    def note_arrived(self, size: int) -> bool:
        """Takes memory for arrived bytes that were not expected, if it fits."""
        self._arrived_bytes += size
        missing = self._arrived_bytes - self._taken_bytes
        return missing <= 0 or self.expect(missing)

    def release(self) -> None:
        """Gives all of it back."""
        size, self._taken_bytes = self._taken_bytes, 0
        self._memory.release(size)
