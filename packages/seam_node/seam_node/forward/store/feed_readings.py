"""Receives the clock readings that a follower of the feed sends."""

import asyncio

from seam_node.forward.store import feed_codec

READ_BYTES = 1024
MIN_READ_INTERVAL_S = 0.05
"""Pause between two reads, which limits the cost of a follower that sends
without end; what it sends meanwhile stays in its own buffers."""


class Readings:
    """The latest clock reading of one follower.

    A follower that needs no proof sends none.
    """

    def __init__(self, reader: asyncio.StreamReader):
        """Takes the stream from the follower."""
        self._reader = reader
        self.latest: float | None = None
        """The reading in seconds; None before the first."""

    async def receive(self) -> None:
        """Reads until the follower closes the connection.

        Errors: `FrameInvalidError`, `OSError`.
        """
        pending = b""
        while data := await self._reader.read(READ_BYTES):
            pending += data
            whole = len(pending) - len(pending) % feed_codec.READING_BYTES
            if whole:
                last = pending[whole - feed_codec.READING_BYTES : whole]
                self.latest = feed_codec.decode_reading(last)
            pending = pending[whole:]
            await asyncio.sleep(MIN_READ_INTERVAL_S)
