"""Heartbeats of other forwarding instances, as test data."""

from seam_model import forwarding
from seam_node.forward.fleet import messages


def make_instance_entry(name, incarnation=1):
    """Returns the entry that an instance announces for itself."""
    return forwarding.InstanceEntry(
        name,
        incarnation,
        forwarding.Address("10.0.0.1", 80),
        forwarding.Address("10.0.0.1", 7660),
        "here",
    )


def make_heartbeat(name="two", serving=True, incarnation=1, routes_version=7):
    """Returns a heartbeat of an instance with one core."""
    return messages.Heartbeat(
        make_instance_entry(name, incarnation),
        serving,
        routes_version,
        1.0,
        True,
    )
