"""Rate limits that endpoints name in their answers, kept by all instances.

An instance that hears a limit tells the coordinators, and the first of these
tells all others. The placer spends the whole rate of an engine; of a plain
endpoint, each instance spends its share.
"""

from collections.abc import Callable
import math

from seam_model import forwarding
from seam_node import logs
from seam_node.forward.fleet import fleet_links
from seam_node.forward.fleet import messages
from seam_policy import rate_limits

FIRST_CHECK_INTERVAL_S = 0.1
REFRESH_S = 3.0
"""Age from which an instance is told of a limit again."""
NO_LIMIT = -1.0
"""Rate in a message that tells that an endpoint names no limit any more."""


class EndpointLimits:
    """The limits of all endpoints, as this instance knows them."""

    def __init__(self, now: Callable[[], float], log: logs.Log):
        """Takes the clock, and the log where changes are told."""
        self.now = now
        self._log = log
        self._limits = rate_limits.RateLimits()
        self._links: fleet_links.FleetLinks | None = None
        self._is_first = False
        self._first_checked_at = float("-inf")

    def connect(self, links: fleet_links.FleetLinks) -> None:
        """Sets the way to other instances."""
        self._links = links

    # Choice of endpoints

    def wait_s(self, key: str) -> float:
        """Returns the time until this instance may send to an endpoint."""
        return self._wait_s(key, self.rate(key), self._share)

    def decode_wait_s(self, key: str) -> float:
        """Returns the time until a place at a decode engine may be granted."""
        return self._wait_s(key, self.rate(key), self._placer_share)

    def prefill_wait_s(self, key: str) -> float:
        """Returns the time until a prefill engine may get a prompt."""
        return self._wait_s(key, self.prefill_rate(key), self._placer_share)

    def prefill_rate(self, key: str) -> float:
        """Returns the prompts a second that an engine gets from all."""
        return rate_limits.prefill_rate(self.rate(key))

    def take(self, key: str) -> None:
        """Counts a request that is sent to an endpoint, or granted there."""
        self._limits.take(key)

    def rate(self, key: str) -> float:
        """Returns the requests a second that an endpoint gets from all."""
        return self._limits.rate(key, self.now())

    def own_rate(self, key: str) -> float:
        """Returns the requests a second that this instance may send.

        It is at least what each instance would get if all could send.
        """
        rate = self.rate(key)
        if math.isinf(rate):
            return rate
        equal_share = 1.0 / (len(self._links.others()) + 1)
        return rate * max(equal_share, self._share(key, rate))

    def is_limited(self, key: str) -> bool:
        """Returns whether an endpoint is limited, or was until recently."""
        return not math.isinf(self.rate(key))

    # What is heard

    def heard(self, key: str, rate: float | None, sent_at: float) -> None:
        """Records an answer of an endpoint.

        Args:
            key: key of the endpoint's incarnation.
            rate: requests a second that it takes; None if it named no limit.
            sent_at: when the request was sent. Answers on different
                connections may overtake each other, so one to an older
                request does not end a limit.
        """
        now = self.now()
        at = sent_at if rate is None else now
        if not self._record(key, rate, at):
            return
        notice = messages.LimitNotice((self._row(key, rate, at),))
        if self._links.is_first():
            self._links.tell_others(notice)
        else:
            self._links.tell_coordinators(notice)

    def on_notice(self, notice: messages.LimitNotice) -> None:
        """Merges what another instance knows."""
        now = self.now()
        for row in notice.rows:
            rate = None if row.rate == NO_LIMIT else row.rate
            is_new = self._record(row.key, rate, now - row.age_s)
            if is_new and self._links.is_first():
                self._links.tell_others(messages.LimitNotice((row,)))

    def report(self) -> tuple[messages.LimitRow, ...]:
        """Returns the limits that hold, for this instance's report."""
        return tuple(
            self._row(key, rate, heard_at)
            for key, (rate, heard_at) in self._limits.named(self.now()).items()
        )

    def on_report(
        self,
        rows: tuple[messages.LimitRow, ...],
        sender: forwarding.InstanceEntry,
    ) -> None:
        """Merges another instance's limits and tells it what it lacks."""
        self.on_notice(messages.LimitNotice(rows))
        fresh = {row.key for row in rows if row.age_s < REFRESH_S}
        missing = tuple(row for row in self.report() if row.key not in fresh)
        if missing:
            self._links.send(messages.LimitNotice(missing), sender)

    def remove(self, key: str) -> None:
        """Forgets an incarnation that has ended."""
        self._limits.remove(key)

    def _record(self, key: str, rate: float | None, at: float) -> bool:
        if not self._limits.heard(key, rate, at, self.now()):
            return False
        if rate is None:
            self._log.event("endpoint_unlimited", endpoint=key)
        else:
            self._log.event(
                "endpoint_limited", "warning", endpoint=key, rate=rate
            )
        return True

    def _row(
        self, key: str, rate: float | None, at: float
    ) -> messages.LimitRow:
        age_s = self.now() - at
        return messages.LimitRow(key, NO_LIMIT if rate is None else rate, age_s)

    def _wait_s(
        self,
        key: str,
        rate: float,
        share_of: Callable[[str, float], float],
    ) -> float:
        if math.isinf(rate):
            return 0.0
        return self._limits.wait_s(key, rate, share_of(key, rate), self.now())

    def _placer_share(self, key: str, rate: float) -> float:
        """Returns the whole if this instance grants the places of all."""
        now = self.now()
        if now - self._first_checked_at > FIRST_CHECK_INTERVAL_S:
            self._is_first = self._links.is_first()
            self._first_checked_at = now
        if self._is_first:
            return rate_limits.FULL_SHARE
        return self._share(key, rate)

    def _share(self, key: str, rate: float) -> float:
        names = [each.name for each in self._links.others()]
        return rate_limits.sender_share(
            key, rate, self._links.own_name, [*names, self._links.own_name]
        )
