"""Tests of matching routes by host and longest path prefix."""

import attrs

from seam_policy import route_match


@attrs.frozen
class Route:
    host: str
    path_prefix: str


def match(path, host="a.example"):
    index = route_match.RouteIndex(
        [
            Route("a.example", "/"),
            Route("a.example", "/x/"),
            Route("a.example", "/x/y/"),
            Route("b.example", "/x/"),
        ]
    )
    found = index.match(host, path)
    return found and found.path_prefix


def test_longest_prefix_wins():
    assert match("/x/y/z") == "/x/y/"
    assert match("/x/yz") == "/x/"
    assert match("/xy") == "/"


def test_prefix_matches_whole_segments_only():
    assert match("/x/y") == "/x/"
    assert match("/x/y/") == "/x/y/"


def test_unknown_host_and_path():
    assert match("/", host="c.example") is None
    assert match("/other/", host="b.example") is None
    assert match("", host="b.example") is None


def test_host_is_compared_without_case():
    assert match("/x/", host="A.Example") == "/x/"
