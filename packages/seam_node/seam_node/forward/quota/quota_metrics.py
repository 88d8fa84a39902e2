"""Metrics of quotas, read at each scrape."""

from collections.abc import Iterator

from prometheus_client import core
from prometheus_client import registry

from seam_node.forward.quota import fleet_quotas
from seam_node.forward.quota import gate

MAX_LABELS = 64
"""Workspaces with a label of their own; all others are added up."""
OTHERS = "others"
"""Label of all other workspaces."""


class QuotaCollector(registry.Collector):
    """Use and refusals by workspace, as counted by this instance."""

    def __init__(self, quotas: fleet_quotas.FleetQuotas):
        """Takes the quotas to describe."""
        self._quotas = quotas

    def collect(self) -> Iterator[core.Metric]:
        """Returns the current values."""
        counted = core.CounterMetricFamily(
            "seam_quota_counted_units",
            "Units of requests counted against quotas here.",
            labels=["workspace"],
        )
        refunded = core.CounterMetricFamily(
            "seam_quota_refunded_units",
            "Units of those that have not run and never will.",
            labels=["workspace"],
        )
        refused = core.CounterMetricFamily(
            "seam_quota_refused_requests",
            "Requests refused here as their quota was used up.",
            labels=["workspace"],
        )
        for name, use in self._totals().items():
            counted.add_metric([name], use.counted)
            refunded.add_metric([name], use.refunded)
            refused.add_metric([name], use.refused)
        yield from (counted, refunded, refused, self._levels())

    def _totals(self) -> dict[str, gate.Use]:
        """Returns the totals by label.

        The workspaces that were used first have a label of their own, so that
        a label never changes its meaning.
        """
        totals = list(self._quotas.gate.totals().items())
        by_label = dict(totals[:MAX_LABELS])
        others = [use for _, use in totals[MAX_LABELS:]]
        if others:
            same_name = by_label.get(OTHERS, gate.Use(0, 0, 0))
            by_label[OTHERS] = sum(others, same_name)
        return by_label

    def _levels(self) -> core.GaugeMetricFamily:
        levels = core.GaugeMetricFamily(
            "seam_quota_left_units",
            "Units left of the fleet's quota; at the first coordinator only.",
            labels=["workspace"],
        )
        left = self._quotas.levels().items()
        for name, level in list(left)[:MAX_LABELS]:
            levels.add_metric([name], level)
        return levels
