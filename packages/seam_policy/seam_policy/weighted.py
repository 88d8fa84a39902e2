"""Weighted choice of a service, deterministic for a request id."""

from collections.abc import Sequence
import zlib

_HASH_RANGE = 2**32


def pick(weights: Sequence[float], key: str) -> int:
    """Returns an index with probability proportional to its weight.

    The same key and weights give the same index on every instance.
    """
    total = sum(weights)
    if len(weights) == 1 or total <= 0:
        return 0
    point = zlib.crc32(key.encode()) / _HASH_RANGE * total
    for index, weight in enumerate(weights):
        point -= weight
        if point < 0:
            return index
    return len(weights) - 1
