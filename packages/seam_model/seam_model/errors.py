"""Typed errors that cross module or process boundaries.

Each class is one kind of error. `code` is its stable, machine-readable name in
answers, logs and metrics; `describe()` returns a message for people.
"""

import enum

import attrs


class Ran(enum.Enum):
    """Whether a refused request may have been executed by an endpoint."""

    NO = "no"
    UNKNOWN = "unknown"


@attrs.frozen
class SeamError:
    """Base class of all typed errors."""

    code = "internal"

    def describe(self) -> str:
        """Returns a message for people: the code and the field values."""
        fields = attrs.asdict(self, recurse=False)
        details = ", ".join(f"{key}={value}" for key, value in fields.items())
        return f"{self.code}: {details}" if details else self.code


class SeamException(Exception):
    """Wraps a typed error for code that can only raise exceptions."""

    def __init__(self, error: SeamError):
        """Wraps `error`."""
        super().__init__(error.describe())
        self.error = error


@attrs.frozen
class Internal(SeamError):
    """An unexpected exception in the router; the log has the traceback."""

    code = "internal"
    kind: str


# Peers


@attrs.frozen
class PeerError(SeamError):
    """Base class of errors in calls between instances."""

    code = "peer"
    peer: str


@attrs.frozen
class PeerUnreachable(PeerError):
    """The connection to the peer could not be opened or was closed."""

    code = "peer_unreachable"


@attrs.frozen
class PeerTimeout(PeerError):
    """The peer did not answer in time; it may have processed the message."""

    code = "peer_timeout"


@attrs.frozen
class PeerUnauthenticated(PeerError):
    """The remote side failed to authenticate with the shared peer key."""

    code = "peer_unauthenticated"


# Callers' input


@attrs.frozen
class BadInput(SeamError):
    """A field of a request, of settings or of a configuration is invalid."""

    code = "bad_input"
    field: str
    value: str
    allowed: str


@attrs.frozen
class SettingsInvalid(SeamError):
    """The instance's settings are invalid; lists every problem."""

    code = "settings_invalid"
    problems: tuple[BadInput, ...]

    def describe(self) -> str:
        """Returns one line for each problem."""
        return list_problems(self.code, self.problems)


@attrs.frozen
class ConfigInvalid(SeamError):
    """The fleet configuration is invalid; lists every problem."""

    code = "config_invalid"
    problems: tuple[BadInput, ...]

    def describe(self) -> str:
        """Returns one line for each problem."""
        return list_problems(self.code, self.problems)


def list_problems(code: str, problems: tuple[BadInput, ...]) -> str:
    """Returns a heading and one line for each problem."""
    lines = [
        f"  {p.field}: {p.value!r} is not allowed; allowed: {p.allowed}"
        for p in problems
    ]
    return "\n".join([f"{code}: {len(lines)} problems", *lines])


@attrs.frozen
class BodyTooLarge(SeamError):
    """The request body is larger than the limit, in bytes."""

    code = "body_too_large"
    limit: int


@attrs.frozen
class BodyTooSlow(SeamError):
    """The request body was not received within the time limit."""

    code = "body_too_slow"
    limit_s: float


@attrs.frozen
class BodyUnreadable(SeamError):
    """The request body is not valid JSON."""

    code = "body_unreadable"
    detail: str


@attrs.frozen
class WorkspaceUnknown(SeamError):
    """The workspace key is missing or does not match the workspace."""

    code = "workspace_unknown"
    workspace: str


@attrs.frozen
class ModelUnknown(SeamError):
    """No endpoint of the fleet serves the model."""

    code = "model_unknown"
    model: str


@attrs.frozen
class ServiceUnknown(SeamError):
    """No endpoint of the fleet provides the service or the operation."""

    code = "service_unknown"
    service: str
    operation: str


@attrs.frozen
class KeyOutsideWindow(SeamError):
    """The idempotency key's timestamp is outside the accepted window."""

    code = "key_outside_window"
    key: str
    may_have_run: bool = True
    """Whether an earlier attempt with the key may have been accepted."""


@attrs.frozen
class KeyReused(SeamError):
    """The idempotency key was used before with another body."""

    code = "key_reused"
    key: str


# Refusals by policy


@attrs.frozen
class Overloaded(SeamError):
    """The request cannot meet its deadline or exceeds its share of capacity."""

    code = "overloaded"
    reason: str


