"""Gauges of a forwarding instance."""

from collections.abc import Callable

import attrs

from seam_node import metrics


@attrs.frozen
class Sources:
    """Where the gauges' values come from when they are asked for."""

    routes_version: Callable[[], float]
    store_age_s: Callable[[], float]
    live_peers: Callable[[], float]
    waiting: Callable[[], float]
    """Requests that wait for a decode place."""
    opened: Callable[[], float]
    """Connections to endpoints opened since the start."""


def show(meter: metrics.Metrics, sources: Sources) -> None:
    """Adds the gauges to what the metrics address shows."""
    for name, text, value in (
        (
            "seam_routes_version",
            "Version of the configuration in force; 0 if none.",
            sources.routes_version,
        ),
        (
            "seam_store_age_seconds",
            "Time since the store last told of endpoints.",
            sources.store_age_s,
        ),
        (
            "seam_live_peers",
            "Other instances that were heard lately.",
            sources.live_peers,
        ),
        (
            "seam_decode_waiting",
            "Requests that wait for a decode place.",
            sources.waiting,
        ),
        (
            "seam_endpoint_connections_opened",
            "Connections to endpoints opened since the start.",
            sources.opened,
        ),
    ):
        meter.gauge(name, text, value)
