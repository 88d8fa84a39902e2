"""Msgpack frames over a tornado stream.

All frames of one event loop iteration are written together.
"""

import asyncio
import collections
from typing import Any

import attrs
import msgpack
from tornado import iostream

READ_BYTES = 65536
MAX_FRAME_BYTES = 8 * 1024 * 1024
MAX_UNSENT_BYTES = 32 * 1024 * 1024


@attrs.define
class Traffic:
    """Counters of one instance over all its peer links.

    The field names are part of metric names.
    """

    sent: int = 0
    """Bytes sent."""
    received: int = 0
    """Bytes received."""
    frames: int = 0
    """Frames sent."""


class FrameStream:
    """Reads and writes msgpack values on one connection."""

    def __init__(
        self, stream: iostream.IOStream, traffic: Traffic | None = None
    ):
        """Wraps a connected stream and counts its traffic in `traffic`."""
        self.stream = stream
        self._traffic = traffic or Traffic()
        self.stream.max_write_buffer_size = MAX_UNSENT_BYTES
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=MAX_FRAME_BYTES, use_list=True, raw=False
        )
        self._ready: collections.deque[Any] = collections.deque()
        self._unsent = bytearray()

    async def read(self) -> Any:
        """Returns the next value.

        Raises:
          iostream.StreamClosedError: The connection was closed.
          ValueError: The bytes are not msgpack or a frame is too large.
        """
        while not self._ready:
            data = await self.stream.read_bytes(READ_BYTES, partial=True)
            self._traffic.received += len(data)
            self._feed(data)
        return self._ready.popleft()

    def write(self, value: Any) -> None:
        """Queues a value, which is written in the next loop iteration."""
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self._flush)
        self._traffic.frames += 1
        self._unsent += msgpack.packb(value, use_bin_type=True)

    def close(self) -> None:
        """Closes the connection and discards queued values."""
        self._unsent.clear()
        self.stream.close()

    def _feed(self, data: bytes) -> None:
        try:
            self._unpacker.feed(data)
            self._ready.extend(self._unpacker)
        except msgpack.UnpackException as exc:
            raise ValueError(str(exc)) from exc

    def _flush(self) -> None:
        data, self._unsent = bytes(self._unsent), bytearray()
        if not data or self.stream.closed():
            return
        self._traffic.sent += len(data)
        try:
            self.stream.write(data)
        except iostream.StreamClosedError:
            return
        except iostream.StreamBufferFullError:
            self.stream.close()
