"""Writes structured logs, one line of key=value pairs per event."""

import json
import re
import traceback
from typing import Any
from typing import TextIO

import eliot

from seam_model import errors

_UNQUOTED_VALUE = re.compile(r"[A-Za-z0-9_.:/@+-]+")
_LEVELS = ("debug", "info", "warning", "error")
_OMITTED = frozenset({"task_uuid", "task_level", "timestamp", "message_type"})


def format_value(value: Any) -> str:
    """Returns a value formatted for a log line, quoted if necessary."""
    if isinstance(value, bool):
        return "true" if value else "false"
    text = str(value)
    if _UNQUOTED_VALUE.fullmatch(text):
        return text
    return json.dumps(text)


def format_event(message: dict[str, Any]) -> str:
    """Returns the log line for an eliot message."""
    pairs = [
        f"at={message['timestamp']:.3f}",
        f"event={format_value(message.get('message_type', 'none'))}",
    ]
    pairs += [
        f"{key}={format_value(value)}"
        for key, value in message.items()
        if key not in _OMITTED
    ]
    return " ".join(pairs)


class Destination:
    """Eliot destination that writes messages as log lines."""

    def __init__(self, stream: TextIO, level: str):
        """Takes the output stream and the lowest level to write."""
        self._stream = stream
        self._min_level = _LEVELS.index(level)

    def __call__(self, message: dict[str, Any]) -> None:
        """Writes one message if its level is high enough."""
        level = message.get("level", "info")
        if level in _LEVELS and _LEVELS.index(level) < self._min_level:
            return
        self._stream.write(format_event(message) + "\n")
        self._stream.flush()


class Log:
    """Logs the events of one instance."""

    def __init__(self, instance: str):
        """Takes the instance's name, which is added to every event."""
        self._instance = instance

    def event(self, name: str, level: str = "info", **fields: Any) -> None:
        """Logs one event with its fields."""
        eliot.log_message(
            message_type=name, level=level, instance=self._instance, **fields
        )

    def error(self, name: str, error: errors.SeamError, **fields: Any) -> None:
        """Logs a typed error at level `warning`."""
        self.event(
            name,
            level="warning",
            code=error.code,
            detail=error.describe(),
            **fields,
        )

    def bug(self, name: str, exc: Exception, **fields: Any) -> None:
        """Logs an unexpected exception with its traceback."""
        trace = "".join(traceback.format_exception(exc))
        self.event(name, level="error", detail=trace, **fields)
