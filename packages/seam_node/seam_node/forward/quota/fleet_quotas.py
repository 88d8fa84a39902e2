"""The parts of an instance that keep quotas across the fleet."""

import asyncio
from collections.abc import Callable

from seam_model import forward_settings
from seam_model import forwarding
from seam_node import logs
from seam_node.forward.fleet import coordinators
from seam_node.forward.fleet import fleet_links
from seam_node.forward.fleet import messages
from seam_node.forward.quota import gate
from seam_node.forward.quota import keeper
from seam_node.forward.quota import view

INTERVAL_S = 0.5
"""Interval of notices, and of this instance's reports to its own keeper."""
CHECK_INTERVAL_S = 0.1
"""Least time between two checks for quotas that are used up."""
KEEPER_COUNT = 3
"""Instances whose keepers get all reports. It is one more than there are
coordinators, so that one that knows the debts is left if both are lost."""
IDLE_INTERVALS = 8
"""Intervals between two reports to a keeper without new use."""
MAX_NOTICES_PER_S = 200.0
"""Most notices that the first coordinator sends; their interval grows with the
fleet beyond that."""


class FleetQuotas:
    """The keeper and the gate of this instance, and its notices to others."""

    def __init__(
        self,
        entry: forwarding.InstanceEntry,
        settings: forward_settings.QuotaSettings,
        links: fleet_links.FleetLinks,
        fleet: view.QuotaView,
        now: Callable[[], float],
        log: logs.Log,
    ):
        """Creates the parts.

        Args:
            entry: this instance.
            settings: limits that the quotas have to keep.
            links: the other instances.
            fleet: the instances that are known and heard.
            now: the clock.
            log: the log.
        """
        self._entry = entry
        self._links = links
        self._now = now
        self.keeper = keeper.QuotaKeeper(entry, settings, fleet, now, log)
        self.gate = gate.QuotaGate(settings, fleet.share, fleet.seen, now, log)
        fleet.connect(self.keeper.accounts.heard_since)
        self._fleet = fleet
        self._checked_at = self._noticed_at = float("-inf")
        self._reported: tuple[messages.UsageRow, ...] = ()
        self._skipped = 0
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts notices."""
        self._task = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Stops notices."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def configure(self, table: forwarding.RouteTable) -> None:
        """Applies the quotas of a configuration."""
        workspaces = table.workspaces or ()
        self.keeper.configure(workspaces)
        self.gate.configure(workspaces)

    def take_usage(self) -> tuple[messages.UsageRow, ...]:
        """Returns the counters for a report; charges them to the own keeper.

        The count of unreported units starts at 0 again.
        """
        usage = self.gate.usage()
        self.gate.note_reported()
        self.keeper.on_report(self._entry.name, self._entry.incarnation, usage)
        return usage

    def levels(self) -> dict[str, float]:
        """Returns the units left by workspace, if this instance knows them.

        Only the first coordinator does.
        """
        if not self._links.is_first():
            return {}
        return self.keeper.accounts.levels(self._now())

    def on_report(self, report: messages.StreamReport) -> None:
        """Charges what another instance has counted."""
        self.keeper.on_report(report.holder, report.incarnation, report.usage)
        self._notify()

    def on_usage(self, report: messages.UsageReport) -> None:
        """Charges what another instance has counted."""
        self.keeper.on_report(report.holder, report.incarnation, report.usage)

    def on_debts(self, debts: messages.KeeperDebts) -> None:
        """Takes over debts of which another keeper knows."""
        self.keeper.on_debts(debts.rows)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(INTERVAL_S)
            self.keeper.forget_silent()
            self._notify()
            if self.keeper.has_quotas:
                self._inform_keepers()

    def _inform_keepers(self) -> None:
        """Reports to keepers beside the coordinators; tells debts to all."""
        keepers = self._links.first(KEEPER_COUNT)
        debts = self.keeper.debts()
        if debts and any(each.name == self._entry.name for each in keepers):
            self._tell(keepers, messages.KeeperDebts(debts))
        usage = self.gate.usage()
        self._skipped += 1
        if usage == self._reported and self._skipped < IDLE_INTERVALS:
            return
        self._skipped, self._reported = 0, usage
        report = messages.UsageReport(
            self._entry.name, self._entry.incarnation, usage
        )
        # The coordinators get the use with the reports of streams.
        self._tell(keepers[coordinators.COUNT :], report)

    def _tell(
        self,
        keepers: list[forwarding.InstanceEntry],
        message: messages.Message,
    ) -> None:
        for entry in keepers:
            if entry.name != self._entry.name:
                self._links.send(message, entry)

    def _notify(self) -> None:
        """Tells all instances which quotas are used up, at an interval."""
        now = self._now()
        if now - self._checked_at < CHECK_INTERVAL_S:
            return
        self._checked_at = now
        interval_s = max(INTERVAL_S, self._fleet.seen() / MAX_NOTICES_PER_S)
        if now - self._noticed_at < interval_s - CHECK_INTERVAL_S:
            return
        rows = self.keeper.spent()
        if not rows or not self._links.is_first():
            return
        self.keeper.log_spent(rows)
        self._noticed_at = now
        notice = messages.QuotaNotice(rows)
        self.gate.on_notice(notice)
        self._links.tell_others(notice)
