"""Builds attrs objects from plain data and reports every problem at once.

The type annotations of a class define the allowed values; `checked_field` adds
constraints to a field. By default numbers must be finite and not negative.
"""

import collections.abc
import enum
import functools
import importlib.resources
import math
import pathlib
import re
import tomllib
import typing
from typing import Any

import attrs
import expression

from seam_model import errors

HIDDEN = "(hidden)"
INT_MAX = 2**53
_INVALID = object()


def checked_field(
    low: float = 0,
    high: float = math.inf,
    above: float = -math.inf,
    pattern: str = "",
    allowed: str = "",
    secret: bool = False,
    default: Any = attrs.NOTHING,
) -> Any:
    """Returns an attrs field with constraints for `Checker`.

    Args:
      low: Minimum of a number.
      high: Maximum of a number.
      above: Exclusive lower bound of a number.
      pattern: Regular expression that the full string must match.
      allowed: Description of `pattern` for error messages.
      secret: Whether the value is hidden in error messages and in `repr`.
      default: Value if the field is missing.
    """
    metadata = {
        "low": low,
        "high": high,
        "above": above,
        "pattern": pattern,
        "allowed": allowed,
        "secret": secret,
    }
    return attrs.field(default=default, metadata=metadata, repr=not secret)


def read(
    path: str | pathlib.Path,
) -> expression.Result[dict[str, Any], errors.SettingsInvalid]:
    """Returns the tables of a TOML file."""
    try:
        return expression.Ok(
            tomllib.loads(pathlib.Path(path).read_text("utf-8"))
        )
    except (OSError, ValueError) as exc:
        problem = errors.BadInput(str(path), str(exc), "a readable TOML file")
        return expression.Error(errors.SettingsInvalid((problem,)))


def shipped_defaults(name: str) -> dict[str, Any]:
    """Returns the tables of a defaults file in this package."""
    folder = importlib.resources.files("seam_model")
    return tomllib.loads((folder / name).read_text("utf-8"))


def overlay(
    base: dict[str, Any], top: collections.abc.Mapping[str, Any]
) -> dict[str, Any]:
    """Returns `base` merged with `top`, whose values take precedence."""
    merged = dict(base)
    for key, value in top.items():
        base_value = merged.get(key)
        if isinstance(base_value, dict) and isinstance(value, dict):
            value = overlay(base_value, value)
        merged[key] = value
    return merged


class Checker:
    """Builds objects from plain data and collects the problems found."""

    def __init__(self, strict: bool = True) -> None:
        """Starts with no problems; `strict` also reports unknown keys."""
        self._strict = strict
        self.problems: list[errors.BadInput] = []

    def add(self, key: str, value: Any, allowed: str) -> Any:
        """Records a problem and returns the marker of an invalid value."""
        text = value if isinstance(value, str) else repr(value)
        self.problems.append(errors.BadInput(key, text[:200], allowed))
        return _INVALID

    def build(self, cls: type, plain: Any, path: str = "") -> Any:
        """Returns an object of `cls`, or None if problems were recorded."""
        before = len(self.problems)
        value = self._object(cls, plain, path)
        return value if len(self.problems) == before else None

    def value(self, kind: Any, plain: Any, path: str, meta: Any) -> Any:
        """Returns `plain` as a value of type `kind`, or the invalid marker."""
        origin = typing.get_origin(kind)
        if attrs.has(kind):
            return self._object(kind, plain, path)
        if origin is tuple:
            return self._tuple(typing.get_args(kind)[0], plain, path, meta)
        if origin is dict:
            return self._table(typing.get_args(kind)[1], plain, path, meta)
        if isinstance(kind, type) and issubclass(kind, enum.Enum):
            return self._enum(kind, plain, path)
        if kind is Any:
            return plain
        if kind is bool:
            if isinstance(plain, bool):
                return plain
            return self.add(path, plain, "true or false")
        if kind is str:
            return self._text(plain, path, meta)
        return self._number(kind, plain, path, meta)

    def _object(self, cls: type, plain: Any, path: str) -> Any:
        if not isinstance(plain, dict):
            return self.add(path, plain, "a table")
        hints = _hints(cls)
        for key in plain:
            if self._strict and key not in hints:
                self.add(
                    _join(path, str(key)),
                    _unknown_value(plain[key]),
                    "no such key; known: " + ", ".join(sorted(hints)),
                )
        values = {}
        for field in attrs.fields(cls):
            key = _join(path, field.name)
            if field.name in plain:
                values[field.name] = self.value(
                    hints[field.name], plain[field.name], key, field.metadata
                )
            elif field.default is attrs.NOTHING:
                values[field.name] = self.add(key, "(missing)", "a value")
        if any(value is _INVALID for value in values.values()):
            return _INVALID
        return cls(**values)

    def _tuple(self, kind: Any, plain: Any, path: str, meta: Any) -> Any:
        if not isinstance(plain, list | tuple):
            return self.add(path, plain, "a list")
        values = tuple(
            self.value(kind, item, f"{path}[{index}]", meta)
            for index, item in enumerate(plain)
        )
        return _INVALID if any(v is _INVALID for v in values) else values

    def _table(self, kind: Any, plain: Any, path: str, meta: Any) -> Any:
        if not isinstance(plain, dict):
            return self.add(path, plain, "a table")
        values = {}
        for key, item in plain.items():
            if not isinstance(key, str) or not key:
                self.add(path, key, "non-empty names as keys")
                continue
            values[key] = self.value(kind, item, _join(path, key), meta)
        return (
            _INVALID if any(v is _INVALID for v in values.values()) else values
        )

    def _enum(self, kind: type[enum.Enum], plain: Any, path: str) -> Any:
        for member in kind:
            if member is plain or member.value == plain:
                return member
        names = " or ".join(repr(member.value) for member in kind)
        return self.add(path, plain, names)

    def _text(self, plain: Any, path: str, meta: Any) -> Any:
        pattern = meta.get("pattern", "")
        allowed = meta.get("allowed") or "text"
        is_valid = isinstance(plain, str)
        if is_valid and pattern:
            is_valid = re.fullmatch(pattern, plain) is not None
        if is_valid:
            return plain
        return self.add(path, HIDDEN if meta.get("secret") else plain, allowed)

    def _number(self, kind: type, plain: Any, path: str, meta: Any) -> Any:
        low = meta.get("low", 0)
        high = meta.get("high", math.inf)
        above = meta.get("above", -math.inf)
        if kind is int:
            high = min(high, INT_MAX)
        kinds = int if kind is int else (int, float)
        is_valid = isinstance(plain, kinds) and not isinstance(plain, bool)
        if is_valid and low <= plain <= high and above < plain < math.inf:
            return kind(plain)
        return self.add(path, plain, _range_text(kind, low, high, above))


def _range_text(kind: type, low: float, high: float, above: float) -> str:
    noun = "a whole number" if kind is int else "a number"
    bound = f"above {above}" if above >= low else f"of at least {low}"
    if high < math.inf:
        bound += f" and at most {high}"
    return f"{noun} {bound}"


def _unknown_value(value: Any) -> str:
    return "(a table)" if isinstance(value, dict) else repr(value)


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


@functools.cache
def _hints(cls: type) -> dict[str, Any]:
    names = {field.name for field in attrs.fields(cls)}
    hints = typing.get_type_hints(cls)
    return {name: hints[name] for name in hints if name in names}
