"""Selects the instances that decide for the fleet.

All instances order the live ones in the same way, by rendezvous hashing among
those with the most processor capacity. The first one that answers grants
places at engines and sends orders; the second is kept informed, so that it can
take over at once. Views may differ for a moment: two instances that decide
cost quality, never a promise, as engines themselves refuse what is too much.

When all instances stop together, those that are stopping coordinate until they
exit. Otherwise each would decide by itself, and grant whole quotas.
"""

from collections.abc import Callable

from seam_model import forwarding
from seam_node import logs
from seam_node.forward.fleet import messages
from seam_policy import rendezvous

COUNT = 2
"""Instances that are kept informed of all streams."""
MIN_CAPACITY_SHARE = 0.75
"""Capacity from which an instance may coordinate, as a share of the largest."""
SUSPECT_S = 2.0
"""Time for which an instance that did not answer is passed over."""
_ROLE = b"placement"


class Coordinators:
    """The live instances in the order in which they coordinate."""

    def __init__(
        self,
        own: Callable[[], messages.Heartbeat],
        live: Callable[[], list[messages.Heartbeat]],
        now: Callable[[], float],
        log: logs.Log,
    ):
        """Creates an order without suspects.

        Args:
            own: returns this instance's own heartbeat.
            live: returns the latest heartbeats of the live peers.
            now: the clock.
            log: where a change of the first coordinator is logged.
        """
        self._own = own
        self._live = live
        self._now = now
        self._log = log
        self._suspected_until: dict[str, float] = {}
        self._first = ""

    def ordered(self) -> list[messages.Heartbeat]:
        """Returns the instances that may coordinate, the first one first."""
        instances = (*self._live(), self._own())
        candidates = [each for each in instances if each.serving] or [
            each for each in instances if each.leaving
        ]
        largest = max((each.capacity for each in candidates), default=0.0)
        able = [
            each
            for each in candidates
            if each.capacity >= MIN_CAPACITY_SHARE * largest
        ]
        return sorted(
            able,
            key=lambda each: rendezvous.weight(_ROLE, each.entry.name),
            reverse=True,
        )

    def responsive(self) -> list[forwarding.InstanceEntry]:
        """Returns the first coordinators that are not suspected."""
        found = self.first(COUNT)
        self._note_first(found[0].name if found else "")
        return found

    def first(self, count: int) -> list[forwarding.InstanceEntry]:
        """Returns at most `count` instances, those first that coordinate."""
        now = self._now()
        return [
            each.entry
            for each in self.ordered()
            if self._suspected_until.get(each.entry.name, 0.0) <= now
        ][:count]

    def order_position(self, name: str) -> int | None:
        """Returns an instance's position among those that may send orders.

        An instance without the store cannot renew the lease for orders, and
        one that stops would soon give it up. None if the instance has no
        position.
        """
        names = [
            each.entry.name
            for each in self.ordered()
            if each.serving and each.reaches_store
        ]
        return names.index(name) if name in names else None

    def suspect(self, name: str) -> None:
        """Passes over an instance that did not answer."""
        self._suspected_until[name] = self._now() + SUSPECT_S
        self._log.event("coordinator_suspected", "warning", peer=name)

    def trust(self, name: str) -> None:
        """Ends the suspicion of an instance that answered."""
        self._suspected_until.pop(name, None)

    def _note_first(self, name: str) -> None:
        if name != self._first:
            self._log.event(
                "coordinator_changed", coordinator=name, before=self._first
            )
            self._first = name
