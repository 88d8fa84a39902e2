"""Applies the limits of a configuration that comes into force."""

from seam_model import config
from seam_node import rules
from seam_policy import limits
from seam_policy import retry


def apply(
    cfg: config.FleetConfig,
    lookup: rules.Rules,
    limiter: limits.WorkspaceLimiter,
    budget: retry.RetryBudget,
) -> None:
    """Sets the limits of all workspaces and the share of retries."""
    names = {rule.scope.workspace for rule in cfg.exceptions} - {""}
    own = config.resolve(cfg, lookup.scope(""))
    limiter.configure(
        _limits(own.workspace),
        {
            name: _limits(config.resolve(cfg, lookup.scope(name)).workspace)
            for name in names
        },
    )
    budget.configure(own.retry.budget_ratio)


def _limits(rule: config.WorkspaceLimits) -> limits.WorkspaceLimits:
    return limits.WorkspaceLimits(
        rule.rate_per_s, float(rule.burst), rule.concurrency
    )
