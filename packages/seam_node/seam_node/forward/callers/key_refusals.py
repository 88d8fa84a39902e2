"""Counts the requests that are refused for their key, and logs some of them.

No count, metric or log line holds a key.
"""

from collections.abc import Callable
import enum

from seam_node import logs

LOG_INTERVAL_S = 10.0
"""Shortest interval between two log lines for the same reason, so that a caller
with a wrong key does not fill the log."""


class Reason(enum.Enum):
    """Why a request was refused."""

    MISSING = "missing"
    UNKNOWN = "unknown"
    UNPROVED = "unproved"
    """The configuration may be out of date, so that no key can be judged."""


class KeyRefusals:
    """The refusals since the start, by reason."""

    def __init__(
        self,
        proof_age_s: Callable[[], float],
        now: Callable[[], float],
        log: logs.Log,
    ):
        """Starts with no refusals.

        Args:
            proof_age_s: returns the age of the configuration's proof, in
                seconds.
            now: the clock.
            log: where refusals are logged.
        """
        self._proof_age_s = proof_age_s
        self._now = now
        self._log = log
        self._counts = dict.fromkeys(Reason, 0)
        self._logged_counts = dict.fromkeys(Reason, 0)
        self._logged_at = dict.fromkeys(Reason, float("-inf"))

    def count(self, reason: Reason) -> int:
        """Returns the number of refusals since the start."""
        return self._counts[reason]

    def note(self, reason: Reason, route: str, version: int) -> None:
        """Records a refusal.

        Args:
            reason: why the request was refused.
            route: name of its route.
            version: version of the configuration in force.
        """
        self._counts[reason] += 1
        now = self._now()
        if now - self._logged_at[reason] < LOG_INTERVAL_S:
            return
        self._logged_at[reason] = now
        self._log.event(
            "keys_refused",
            "warning",
            reason=reason.value,
            refused=self._counts[reason] - self._logged_counts[reason],
            route=route,
            version=version,
            proof_age_s=round(self._proof_age_s(), 3),
        )
        self._logged_counts[reason] = self._counts[reason]
