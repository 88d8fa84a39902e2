"""Counts the instances that are heard, which limits what a quota may grant."""

from collections.abc import Callable

from seam_policy import quota

REFRESH_S = 0.1
"""Age up to which a result is used again."""
HEARD_S = 0.8
"""Silence after which an instance that reports is no longer seen; busy
instances report every 0.5 s."""


class QuotaView:
    """The instances that are known, and how many of them are heard."""

    def __init__(
        self,
        own_name: str,
        known: Callable[[], set[str]],
        heard_count: Callable[[], int],
        now: Callable[[], float],
    ):
        """Creates the view.

        Args:
            own_name: name of this instance.
            known: returns the names of all instances listed in the store or
                heard within some time.
            heard_count: returns about how many others are heard now.
            now: the clock.
        """
        self._own_name = own_name
        self._known_now = known
        self._heard_count_now = heard_count
        self._now = now
        self._reporting: Callable[[float], set[str]] | None = None
        self._refreshed_at = float("-inf")
        self._known = {own_name}
        self._seen = 1

    def connect(self, reporting: Callable[[float], set[str]]) -> None:
        """Sets the function that returns the instances heard since a time."""
        self._reporting = reporting

    def known(self) -> set[str]:
        """Returns the names of the known instances, this one included."""
        self._refresh()
        return self._known

    def seen(self) -> int:
        """Returns the number of instances heard, this one included."""
        self._refresh()
        return self._seen

    def share(self) -> float:
        """Returns the share of the quotas that may be granted here."""
        self._refresh()
        return quota.rate_share(self._seen, len(self._known))

    def _refresh(self) -> None:
        now = self._now()
        if now - self._refreshed_at < REFRESH_S:
            return
        self._refreshed_at = now
        reporting = {self._own_name}
        if self._reporting is not None:
            reporting |= self._reporting(now - HEARD_S)
        self._known = self._known_now() | reporting
        self._seen = max(len(reporting), 1 + self._heard_count_now())
