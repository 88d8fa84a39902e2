"""Round trips of peer messages, and typed errors for malformed input."""

import hypothesis
from hypothesis import strategies
import msgpack

from seam_model import codec
from seam_model import errors
from seam_model import peers

strategies.register_type_strategy(
    int, strategies.integers(min_value=-(2**63), max_value=2**63 - 1)
)
MESSAGES = strategies.one_of(
    [strategies.from_type(cls) for cls in codec.PEER_MESSAGES.values()]
)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(MESSAGES)
def test_peer_message_round_trip(message):
    packed = codec.pack(codec.message_to_row(message))
    back = codec.row_to_message(msgpack.unpackb(packed)).ok
    assert type(back) is type(message)
    # Bytes are compared, since a NaN does not equal itself.
    assert codec.pack(codec.message_to_row(back)) == packed


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.lists(strategies.integers() | strategies.text()))
def test_unknown_row_is_a_typed_error(row):
    result = codec.row_to_message(["no such tag", *row])
    assert isinstance(result.error, errors.BadInput)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.binary(max_size=200))
def test_broken_json_is_a_typed_error(data):
    result = codec.from_json(data, peers.ConfigFetch)
    if result.is_error():
        assert isinstance(result.error, errors.SeamError)
