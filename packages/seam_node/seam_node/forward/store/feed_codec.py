"""Encodes the frames between an instance and those that follow it.

A frame is four bytes of length and a compressed msgpack array. A follower sends
readings of its clock, eight bytes each.
"""

import math
import struct
from typing import Any
import zlib

import attrs
import msgpack

from seam_model import codec
from seam_model import forwarding
from seam_node.ports import catalog
from seam_policy import store_position

MAX_FRAME_BYTES = 16 * 1024 * 1024
KINDS = (catalog.Kind.ROUTES, catalog.Kind.ENDPOINTS)
"""Kinds of objects that are passed on."""
_LENGTH = struct.Struct("!I")
LENGTH_BYTES = _LENGTH.size
_READING = struct.Struct("!d")
READING_BYTES = _READING.size
_MS_PER_S = 1000
_TYPES: dict[catalog.Kind, type] = {
    catalog.Kind.ROUTES: forwarding.RouteTable,
    catalog.Kind.ENDPOINTS: forwarding.Endpoint,
}


class FrameInvalidError(Exception):
    """Bytes that are no frame of a feed."""


@attrs.frozen
class Status:
    """How far the sender's copy of one kind is up to date."""

    kind: catalog.Kind
    position: store_position.Position
    age_s: float
    """Time since the store last answered the sender."""


@attrs.frozen
class Echo:
    """The latest clock reading of the follower, and what the sender has proved.

    All that the store had acknowledged `age_s` before the sender wrote this is
    in the configuration of this version.
    """

    reading: float
    """Time in seconds, of the follower's own clock."""
    age_s: float
    """Age of the sender's proof."""
    version: int
    """Version of the sender's configuration."""


@attrs.frozen
class Alive:
    """Sent at an interval, and after each listing."""

    statuses: tuple[Status, ...]
    echo: Echo | None = None
    """None before the first reading, or if the sender has no proof."""


@attrs.frozen
class Listing:
    """All objects of a kind."""

    kind: catalog.Kind
    entries: tuple[catalog.Entry, ...]
    era: int


@attrs.frozen
class Change:
    """An object that was written or removed."""

    kind: catalog.Kind
    entry: catalog.Entry
    removed: bool
    era: int


Frame = Alive | Listing | Change


def encode(frame: Frame) -> bytes:
    """Returns the bytes of a frame."""
    if isinstance(frame, Alive):
        statuses = [_plain_status(each) for each in frame.statuses]
        return _pack([0, statuses, _plain_echo(frame.echo)])
    if isinstance(frame, Change):
        plain = _plain_entry(frame.entry)
        return _pack([2, frame.kind.value, plain, frame.removed, frame.era])
    entries = [_plain_entry(each) for each in frame.entries]
    return _pack([1, frame.kind.value, entries, frame.era])


def decode_length(data: bytes) -> int:
    """Returns the length of the frame that follows.

    Errors: `FrameInvalidError`.
    """
    (length,) = _LENGTH.unpack(data)
    if length > MAX_FRAME_BYTES:
        raise FrameInvalidError(f"frame of {length} bytes")
    return length


def decode(data: bytes) -> Frame:
    """Returns a frame without its length.

    Errors: `FrameInvalidError`.
    """
    try:
        tag, *values = msgpack.unpackb(_decompress(data))
        if tag == 0:
            statuses = tuple(_status(plain) for plain in values[0])
            return Alive(statuses, _echo(values[1] if values[1:] else None))
        kind = catalog.Kind(values[0])
        if tag == 1:
            entries = tuple(_entry(kind, plain) for plain in values[1])
            return Listing(kind, entries, int(values[2]))
        entry = _entry(kind, values[1])
        return Change(kind, entry, bool(values[2]), int(values[3]))
    except (
        ValueError,
        TypeError,
        IndexError,
        zlib.error,
        msgpack.UnpackException,
    ) as exc:
        raise FrameInvalidError(str(exc)) from exc


def encode_reading(reading: float) -> bytes:
    """Returns the bytes of a follower's clock reading."""
    return _READING.pack(reading)


def decode_reading(data: bytes) -> float:
    """Returns a follower's clock reading.

    Errors: `FrameInvalidError`.
    """
    (reading,) = _READING.unpack(data)
    if not math.isfinite(reading):
        raise FrameInvalidError("reading that is no time")
    return reading


def _pack(row: list[Any]) -> bytes:
    data = zlib.compress(msgpack.packb(row))
    return _LENGTH.pack(len(data)) + data


def _decompress(data: bytes) -> bytes:
    reader = zlib.decompressobj()
    plain = reader.decompress(data, MAX_FRAME_BYTES)
    if not reader.eof:
        raise FrameInvalidError("frame cut off or too large")
    return plain


def _plain_status(status: Status) -> list[Any]:
    position = status.position
    age_s = round(status.age_s, 3)
    return [status.kind.value, position.era, position.revision, age_s]


def _status(plain: list[Any]) -> Status:
    kind, era, revision, age_s = plain
    position = store_position.Position(int(era), int(revision))
    return Status(catalog.Kind(kind), position, float(age_s))


def _plain_echo(echo: Echo | None) -> list[Any] | None:
    if echo is None:
        return None
    # Rounded up: a proof must not look newer than it is.
    age_s = math.ceil(echo.age_s * _MS_PER_S) / _MS_PER_S
    return [echo.reading, age_s, echo.version]


def _echo(plain: list[Any] | None) -> Echo | None:
    if plain is None:
        return None
    reading, age_s, version = plain
    return Echo(float(reading), float(age_s), int(version))


def _plain_entry(entry: catalog.Entry) -> list[Any]:
    value = None if entry.value is None else codec.to_plain(entry.value)
    return [entry.name, entry.revision, value]


def _entry(kind: catalog.Kind, plain: list[Any]) -> catalog.Entry:
    name, revision, value = plain
    if value is not None:
        built = codec.from_plain(value, _TYPES[kind])
        if built.is_error():
            raise FrameInvalidError(built.error.describe())
        value = built.ok
    return catalog.Entry(str(name), int(revision), value)
