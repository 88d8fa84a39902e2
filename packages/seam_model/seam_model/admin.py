"""Requests and answers of the operators' HTTP interface, sent as JSON."""

from typing import Any

import attrs

from seam_model import codec
from seam_model import config
from seam_model import errors
from seam_model import toml_check

PAGE_MAX = 50
"""Changes in one page of the audit trail."""
ANY_VERSION = -1
"""Expected version of an exception request that applies to any version."""
UNREACHABLE = "unreachable"
"""State reported for a listed instance that did not answer."""


def _reason() -> Any:
    return toml_check.checked_field(
        pattern=r"(?s)\s*\S.{2,1999}",
        allowed="a written reason of 3 to 2000 characters",
    )


def _change_id() -> Any:
    return toml_check.checked_field(
        pattern=r"[A-Za-z0-9-]{8,64}",
        allowed="8 to 64 letters, digits or dashes, new for each change",
    )


# Requests


@attrs.frozen
class CheckRequest:
    """Validates a draft in TOML."""

    toml: str


@attrs.frozen
class ApplyRequest:
    """Makes a draft in TOML the next version."""

    toml: str
    why: str = _reason()
    expected_version: int
    """Version that the operator started from."""
    change_id: str = _change_id()


@attrs.frozen
class ExceptionRequest:
    """Adds an exception."""

    id: str
    scope: config.Scope
    settings: dict[str, Any]
    reason: str
    change_id: str = _change_id()
    expected_version: int = toml_check.checked_field(
        low=ANY_VERSION, default=ANY_VERSION
    )


@attrs.frozen
class RemoveRequest:
    """Removes an exception; the path of the request names it."""

    why: str = _reason()
    change_id: str = _change_id()
    expected_version: int = toml_check.checked_field(
        low=ANY_VERSION, default=ANY_VERSION
    )


@attrs.frozen
class DrainRequest:
    """Makes the named instance drain and leave."""

    instance: str
    why: str = _reason()


# Answers


@attrs.frozen
class ConfigView:
    """The configuration in force at one instance."""

    version: int
    draft: config.Draft
    toml: str
    """The draft as TOML, to be edited and applied."""


@attrs.frozen
class CheckAnswer:
    """Differences between a valid draft and the version in force."""

    version: int
    differences: tuple[str, ...]


@attrs.frozen
class ExceptionList:
    """All exceptions of a configuration version."""

    version: int
    exceptions: tuple[config.ConfigException, ...]


@attrs.frozen
class ChangeList:
    """A page of changes, newest first."""

    changes: tuple[config.Change, ...]
    next_before: int = 0
    """Value of `before` for the next page; 0 if there is none."""


@attrs.frozen
class LedgerStatus:
    """Slots of one engine, or slots for calls to one service at an instance."""

    name: str
    usable: int
    """Slots that the adaptive limit allows."""
    granted: int
    waiting_urgent: int
    waiting_other: int


@attrs.frozen
class InstanceStatus:
    """Status of one instance, as reported by itself unless unreachable."""

    name: str
    data_centre: str
    incarnation: int
    url: str
    admin_url: str
    state: str
    """`serving`, `announced`, `refusing`, `ended` or `unreachable`."""
    config_version: int = 0
    in_progress: int = 0
    not_ready: str = ""
    """Reason why no new requests are accepted; empty if ready."""
    live_peers: int = 0
    warming: bool = False
    """Whether its mirror is still warming up and cannot vote on runs."""
    unstored_claims: int = 0
    """Number of order outcomes that are not yet stored in the platform."""
    config_silent_s: float = 0.0
    """Seconds since the last contact with the platform or a peer."""
    leases: dict[str, int] = attrs.field(factory=dict)
    """Fencing tokens of the leases that the instance holds, by lease name."""
    ledgers: tuple[LedgerStatus, ...] = ()
    """Slots of the engines that the instance owns."""
    services: tuple[LedgerStatus, ...] = ()
    """Slots for the instance's calls to plain services."""
    outcomes: dict[str, int] = attrs.field(factory=dict)
    """Number of requests that ended since the start, by outcome."""


@attrs.frozen
class EndpointStatus:
    """Status of one engine or service, as seen by the queried instance."""

    name: str
    kind: str
    data_centre: str
    role: str
    """Role of an engine, or the name of a service."""
    owner: str
    slots: int
    leaving: bool
    suspected: bool


@attrs.frozen
class FleetStatus:
    """Status of all instances and endpoints, collected by one instance."""

    asked: str
    instances: tuple[InstanceStatus, ...]
    endpoints: tuple[EndpointStatus, ...]


@attrs.frozen
class TraceStep:
    """One decision about a request."""

    at_s: float
    filter: str
    what: str


@attrs.frozen
class RequestTrace:
    """Decisions about one request at one instance."""

    instance: str
    workspace: str
    rank: str
    model: str
    outcome: str
    steps: tuple[TraceStep, ...]


@attrs.frozen
class Explanation:
    """Traces of a request that the fleet's instances still keep."""

    request: str
    traces: tuple[RequestTrace, ...]
    silent: tuple[str, ...]
    """Instances that did not answer and may have further traces."""


@attrs.frozen
class DrainAnswer:
    """Drain phase and remaining requests of a leaving instance."""

    instance: str
    phase: str
    in_progress: int


# Errors


@attrs.frozen
class ErrorBody:
    """A typed error: its code, message and fields."""

    error: str
    detail: str
    fields: dict[str, Any]


def error_to_body(error: errors.SeamError) -> ErrorBody:
    """Returns the answer body for an error."""
    return ErrorBody(error.code, error.describe(), attrs.asdict(error))


def error_from_body(body: ErrorBody) -> errors.SeamError | None:
    """Returns the error in a body; None if code or fields are unknown."""
    for cls in _leaf_classes(errors.SeamError):
        if cls.code == body.error:
            made = codec.from_plain(body.fields, cls)
            return made.ok if made.is_ok() else None
    return None


def _leaf_classes(cls: type) -> list[type]:
    leaves = [
        leaf for sub in cls.__subclasses__() for leaf in _leaf_classes(sub)
    ]
    return leaves or [cls]
