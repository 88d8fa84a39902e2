"""Gauges that are read from an instance's status when they are asked for."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

from prometheus_client import core
from prometheus_client import registry

from seam_model import admin

STATES = ("serving", "announced", "refusing", "ended")


class StatusCollector(registry.Collector):
    """Shows the status as gauges; labels are ranks and states only."""

    def __init__(self, status: Callable[[], admin.InstanceStatus]):
        """Takes where the status comes from."""
        self._status = status

    def describe(self) -> list[Any]:
        """Returns nothing, so that registering does not read the status."""
        return []

    def collect(self) -> Iterator[core.GaugeMetricFamily]:
        """Yields the gauges of this moment."""
        now = self._status()
        books = now.ledgers
        for name, text, value in (
            ("in_progress", "Requests in progress.", now.in_progress),
            ("config_version", "Version in force.", now.config_version),
            ("ready", "1 when new work is taken.", int(not now.not_ready)),
            (
                "mirror_warming",
                "1 while the mirror may not vote on runs yet.",
                int(now.warming),
            ),
            ("live_peers", "Other instances that answer.", now.live_peers),
            (
                "config_silent_seconds",
                "Time since the platform or a peer was heard.",
                now.config_silent_s,
            ),
            ("leases_held", "Leases held here.", len(now.leases)),
            ("owned_engines", "Engines with a ledger here.", len(books)),
            (
                "slots_granted",
                "Decode slots granted, over owned engines.",
                sum(book.granted for book in books),
            ),
            (
                "slots_usable",
                "Decode slots that may be granted, over owned engines.",
                sum(book.usable for book in books),
            ),
            (
                "calls_admitted",
                "Calls of plain services that were let in.",
                sum(book.granted for book in now.services),
            ),
            (
                "unstored_claims",
                "Outcomes of orders not stored yet.",
                now.unstored_claims,
            ),
        ):
            yield core.GaugeMetricFamily(f"seam_{name}", text, value)
        yield _queues(
            "queue_length",
            "Requests that wait for a decode slot, over owned engines.",
            books,
        )
        yield _queues(
            "calls_waiting",
            "Calls of plain services that wait to be let in.",
            now.services,
        )
        yield _state(now.state)


def _queues(
    name: str, text: str, books: tuple[admin.LedgerStatus, ...]
) -> core.GaugeMetricFamily:
    family = core.GaugeMetricFamily(f"seam_{name}", text, labels=("rank",))
    family.add_metric(("urgent",), sum(book.waiting_urgent for book in books))
    family.add_metric(("other",), sum(book.waiting_other for book in books))
    return family


def _state(state: str) -> core.GaugeMetricFamily:
    family = core.GaugeMetricFamily(
        "seam_state", "1 for the phase of leaving.", labels=("state",)
    )
    for name in STATES:
        family.add_metric((name,), float(name == state))
    return family
