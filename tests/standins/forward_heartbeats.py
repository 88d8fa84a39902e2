"""Heartbeats of other forwarding instances, as test data."""

from seam_model import forwarding
from seam_node.forward import heartbeats
from seam_policy import kv_forecast
from seam_policy import wait_queue


def make_instance_entry(name, incarnation=1):
    """Returns the entry that an instance announces for itself."""
    return forwarding.InstanceEntry(
        name,
        incarnation,
        forwarding.Address("10.0.0.1", 80),
        forwarding.Address("10.0.0.1", 7660),
        "here",
    )


def make_heartbeat(name="two", serving=True, incarnation=1):
    """Returns a heartbeat in which every field is set."""
    needs = tuple(
        kv_forecast.Demand(float(number), 2.0)
        for number in range(len(kv_forecast.HORIZONS_S))
    )
    return heartbeats.Heartbeat(
        make_instance_entry(name, incarnation),
        serving,
        7,
        (heartbeats.EngineUse("e/1", kv_forecast.DemandProfile(3, needs)),),
        (heartbeats.ExcludedEngine("e/2", 1.5),),
        wait_queue.QueueHead(0, True, 0.25),
        (heartbeats.PrefillSent(9, "p/1", 5000, 0.125),),
        (heartbeats.StreamEnded(4, "e/1", True),),
    )
