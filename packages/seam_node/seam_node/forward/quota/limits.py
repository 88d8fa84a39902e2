"""Derives the limits of buckets from the quotas of a configuration."""

from collections.abc import Iterable

from seam_model import forward_settings
from seam_model import workspace_config
from seam_policy import token_bucket

MIN_BURST_SHARE = 0.25
"""Least burst, as a share of the overage of one window. A bucket without a
burst would admit one request at a time and lose what refills meanwhile."""
ADMITTED_SLACK_SHARE = 0.4
"""Share of the slack that may be used at once on top of the burst, so that a
few large requests of a workspace with a small quota are not refused."""
KEPT_SLACK_S = 0.24
"""Seconds of the quota's rate by which that part of the slack is reduced. Use
beyond the quota after lost keepers and partitions grows with the rate, and
takes from the same slack."""
MIN_BURST_S = 0.01
"""Least burst, as the seconds in which it refills."""


def limits(
    workspaces: Iterable[workspace_config.Workspace],
    settings: forward_settings.QuotaSettings,
) -> dict[str, token_bucket.Limit]:
    """Returns the limit of each workspace that has a quota, by name."""
    return {
        each.name: _limit(each.quota, settings)
        for each in workspaces
        if each.quota is not None
    }


def _limit(
    quota: workspace_config.Quota, settings: forward_settings.QuotaSettings
) -> token_bucket.Limit:
    overage = settings.overage * quota.rate * settings.window_s
    burst = max(
        quota.burst + _admitted_slack(quota, settings),
        MIN_BURST_SHARE * overage,
        MIN_BURST_S * quota.rate,
    )
    max_debt = max(burst, allowed_excess(quota, settings))
    return token_bucket.Limit(quota.rate, burst, max_debt)


def _admitted_slack(
    quota: workspace_config.Quota, settings: forward_settings.QuotaSettings
) -> float:
    if not quota.in_tokens:
        return 0.0
    admitted = ADMITTED_SLACK_SHARE * settings.slack
    return max(0.0, admitted - KEPT_SLACK_S * quota.rate)


def allowed_excess(
    quota: workspace_config.Quota, settings: forward_settings.QuotaSettings
) -> float:
    """Returns the units by which use in a window may exceed a quota.

    The slack is in tokens, so it does not apply to quotas of requests.
    """
    in_window = quota.rate * settings.window_s + quota.burst
    slack = settings.slack if quota.in_tokens else 0.0
    return settings.overage * in_window + slack


def report_threshold(
    quota: workspace_config.Quota,
    settings: forward_settings.QuotaSettings,
    live: int,
) -> float:
    """Returns the unreported units of plain calls that cause an early report.

    The unreported units of all live instances stay within half of the slack, or
    of the allowed excess if there is no slack.

    Args:
        quota: quota of the workspace.
        settings: limits that the quotas have to keep.
        live: number of live instances, this one included.
    """
    slack = settings.slack if quota.in_tokens else 0.0
    return (slack or allowed_excess(quota, settings)) / (2 * live)
