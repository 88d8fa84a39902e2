"""Structured logs: one line of key=value pairs for each event."""

import json
import re
import traceback
from typing import Any
from typing import TextIO

import eliot

from seam_model import errors

_PLAIN = re.compile(r"[A-Za-z0-9_.:/@+-]+")
_LEVELS = ("debug", "info", "warning", "error")
_OMITTED = frozenset({"task_uuid", "task_level", "timestamp", "message_type"})


def format_value(value: Any) -> str:
    """Returns a value as it stands in a log line, quoted where needed."""
    if isinstance(value, bool):
        return "true" if value else "false"
    text = str(value)
    if _PLAIN.fullmatch(text):
        return text
    return json.dumps(text)


def format_event(message: dict[str, Any]) -> str:
    """Returns one line for an eliot message."""
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
    """Writes eliot messages as lines."""

    def __init__(self, stream: TextIO, level: str):
        """Takes the stream and the lowest level that is written."""
        self._stream = stream
        self._lowest = _LEVELS.index(level)

    def __call__(self, message: dict[str, Any]) -> None:
        """Writes one message."""
        level = message.get("level", "info")
        if level in _LEVELS and _LEVELS.index(level) < self._lowest:
            return
        self._stream.write(format_event(message) + "\n")
        self._stream.flush()


class Log:
    """Logs the events of one instance."""

    def __init__(self, instance: str):
        """Takes the instance's name, which every line carries."""
        self._instance = instance

    def event(self, name: str, level: str = "info", **fields: Any) -> None:
        """Logs one event with its fields."""
        eliot.log_message(
            message_type=name, level=level, instance=self._instance, **fields
        )

    def error(self, name: str, error: errors.SeamError, **fields: Any) -> None:
        """Logs a typed failure."""
        self.event(
            name,
            level="warning",
            code=error.code,
            detail=error.describe(),
            **fields,
        )

    def bug(self, name: str, exc: Exception, **fields: Any) -> None:
        """Logs an exception that nothing expected, with its traceback."""
        trace = "".join(traceback.format_exception(exc))
        self.event(name, level="error", detail=trace, **fields)
