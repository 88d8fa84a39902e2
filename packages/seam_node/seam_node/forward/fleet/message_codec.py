"""Encodes the messages between instances as msgpack datagrams.

A message is an array of the format's version, the message's tag and the values
of its fields; nested objects are arrays of their fields.
"""

import enum
import functools
import typing
from typing import Any

import attrs
import msgpack

from seam_node.forward.fleet import messages
from seam_node.forward.service_calls import service_messages

MAX_DATAGRAM_BYTES = 60_000
MAX_ARRAY_LENGTH = 2048
"""Most elements of an array; a datagram has no room for more rows. The decoder
takes memory for as many elements as an array states before it reads them."""
_VERSION = 5
_BY_TAG: dict[int, type] = {
    1: messages.Heartbeat,
    2: messages.StreamReport,
    3: messages.PlaceAsk,
    4: messages.PlaceAnswer,
    5: messages.PrefillEnded,
    6: messages.StreamEnded,
    7: messages.PromptLost,
    8: messages.QuarantineNotice,
    9: messages.LimitNotice,
    10: messages.QuotaNotice,
    11: messages.UsageReport,
    12: messages.KeeperDebts,
    # Tags from 20 on are those of plain calls.
    20: service_messages.ServiceAsk,
    21: service_messages.ServiceAnswer,
    22: service_messages.ServiceEnded,
}
_TAGS = {cls: tag for tag, cls in _BY_TAG.items()}
_FLOAT_DIGITS = 4


def encode(message: messages.Message) -> bytes:
    """Returns a message as a datagram."""
    row = [_VERSION, _TAGS[type(message)], *_plain(message)]
    return msgpack.packb(row)


def decode(data: bytes) -> messages.Message | None:
    """Returns the message of a datagram; None if it is not one."""
    if len(data) > MAX_DATAGRAM_BYTES:
        return None
    try:
        version, tag, *values = msgpack.unpackb(
            data, max_array_len=MAX_ARRAY_LENGTH
        )
        if version != _VERSION or tag not in _BY_TAG:
            return None
        return _build(_BY_TAG[tag], values)
    except (ValueError, TypeError, msgpack.UnpackException):
        return None


def _plain(value: Any) -> Any:
    if attrs.has(type(value)):
        return [
            _plain(getattr(value, name)) for name, _ in _fields(type(value))
        ]
    if isinstance(value, tuple):
        return [_plain(each) for each in value]
    if isinstance(value, float):
        return round(value, _FLOAT_DIGITS)
    return int(value) if isinstance(value, enum.IntEnum) else value


def _build(kind: Any, value: Any) -> Any:
    """Returns `value` as a value of type `kind`.

    Errors: `ValueError` or `TypeError` if it is something else.
    """
    if attrs.has(kind):
        fields = _fields(kind)
        if len(value) != len(fields):
            raise ValueError(f"{kind.__name__} with {len(value)} fields")
        pairs = zip(fields, value, strict=True)
        return kind(
            *(_build(field_kind, each) for (_, field_kind), each in pairs)
        )
    if typing.get_origin(kind) is tuple:
        item_kind = typing.get_args(kind)[0]
        return tuple(_build(item_kind, each) for each in value)
    if kind is str and not isinstance(value, str):
        raise TypeError("not a string")
    return kind(value)


@functools.cache
def _fields(cls: type) -> tuple[tuple[str, Any], ...]:
    """Returns the names and types of the fields, in order."""
    hints = typing.get_type_hints(cls)
    return tuple((field.name, hints[field.name]) for field in attrs.fields(cls))
