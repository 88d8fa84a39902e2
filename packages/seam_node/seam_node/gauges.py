"""Collects gauges from an instance's status at each scrape."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

from prometheus_client import core
from prometheus_client import registry

from seam_model import admin

STATES = ("serving", "announced", "refusing", "ended")


class StatusCollector(registry.Collector):
    """Exports the status as gauges; labels are ranks and states only."""

    def __init__(self, status: Callable[[], admin.InstanceStatus]):
        """Takes the function that returns the current status."""
        self._status = status

    def describe(self) -> list[Any]:
        """Returns nothing, so that registration does not read the status."""
        return []

    def collect(self) -> Iterator[core.GaugeMetricFamily]:
        """Yields the current value of each gauge."""
        snapshot = self._status()
        ledgers = snapshot.ledgers
        for name, help_text, value in (
            ("in_progress", "Requests in progress.", snapshot.in_progress),
            (
                "config_version",
                "Version in force.",
                snapshot.config_version,
            ),
            (
                "ready",
                "1 when new work is taken.",
                int(not snapshot.not_ready),
            ),
            (
                "mirror_warming",
                "1 while the mirror may not vote on runs yet.",
                int(snapshot.warming),
            ),
            (
                "live_peers",
                "Other instances that answer.",
                snapshot.live_peers,
            ),
            (
                "config_silent_seconds",
                "Time since the platform or a peer was heard.",
                snapshot.config_silent_s,
            ),
            (
                "leases_held",
                "Leases held here.",
                len(snapshot.leases),
            ),
            (
                "owned_engines",
                "Engines with a ledger here.",
                len(ledgers),
            ),
            (
                "slots_granted",
                "Decode slots granted, over owned engines.",
                sum(ledger.granted for ledger in ledgers),
            ),
            (
                "slots_usable",
                "Decode slots that may be granted, over owned engines.",
                sum(ledger.usable for ledger in ledgers),
            ),
            (
                "calls_admitted",
                "Calls of plain services that were let in.",
                sum(ledger.granted for ledger in snapshot.services),
            ),
            (
                "unstored_claims",
                "Outcomes of orders not stored yet.",
                snapshot.unstored_claims,
            ),
        ):
            yield core.GaugeMetricFamily(f"seam_{name}", help_text, value)
        yield _queue_gauge(
            "queue_length",
            "Requests that wait for a decode slot, over owned engines.",
            ledgers,
        )
        yield _queue_gauge(
            "calls_waiting",
            "Calls of plain services that wait to be let in.",
            snapshot.services,
        )
        yield _state_gauge(snapshot.state)


def _queue_gauge(
    name: str, help_text: str, ledgers: tuple[admin.LedgerStatus, ...]
) -> core.GaugeMetricFamily:
    family = core.GaugeMetricFamily(f"seam_{name}", help_text, labels=("rank",))
    family.add_metric(
        ("urgent",), sum(ledger.waiting_urgent for ledger in ledgers)
    )
    family.add_metric(
        ("other",), sum(ledger.waiting_other for ledger in ledgers)
    )
    return family


def _state_gauge(state: str) -> core.GaugeMetricFamily:
    family = core.GaugeMetricFamily(
        "seam_state", "1 for the phase of leaving.", labels=("state",)
    )
    for name in STATES:
        family.add_metric((name,), float(name == state))
    return family
