"""Tests of rendezvous hashing."""

import collections

from seam_policy import rendezvous

SITES = tuple(
    rendezvous.Site(f"i{number}", f"dc{number % 3}") for number in range(7)
)
KEYS = [number.to_bytes(16, "big") for number in range(2000)]


def test_weights_are_stable_across_processes():
    assert rendezvous.weight(b"engine-1", "i0") == 13917256296007124323


def test_removed_site_moves_only_its_own_keys():
    rest = SITES[1:]
    for key in KEYS:
        before = rendezvous.rank(key, SITES)
        expected = tuple(site for site in before if site != SITES[0])
        assert rendezvous.rank(key, rest) == expected


def test_keys_are_shared_evenly():
    table = rendezvous.SiteTable(SITES)
    counts = collections.Counter(table.rank(key)[0] for key in KEYS)
    assert min(counts.values()) > 0.8 * len(KEYS) / len(SITES)
    assert max(counts.values()) < 1.2 * len(KEYS) / len(SITES)


def test_owner_is_in_the_data_centre_unless_it_has_no_site():
    for key in KEYS[:100]:
        assert rendezvous.owner(key, "dc1", SITES).data_centre == "dc1"
        far = rendezvous.owner(key, "none", SITES)
        assert far == rendezvous.rank(key, SITES)[0]
    assert rendezvous.owner(b"k", "dc1", ()) is None


def test_spread_takes_distinct_data_centres_then_the_rest():
    for key in KEYS[:100]:
        ranked = rendezvous.rank(key, SITES)
        found = rendezvous.spread(key, SITES, 5)
        assert found[0] == ranked[0]
        assert len({site.data_centre for site in found[:3]}) == 3
        rest = [site for site in ranked if site not in found[:3]]
        assert list(found[3:]) == rest[:2]
        assert rendezvous.spread(key, SITES, 2) == found[:2]
    assert len(rendezvous.spread(b"k", SITES, 9)) == 7
