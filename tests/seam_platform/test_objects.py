"""Decoding of objects of the users' store, valid and malformed."""

import pytest

from seam_model import forwarding
from seam_platform import objects
from standins import forward_world

SPEC = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "here",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_remaining_ms": 1500,
    "sequence": 9,
    "born": 17,
    "stage": "decode",
}


def test_endpoint():
    decoded = objects.endpoint("i-1", SPEC)
    assert decoded.key == "i-1/17"
    assert decoded.address == forwarding.Address("10.0.0.1", 80)
    assert decoded.stage is forwarding.Stage.DECODE
    assert decoded.warm_up_s == 1.5
    assert not decoded.draining


def test_plain_service_has_no_stage():
    spec = {key: value for key, value in SPEC.items() if key != "stage"}
    assert objects.endpoint("i-1", spec).stage is forwarding.Stage.NONE


def test_a_heartbeat_count_is_not_part_of_an_endpoint():
    later = objects.endpoint("i-1", {**SPEC, "sequence": 10})
    assert later == objects.endpoint("i-1", SPEC)


@pytest.mark.parametrize("missing", sorted(set(SPEC) - {"born", "stage"}))
def test_endpoint_with_a_missing_field_is_unreadable(missing):
    spec = {key: value for key, value in SPEC.items() if key != missing}
    with pytest.raises(objects.UnreadableError):
        objects.endpoint("i-1", spec)


@pytest.mark.parametrize(
    "changes",
    [
        {"slots": "4"},
        {"slots": True},
        {"state": "gone"},
        {"stage": "other"},
        {"stage": 3},
        {"address": "nowhere"},
        {"address": 80},
        {"born": 1.5},
        {"born": "17"},
        {"cold_remaining_ms": None},
        {"sequence": 1.5},
    ],
)
def test_endpoint_with_a_field_of_another_type_is_unreadable(changes):
    with pytest.raises(objects.UnreadableError):
        objects.endpoint("i-1", {**SPEC, **changes})


@pytest.mark.parametrize("spec", [None, "text", 7, [], {}])
def test_a_spec_that_is_not_an_endpoint_is_unreadable(spec):
    with pytest.raises(objects.UnreadableError):
        objects.endpoint("i-1", spec)


def test_configuration():
    plain = forward_world.configuration(
        7,
        [
            forward_world.route(
                "a", "streaming", "engines", resumable=True, gap_target_ms=300
            ),
            {
                **forward_world.route("b", "idempotent", "calls"),
                "service": None,
                "traffic_split": [
                    {"service": "calls", "weight": 90},
                    {"service": "engines", "weight": 10},
                ],
            },
        ],
    )
    table = objects.route_table(plain)
    assert table.version == 7
    stream, split = table.routes
    assert stream.kind is forwarding.RouteKind.STREAM
    assert stream.may_retry()
    assert (stream.max_gap_s, stream.timeout_s) == (0.3, 5.0)
    assert [each.weight for each in split.splits] == [90, 10]
    assert table.services["engines"].engine.hold_ttl_s == 2.0
    assert table.services["calls"].engine is None


def test_instance_entry_survives_encoding_and_decoding():
    entry = forwarding.InstanceEntry(
        "one",
        5,
        forwarding.Address("10.0.0.1", 80),
        forwarding.Address("10.0.0.1", 7660),
        "here",
    )
    assert objects.instance(objects.instance_spec(entry)) == entry
