"""Generates and verifies workspace tokens, operator tokens and secrets.

A workspace token is `v1.<key id>.<mac>`, where the MAC is the hexadecimal
HMAC-SHA256 (RFC 2104) of the workspace's name. Verification needs no stored
state per workspace, and several key ids may be valid during a rotation.

An operator token is `op.` and 32 random bytes. Its hash is the hexadecimal
form of a 16-byte salt and the salted BLAKE2b (RFC 7693) digest of 32 bytes. A
slow password hash would add no security to a token of 256 random bits.
"""

import collections.abc
import hashlib
import hmac
import re
import secrets

KEY_ID_PATTERN = r"[A-Za-z0-9_-]{1,32}"
SECRET_MIN_BYTES = 16
SECRET_BYTES = 32
SALT_BYTES = 16
DIGEST_BYTES = 32
TOKEN_HASH_HEX_CHARS = 2 * (SALT_BYTES + DIGEST_BYTES)

_TOKEN = re.compile(rf"v1\.({KEY_ID_PATTERN})\.([0-9a-f]{{64}})")
_PERSON = b"seam-operator"


def generate_secret() -> str:
    """Returns a new secret of `SECRET_BYTES` bytes as hex."""
    return secrets.token_hex(SECRET_BYTES)


def is_key_id(text: str) -> bool:
    """Returns whether `text` is a valid key id of a workspace secret."""
    return re.fullmatch(KEY_ID_PATTERN, text) is not None


# Workspaces


def make_workspace_token(key_id: str, secret_hex: str, workspace: str) -> str:
    """Returns the token that lets a caller act for `workspace`."""
    return f"v1.{key_id}.{_mac(secret_hex, workspace)}"


def verify_workspace_token(
    table: collections.abc.Mapping[str, str], token: str, workspace: str
) -> bool:
    """Returns whether `token` is valid for `workspace`.

    Args:
      table: Hex secret of each valid key id.
      token: Token that the caller sent.
      workspace: Workspace that the caller claims to act for.
    """
    match = _TOKEN.fullmatch(token)
    if match is None or match[1] not in table or not workspace:
        return False
    expected = _mac(table[match[1]], workspace)
    return hmac.compare_digest(expected, match[2])


def _mac(secret_hex: str, workspace: str) -> str:
    data = workspace.encode("utf-8", "surrogatepass")
    return hmac.digest(bytes.fromhex(secret_hex), data, "sha256").hex()


# Operators


def generate_operator_token() -> str:
    """Returns a new operator token."""
    return "op." + secrets.token_urlsafe(SECRET_BYTES)


def hash_operator_token(token: str, salt: bytes = b"") -> str:
    """Returns the hash to put into settings; an empty salt is generated."""
    salt = salt or secrets.token_bytes(SALT_BYTES)
    digest = hashlib.blake2b(
        token.encode("utf-8", "surrogatepass"),
        digest_size=DIGEST_BYTES,
        salt=salt,
        person=_PERSON,
    )
    return salt.hex() + digest.hexdigest()


def verify_operator_token(token_hash: str, token: str) -> bool:
    """Returns whether `token` has the hash `token_hash`."""
    salt = bytes.fromhex(token_hash[: 2 * SALT_BYTES])
    return hmac.compare_digest(hash_operator_token(token, salt), token_hash)
