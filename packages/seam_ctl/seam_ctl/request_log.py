"""Collects the log lines of one request, with related events around them."""

from collections.abc import Iterable
from collections.abc import Iterator
import json
import re

import attrs

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
_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_ENDPOINT_EVENTS = frozenset({"endpoint_changed", "stage_ordered"})


@attrs.frozen
class LogLine:
    """One event logged by one instance."""

    at: float
    """Unix time in seconds, by the instance's clock."""
    event: str
    instance: str
    fields: dict[str, str]


@attrs.frozen
class RequestLog:
    """The log lines that concern a request, in time order."""

    request: str
    lines: tuple[LogLine, ...]


def parse(text: str) -> LogLine | None:
    """Returns the event in a line of text; None if there is none."""
    start = text.find("at=")
    if start < 0:
        return None
    fields = {
        name: _plain(value) for name, value in _PAIR.findall(text[start:])
    }
    try:
        at = float(fields.pop("at"))
        event = fields.pop("event")
    except (KeyError, ValueError):
        return None
    return LogLine(at, event, fields.pop("instance", ""), fields)


def collect(request: str, lines: Iterable[str]) -> RequestLog:
    """Returns all events of a request and the related events around them."""
    events = [line for line in map(parse, lines) if line is not None]
    own = [line for line in events if line.fields.get("request") == request]
    if not own:
        return RequestLog(request, ())
    context = _context(own, events)
    ordered = sorted([*own, *context], key=lambda line: line.at)
    return RequestLog(request, tuple(ordered))


def _context(own: list[LogLine], events: list[LogLine]) -> Iterator[LogLine]:
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


def _plain(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except json.JSONDecodeError:
        return value
