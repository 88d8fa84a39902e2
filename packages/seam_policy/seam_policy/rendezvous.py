"""Rendezvous hashing: which site owns a key.

Highest random weight hashing after Thaler and Ravishankar (1998). Each site
gets a weight for a key from a stable hash, so a change of the set of sites
moves only the keys of the sites that came or went.
"""

from collections.abc import Iterable
import functools
import hashlib

import attrs

_WEIGHT_BYTES = 8
_NAME_CACHE_SIZE = 16384
_OWNER_CACHE_SIZE = 16384


@attrs.frozen
class Site:
    """A place that keys can be assigned to."""

    name: str
    data_centre: str


@functools.lru_cache(maxsize=_NAME_CACHE_SIZE)
def _name_hash(name: str) -> "hashlib._Hash":
    encoded = name.encode()
    state = hashlib.blake2b(digest_size=_WEIGHT_BYTES)
    state.update(len(encoded).to_bytes(4, "big"))
    state.update(encoded)
    return state


def weight(key: bytes, name: str) -> int:
    """Returns the weight of the site `name` for a key, 64 bits."""
    state = _name_hash(name).copy()
    state.update(key)
    return int.from_bytes(state.digest(), "big")


def rank(key: bytes, sites: Iterable[Site]) -> tuple[Site, ...]:
    """Returns the sites by falling weight; ties go by name."""
    weighed = [(-weight(key, site.name), site.name, site) for site in sites]
    weighed.sort(key=lambda entry: entry[:2])
    return tuple(entry[2] for entry in weighed)


def owner(key: bytes, data_centre: str, sites: Iterable[Site]) -> Site | None:
    """Returns the best site, from `data_centre` if it has any at all."""
    sites = tuple(sites)
    near = [site for site in sites if site.data_centre == data_centre]
    return max(
        near or sites,
        key=lambda site: (weight(key, site.name), site.name),
        default=None,
    )


def spread(key: bytes, sites: Iterable[Site], count: int) -> tuple[Site, ...]:
    """Returns up to `count` sites, of distinct data centres first.

    The best site of each data centre comes in rank order, then the rest.
    """
    firsts: list[Site] = []
    rest: list[Site] = []
    seen: set[str] = set()
    for site in rank(key, sites):
        chosen = rest if site.data_centre in seen else firsts
        seen.add(site.data_centre)
        chosen.append(site)
    return tuple((firsts + rest)[:count])


class SiteTable:
    """Caches the owners of keys for one fixed set of sites.

    Make a new table when the set changes; keys that are looked up often, such
    as engine names, then cost one dict lookup.
    """

    def __init__(self, sites: Iterable[Site]):
        """Takes the sites of this table."""
        self.sites = tuple(sites)
        self._owners: dict[tuple[bytes, str], Site | None] = {}

    def owner(self, key: bytes, data_centre: str) -> Site | None:
        """Returns `owner` of this table's sites from a bounded cache."""
        entry = (key, data_centre)
        if entry in self._owners:
            return self._owners[entry]
        if len(self._owners) >= _OWNER_CACHE_SIZE:
            self._owners.clear()
        site = owner(key, data_centre, self.sites)
        self._owners[entry] = site
        return site
