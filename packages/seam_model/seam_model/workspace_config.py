"""Workspaces of a routing configuration, with their keys and quotas."""

from collections.abc import Iterable
import hashlib

import attrs


def key_digest(key: str) -> str:
    """Returns the digest under which a key is kept, in hexadecimal.

    The configuration is passed between instances, so the text of a key is not
    part of it.
    """
    return hashlib.sha256(key.encode()).hexdigest()


@attrs.frozen
class Quota:
    """Limit on a workspace's requests, across all instances."""

    rate: float
    """Units per second."""
    burst: float
    """Units that may be used at once."""
    in_tokens: bool
    """Whether the unit is a token; otherwise it is a request."""
    plain_tokens: int = 1
    """Tokens of a request that does not state its size."""

    def cost(self, stated_tokens: int | None) -> float:
        """Returns the units of a request.

        Args:
            stated_tokens: its prompt and output tokens; None if not stated.
        """
        if not self.in_tokens:
            return 1.0
        if stated_tokens is None:
            return float(self.plain_tokens)
        return float(stated_tokens)


@attrs.frozen
class Workspace:
    """Callers that share keys, a priority and a quota."""

    name: str
    key_digests: tuple[str, ...]
    """Digests of the keys that are valid now; see `key_digest`."""
    rank: int | None = None
    """Replaces the priority of routes; None to keep it."""
    quota: Quota | None = None
    """None for a workspace without a limit."""


class KeyIndex:
    """The valid keys of one configuration.

    Keys are looked up by their digest, so that the time of a lookup does not
    tell how much of a guessed key is right.
    """

    def __init__(self, known: Iterable[Workspace]):
        """Indexes the keys of all workspaces."""
        self._by_digest = {
            digest: each for each in known for digest in each.key_digests
        }

    def find(self, key: str) -> Workspace | None:
        """Returns the workspace that holds a key, or None."""
        return self._by_digest.get(key_digest(key))
