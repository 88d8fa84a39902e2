"""Idempotency key claims of non-idempotent orders.

One stored object holds the claims of one time bucket and one shard of the
keys. The functions here are pure: from an object's entries and a message they
compute the answer and the entry to be written.
"""

import enum
import hashlib

import attrs
import expression
import msgpack

from seam_model import errors
from seam_model import ids
from seam_model import peers

PREFIX = "claims/"
BUCKET_S = 2
SHARDS = 16
"""Must never change: another number would miss the claims already stored."""
WINDOW_S = 600.0
KEY_AHEAD_LIMIT_S = 30.0
"""Maximum time by which a key may be ahead of the instance's clock."""
CLOCK_SKEW_LIMIT_S = 120.0
"""Maximum difference between the wall clocks of two instances."""

ENTRY_BYTES = 128
"""Upper bound of an encoded entry, without body, type and released nonces."""
CLAIM_LIMIT_BYTES = 800_000
OBJECT_LIMIT_BYTES = 950_000
REPLY_LIMIT_BYTES = 16_384
CONTENT_TYPE_LIMIT_BYTES = 128
NONCE_BYTES = 16
RELEASED_NONCES_KEPT = 4


class ClaimState(enum.Enum):
    """Result of a claim, as sent in a `ClaimAnswer`."""

    CLAIMED = "claimed"
    HELD = "held"
    DONE = "done"
    DONE_NO_BODY = "done_no_body"
    MISMATCH = "mismatch"
    UNAVAILABLE = "unavailable"
    """The platform is unavailable; nothing was written."""
    UNSETTLED = "unsettled"
    """The platform is unavailable; the claim may have been written."""
    OUTSIDE = "outside"
    FULL = "full"


class Phase(enum.IntEnum):
    """State of a stored claim."""

    CLAIMED = 0
    DONE = 1
    DONE_NO_BODY = 2
    RELEASED = 3


@attrs.frozen
class Entry:
    """One stored claim."""

    digest: bytes
    nonce: bytes
    phase: Phase
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    released: tuple[bytes, ...] = ()
    """Released nonces, which may not claim the key again; newest last."""


@attrs.frozen
class Transition:
    """Answer to a message, and the entry to be written, if any."""

    answer: peers.ClaimAnswer | peers.ClaimStored
    entry: Entry | None = None


Entries = dict[bytes, Entry]

# Keys and window