@attrs.frozen
class LimitExceeded(SeamError):
    """The workspace exceeds its configured limit."""

    code = "limit_exceeded"
    limit: str


@attrs.frozen
class DeadlinePassed(SeamError):
    """The deadline passed before the answer was complete."""

    code = "deadline_passed"
    stage: str


@attrs.frozen
class NoEndpoint(SeamError):
    """No live endpoint can serve the request."""

    code = "no_endpoint"
    what: str


@attrs.frozen
class RetryBudgetSpent(SeamError):
    """A retry was needed but the retry budget is exhausted."""

    code = "retry_budget_spent"


@attrs.frozen
class InstanceLeaving(SeamError):
    """The instance is shutting down and accepts no new requests."""

    code = "instance_leaving"
    instance: str


@attrs.frozen
class InstanceNotReady(SeamError):
    """The instance has no current configuration or membership yet."""

    code = "instance_not_ready"
    reason: str


@attrs.frozen
class NoQuorum(SeamError):
    """Too few mirrors acknowledged the registration of the request."""

    code = "no_quorum"
    acks: int
    needed: int


@attrs.frozen
class AlreadyRunning(SeamError):
    """A run of the id is in progress elsewhere and cannot be taken over."""

    code = "already_running"
    instance: str


@attrs.frozen
class AlreadyEnded(SeamError):
    """An earlier run of the id was answered, cancelled or lost."""

    code = "already_ended"
    outcome: str


@attrs.frozen
class ClaimsFull(SeamError):
    """The object that would store the claim has reached its size limit."""

    code = "claims_full"
    key: str


@attrs.frozen
class IdTaken(SeamError):
    """The request id belongs to a run of another workspace."""

    code = "id_taken"


@attrs.frozen
class RunUnknown(SeamError):
    """A majority of the mirrors has no record of a run of the id."""

    code = "run_unknown"


@attrs.frozen
class OutcomeUnknown(SeamError):
    """The order was claimed and sent, but its outcome is unknown."""

    code = "outcome_unknown"
    key: str


@attrs.frozen
class OutcomeNotKept(SeamError):
    """The order was executed once, but its reply was too large to be stored."""

    code = "outcome_not_kept"
    key: str
    status: int


@attrs.frozen
class Cancelled(SeamError):
    """The caller cancelled the request or disconnected."""

    code = "cancelled"
    by: str


@attrs.frozen
class ConfigStale(SeamError):
    """No contact with the platform or a peer for longer than allowed.

    The configuration may be outdated.
    """

    code = "config_stale"
    silent_s: float


# Forwarding


@attrs.frozen
class RouteUnknown(SeamError):
    """No route of the configuration in force matches the request."""

    code = "route_unknown"
    host: str
    version: int


@attrs.frozen
class RoutesUnproved(SeamError):
    """No routing configuration was read, or not recently enough."""

    code = "routes_unproved"


@attrs.frozen
class KeyUnknown(SeamError):
    """The request has no workspace key, or one that is not valid."""

    code = "key_unknown"


@attrs.frozen
class KeysUnproved(SeamError):
    """The configuration may be out of date, so that no key can be accepted."""

    code = "keys_unproved"


@attrs.frozen
class QuotaExceeded(SeamError):
    """The workspace has used up its quota."""

    code = "quota_exceeded"
    workspace: str


@attrs.frozen
class NoDecodePlace(SeamError):
    """No decode engine had free capacity in time."""

    code = "no_decode_place"
    engines: int


@attrs.frozen
class EndpointsLimited(SeamError):
    """No endpoint takes more requests now, as each names a rate limit."""

    code = "endpoints_limited"
    service: str


@attrs.frozen
class EndpointsFull(SeamError):
    """No endpoint has room for the call in its remaining time."""

    code = "endpoints_full"
    service: str


@attrs.frozen
class MemorySpent(SeamError):
    """The instance has no memory for the request's body now."""

    code = "memory_spent"


@attrs.frozen
class EndpointsPausing(SeamError):
    """No endpoint takes requests now, as each has asked for a pause."""

    code = "endpoints_pausing"
    service: str


@attrs.frozen
class PromptQuarantined(SeamError):
    """Prompts with these parts crash the engines that decode them."""

    code = "prompt_quarantined"
    parts: str


@attrs.frozen
class CallerGone(SeamError):
    """The caller closed its connection."""

    code = "caller_gone"
