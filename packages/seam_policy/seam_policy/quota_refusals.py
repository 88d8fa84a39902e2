"""Units of refused requests that their holder has yet to refund.

A holder counts a request before it asks, and refunds it once it knows of the
refusal. Requests that it sends meanwhile state a total that includes the
refused units. This handles bursts of one instance: without it, each request
after a refused one would charge the refused one to the bucket.
"""

import attrs

CONFIRM_S = 1.0
"""Time in which a holder states the refund of a refused request.

Later the units are charged: the refusal was lost, and another keeper may have
admitted the request."""


@attrs.define
class Refusals:
    """Refused requests of one holder and workspace, oldest first."""

    _refused: dict[int, tuple[int, float]] = attrs.field(factory=dict)
    """Cost and latest time of the refund, by the counted total with which the
    request was stated."""

    def add(self, counted: int, cost: int, now: float) -> None:
        """Notes that a request was refused and not charged."""
        self._refused[counted] = (cost, now + CONFIRM_S)

    def take(self, counted: int) -> int:
        """Returns the units of a request that is stated again, else 0."""
        cost, _ = self._refused.pop(counted, (0, 0.0))
        return cost

    def confirm(self, refunded: int) -> int:
        """Removes what a holder has refunded; returns the units left of it.

        Units of requests that were not refused here are left.
        """
        for counted, (cost, _) in tuple(self._refused.items()):
            if not refunded:
                break
            if cost <= refunded:
                refunded -= cost
                del self._refused[counted]
        return refunded

    def take_expired(self, now: float) -> int:
        """Removes requests whose refund is overdue; returns their units."""
        units = 0
        for counted, (cost, latest) in tuple(self._refused.items()):
            if latest >= now:
                break
            units += cost
            del self._refused[counted]
        return units
