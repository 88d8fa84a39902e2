"""Counts the use of each workspace at this instance and limits plain calls."""

from collections.abc import Callable
from collections.abc import Iterable

import attrs

from seam_model import forward_settings
from seam_model import workspace_config
from seam_node import logs
from seam_node.forward.fleet import messages
from seam_node.forward.quota import limits
from seam_policy import quota_returns
from seam_policy import token_bucket

MAX_USAGE_ROWS = 256
"""Workspaces in a report, so that it fits into a datagram; those with the
latest use come first."""
LOG_INTERVAL_S = 1.0
"""Shortest time between two log lines on the refusals of one workspace."""


@attrs.define(eq=False)
class Charge:
    """Units that were counted for one request."""

    workspace: str
    cost: int
    counted: int
    """Units counted for the workspace here, this request included."""
    refunded: int
    """Units refunded to the workspace here."""
    is_call: bool
    """Whether it is a plain call."""
    granted: bool = False
    """Whether the quota keeper has admitted the request."""


@attrs.frozen
class Use:
    """What one workspace has used here since the start."""

    counted: int
    """Units of all requests."""
    refunded: int
    """Units of those that have not run and never will."""
    refused: int
    """Requests refused as the quota was used up."""

    def __add__(self, other: "Use") -> "Use":
        """Returns the use of two workspaces together."""
        return Use(
            self.counted + other.counted,
            self.refunded + other.refunded,
            self.refused + other.refused,
        )


@attrs.define(eq=False)
class _Record:
    """Use of one workspace at this instance."""

    counted: int = 0
    """Units of all requests since the start."""
    refunded: int = 0
    """Units of those that have not run and never will."""
    last_used_at: float = 0.0
    unreported: int = 0
    """Units of plain calls since the last report."""
    over_quota_until: float = 0.0
    """Time until which the keeper admits nothing, by its last notice."""
    refused: int = 0
    """Requests refused since the start."""
    logged_refused: int = 0
    """Refused requests up to the last log line."""
    logged_at: float = float("-inf")


class QuotaGate:
    """Admits plain calls and counts the use of all requests."""

    def __init__(
        self,
        settings: forward_settings.QuotaSettings,
        share: Callable[[], float],
        live: Callable[[], int],
        now: Callable[[], float],
        log: logs.Log,
    ):
        """Creates a gate without workspaces.

        Args:
            settings: limits that the quotas have to keep.
            share: returns the share of the quotas that may be used now.
            live: returns the number of instances that are heard.
            now: the clock.
            log: where refusals are logged.
        """
        self._settings = settings
        self._share = share
        self._live = live
        self._now = now
        self._log = log
        self._buckets = token_bucket.BucketSet()
        self._by_name: dict[str, _Record] = {}
        """Use by workspace. It is kept while a workspace has no quota, as the
        totals must not start at 0 again."""
        self._returns = quota_returns.QuotaReturns()
        self.on_unreported: Callable[[], None] | None = None
        """Called when much has been used since the last report."""

    def configure(
        self, workspaces: Iterable[workspace_config.Workspace]
    ) -> None:
        """Sets the quotas in force."""
        in_force = limits.limits(workspaces, self._settings)
        self._returns.retain(set(in_force))
        # They may start full, as the keeper limits what the fleet admits.
        self._buckets.configure(in_force, starts_full=True, now=self._now())

    def count(self, workspace: workspace_config.Workspace, cost: int) -> Charge:
        """Counts a model request, which the keeper admits or refuses."""
        return self._count(workspace.name, cost, is_call=False)

    def admit_call(
        self, workspace: workspace_config.Workspace, cost: int
    ) -> Charge | None:
        """Counts a plain call; returns None if the quota is used up."""
        if self._wait_s(workspace.name) > 0:
            return None
        charge = self._count(workspace.name, cost, is_call=True)
        bucket = self._bucket(workspace.name)
        if bucket is not None:
            bucket.charge(cost, self._now())
        record = self._record(workspace.name)
        record.unreported += cost
        threshold = limits.report_threshold(
            workspace.quota, self._settings, self._live()
        )
        if record.unreported > threshold and self.on_unreported is not None:
            self.on_unreported()
        return charge

    def refund(self, charge: Charge) -> None:
        """Takes back a request that has not run and never will."""
        self._record(charge.workspace).refunded += charge.cost
        bucket = self._bucket(charge.workspace)
        if charge.is_call and bucket is not None:
            bucket.charge(-charge.cost, self._now())

    def retry_after_s(
        self,
        workspace: workspace_config.Workspace,
        cost: int,
        remaining_s: float,
    ) -> float:
        """Returns the seconds after which to retry a refused plain call.

        Args:
            workspace: the caller's workspace.
            cost: units of the call.
            remaining_s: seconds until the call's deadline.
        """
        name = workspace.name
        step_s = cost * self._live() / workspace.quota.rate
        return self._returns.assign(
            name, self._wait_s(name), step_s, remaining_s, self._now()
        )

    def note_refused(self, name: str) -> None:
        """Counts a refused request; logs the refusals at an interval."""
        record, now = self._record(name), self._now()
        record.refused += 1
        if now - record.logged_at < LOG_INTERVAL_S:
            return
        self._log.event(
            "quota_refused",
            "warning",
            workspace=name,
            requests=record.refused - record.logged_refused,
            used=record.counted - record.refunded,
        )
        record.logged_at = now
        record.logged_refused = record.refused

    def on_notice(self, notice: messages.QuotaNotice) -> None:
        """Refuses plain calls of the workspaces whose quota is used up."""
        now = self._now()
        for row in notice.rows:
            record = self._record(row.workspace)
            record.over_quota_until = now + row.wait_s

    def usage(self) -> tuple[messages.UsageRow, ...]:
        """Returns the counters, for this instance's report."""
        used = [
            (record.last_used_at, name, record)
            for name, record in self._by_name.items()
            if record.last_used_at
        ]
        used.sort(key=lambda each: each[:2], reverse=True)
        return tuple(
            messages.UsageRow(name, record.counted, record.refunded)
            for _, name, record in used[:MAX_USAGE_ROWS]
        )

    def note_reported(self) -> None:
        """Notes that the counters have been reported."""
        for record in self._by_name.values():
            record.unreported = 0

    def totals(self) -> dict[str, Use]:
        """Returns the use since the start, by workspace."""
        return {
            name: Use(record.counted, record.refunded, record.refused)
            for name, record in self._by_name.items()
        }

    def _count(self, name: str, cost: int, is_call: bool) -> Charge:
        record = self._record(name)
        record.counted += cost
        record.last_used_at = self._now()
        return Charge(name, cost, record.counted, record.refunded, is_call)

    def _record(self, name: str) -> _Record:
        return self._by_name.setdefault(name, _Record())

    def _bucket(self, name: str) -> token_bucket.TokenBucket | None:
        self._buckets.set_share(self._share(), self._now())
        return self._buckets.find(name)

    def _wait_s(self, name: str) -> float:
        """Returns the seconds until plain calls are admitted; 0 if they are."""
        now = self._now()
        notice_s = max(0.0, self._record(name).over_quota_until - now)
        bucket = self._bucket(name)
        return max(notice_s, 0.0 if bucket is None else bucket.wait_s(now))
