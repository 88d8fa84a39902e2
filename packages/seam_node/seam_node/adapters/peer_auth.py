"""Mutual proof that both ends of a peer link hold the peer key.

A challenge and response with HMAC-SHA256 (RFC 2104). Both nonces, names and
incarnations go into both proofs, and each proof names the side that makes
it, so that neither can be replayed or reflected.
"""

import hashlib
import hmac
import secrets
from typing import Any

import attrs
import msgpack

NONCE_BYTES = 16
PROTOCOL = 1


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
    """Returns fresh unpredictable bytes."""
    return secrets.token_bytes(NONCE_BYTES)


def prove(
    key: bytes, side: str, opener: Hello, name: str, inc: int, nonce: bytes
) -> bytes:
    """Returns the proof of one side, `opener` or `acceptor`.

    `name`, `inc` and `nonce` are the acceptor's.
    """
    parts = [side, PROTOCOL, opener.name, opener.incarnation, opener.nonce]
    parts += [name, inc, nonce]
    return hmac.digest(key, msgpack.packb(parts), hashlib.sha256)


def proof_fits(
    key: bytes, side: str, opener: Hello, challenge: Challenge, proof: Any
) -> bool:
    """Tells whether a proof was made with the key for this handshake."""
    if not isinstance(proof, bytes):
        return False
    wanted = prove(
        key,
        side,
        opener,
        challenge.name,
        challenge.incarnation,
        challenge.nonce,
    )
    return hmac.compare_digest(wanted, proof)


def hello_row(hello: Hello) -> list[Any]:
    """Returns the frame of a hello."""
    return [PROTOCOL, hello.name, hello.incarnation, hello.nonce]


def read_hello(row: Any) -> Hello | None:
    """Returns the hello of a frame, or None if it is not one."""
    if not isinstance(row, list) or len(row) != 4 or row[0] != PROTOCOL:
        return None
    hello = Hello(*row[1:])
    return hello if _sound(hello.name, hello.incarnation, hello.nonce) else None


def read_challenge(row: Any) -> Challenge | None:
    """Returns the challenge of a frame, or None if it is not one."""
    if not isinstance(row, list) or len(row) != 4:
        return None
    made = Challenge(*row)
    return made if _sound(made.name, made.incarnation, made.nonce) else None


def _sound(name: Any, incarnation: Any, nonce: Any) -> bool:
    return (
        isinstance(name, str)
        and isinstance(incarnation, int)
        and isinstance(nonce, bytes)
        and len(nonce) == NONCE_BYTES
    )
