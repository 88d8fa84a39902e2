"""Settings of one entry instance, read from TOML."""

import enum
import pathlib
from typing import Any

import attrs
import expression

from seam_model import errors
from seam_model import keys
from seam_model import toml_check

PORT_MAX = 65535
MS_PER_S = 1000.0
DEFAULTS = "defaults_node.toml"
LEASE_MIN_S = 10.0
"""Twice the timeout of a model order, so that an order fits in one lease."""
_SECRET_PATTERN = rf"([0-9a-fA-F]{{2}}){{{keys.SECRET_MIN_BYTES},}}"
_SECRET_ALLOWED = f"hex of at least {keys.SECRET_MIN_BYTES} bytes"
_SECRET_BOUNDS = {
    "pattern": _SECRET_PATTERN,
    "allowed": _SECRET_ALLOWED,
    "secret": True,
}
_NAME_PATTERN = r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}"
_NAME_ALLOWED = "1 to 63 letters, digits, dots, dashes or underscores"
_URL_PATTERN = r"https?://[^\s/]+(/\S*)?"
_URL_ALLOWED = "an http or https URL"
_LEVELS = "debug|info|warning|error"


def _seconds() -> Any:
    return toml_check.checked_field(above=0, high=86400)


def _port() -> Any:
    return toml_check.checked_field(high=PORT_MAX)


def _name() -> Any:
    return toml_check.checked_field(
        pattern=_NAME_PATTERN, allowed=_NAME_ALLOWED
    )


class OperatorRole(enum.Enum):
    """Permissions of an operator; each role includes the ones before it."""

    VIEWER = "viewer"
    OPERATOR = "operator"
    ADMIN = "admin"

    def covers(self, needed: "OperatorRole") -> bool:
        """Returns whether this role includes `needed`."""
        order = list(OperatorRole)
        return order.index(self) >= order.index(needed)


@attrs.frozen
class InstanceSettings:
    """Identity of this instance."""

    name: str = _name()
    data_centre: str = _name()


@attrs.frozen
class ListenSettings:
    """Listening addresses; port 0 lets the system choose a free port."""

    callers_host: str
    callers_port: int = _port()
    callers_url: str = toml_check.checked_field(
        pattern=rf"({_URL_PATTERN})?", allowed=f"{_URL_ALLOWED}, or empty"
    )
    """Base URL published to callers; if empty, derived from host and port."""
    admin_host: str
    admin_port: int = _port()
    peer_host: str
    peer_port: int = _port()


@attrs.frozen
class PlatformSettings:
    """Address and timeout of the platform's object service."""

    url: str = toml_check.checked_field(
        pattern=_URL_PATTERN, allowed=_URL_ALLOWED
    )
    timeout_s: float = _seconds()


@attrs.frozen
class PeerSettings:
    """The secret that all instances share."""

    key: str = toml_check.checked_field(
        pattern=rf"({_SECRET_PATTERN})?", allowed=_SECRET_ALLOWED, secret=True
    )
    key_file: str = ""
    """File from which the key is read if `key` is empty."""


@attrs.frozen
class WorkspaceSettings:
    """Secrets that sign workspace tokens, by key id."""

    keys: dict[str, str] = attrs.field(repr=False, metadata=_SECRET_BOUNDS)


@attrs.frozen
class OperatorSettings:
    """One operator's credential; see `seam_model.keys` for the hash."""

    name: str = _name()
    role: OperatorRole
    token_hash: str = toml_check.checked_field(
        pattern=rf"[0-9a-f]{{{keys.TOKEN_HASH_HEX_CHARS}}}",
        allowed=f"{keys.TOKEN_HASH_HEX_CHARS} lower-case hex digits",
        secret=True,
    )


@attrs.frozen
class LimitSettings:
    """Limits on callers' requests and connections."""

    max_body_bytes: int = toml_check.checked_field(low=1024, high=2**30)
    max_prompt_tokens: int = toml_check.checked_field(low=1)
    header_timeout_s: float = _seconds()
    body_timeout_s: float = _seconds()
    max_connections: int = toml_check.checked_field(low=1)
    max_held_bytes: int = toml_check.checked_field(low=1024, high=2**40)
    """Bytes of all bodies that are held at once."""


