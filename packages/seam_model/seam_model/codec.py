"""Encodes and decodes typed messages with msgpack and JSON.

A peer message is encoded as a msgpack array of its tag and its field values, in
the order in which the fields are declared.
"""

import json
import types
from typing import Any

import attrs
import cattrs.preconf.json
import expression
import msgpack

from seam_model import errors
from seam_model import peers

PEER_MESSAGES: types.MappingProxyType[int, type] = types.MappingProxyType(
    {
        1: peers.Heartbeat,
        2: peers.HeartbeatAck,
        3: peers.RegisterRun,
        4: peers.RegisterAnswer,
        5: peers.RunPlaced,
        6: peers.RunEnded,
        7: peers.HandOver,
        8: peers.HandOverAnswer,
        9: peers.CancelRun,
        10: peers.CancelAnswer,
        11: peers.SlotRequest,
        12: peers.SlotAnswer,
        13: peers.SlotRelease,
        14: peers.ClaimRequest,
        15: peers.ClaimAnswer,
        16: peers.ClaimOutcome,
        17: peers.ClaimStored,
        18: peers.ConfigFetch,
        19: peers.ConfigObject,
        20: peers.ClaimRelease,
        30: peers.RunReleased,
        31: peers.RunQuery,
        32: peers.MirrorSync,
        33: peers.MirrorSyncAnswer,
        40: peers.StatusQuery,
        41: peers.StatusAnswer,
        42: peers.TraceQuery,
        43: peers.TraceAnswer,
        50: peers.PrefillBooking,
        51: peers.PrefillBookingAnswer,
        52: peers.PrefillBookingCancel,
    }
)
_TAGS = {cls: tag for tag, cls in PEER_MESSAGES.items()}
_FIELDS = {
    cls: tuple(field.name for field in attrs.fields(cls)) for cls in _TAGS
}
_JSON = cattrs.preconf.json.make_converter()


def message_to_row(message: Any) -> list[Any]:
    """Returns the tag and field values of a peer message."""
    cls = type(message)
    row = [_TAGS[cls]]
    row.extend(getattr(message, name) for name in _FIELDS[cls])
    return row


def row_to_message(
    row: list[Any],
) -> expression.Result[Any, errors.BadInput]:
    """Returns the peer message of a row, or `BadInput`."""
    cls = PEER_MESSAGES.get(row[0]) if row else None
    if cls is None or len(row) != len(_FIELDS[cls]) + 1:
        return expression.Error(
            errors.BadInput("message", repr(row[:1]), "a known message row")
        )
    values = [tuple(v) if isinstance(v, list) else v for v in row[1:]]
    return expression.Ok(cls(*values))


def pack(value: Any) -> bytes:
    """Returns `value` as msgpack bytes."""
    return msgpack.packb(value, use_bin_type=True)


def to_json(value: Any) -> bytes:
    """Returns an attrs object as JSON bytes with sorted keys."""
    plain = _JSON.unstructure(value)
    return json.dumps(plain, sort_keys=True, separators=(",", ":")).encode()


def to_plain(value: Any) -> Any:
    """Returns an attrs object as dicts, lists and scalars."""
    return _JSON.unstructure(value)


def from_plain(
    plain: Any, cls: type
) -> expression.Result[Any, errors.BadInput]:
    """Returns an object of `cls` built from plain data, or `BadInput`."""
    try:
        return expression.Ok(_JSON.structure(plain, cls))
    except Exception as exc:
        detail = "; ".join(cattrs.transform_error(exc))
        return expression.Error(
            errors.BadInput(
                cls.__name__, detail, "data with the fields of this type"
            )
        )


def from_json(
    data: bytes, cls: type
) -> expression.Result[Any, errors.SeamError]:
    """Returns an object of `cls` parsed from JSON bytes.

    Errors: `BodyUnreadable` for invalid JSON, `BadInput` for wrong fields.
    """
    try:
        plain = json.loads(data)
    except (ValueError, RecursionError) as exc:
        return expression.Error(errors.BodyUnreadable(str(exc)))
    return from_plain(plain, cls)
