"""Identifiers: UUIDv7 request ids and idempotency keys (RFC 9562)."""

import hashlib
import random
import re
import uuid

UUID_BYTES = 16
_TIMESTAMP_SHIFT_BITS = 80
_TEXT_FORM = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)


def make_uuid7(wall_s: float, rng: random.Random) -> str:
    """Returns a UUIDv7 in text form for a wall clock time in seconds."""
    millis = int(wall_s * 1000) & ((1 << 48) - 1)
    value = millis << _TIMESTAMP_SHIFT_BITS
    value |= 0x7 << 76
    value |= rng.getrandbits(12) << 64
    value |= 0b10 << 62
    value |= rng.getrandbits(62)
    return str(uuid.UUID(int=value))


def is_uuid7(text: str) -> bool:
    """Returns whether `text` is a UUIDv7 in lower-case text form."""
    return _TEXT_FORM.fullmatch(text) is not None


def uuid7_wall_s(text: str) -> float:
    """Returns the timestamp of a UUIDv7, as wall clock time in seconds."""
    return (uuid.UUID(text).int >> _TIMESTAMP_SHIFT_BITS) / 1000


def pack(text: str) -> bytes:
    """Returns the 16 bytes of a UUID in text form."""
    return uuid.UUID(text).bytes


def unpack(data: bytes) -> str:
    """Returns the text form of the 16 bytes of a UUID."""
    return str(uuid.UUID(bytes=data))


# Workspaces

WORKSPACE_TAG_BYTES = 4


def workspace_tag(workspace: str) -> bytes:
    """Returns a short hash that ties a request id to its workspace."""
    state = hashlib.blake2b(workspace.encode(), digest_size=WORKSPACE_TAG_BYTES)
    return state.digest()


# Generations of a run

ATTEMPTS_PER_GENERATION = 256


def engine_incarnation(generation: int, attempt: int) -> int:
    """Returns the number by which an engine orders the attempts of a run.

    Args:
        generation: 1 for a first run, incremented by each takeover.
        attempt: Attempt within the generation, from 0 to 255.
    """
    return generation * ATTEMPTS_PER_GENERATION + attempt


def last_incarnation(generation: int) -> int:
    """Returns the highest engine incarnation of a generation."""
    return engine_incarnation(generation, ATTEMPTS_PER_GENERATION - 1)


def generation_of(incarnation: int) -> int:
    """Returns the generation of an engine incarnation."""
    return incarnation // ATTEMPTS_PER_GENERATION