def bucket_of(key: bytes) -> int:
    """Returns the time bucket of a packed UUIDv7."""
    return int(ids.uuid7_wall_s(ids.unpack(key)) // BUCKET_S)


def shard_of(key: bytes) -> int:
    """Returns the shard of a packed key."""
    return hashlib.blake2b(key, digest_size=1).digest()[0] % SHARDS


def shard_name(shard: int) -> bytes:
    """Returns the name from which a shard's owner is computed."""
    return b"claims/%02x" % shard


def object_key(key: bytes) -> str:
    """Returns the key of the object that stores a claim."""
    return f"{PREFIX}{bucket_of(key):012d}/{shard_of(key):02x}"


def parse_object_key(text: str) -> tuple[int, int]:
    """Returns the bucket and the shard that an object's key names."""
    bucket, shard = text.removeprefix(PREFIX).split("/")
    return int(bucket), int(shard, 16)


def in_window(key: bytes, wall_s: float, window_s: float = WINDOW_S) -> bool:
    """Returns whether a key may be claimed at a wall clock time."""
    return -KEY_AHEAD_LIMIT_S <= _age_s(key, wall_s) <= min(window_s, WINDOW_S)


def may_have_run(key: bytes, wall_s: float) -> bool:
    """Returns whether any instance may have accepted a key by now.

    False only for a key so far in the future that it is outside the window of
    every clock within `CLOCK_SKEW_LIMIT_S` of this one.
    """
    return _age_s(key, wall_s) >= -KEY_AHEAD_LIMIT_S - CLOCK_SKEW_LIMIT_S


def _age_s(key: bytes, wall_s: float) -> float:
    return wall_s - ids.uuid7_wall_s(ids.unpack(key))


def is_expired(bucket: int, wall_s: float) -> bool:
    """Returns whether every instance now refuses the keys of a bucket.

    Takes into account clocks that differ by up to `CLOCK_SKEW_LIMIT_S`.
    """
    end_s = (bucket + 1) * BUCKET_S
    return wall_s > end_s + WINDOW_S + CLOCK_SKEW_LIMIT_S


# Objects


def encode(entries: Entries) -> bytes:
    """Returns the encoded form of an object's entries."""
    rows = [
        [key, *attrs.astuple(entry, recurse=False)]
        for key, entry in sorted(entries.items())
    ]
    return msgpack.packb(rows, use_bin_type=True)


def decode(data: bytes) -> expression.Result[Entries, errors.BadInput]:
    """Returns the entries of an object, or `BadInput`."""
    try:
        rows = msgpack.unpackb(data)
        entries = {row[0]: _entry(row) for row in rows}
    except (ValueError, TypeError, IndexError, msgpack.UnpackException):
        return expression.Error(
            errors.BadInput("claims", repr(data[:16]), "encoded claims")
        )
    return expression.Ok(entries)


def _entry(row: list) -> Entry:
    return Entry(row[1], row[2], Phase(row[3]), *row[4:7], tuple(row[7]))


def size_bound(entries: Entries) -> int:
    """Returns an upper bound of the encoded size of entries, in bytes."""
    return sum(
        ENTRY_BYTES
        + len(entry.body)
        + len(entry.content_type)
        + len(entry.released) * (NONCE_BYTES + 2)
        for entry in entries.values()
    )


# Transitions


def apply(entries: Entries, message: object, size: int) -> Transition:
    """Returns the transition that a message causes.

    Args:
      entries: Entries of the stored object.
      message: `ClaimRequest`, `ClaimOutcome` or `ClaimRelease`.
      size: Size of the object in bytes, or an upper bound of it.
    """
    if isinstance(message, peers.ClaimRequest):
        return _claim(entries, message, size)
    if isinstance(message, peers.ClaimOutcome):
        return _record(entries, message, size)
    assert isinstance(message, peers.ClaimRelease)
    return _release(entries, message)


def _answer(state: ClaimState) -> Transition:
    return Transition(peers.ClaimAnswer(state.value))


def _claim(entries: Entries, req: peers.ClaimRequest, size: int) -> Transition:
    old = entries.get(req.key)
    if old is not None and old.phase is not Phase.RELEASED:
        return _answer_repeat(old, req)
    if old is not None and req.nonce in old.released:
        return _answer(ClaimState.UNAVAILABLE)
    if size + ENTRY_BYTES > CLAIM_LIMIT_BYTES:
        return _answer(ClaimState.FULL)
    released = old.released if old else ()
    entry = Entry(req.digest, req.nonce, Phase.CLAIMED, released=released)
    return Transition(peers.ClaimAnswer(ClaimState.CLAIMED.value), entry)


def _answer_repeat(old: Entry, req: peers.ClaimRequest) -> Transition:
    if old.digest != req.digest:
        return _answer(ClaimState.MISMATCH)
    if old.phase is Phase.CLAIMED:
        own = old.nonce == req.nonce
        return _answer(ClaimState.CLAIMED if own else ClaimState.HELD)
    has_body = old.phase is Phase.DONE
    state = ClaimState.DONE if has_body else ClaimState.DONE_NO_BODY
    return Transition(
        peers.ClaimAnswer(state.value, old.status, old.content_type, old.body)
    )


def _record(entries: Entries, msg: peers.ClaimOutcome, size: int) -> Transition:
    old = entries.get(msg.key)
    if old is None or old.nonce != msg.nonce or old.phase is Phase.RELEASED:
        return Transition(peers.ClaimStored(False))
    if old.phase is not Phase.CLAIMED:
        return Transition(peers.ClaimStored(True))
    extra = len(msg.body) + len(msg.content_type)
    has_room = (
        len(msg.body) <= REPLY_LIMIT_BYTES
        and len(msg.content_type) <= CONTENT_TYPE_LIMIT_BYTES
        and size + extra <= OBJECT_LIMIT_BYTES
    )
    if has_room:
        entry = attrs.evolve(
            old,
            phase=Phase.DONE,
            status=msg.status,
            content_type=msg.content_type,
            body=msg.body,
        )
    else:
        entry = attrs.evolve(old, phase=Phase.DONE_NO_BODY, status=msg.status)
    return Transition(peers.ClaimStored(True), entry)


def _release(entries: Entries, msg: peers.ClaimRelease) -> Transition:
    old = entries.get(msg.key)
    if old is None:
        entry = Entry(b"", msg.nonce, Phase.RELEASED, released=(msg.nonce,))
        return Transition(peers.ClaimStored(True), entry)
    done = old.phase in (Phase.DONE, Phase.DONE_NO_BODY)
    if done or msg.nonce in old.released:
        return Transition(peers.ClaimStored(True))
    released = (*old.released, msg.nonce)[-RELEASED_NONCES_KEPT:]
    own = old.nonce == msg.nonce
    phase = Phase.RELEASED if own else old.phase
    entry = attrs.evolve(old, phase=phase, released=released)
    return Transition(peers.ClaimStored(True), entry)
