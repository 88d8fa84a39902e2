"""Accounts of the quotas of all workspaces, kept by the quota keeper.

Each holder (an instance) counts the units of a workspace's requests since its
start, and those of requests that it refunded. Both totals only grow. It states
them with each request for admission and in its reports. The keeper charges the
excess of a total over the highest one stated before, and gives back likewise
what was refunded: so messages may be lost, repeated or late, and nothing is
charged or given back twice. What it refuses itself is not charged while the
holder's refund is under way.

A keeper that was not informed starts with empty buckets, so that it and its
predecessor together stay within the quota, and takes over the debts of which
others know. This handles floods of one workspace across all instances, also
while keepers are lost or partitioned.
"""

from collections.abc import Mapping

import attrs

from seam_policy import quota_refusals
from seam_policy import token_bucket

ISOLATED_FACTOR = 0.5
"""Share of the rate that all isolated instances together use at most."""
FORGET_SILENT_S = 60.0
"""Silence after which a holder that no instance knows is forgotten.

Its callers' keys and its reports are long out of date by then."""


def rate_share(seen: int, known: int) -> float:
    """Returns the share of the quotas that a keeper or gate may grant.

    Args:
        seen: instances that it hears, itself included.
        known: instances that exist as far as it knows.
    """
    if 2 * seen >= known:
        return token_bucket.FULL_SHARE
    return ISOLATED_FACTOR * seen / known


@attrs.frozen
class Total:
    """What a holder has counted for a workspace since the holder's start."""

    counted: int = 0
    """Units of all requests."""
    refunded: int = 0
    """Units of those that have not run and never will."""


@attrs.define
class _Holder:
    incarnation: int
    heard_at: float
    totals: dict[str, Total] = attrs.field(factory=dict)
    """Highest totals charged and given back, by workspace."""
    refusals: dict[str, quota_refusals.Refusals] = attrs.field(factory=dict)
    """Refused requests that it has not refunded yet, by workspace."""
    complete: bool = False
    """Whether the total of a workspace that is not listed was 0 when the
    holder was last heard."""


