"""Tests of the encoding of heartbeats."""

import attrs
import msgpack
import pytest

from seam_node.forward import heartbeat_codec
from standins import forward_heartbeats


def test_a_heartbeat_survives_encoding_and_decoding():
    assert (
        heartbeat_codec.decode(
            heartbeat_codec.encode(forward_heartbeats.make_heartbeat())
        )
        == forward_heartbeats.make_heartbeat()
    )


def test_a_heartbeat_of_an_older_version_is_decoded():
    fields = msgpack.unpackb(
        heartbeat_codec.encode(forward_heartbeats.make_heartbeat())
    )
    decoded = heartbeat_codec.decode(msgpack.packb(fields[:13]))
    assert decoded == attrs.evolve(
        forward_heartbeats.make_heartbeat(), prefills=(), ended=()
    )


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        msgpack.packb("text"),
        msgpack.packb([1, "two"]),
        msgpack.packb([99] * 13),
        msgpack.packb([1, "n", "x", "h", 1, "h", 1, "d", True, 1, [], [], []]),
        msgpack.packb(
            [
                1,
                "n",
                1,
                "h",
                1,
                "h",
                1,
                "d",
                True,
                1,
                [["e", 1, 5]],
                [],
                [],
                None,
            ]
        ),
        b"x" * (heartbeat_codec.MAX_DATAGRAM_BYTES + 1),
    ],
)
def test_invalid_datagrams_are_rejected(data):
    assert heartbeat_codec.decode(data) is None
