"""Reads the events that instances log."""

from collections.abc import Iterable
import json
import re

import attrs

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


@attrs.frozen
class LogLine:
    """One event logged by one instance."""

    at: float
    """Unix time in seconds, by the instance's clock."""
    event: str
    instance: str
    fields: dict[str, str]


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


def parse_all(lines: Iterable[str]) -> list[LogLine]:
    """Returns the events in lines of text."""
    return [line for line in map(parse, lines) if line is not None]


def _plain(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except json.JSONDecodeError:
        return value