class QuotaAccounts:
    """Buckets of workspaces and the totals charged to them."""

    def __init__(self, window_s: float, gap_s: float, now: float):
        """Starts uninformed, without workspaces.

        Args:
            window_s: sliding window in which use is limited, in seconds.
            gap_s: seconds without a report after which this keeper counts as
                uninformed.
            now: current time.
        """
        self._window_s = window_s
        self._gap_s = gap_s
        self._buckets = token_bucket.BucketSet()
        self._holders: dict[str, _Holder] = {}
        self._started_at = now
        self._informed_at = float("-inf")

    def configure(
        self, limits: Mapping[str, token_bucket.Limit], now: float
    ) -> None:
        """Sets the quotas in force; a new one starts with an empty bucket."""
        # The totals of a workspace that lost its quota are kept: it may get one
        # again, and its holders do not start again at 0.
        self._buckets.configure(limits, starts_full=False, now=now)

    def set_share(self, share: float, now: float) -> None:
        """Sets the share of the quotas to grant; see `rate_share`."""
        self._buckets.set_share(share, now)

    def note_alone(self, now: float) -> None:
        """Notes that no other instance exists that could inform this one."""
        self._informed_at = now

    def note_unheard(self, now: float) -> None:
        """Notes that no other instance is heard, so that none can inform.

        A keeper that was informed, or that has started anew, goes on.
        """
        if not self._is_uninformed(now):
            self._informed_at = now

    def admit(
        self,
        holder: str,
        incarnation: int,
        workspace: str,
        stated: Total,
        cost: int,
        now: float,
    ) -> float:
        """Charges a request if its quota is not used up.

        Args:
            holder: name of the instance that has the request.
            incarnation: its incarnation.
            workspace: name of the request's workspace.
            stated: the holder's total, this request included.
            cost: units of the request.
            now: current time.

        Returns 0 if it is admitted, or else the time in seconds until the
        bucket is above zero.
        """
        if self._is_uninformed(now):
            self._start_anew(now)
            self._informed_at = now
        bucket = self._buckets.find(workspace)
        if bucket is None:
            return 0.0
        record = self._record(holder, incarnation, now)
        refusals = record.refusals.setdefault(
            workspace, quota_refusals.Refusals()
        )
        # Not 0 if the request was refused before and is stated again.
        uncharged = refusals.take(stated.counted)
        # Charges what the holder counted before this request.
        before = attrs.evolve(stated, counted=stated.counted - cost)
        known = self._charge_excess(record, workspace, before, now)
        if stated.counted > known.counted:
            uncharged = stated.counted - known.counted
            record.totals[workspace] = attrs.evolve(
                known, counted=stated.counted
            )
        wait_s = bucket.wait_s(now)
        if wait_s <= 0:
            bucket.charge(uncharged, now)
        elif uncharged:
            refusals.add(stated.counted, uncharged, now)
        return wait_s

    def report(
        self,
        holder: str,
        incarnation: int,
        stated: Mapping[str, Total],
        now: float,
        informs: bool = True,
    ) -> None:
        """Charges the excess of a holder's totals over those charged before.

        Args:
            holder: name of the instance.
            incarnation: its incarnation.
            stated: the holder's totals, by workspace.
            now: current time.
            informs: False for the reports of this instance itself.
        """
        if self._is_uninformed(now):
            self._start_anew(now)
        if informs:
            self._informed_at = now
        record = self._record(holder, incarnation, now)
        for workspace, total in stated.items():
            if workspace in self._buckets:
                self._charge_excess(record, workspace, total, now)
        record.complete = True

    def adopt_debt(self, workspace: str, units: float, now: float) -> None:
        """Lowers a bucket to a debt of which another keeper knows.

        A keeper that was informed for a whole window knows better itself.

        Args:
            workspace: name of the workspace.
            units: units by which the other keeper's bucket is below zero.
            now: current time.
        """
        bucket = self._buckets.find(workspace)
        if bucket is None or now - self._started_at >= self._window_s:
            return
        excess = bucket.level(now) + min(units, bucket.limit.max_debt)
        if excess > 0:
            bucket.charge(excess, now)

    def wait_s(self, workspace: str, now: float) -> float:
        """Returns the seconds until a bucket is above zero; 0 if it is."""
        bucket = self._buckets.find(workspace)
        return 0.0 if bucket is None else bucket.wait_s(now)

    def rate(self, workspace: str) -> float:
        """Returns the units per second that are granted now."""
        return self._buckets.find(workspace).limit.rate

    def levels(self, now: float) -> dict[str, float]:
        """Returns the levels of all buckets, in units."""
        return {name: bucket.level(now) for name, bucket in self._buckets}

    def heard_since(self, since: float) -> set[str]:
        """Returns the holders that were heard since a time."""
        return {
            name
            for name, holder in self._holders.items()
            if holder.heard_at >= since
        }

    def forget_silent(self, known: set[str], now: float) -> None:
        """Forgets holders that have been silent for long and are not known.

        A holder that is forgotten and returns is charged its whole total, so
        that no units are given back twice.
        """
        for name, holder in tuple(self._holders.items()):
            silent_s = now - holder.heard_at
            if name not in known and silent_s > FORGET_SILENT_S:
                del self._holders[name]

    def _charge_excess(
        self, record: _Holder, workspace: str, stated: Total, now: float
    ) -> Total:
        """Charges what a holder has used; returns the total charged so far."""
        known = self._known_total(record, workspace, stated, now)
        counted = max(known.counted, stated.counted)
        refunded = max(known.refunded, stated.refunded)
        used = counted - known.counted
        used -= self._confirm(record, workspace, refunded - known.refunded, now)
        bucket = self._buckets.find(workspace)
        if used > 0:
            bucket.charge_used(used, now)
        else:
            bucket.charge(used, now)
        charged = record.totals[workspace] = Total(counted, refunded)
        return charged

    def _confirm(
        self, record: _Holder, workspace: str, refunded: int, now: float
    ) -> int:
        """Returns the units to give back of those that a holder refunded.

        Negative if refused requests were not refunded in time.
        """
        refusals = record.refusals.get(workspace)
        if refusals is None:
            return refunded
        left = refusals.confirm(refunded)
        return left - refusals.take_expired(now)

    def _record(self, holder: str, incarnation: int, now: float) -> _Holder:
        """Returns what was charged to a holder's incarnation."""
        record = self._holders.get(holder)
        if record is None:
            record = self._holders[holder] = _Holder(incarnation, now)
        elif record.incarnation != incarnation:
            # Its totals start at 0 again.
            record = _Holder(incarnation, now, complete=True)
            self._holders[holder] = record
        record.heard_at = now
        return record

    def _known_total(
        self, record: _Holder, workspace: str, stated: Total, now: float
    ) -> Total:
        """Returns the total up to which a holder's use has been charged.

        Of a total heard first, within a window of the start, use before it is
        covered by the empty buckets. Later all of it is new.
        """
        known = record.totals.get(workspace)
        if known is not None:
            return known
        if record.complete or now - self._started_at >= self._window_s:
            return Total()
        return stated

    def _is_uninformed(self, now: float) -> bool:
        return now - self._informed_at > self._gap_s

    def _start_anew(self, now: float) -> None:
        self._started_at = now
        self._holders.clear()
        for _, bucket in self._buckets:
            bucket.drain(now)
