"""Collects the log lines of one request, with related events around them."""

from collections.abc import Iterable
from collections.abc import Iterator

import attrs

from seam_ctl import distrust_log
from seam_ctl import log_lines

CONTEXT_BEFORE_S = 5.0
"""Time before a request's first line from which other events are shown."""
CONTEXT_EVENTS = frozenset(
    {
        "coordinator_changed",
        "coordinator_suspected",
        "endpoint_changed",
        "instance_leaving",
        "instance_started",
        "instance_stopped",
        "instance_thawed",
        "peer_lost",
        "routes_in_force",
        "source_changed",
        "stage_ordered",
        "store_lost",
        "store_regained",
        "streams_lapsed",
    }
)
"""Events that changed an instance's view of the fleet or its own state."""
_ENDPOINT_EVENTS = frozenset({"endpoint_changed", "stage_ordered"})


@attrs.frozen
class RequestLog:
    """The log lines that concern a request, in time order."""

    request: str
    lines: tuple[log_lines.LogLine, ...]


def collect(request: str, lines: Iterable[str]) -> RequestLog:
    """Returns all events of a request and the related events around them.

    Among them are those that tell which endpoints its instances left alone.
    """
    events = log_lines.parse_all(lines)
    own = [line for line in events if line.fields.get("request") == request]
    if not own:
        return RequestLog(request, ())
    context = [*_context(own, events), *_left_alone(own, events)]
    ordered = sorted([*own, *context], key=lambda line: line.at)
    return RequestLog(request, tuple(ordered))


def _context(
    own: list[log_lines.LogLine], events: list[log_lines.LogLine]
) -> Iterator[log_lines.LogLine]:
    """Yields `CONTEXT_EVENTS` of the instances that handled the request.

    Events of endpoints are included only for the request's endpoints.
    """
    instances = {line.instance for line in own}
    endpoints = {
        line.fields["endpoint"].partition("/")[0]
        for line in own
        if line.fields.get("endpoint")
    }
    first = min(line.at for line in own) - CONTEXT_BEFORE_S
    last = max(line.at for line in own)
    for line in events:
        if line.event not in CONTEXT_EVENTS or line.instance not in instances:
            continue
        if not first <= line.at <= last:
            continue
        endpoint = line.fields.get("endpoint", "").partition("/")[0]
        if line.event in _ENDPOINT_EVENTS and endpoint not in endpoints:
            continue
        yield line


def _left_alone(
    own: list[log_lines.LogLine], events: list[log_lines.LogLine]
) -> Iterator[log_lines.LogLine]:
    """Yields why endpoints were left alone when the request ended."""
    instances = {line.instance for line in own}
    ended_at = max(line.at for line in own)
    for belief in distrust_log.beliefs(events, ended_at):
        if belief.instance in instances:
            yield belief.line
