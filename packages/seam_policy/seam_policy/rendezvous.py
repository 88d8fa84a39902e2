"""Rendezvous hashing: which site owns a key.

Highest random weight hashing after Thaler and Ravishankar (1998). Each site
gets a weight for a key from the stable hashes of both, so a change of the set
of sites moves only the keys of the sites that came or went.
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
_NAME_CACHE_SIZE = 16384
_OWNER_CACHE_SIZE = 16384


@attrs.frozen
class Site:
    """A place that keys can be assigned to."""

    name: str
    data_centre: str


def stable_hash(data: bytes) -> int:
    """Returns 64 bits that are the same in every process."""
    digest = hashlib.blake2b(data, digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


@functools.lru_cache(maxsize=_NAME_CACHE_SIZE)
def name_hash(name: str) -> int:
    """Returns the stable hash of a name."""
    return stable_hash(name.encode())


def mix(value: int) -> int:
    """Returns 64 well-mixed bits: the finaliser of SplitMix64.

    It costs a fraction of a cryptographic hash, which matters where each
    request is weighed against every site.
    """
    value = ((value ^ (value >> 30)) * _MIX_1) & _MASK
    value = ((value ^ (value >> 27)) * _MIX_2) & _MASK
    return value ^ (value >> 31)


def weight(key: bytes, name: str) -> int:
    """Returns the weight of the site `name` for a key, 64 bits."""
    return mix(stable_hash(key) ^ name_hash(name))


def uniform(key: bytes, name: str) -> float:
    """Returns a number from 0 to 1 for a key at the site `name`."""
    return weight(key, name) / _MASK


class SiteTable:
    """Looks keys up in one fixed set of sites; make a new one on a change.

    The owners of keys are cached, so that a key that is looked up often, such
    as an engine's name, costs one dict lookup.
    """

    def __init__(self, sites: Iterable[Site]):
        """Takes the sites of this table."""
        self.sites = tuple(sorted(sites, key=lambda site: site.name))
        self._hashed = [(name_hash(site.name), site) for site in self.sites]
        self._centres: dict[str, list[tuple[int, Site]]] = {}
        for entry in self._hashed:
            centre = self._centres.setdefault(entry[1].data_centre, [])
            centre.append(entry)
        self._owners: dict[tuple[bytes, str], Site | None] = {}

    def rank(self, key: bytes) -> tuple[Site, ...]:
        """Returns the sites by falling weight."""
        return tuple(_weigh(key, self._hashed, len(self._hashed)))

    def owner(self, key: bytes, data_centre: str) -> Site | None:
        """Returns the best site, from `data_centre` if it has any at all."""
        entry = (key, data_centre)
        if entry in self._owners:
            return self._owners[entry]
        if len(self._owners) >= _OWNER_CACHE_SIZE:
            self._owners.clear()
        near = self._centres.get(data_centre, self._hashed)
        best = _weigh(key, near, 1)
        self._owners[entry] = best[0] if best else None
        return self._owners[entry]

    def spread(self, key: bytes, count: int) -> tuple[Site, ...]:
        """Returns up to `count` sites, of distinct data centres first.

        The best site of each data centre comes in rank order, then the rest.
        """
        bests = []
        for centre in self._centres.values():
            best = _weigh(key, centre, 1)[0]
            bests.append((name_hash(best.name), best))
        firsts = _weigh(key, bests, count)
        if len(firsts) >= count or len(bests) == len(self.sites):
            return tuple(firsts)
        taken = set(firsts)
        rest = [site for site in self.rank(key) if site not in taken]
        return tuple((firsts + rest)[:count])


def _weigh(
    key: bytes, entries: list[tuple[int, Site]], count: int
) -> list[Site]:
    """Returns the `count` sites of the highest weight, the best first."""
    key_hash = stable_hash(key)
    if count == 1 and entries:
        return [max(entries, key=lambda entry: mix(key_hash ^ entry[0]))[1]]
    best = heapq.nlargest(
        count, entries, key=lambda entry: mix(key_hash ^ entry[0])
    )
    return [site for _, site in best]


def rank(key: bytes, sites: Iterable[Site]) -> tuple[Site, ...]:
    """Returns the sites by falling weight."""
    return SiteTable(sites).rank(key)


def owner(key: bytes, data_centre: str, sites: Iterable[Site]) -> Site | None:
    """Returns the best site, from `data_centre` if it has any at all."""
    return SiteTable(sites).owner(key, data_centre)


def spread(key: bytes, sites: Iterable[Site], count: int) -> tuple[Site, ...]:
    """Returns up to `count` sites, of distinct data centres first."""
    return SiteTable(sites).spread(key, count)
