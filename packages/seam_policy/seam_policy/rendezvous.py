"""Rendezvous hashing: maps keys to sites.

Highest random weight hashing after Thaler and Ravishankar (1998). Each site
gets a weight for a key from the stable hashes of both, so a change of the set
of sites moves only keys of the added or removed sites.
"""

from collections.abc import Iterable
import functools
import hashlib
import heapq

import attrs

_HASH_BYTES = 8
_MASK = (1 << 64) - 1
_MIX_1 = 0xBF58476D1CE4E5B9
_MIX_2 = 0x94D049BB133111EB
_NAME_CACHE_ENTRIES = 16384
_OWNER_CACHE_ENTRIES = 16384


@attrs.frozen
class Site:
    """A named target that keys can be assigned to, such as an instance."""

    name: str
    data_centre: str


def stable_hash(data: bytes) -> int:
    """Returns a 64-bit hash that is the same in every process."""
    digest = hashlib.blake2b(data, digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


@functools.lru_cache(maxsize=_NAME_CACHE_ENTRIES)
def name_hash(name: str) -> int:
    """Returns the stable hash of a name."""
    return stable_hash(name.encode())


def mix(value: int) -> int:
    """Returns a 64-bit hash of an integer, by the finaliser of SplitMix64.

    It costs a fraction of a cryptographic hash, which matters where weights of
    all sites are computed for each request.
    """
    value = ((value ^ (value >> 30)) * _MIX_1) & _MASK
    value = ((value ^ (value >> 27)) * _MIX_2) & _MASK
    return value ^ (value >> 31)


def weight(key: bytes, name: str) -> int:
    """Returns the 64-bit weight of the site `name` for a key."""
    return mix(stable_hash(key) ^ name_hash(name))


def uniform(key: bytes, name: str) -> float:
    """Returns a pseudo-random number in [0, 1] for a key and a name."""
    return weight(key, name) / _MASK


class SiteTable:
    """Maps keys to a fixed set of sites; a changed set needs a new table.

    The owners of keys are cached, so that a frequent key, such as an engine's
    name, costs one dict lookup.
    """

    def __init__(self, sites: Iterable[Site]):
        """Builds the table of some sites."""
        self.sites = tuple(sorted(sites, key=lambda site: site.name))
        self._hashed = [(name_hash(site.name), site) for site in self.sites]
        self._by_data_centre: dict[str, list[tuple[int, Site]]] = {}
        for entry in self._hashed:
            centre = self._by_data_centre.setdefault(entry[1].data_centre, [])
            centre.append(entry)
        self._owners: dict[tuple[bytes, str], Site | None] = {}

    def rank(self, key: bytes) -> tuple[Site, ...]:
        """Returns all sites by descending weight."""
        return tuple(_highest_weights(key, self._hashed, len(self._hashed)))

    def owner(self, key: bytes, data_centre: str) -> Site | None:
        """Returns the best site of `data_centre`, or of all if it has none."""
        entry = (key, data_centre)
        if entry in self._owners:
            return self._owners[entry]
        if len(self._owners) >= _OWNER_CACHE_ENTRIES:
            self._owners.clear()
        near = self._by_data_centre.get(data_centre, self._hashed)
        best = _highest_weights(key, near, 1)
        self._owners[entry] = best[0] if best else None
        return self._owners[entry]

    def spread(self, key: bytes, count: int) -> tuple[Site, ...]:
        """Returns up to `count` sites, of distinct data centres first.

        The best site of each data centre comes in order of weight, then the
        other sites.
        """
        bests = []
        for centre in self._by_data_centre.values():
            best = _highest_weights(key, centre, 1)[0]
            bests.append((name_hash(best.name), best))
        firsts = _highest_weights(key, bests, count)
        if len(firsts) >= count or len(bests) == len(self.sites):
            return tuple(firsts)
        taken = set(firsts)
        rest = [site for site in self.rank(key) if site not in taken]
        return tuple((firsts + rest)[:count])


def _highest_weights(
    key: bytes, entries: list[tuple[int, Site]], count: int
) -> list[Site]:
    """Returns the `count` sites with the highest weights, highest first."""
    key_hash = stable_hash(key)
    if count == 1 and entries:
        return [max(entries, key=lambda entry: mix(key_hash ^ entry[0]))[1]]
    best = heapq.nlargest(
        count, entries, key=lambda entry: mix(key_hash ^ entry[0])
    )
    return [site for _, site in best]


def rank(key: bytes, sites: Iterable[Site]) -> tuple[Site, ...]:
    """Returns all sites by descending weight."""
    return SiteTable(sites).rank(key)


def owner(key: bytes, data_centre: str, sites: Iterable[Site]) -> Site | None:
    """Returns the best site of `data_centre`, or of all if it has none."""
    return SiteTable(sites).owner(key, data_centre)


def spread(key: bytes, sites: Iterable[Site], count: int) -> tuple[Site, ...]:
    """Returns up to `count` sites, of distinct data centres first."""
    return SiteTable(sites).spread(key, count)
