"""Tests of the answers to callers' entry queries."""

from seam_model import forwarding
from seam_node.forward.callers import entry
from seam_node.forward.fleet import messages


def make_heartbeat(name, data_centre="here", serving=True):
    number = int(name[1:])
    own = forwarding.InstanceEntry(
        name,
        1,
        forwarding.Address("10.0.0.1", number),
        forwarding.Address("10.0.0.1", 7660),
        data_centre,
    )
    return messages.Heartbeat(own, serving, 1, 1.0, True)


def ports(live, data_centre="here"):
    answer = entry.choose(live, data_centre, 2.0)
    return [address.port for address in answer.addresses]


def test_instances_of_the_callers_data_centre_are_returned():
    live = [
        make_heartbeat("i1"),
        make_heartbeat("i2"),
        make_heartbeat("i3", "there"),
    ]
    assert ports(live) == [1, 2]


def test_other_data_centres_are_added_if_too_few_are_local():
    live = [
        make_heartbeat("i1"),
        make_heartbeat("i2", "there"),
        make_heartbeat("i3", "there"),
    ]
    assert ports(live) == [1, 2, 3]
    assert ports(live, "unknown") == [1, 2, 3]


def test_leaving_instances_are_not_returned():
    live = [
        make_heartbeat("i1", serving=False),
        make_heartbeat("i2"),
        make_heartbeat("i3"),
    ]
    assert ports(live) == [2, 3]
    assert ports([make_heartbeat("i1", serving=False)]) == []


def test_the_number_of_addresses_is_limited():
    live = [make_heartbeat(f"i{number}") for number in range(1, 100)]
    assert len(ports(live)) == entry.MAX_ADDRESSES
