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
                "Version of the active configuration.",
                snapshot.config_version,
            ),
            (
                "ready",
                "1 while new requests are accepted.",
                int(not snapshot.not_ready),
            ),
            (
                "mirror_warming",
                "1 while the mirror cannot vote on runs yet.",
                int(snapshot.warming),
            ),
            (
                "live_peers",
                "Other instances that respond.",
                snapshot.live_peers,
            ),
            (
                "config_silent_seconds",
                "Seconds since the platform or a peer last reported a version.",
                snapshot.config_silent_s,
            ),
            (
                "leases_held",
                "Leases held by this instance.",
                len(snapshot.leases),
            ),
            (
                "owned_engines",
                "Engines whose slot ledger this instance keeps.",
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
                "Admitted calls to plain services in progress.",
                sum(ledger.granted for ledger in snapshot.services),
            ),
            (
                "unstored_claims",
                "Claim outcomes and releases not yet stored.",
                snapshot.unstored_claims,
            ),
        ):
            yield core.GaugeMetricFamily(f"seam_{name}", help_text, value)
        yield _queue_gauge(
            "queue_length",
            "Requests waiting for a decode slot, over owned engines.",
            ledgers,
        )
        yield _queue_gauge(
            "calls_waiting",
            "Calls to plain services waiting for admission.",
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
        "seam_state", "1 for the current drain phase.", labels=("state",)
    )
    for name in STATES:
        family.add_metric((name,), float(name == state))
    return family
