"""Chunks are trimmed to the events that the caller has not received."""

import hypothesis
from hypothesis import strategies

from seam_model import endpoints
from seam_node.adapters import engine_stream
from seam_node.filters import stream


def _events(first: int, count: int, done: bool) -> bytes:
    parts = [
        b'id: %d\ndata: {"text": "x"}\n\n' % (first + n) for n in range(count)
    ]
    if done:
        last = first + count - 1
        parts[-1] = b"id: %d\nevent: done\ndata: {}\n\n" % last
    return b"".join(parts)


SPANS = strategies.tuples(
    strategies.integers(1, 1000),
    strategies.integers(1, 20),
    strategies.booleans(),
)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(SPANS)
def test_whole_events_are_parsed(span):
    data = _events(*span)
    chunk = engine_stream.parse_events(data)
    assert chunk == endpoints.TokenChunk(span[0], span[1], data, span[2])


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(SPANS, strategies.integers(0, 30))
def test_trimming_leaves_exactly_the_remaining_events(span, ahead):
    first, count, done = span
    chunk = engine_stream.parse_events(_events(first, count, done))
    rest = stream.trim_chunk(chunk, first + ahead)
    if ahead >= count:
        assert rest is None
    else:
        wanted = _events(first + ahead, count - ahead, done)
        assert engine_stream.parse_events(wanted) == rest


def test_gap_between_events_is_rejected():
    data = _events(1, 1, False) + _events(3, 1, False)
    assert engine_stream.parse_events(data) is None


def test_malformed_events_are_rejected():
    assert engine_stream.parse_events(b"<html></html>\n\n") is None
    assert engine_stream.parse_events(b"id: x\ndata: {}\n\n") is None