@attrs.frozen
class DistanceSettings:
    """Network between data centres."""

    link_bytes_per_s: float = toml_check.checked_field(above=0)
    default_one_way_ms: float = toml_check.checked_field()
    """Delay between two data centres that `one_way_ms` does not list."""
    one_way_ms: dict[str, float]
    """Delay by pair of data centres, as `a/b`; valid in both directions."""

    def one_way_s(self, here: str, there: str) -> float:
        """Returns the one-way delay in seconds."""
        if here == there:
            return self.one_way_ms.get(f"{here}/{there}", 0.0) / MS_PER_S
        for name in (f"{here}/{there}", f"{there}/{here}"):
            if name in self.one_way_ms:
                return self.one_way_ms[name] / MS_PER_S
        return self.default_one_way_ms / MS_PER_S


@attrs.frozen
class LogSettings:
    """Log level and destination."""

    level: str = toml_check.checked_field(pattern=_LEVELS, allowed=_LEVELS)
    destination: str = toml_check.checked_field(
        pattern=r"\S.*", allowed="stderr, stdout or a file name"
    )


@attrs.frozen
class TimingSettings:
    """Periods and time limits, in seconds."""

    watch_s: float = _seconds()
    """Maximum wait of one watch call."""
    config_silent_s: float = _seconds()
    """Time without platform and peers after which new requests are refused."""
    lease_s: float = toml_check.checked_field(low=LEASE_MIN_S, high=3600)
    """Duration of a lease on model orders."""


@attrs.frozen
class NodeSettings:
    """All settings of one instance."""

    instance: InstanceSettings
    listen: ListenSettings
    platform: PlatformSettings
    peers: PeerSettings
    workspaces: WorkspaceSettings
    limits: LimitSettings
    distances: DistanceSettings
    logs: LogSettings
    timing: TimingSettings
    operators: tuple[OperatorSettings, ...] = ()

    def peer_key(self) -> bytes:
        """Returns the secret that all instances share."""
        return bytes.fromhex(self.peers.key)


# Reading


def load(
    path: str | pathlib.Path,
) -> expression.Result[NodeSettings, errors.SettingsInvalid]:
    """Returns the settings of a file, merged over the shipped defaults."""
    return toml_check.read(path).bind(from_plain)


def from_plain(
    plain: dict[str, Any],
) -> expression.Result[NodeSettings, errors.SettingsInvalid]:
    """Returns the settings of plain tables, merged over the defaults."""
    checker = toml_check.Checker()
    merged = toml_check.overlay(toml_check.shipped_defaults(DEFAULTS), plain)
    merged = _with_key_file(merged, checker)
    node = checker.build(NodeSettings, merged)
    _check_rules(merged, checker)
    if checker.problems or node is None:
        return expression.Error(errors.SettingsInvalid(tuple(checker.problems)))
    return expression.Ok(node)


def _section(plain: dict[str, Any], name: str) -> dict[str, Any]:
    section = plain.get(name)
    return section if isinstance(section, dict) else {}


def _with_key_file(
    plain: dict[str, Any], checker: toml_check.Checker
) -> dict[str, Any]:
    peers = _section(plain, "peers")
    name = peers.get("key_file")
    if peers.get("key") or not name or not isinstance(name, str):
        return plain
    try:
        key = pathlib.Path(name).read_text("utf-8").strip()
    except (OSError, ValueError) as exc:
        checker.add("peers.key_file", f"{name}: {exc}", "a readable file")
        return plain
    return {**plain, "peers": {**peers, "key": key}}


def _check_rules(plain: dict[str, Any], checker: toml_check.Checker) -> None:
    """Checks rules that a single field's type and bounds cannot express."""
    peers = _section(plain, "peers")
    if peers.get("key") == "" and not peers.get("key_file"):
        checker.add("peers.key", "", f"{_SECRET_ALLOWED}, or a key_file")
    elif peers.get("key") == "" and not _reported(checker, "peers.key"):
        checker.add("peers.key_file", "(empty file)", _SECRET_ALLOWED)
    table = _section(plain, "workspaces").get("keys")
    if table == {}:
        checker.add("workspaces.keys", "(empty)", "at least one key id")
    for key_id in table if isinstance(table, dict) else ():
        if not keys.is_key_id(key_id):
            checker.add(
                f"workspaces.keys.{key_id}", key_id, keys.KEY_ID_PATTERN
            )
    distances = _section(plain, "distances").get("one_way_ms")
    for name in distances if isinstance(distances, dict) else ():
        if name.count("/") != 1 or name[0] == "/" or name[-1] == "/":
            checker.add(f"distances.one_way_ms.{name}", name, "a/b")


def _reported(checker: toml_check.Checker, prefix: str) -> bool:
    return any(p.field.startswith(prefix) for p in checker.problems)
