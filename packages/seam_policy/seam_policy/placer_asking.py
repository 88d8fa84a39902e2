"""Decides whether an instance asks a placer for the endpoint of a plain call.

A placer is asked where an instance sees too few of a service's calls to know
its endpoints, and where the round trip takes little of the call's time. A
placer that does not answer is not asked for a time that differs between
instances. This handles services with fewer slots than there are instances, and
the loss of a placer in a burst, after which all instances would otherwise
return at once.
"""

from seam_policy import rendezvous

MIN_TARGET_ROUND_TRIPS = 25.0
"""Shortest latency target of placed calls, in round trips to the placer. A call
whose answer is due sooner has no time to wait for room at a placer either."""
SUSPECT_S = 2.0
"""Shortest time for which a placer that did not answer is not asked."""
SUSPECT_SPREAD_S = 1.0
"""Range over which the ends of suspicions are spread."""


def should_ask(
    instances: int, slots: int, target_s: float, round_trip_s: float
) -> bool:
    """Returns whether calls of a service are placed by the fleet's placer.

    Args:
        instances: live instances, this one included.
        slots: slots of the service's usable endpoints.
        target_s: shortest latency target of the service's routes, in seconds.
        round_trip_s: longest round trip of an ask or call, in seconds.
    """
    if instances <= slots:
        return False
    return target_s >= MIN_TARGET_ROUND_TRIPS * round_trip_s


class Suspicions:
    """Placers that did not answer, as one instance sees them.

    They are kept apart from those of model requests, whose asks have more time.
    A late answer does not end a suspicion, as the calls after it would wait for
    the next late one.
    """

    def __init__(self, own_name: str):
        """Starts without suspicions.

        Args:
            own_name: name of this instance, on which their length depends.
        """
        self._own_name = own_name
        self._until: dict[str, float] = {}

    def suspect(self, name: str, now: float) -> float:
        """Suspects a placer; returns for how many seconds."""
        share = rendezvous.uniform(name.encode(), self._own_name)
        suspect_s = SUSPECT_S + SUSPECT_SPREAD_S * share
        self._until[name] = now + suspect_s
        return suspect_s

    def is_suspected(self, name: str, now: float) -> bool:
        """Returns whether a placer must not be asked now."""
        return self._until.get(name, float("-inf")) > now
