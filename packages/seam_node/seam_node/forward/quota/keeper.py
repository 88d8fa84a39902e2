"""Admits model requests within quotas and charges what instances report.

Each instance has a keeper. The keeper of the first coordinator decides for the
fleet. The second coordinator's gets the same reports and can take over. Any
other one decides only if no coordinator answers its instance. See
`seam_policy.quota` for the accounts.
"""

from collections.abc import Callable
from collections.abc import Iterable

from seam_model import forward_settings
from seam_model import forwarding
from seam_model import workspace_config
from seam_node import logs
from seam_node.forward.fleet import messages
from seam_node.forward.quota import limits
from seam_node.forward.quota import view
from seam_policy import quota
from seam_policy import quota_returns

LOG_INTERVAL_S = 5.0
"""Shortest time between two log lines on the spent quota of one workspace."""
MIN_NOTICE_S = 0.02
"""Shortest time until a bucket is above zero for which a notice is sent."""
MAX_DEBT_ROWS = 256
"""Debts in a message, so that it fits into a datagram."""
REPORT_GAP_S = 4.5
"""Time without a report after which a keeper counts as uninformed. Instances
without requests report every 4 s."""


class QuotaKeeper:
    """Admits model requests and collects the reports of all instances."""

    def __init__(
        self,
        entry: forwarding.InstanceEntry,
        settings: forward_settings.QuotaSettings,
        fleet: view.QuotaView,
        now: Callable[[], float],
        log: logs.Log,
    ):
        """Creates a keeper without workspaces.

        Args:
            entry: this instance.
            settings: limits that the quotas have to keep.
            fleet: the instances that are known and heard.
            now: the clock.
            log: where spent quotas are logged.
        """
        self._entry = entry
        self._settings = settings
        self._fleet = fleet
        self._now = now
        self._log = log
        self.accounts = quota.QuotaAccounts(
            settings.window_s, REPORT_GAP_S, now()
        )
        self._returns = quota_returns.QuotaReturns()
        self._names: tuple[str, ...] = ()
        self._logged_at: dict[str, float] = {}

    def configure(
        self, workspaces: Iterable[workspace_config.Workspace]
    ) -> None:
        """Sets the quotas in force."""
        in_force = limits.limits(workspaces, self._settings)
        self.accounts.configure(in_force, self._now())
        self._returns.retain(set(in_force))
        self._names = tuple(in_force)
        for name in set(self._logged_at) - set(in_force):
            del self._logged_at[name]

    def refusal(self, ask: messages.PlaceAsk) -> messages.PlaceAnswer | None:
        """Charges a request; returns its refusal if its quota is used up.

        A request without a quota, or that was charged before, costs 0.
        """
        if not ask.quota_cost or not self._names:
            return None
        now = self._now()
        self._refresh(now)
        wait_s = self.accounts.admit(
            ask.holder,
            ask.incarnation,
            ask.workspace,
            quota.Total(ask.quota_counted, ask.quota_refunded),
            ask.quota_cost,
            now,
        )
        if wait_s <= 0:
            return None
        self._note_spent(ask.workspace, wait_s, now)
        return messages.PlaceAnswer(
            self._entry.name,
            ask.number,
            messages.PlaceState.OVER_QUOTA,
            retry_after_s=self._returns.assign(
                ask.workspace,
                wait_s,
                ask.quota_cost / self.accounts.rate(ask.workspace),
                _remaining_s(ask),
                now,
            ),
        )

    def on_report(
        self,
        holder: str,
        incarnation: int,
        usage: tuple[messages.UsageRow, ...],
    ) -> None:
        """Charges what an instance has counted since it was charged."""
        if not self._names:
            return
        now = self._now()
        self._refresh(now)
        self.accounts.report(
            holder,
            incarnation,
            {
                row.workspace: quota.Total(row.counted, row.refunded)
                for row in usage
            },
            now,
            informs=holder != self._entry.name,
        )

    def spent(self) -> tuple[messages.SpentRow, ...]:
        """Returns the workspaces whose quota is used up now."""
        now = self._now()
        self._refresh(now)
        rows = []
        for name in self._names:
            wait_s = self.accounts.wait_s(name, now)
            if wait_s > MIN_NOTICE_S:
                rows.append(messages.SpentRow(name, wait_s))
        return tuple(rows)

    def debts(self) -> tuple[messages.DebtRow, ...]:
        """Returns the largest debts of workspaces."""
        now = self._now()
        self._refresh(now)
        rows = [
            messages.DebtRow(name, -level)
            for name, level in self.accounts.levels(now).items()
            if -level > MIN_NOTICE_S * self.accounts.rate(name)
        ]
        rows.sort(key=lambda row: row.units, reverse=True)
        return tuple(rows[:MAX_DEBT_ROWS])

    def on_debts(self, rows: tuple[messages.DebtRow, ...]) -> None:
        """Takes over debts of which another keeper knows."""
        now = self._now()
        self._refresh(now)
        for row in rows:
            self.accounts.adopt_debt(row.workspace, row.units, now)

    @property
    def has_quotas(self) -> bool:
        """Whether any workspace has a quota."""
        return bool(self._names)

    def log_spent(self, rows: tuple[messages.SpentRow, ...]) -> None:
        """Logs the quotas that are used up, each at an interval."""
        for row in rows:
            self._note_spent(row.workspace, row.wait_s, self._now())

    def forget_silent(self) -> None:
        """Forgets instances that have ended."""
        self.accounts.forget_silent(self._fleet.known(), self._now())

    def _refresh(self, now: float) -> None:
        if len(self._fleet.known()) == 1:
            self.accounts.note_alone(now)
        elif self._fleet.seen() == 1:
            self.accounts.note_unheard(now)
        self.accounts.set_share(self._fleet.share(), now)

    def _note_spent(self, name: str, wait_s: float, now: float) -> None:
        if now - self._logged_at.get(name, float("-inf")) < LOG_INTERVAL_S:
            return
        self._logged_at[name] = now
        self._log.event(
            "quota_spent",
            "warning",
            workspace=name,
            wait_s=round(wait_s, 3),
            share=round(self._fleet.share(), 4),
        )


def _remaining_s(ask: messages.PlaceAsk) -> float:
    allowed_s = ask.timeout_s
    if ask.deadline_s >= 0:
        allowed_s = min(allowed_s, ask.deadline_s)
    return max(0.0, allowed_s - ask.age_s)
