"""Mutual authentication of a peer link with the shared peer key.

The handshake is a challenge-response with HMAC-SHA256 (RFC 2104). Each proof
covers both nonces, names and incarnations and the side that makes it, so that
it can be neither replayed nor reflected.
"""

import hashlib
import hmac
import secrets
from typing import Any

import attrs
import msgpack

NONCE_BYTES = 16
PROTOCOL_VERSION = 1


@attrs.frozen
class Hello:
    """The opener's first frame."""

    name: str
    incarnation: int
    nonce: bytes


@attrs.frozen
class Challenge:
    """The acceptor's answer: its own hello and its proof."""

    name: str
    incarnation: int
    nonce: bytes
    proof: bytes


def make_nonce() -> bytes:
    """Returns a new random nonce."""
    return secrets.token_bytes(NONCE_BYTES)


def prove(
    key: bytes,
    side: str,
    opener: Hello,
    name: str,
    incarnation: int,
    nonce: bytes,
) -> bytes:
    """Returns the proof of one side, `opener` or `acceptor`.

    `name`, `incarnation` and `nonce` are the acceptor's.
    """
    parts = [
        side,
        PROTOCOL_VERSION,
        opener.name,
        opener.incarnation,
        opener.nonce,
    ]
    parts += [name, incarnation, nonce]
    return hmac.digest(key, msgpack.packb(parts), hashlib.sha256)


def is_valid_proof(
    key: bytes, side: str, opener: Hello, challenge: Challenge, proof: Any
) -> bool:
    """Returns whether a proof is valid for this key and handshake."""
    if not isinstance(proof, bytes):
        return False
    expected = prove(
        key,
        side,
        opener,
        challenge.name,
        challenge.incarnation,
        challenge.nonce,
    )
    return hmac.compare_digest(expected, proof)


def encode_hello(hello: Hello) -> list[Any]:
    """Encodes a hello as a frame."""
    return [PROTOCOL_VERSION, hello.name, hello.incarnation, hello.nonce]


def decode_hello(row: Any) -> Hello | None:
    """Decodes a hello; None if the frame is not a valid one."""
    if not isinstance(row, list) or len(row) != 4 or row[0] != PROTOCOL_VERSION:
        return None
    hello = Hello(*row[1:])
    return (
        hello if _is_valid(hello.name, hello.incarnation, hello.nonce) else None
    )


def decode_challenge(row: Any) -> Challenge | None:
    """Decodes a challenge; None if the frame is not a valid one."""
    if not isinstance(row, list) or len(row) != 4:
        return None
    challenge = Challenge(*row)
    return (
        challenge
        if _is_valid(challenge.name, challenge.incarnation, challenge.nonce)
        else None
    )


def _is_valid(name: Any, incarnation: Any, nonce: Any) -> bool:
    return (
        isinstance(name, str)
        and isinstance(incarnation, int)
        and isinstance(nonce, bytes)
        and len(nonce) == NONCE_BYTES
    )
