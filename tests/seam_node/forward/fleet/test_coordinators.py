"""Which instances decide for the fleet, as some of them start or stop."""

import attrs
import pytest

from seam_node import logs
from seam_node.forward.fleet import coordinators
from standins import forward_heartbeats

NAMES = ("one", "two", "three")


def heartbeat(name, state):
    """Returns the heartbeat of an instance that starts, serves or stops."""
    return attrs.evolve(
        forward_heartbeats.make_heartbeat(name, serving=state == "serves"),
        leaving=state == "stops",
    )


def names_in_order(*states):
    own, *live = [
        heartbeat(name, state)
        for name, state in zip(NAMES, states, strict=True)
    ]
    order = coordinators.Coordinators(
        lambda: own, lambda: live, lambda: 0.0, logs.Log("one")
    )
    positions = [order.order_position(name) for name in NAMES]
    return {each.name for each in order.responsive()}, positions


@pytest.mark.parametrize(
    ("states", "expected"),
    [
        (("stops", "serves", "stops"), {"two"}),
        (("stops", "serves", "starts"), {"two"}),
        (("starts", "starts", "stops"), {"three"}),
        (("starts", "starts", "starts"), set()),
    ],
)
def test_instances_that_stop_coordinate_if_none_serves(states, expected):
    """Guards against a fleet in which each instance decides by itself."""
    found, _ = names_in_order(*states)
    assert found == expected


def test_instances_that_all_stop_agree_on_two():
    """Guards against a different coordinator at each instance."""
    found, positions = names_in_order("stops", "stops", "stops")
    assert len(found) == coordinators.COUNT
    # None of them starts to send orders.
    assert positions == [None, None, None]
