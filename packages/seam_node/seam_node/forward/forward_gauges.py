"""Metrics gauges of a forwarding instance."""

from collections.abc import Callable

import attrs

from seam_node import metrics


@attrs.frozen
class GaugeSources:
    """Functions that return the current values of the gauges."""

    routes_version: Callable[[], float]
    routes_unreadable: Callable[[], float]
    """1 while the store has a configuration that could not be decoded."""
    store_age_s: Callable[[], float]
    live_peers: Callable[[], float]
    queued_requests: Callable[[], float]
    """Requests queued for decode capacity."""
    connections_opened: Callable[[], float]
    """Connections to endpoints opened since the start."""
    store_era: Callable[[], float]
    """How often the store came back from a copy."""
    quarantined_prompts: Callable[[], float]
    """Combinations of prompt parts that are kept from engines."""
    endpoints_leaving: Callable[[], float]
    """Announced endpoints that said in an answer that they leave."""
    leaving_heard: Callable[[], float]
    """Endpoints that said so since the start."""
    endpoints_pausing: Callable[[], float]
    """Endpoints that want nothing from this instance now."""
    pauses_heard: Callable[[], float]
    """Pauses that endpoints asked for since the start."""
    held_bytes: Callable[[], float]
    """Bytes of callers' bodies that are held now."""
    refused_for_memory: Callable[[], float]
    """Requests refused for want of memory since the start."""
    answers_skipped: Callable[[], float]
    """Answers of endpoints that belonged to no call since the start."""
    routes_proof_age_s: Callable[[], float]
    """Age of the proof that the configuration is recent; infinite if none."""
    keys_missing: Callable[[], float]
    """Requests refused for want of a key since the start."""
    keys_unknown: Callable[[], float]
    """Requests refused for an unknown key since the start."""
    keys_unproved: Callable[[], float]
    """Requests refused since the start, as keys may be out of date."""
    caller_connections: Callable[[], float]
    """Callers' open connections."""
    service_calls_waiting: Callable[[], float]
    """Plain calls of all instances that wait for room at an endpoint."""
    service_calls_in_flight: Callable[[], float]
    """Plain calls of all instances that were granted an endpoint here."""
    service_calls_granted: Callable[[], float]
    """Plain calls that were granted an endpoint here since the start."""
    service_calls_refused: Callable[[], float]
    """Plain calls that were refused here since the start."""
    service_asks_unanswered: Callable[[], float]
    """Plain calls whose endpoint this instance chose as no placer answered."""


def register(meter: metrics.Metrics, sources: GaugeSources) -> None:
    """Registers the gauges."""
    for name, text, value in (
        (
            "seam_routes_version",
            "Version of the configuration in force; 0 if none.",
            sources.routes_version,
        ),
        (
            "seam_routes_unreadable",
            "1 while the newest configuration is unreadable and passed over.",
            sources.routes_unreadable,
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
            sources.queued_requests,
        ),
        (
            "seam_endpoint_connections_opened",
            "Connections to endpoints opened since the start.",
            sources.connections_opened,
        ),
        (
            "seam_store_era",
            "Latest era of the store; a rise means a restore from a copy.",
            sources.store_era,
        ),
        (
            "seam_quarantined_prompts",
            "Combinations of prompt parts that are kept from engines.",
            sources.quarantined_prompts,
        ),
        (
            "seam_endpoints_leaving",
            "Announced endpoints that said in an answer that they leave.",
            sources.endpoints_leaving,
        ),
        (
            "seam_endpoints_leaving_heard",
            "Endpoints that said that they leave, since the start.",
            sources.leaving_heard,
        ),
        (
            "seam_endpoints_pausing",
            "Endpoints that want nothing from this instance now.",
            sources.endpoints_pausing,
        ),
        (
            "seam_endpoint_pauses_heard",
            "Pauses that endpoints asked for, since the start.",
            sources.pauses_heard,
        ),
        (
            "seam_caller_bytes_held",
            "Bytes of callers' bodies that are held now.",
            sources.held_bytes,
        ),
        (
            "seam_requests_refused_for_memory",
            "Requests refused for want of memory, since the start.",
            sources.refused_for_memory,
        ),
        (
            "seam_answers_skipped",
            "Answers of endpoints that belonged to no call, since the start.",
            sources.answers_skipped,
        ),
        (
            "seam_routes_proof_age_seconds",
            "Time since which a newer configuration may exist; +Inf if never.",
            sources.routes_proof_age_s,
        ),
        (
            "seam_keys_refused_missing",
            "Requests refused for want of a key, since the start.",
            sources.keys_missing,
        ),
        (
            "seam_keys_refused_unknown",
            "Requests refused for an unknown key, since the start.",
            sources.keys_unknown,
        ),
        (
            "seam_keys_refused_unproved",
            "Requests refused as keys may be out of date, since the start.",
            sources.keys_unproved,
        ),
        (
            "seam_caller_connections",
            "Callers' open connections.",
            sources.caller_connections,
        ),
        (
            "seam_service_calls_waiting",
            "Plain calls that wait at this placer for room at an endpoint.",
            sources.service_calls_waiting,
        ),
        (
            "seam_service_calls_in_flight",
            "Plain calls that this placer granted and that have not ended.",
            sources.service_calls_in_flight,
        ),
        (
            "seam_service_calls_granted",
            "Plain calls that this placer granted, since the start.",
            sources.service_calls_granted,
        ),
        (
            "seam_service_calls_refused",
            "Plain calls that this placer refused, since the start.",
            sources.service_calls_refused,
        ),
        (
            "seam_service_asks_unanswered",
            "Plain calls for which no placer answered, since the start.",
            sources.service_asks_unanswered,
        ),
    ):
        meter.gauge(name, text, value)
