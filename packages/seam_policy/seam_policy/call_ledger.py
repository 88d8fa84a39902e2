"""Records the plain calls of all instances that are in flight.

The placer counts the calls that it has granted. Each grant is a lease: it ends
when its holder says so, when the call's time is over, or when the holder falls
silent. This handles bursts in which many instances send to a few endpoints at
once, and holders that are killed or partitioned while their calls run.
"""

import collections

import attrs


@attrs.frozen
class CallId:
    """Identifies a call of the fleet."""

    holder: str
    """Name of the instance that sends the call."""
    incarnation: int
    number: int
    """Number of the call among those of its holder's incarnation."""


@attrs.frozen
class Lease:
    """A call that was granted an endpoint."""

    service: str
    endpoint: str
    """Key of the endpoint's incarnation."""
    granted_at: float
    expires_at: float


class CallLedger:
    """The leases of all calls, counted by endpoint."""

    def __init__(self) -> None:
        """Starts without calls."""
        self._leases: dict[CallId, Lease] = {}
        self._in_flight: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        """Returns the number of calls in flight."""
        return len(self._leases)

    def __contains__(self, call_id: CallId) -> bool:
        """Returns whether a call has a lease."""
        return call_id in self._leases

    def add(self, call_id: CallId, lease: Lease) -> None:
        """Adds a call that was granted an endpoint."""
        self.remove(call_id)
        self._leases[call_id] = lease
        self._in_flight[lease.endpoint] += 1

    def remove(self, call_id: CallId) -> Lease | None:
        """Removes a call that has ended; returns its lease, if it had one."""
        lease = self._leases.pop(call_id, None)
        if lease is None:
            return None
        self._in_flight[lease.endpoint] -= 1
        if not self._in_flight[lease.endpoint]:
            del self._in_flight[lease.endpoint]
        return lease

    def shorten(self, call_id: CallId, service_s: float) -> float | None:
        """Limits the lease of a call to the call's expected duration.

        Args:
            call_id: the call.
            service_s: expected duration of a call, in seconds.

        Returns:
            the time at which the lease expires; None if there is none.
        """
        lease = self._leases.get(call_id)
        if lease is None:
            return None
        expires_at = min(lease.expires_at, lease.granted_at + service_s)
        self._leases[call_id] = attrs.evolve(lease, expires_at=expires_at)
        return expires_at

    def in_flight(self, endpoint: str) -> int:
        """Returns the calls at an endpoint."""
        return self._in_flight[endpoint]

    def holders(self) -> set[str]:
        """Returns the instances that have calls in flight."""
        return {each.holder for each in self._leases}

    def drop_holder(self, holder: str) -> int:
        """Removes all calls of a holder; returns how many there were."""
        dropped = [each for each in self._leases if each.holder == holder]
        for call_id in dropped:
            self.remove(call_id)
        return len(dropped)

    def expire(self, now: float) -> list[Lease]:
        """Removes the calls whose time is over; returns their leases."""
        expired = [
            call_id
            for call_id, lease in self._leases.items()
            if lease.expires_at <= now
        ]
        return [self.remove(call_id) for call_id in expired]
