"""Encodes the frames between an instance and those that follow it.

A frame is four bytes of length and a compressed msgpack array.
"""

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
class Alive:
    """Sent at an interval, and after each listing."""

    statuses: tuple[Status, ...]


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
        return _pack([0, [_plain_status(each) for each in frame.statuses]])
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
            return Alive(tuple(_status(plain) for plain in values[0]))
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
