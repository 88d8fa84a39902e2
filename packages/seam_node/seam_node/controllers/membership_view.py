"""What an instance knows about the others at one moment."""

from collections.abc import Mapping
import enum

import attrs

from seam_model import endpoints as records
from seam_policy import rendezvous


class PeerState(enum.Enum):
    """What is known of a peer's life."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@attrs.frozen
class MembershipView:
    """An immutable snapshot; times are of the monotonic clock."""

    own: records.InstanceRecord
    listed: tuple[rendezvous.Site, ...] = ()
    """Instances of the platform's list that do not leave, by name.

    Holds the instance itself only once the platform lists it, so that all
    instances derive the same replicas from the same list.
    """
    live: tuple[rendezvous.Site, ...] = ()
    """Those that answer and do not leave, and the instance itself."""
    leaving: tuple[str, ...] = ()
    instances: Mapping[str, records.InstanceRecord] = attrs.field(factory=dict)
    """Listed instances with the highest incarnation that was heard."""
    endpoints: Mapping[str, records.EndpointRecord] = attrs.field(factory=dict)
    states: Mapping[str, PeerState] = attrs.field(factory=dict)
    fleet_read_at: float | None = None
    """When the platform last gave its list; None before the first."""
    majority_acked_at: float = 0.0
    """By when more than half of the monitored peers had answered."""
    paused_at: float | None = None
    """When the last pause of this process was noticed."""
    pause_count: int = 0
    """Number of pauses noticed."""

    def is_listed(self, name: str) -> bool:
        """Tells whether an instance is listed and does not leave."""
        return any(site.name == name for site in self.listed)

    def is_live(self, name: str, incarnation: int) -> bool:
        """Tells whether this incarnation is not known to have ended."""
        if name == self.own.name:
            return incarnation == self.own.incarnation
        record = self.instances.get(name)
        if record is None or record.incarnation != incarnation:
            return False
        return self.states.get(name) is not PeerState.DEAD
