"""Routes, endpoints and requests of instances that forward by routes.

A platform's adapter creates these objects from the platform's messages. The
types themselves do not depend on any wire format.
"""

import enum

import attrs

from seam_model import workspace_config


class RouteKind(enum.Enum):
    """How a route's requests may be retried and how they are answered."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
    """Answered by a series of events; repeatable only if resumable."""


class Stage(enum.Enum):
    """Stage of a model request that an endpoint executes."""

    NONE = "none"
    """The endpoint is a plain service."""
    PREFILL = "prefill"
    DECODE = "decode"


# Configuration


@attrs.frozen
class Split:
    """Share of a route's requests that goes to one service."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Services and limits for the requests of one host and path prefix."""

    name: str
    host: str
    path_prefix: str
    """Begins and ends with a slash."""
    kind: RouteKind
    timeout_s: float
    """Maximum time that a caller waits for the complete answer."""
    target_s: float
    """Latency target: of the answer, or of a stream's first event."""
    rank: int
    """Priority; 0 is served first."""
    splits: tuple[Split, ...]
    max_attempts: int
    """Maximum number of endpoints that one request may be sent to."""
    resumable: bool = False
    max_gap_s: float = 0.0
    """Target for the longest pause between events; 0 if there is none."""
    patience_s: float = 2.0
    """Time after which callers leave a stream without a new event."""
    public: bool = False
    """Whether requests need no workspace key."""

    def may_retry(self) -> bool:
        """Returns whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


@attrs.frozen
class EngineSpec:
    """Capacity and limits of each engine of a model service."""

    slots: int
    kv_tokens: int
    """KV cache memory, in tokens."""
    handle_ttl_s: float
    """Time for which a prefilled KV cache is kept for its transfer."""
    tokens_per_event: int
    """Maximum number of output tokens in one event of a stream."""
    hold_ttl_s: float
    """Maximum duration of a capacity reservation; 0 if not supported."""


@attrs.frozen
class ServiceSpec:
    """A service that routes refer to by name."""

    name: str
    max_connections: int
    """Limit of one endpoint for the connections of all instances together."""
    engine: EngineSpec | None = None
    """None unless the service's endpoints are model engines."""


@attrs.frozen
class CallerLimits:
    """Size limits and timeouts for callers' connections."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@attrs.frozen
class RouteTable:
    """One version of the routing configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: CallerLimits
    workspaces: tuple[workspace_config.Workspace, ...] | None = None
    """None if requests need no workspace key at all."""


# Endpoints and instances


@attrs.frozen
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns `host:port`."""
        return f"{self.host}:{self.port}"


@attrs.frozen
class Endpoint:
    """One incarnation of an endpoint, as it announces itself."""

    id: str
    started_ms: int
    """Start of this incarnation in Unix milliseconds; 0 if unknown."""
    address: Address
    service: str
    data_centre: str
    slots: int
    draining: bool
    stage: Stage = Stage.NONE
    warm_up_s: float = 0.0
    """Remaining time for which the endpoint is slow after its start."""
    announcement: int = attrs.field(default=0, eq=False)
    """Number of this announcement within the incarnation."""

    @property
    def key(self) -> str:
        """Key that is unique to this incarnation of the endpoint."""
        return f"{self.id}/{self.started_ms}"


def endpoint_id(key: str) -> str:
    """Returns the id of the endpoint whose incarnation has a key."""
    return key.rpartition("/")[0]


@attrs.frozen
class InstanceEntry:
    """Record by which an instance announces itself to other instances."""

    name: str
    incarnation: int
    """Start of the process in Unix milliseconds."""
    callers: Address
    peers: Address
    data_centre: str


# Requests


@attrs.frozen
class HeaderField:
    """One header field as it goes on the wire."""

    name: str
    value: str


@attrs.frozen
class Prompt:
    """Size of a model request, in tokens, and what it is made of."""

    tokens: int
    max_new_tokens: int
    expected_new_tokens: int
    """The caller's estimate, or `max_new_tokens` if it gave none."""
    shared_parts: tuple[str, ...] = ()
    """Ids of the parts that other prompts may have too, in order."""


@attrs.frozen
class ForwardRequest:
    """One request as received; a caller's retry is another one."""

    id: str
    method: str
    host: str
    target: str
    """Path and query, unchanged."""
    fields: tuple[HeaderField, ...]
    """Header fields that are forwarded to the endpoint."""
    body: bytes
    deadline_s: float | None
    """Caller's deadline in seconds from arrival; None if not given."""
    prompt: Prompt | None = None
    last_event_id: int = 0
    """Id of the last event that the caller received; 0 if none."""
    key: str = attrs.field(default="", repr=False)
    """The caller's workspace key; empty if it sent none."""
    identity_fields: tuple[HeaderField, ...] = attrs.field(
        default=(), repr=False
    )
    """Header fields by which the caller states its workspace or key. They are
    forwarded only if the configuration has no workspaces."""

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


# Exchanges with endpoints


@attrs.frozen
class EndpointCall:
    """One HTTP request to an endpoint."""

    method: str
    target: str
    fields: tuple[HeaderField, ...]
    body: bytes = b""
    request_id: str = ""
    """Request id that the answer must repeat; empty if none is required."""
    endpoint_key: str = ""
    """Key of the endpoint's incarnation."""
    is_work: bool = True
    """Whether the call gives the endpoint something to do. False for one that
    releases what the endpoint holds, which also a leaving endpoint gets."""


@attrs.frozen
class AnswerHead:
    """Status line and headers of an endpoint's answer."""

    status: int
    reason: str
    request_id: str
    signed: bool
    """Whether the answer has the endpoint's signature and an unencoded body."""
    ran: bool
    """False if the endpoint states that it did not run the request."""
    misdirected: bool
    """Whether the request reached another incarnation than intended."""
    closing: bool
    """Whether the endpoint closes the connection after this answer."""
    keep_alive_s: float | None
    """Endpoint's timeout for idle connections; None if not stated."""
    fields: tuple[HeaderField, ...]
    """Header fields that are forwarded to the caller."""
    framed: bool = True
    """Whether the body has a length or chunks; otherwise it ends with the
    connection."""
    leaving: bool = False
    """Whether the endpoint says that it leaves."""
    pause_s: float | None = None
    """Time for which an endpoint that refused wants nothing from this
    instance; None if it names none."""
    rate_limit: float | None = None
    """Requests a second that the endpoint takes from all instances together;
    None if it names no limit."""

    status_fields: frozenset[str] = frozenset()
    """Names of `fields` that hold for this status only, such as the
    signature."""

    @property
    def success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


@attrs.frozen
class PrefillDone:
    """Result of a finished prefill."""

    handle: str
    """Identifies the KV cache at the engine that computed it."""


@attrs.frozen
class KvSource:
    """Location from which a decode engine fetches a prompt's KV cache."""

    address: Address
    handle: str
