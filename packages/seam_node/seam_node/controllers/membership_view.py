"""Defines the snapshot of the fleet that membership publishes."""

from collections.abc import Mapping
import enum

import attrs

from seam_model import endpoints as records
from seam_policy import rendezvous


class PeerState(enum.Enum):
    """State of a peer as seen by the failure detector."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@attrs.frozen
class MembershipView:
    """An immutable snapshot of the fleet; times are monotonic."""

    own: records.InstanceRecord
    listed: tuple[rendezvous.Site, ...] = ()
    """Instances on the platform's list that are not leaving, by name.

    Includes the instance itself only once the platform lists it, so that all
    instances derive the same replicas from the same list.
    """
    live: tuple[rendezvous.Site, ...] = ()
    """Peers not known to be dead or leaving, and the instance itself.

    The instance itself is left out while it is leaving.
    """
    leaving: tuple[str, ...] = ()
    instances: Mapping[str, records.InstanceRecord] = attrs.field(factory=dict)
    """Listed instances, each with its highest incarnation seen so far."""
    endpoints: Mapping[str, records.EndpointRecord] = attrs.field(factory=dict)
    states: Mapping[str, PeerState] = attrs.field(factory=dict)
    fleet_read_at: float | None = None
    """When the platform's list was last read; None before the first time."""
    majority_acked_at: float = 0.0
    """Latest time since which more than half of the monitored peers acked."""
    paused_at: float | None = None
    """When the last pause of this process was detected."""
    pause_count: int = 0
    """Number of pauses of this process detected so far."""

    def is_listed(self, name: str) -> bool:
        """Returns whether an instance is listed and not leaving."""
        return any(site.name == name for site in self.listed)

    def is_live(self, name: str, incarnation: int) -> bool:
        """Returns whether this incarnation is not known to have ended."""
        if name == self.own.name:
            return incarnation == self.own.incarnation
        record = self.instances.get(name)
        if record is None or record.incarnation != incarnation:
            return False
        return self.states.get(name) is not PeerState.DEAD
