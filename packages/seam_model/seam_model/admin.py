"""What the operators' HTTP interface takes and answers, as JSON."""

from typing import Any

import attrs

from seam_model import codec
from seam_model import config
from seam_model import errors
from seam_model import toml_check

PAGE_MAX = 50
"""Changes in one page of the audit trail."""
ANY_VERSION = -1
"""Expected version of an exception request that accepts the newest one."""
UNREACHABLE = "unreachable"
"""State of a listed instance that did not answer."""


def _reason() -> Any:
    return toml_check.limits(
        pattern=r"(?s)\s*\S.{2,1999}",
        allowed="a written reason of 3 to 2000 characters",
    )


def _change_id() -> Any:
    return toml_check.limits(
        pattern=r"[A-Za-z0-9-]{8,64}",
        allowed="8 to 64 letters, digits or dashes, new for each change",
    )


# Requests


@attrs.frozen
class CheckRequest:
    """A draft to be checked, as TOML."""

    toml: str


@attrs.frozen
class ApplyRequest:
    """A draft to be made the next version."""

    toml: str
    why: str = _reason()
    expected_version: int
    """Version that the operator started from."""
    change_id: str = _change_id()


@attrs.frozen
class ExceptionRequest:
    """An exception to be added."""

    id: str
    scope: config.Scope
    settings: dict[str, Any]
    reason: str
    change_id: str = _change_id()
    expected_version: int = toml_check.limits(
        low=ANY_VERSION, default=ANY_VERSION
    )


@attrs.frozen
class RemoveRequest:
    """Why an exception is to be removed."""

    why: str = _reason()
    change_id: str = _change_id()
    expected_version: int = toml_check.limits(
        low=ANY_VERSION, default=ANY_VERSION
    )


@attrs.frozen
class DrainRequest:
    """Tells an instance, by its name, to leave."""

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
    """A valid draft's differences from the version in force."""

    version: int
    differences: tuple[str, ...]


@attrs.frozen
class ExceptionList:
    """Every exception and the version that it belongs to."""

    version: int
    exceptions: tuple[config.ConfigException, ...]


@attrs.frozen
class ChangeList:
    """Changes, newest first."""

    changes: tuple[config.Change, ...]
    next_before: int = 0
    """Value of `before` for the next page; 0 when there is none."""


@attrs.frozen
class LedgerStatus:
    """Slots of one engine, or of one service's calls at one instance."""

    name: str
    usable: int
    """Slots that the adaptive limit allows."""
    granted: int
    waiting_urgent: int
    waiting_other: int


@attrs.frozen
class InstanceStatus:
    """One instance, in its own words unless it is unreachable."""

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
    """Why no new work is taken; empty when the instance is ready."""
    live_peers: int = 0
    warming: bool = False
    """Whether its mirror may not vote yet on runs of requests."""
    unstored_claims: int = 0
    """Outcomes of orders that are not stored in the platform yet."""
    config_silent_s: float = 0.0
    """Seconds since the platform or a peer was heard."""
    leases: dict[str, int] = attrs.field(factory=dict)
    """Fencing numbers of the leases that are held here, by name."""
    ledgers: tuple[LedgerStatus, ...] = ()
    """Of the engines that the instance owns."""
    services: tuple[LedgerStatus, ...] = ()
    """Of its calls to plain services."""
    outcomes: dict[str, int] = attrs.field(factory=dict)
    """Requests that ended since the start, by outcome."""


@attrs.frozen
class EndpointStatus:
    """One engine or service as the asked instance sees it."""

    name: str
    kind: str
    data_centre: str
    role: str
    """Role of an engine, else the service's name."""
    owner: str
    slots: int
    leaving: bool
    suspected: bool


@attrs.frozen
class FleetStatus:
    """All instances and endpoints, collected by one instance."""

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
    """How one request went at one instance."""

    instance: str
    workspace: str
    rank: str
    model: str
    outcome: str
    steps: tuple[TraceStep, ...]


@attrs.frozen
class Explanation:
    """What the fleet still knows of a request."""

    request: str
    traces: tuple[RequestTrace, ...]
    silent: tuple[str, ...]
    """Instances that did not answer and may know more."""


@attrs.frozen
class DrainAnswer:
    """The phase of leaving that an instance is in."""

    instance: str
    phase: str
    in_progress: int


# Failures


@attrs.frozen
class ErrorBody:
    """A typed failure: its code, a sentence and its fields."""

    error: str
    detail: str
    fields: dict[str, Any]


def error_to_body(error: errors.SeamError) -> ErrorBody:
    """Returns a failure as operators see it."""
    return ErrorBody(error.code, error.describe(), attrs.asdict(error))


def error_from_body(body: ErrorBody) -> errors.SeamError | None:
    """Returns the failure of a body; None for an unknown code or shape."""
    for cls in _leaves(errors.SeamError):
        if cls.code == body.error:
            made = codec.from_plain(body.fields, cls)
            return made.ok if made.is_ok() else None
    return None


def _leaves(cls: type) -> list[type]:
    below = [leaf for sub in cls.__subclasses__() for leaf in _leaves(sub)]
    return below or [cls]
