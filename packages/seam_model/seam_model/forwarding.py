"""Routes, endpoints and requests of the forwarding front.

The adapter of a platform fills these types; nothing here depends on how they
are spelled on the wire.
"""

import enum

import attrs


class RouteKind(enum.Enum):
    """What a route's requests allow."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
    """Answered by a series of events; not idempotent unless resumable."""


class Stage(enum.Enum):
    """Which half of a model request an engine does."""

    NONE = "none"
    """The endpoint is a plain service."""
    PREFILL = "prefill"
    DECODE = "decode"


# Configuration


@attrs.frozen
class Split:
    """A service's share of a route."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where requests of one host and path prefix go."""

    name: str
    host: str
    path_prefix: str
    """Begins and ends with a slash."""
    kind: RouteKind
    timeout_s: float
    """Longest time that a caller is kept waiting for the whole answer."""
    target_s: float
    """Latency target: of the answer, or of a stream's first event."""
    rank: int
    """Importance; 0 is served first."""
    splits: tuple[Split, ...]
    max_attempts: int
    """Most endpoints that one request may be sent to."""
    resumable: bool = False
    max_gap_s: float = 0.0
    """Longest pause between events that still is in time; 0: none given."""

    def may_repeat(self) -> bool:
        """Tells whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


@attrs.frozen
class EngineSpec:
    """What each engine of a model service offers."""

    slots: int
    kv_tokens: int
    """KV cache memory, in tokens."""
    handle_ttl_s: float
    """How long a prefilled KV cache is kept for a transfer."""
    tokens_per_event: int
    """Output tokens that one event of a stream may hold."""
    hold_ttl_s: float
    """Longest reservation of a decode place; 0: none are offered."""


@attrs.frozen
class ServiceSpec:
    """A service that routes name."""

    name: str
    max_connections: int
    """Connections that one endpoint accepts from all instances together."""
    engine: EngineSpec | None = None
    """Set if its endpoints are model engines."""


@attrs.frozen
class CallerLimits:
    """Bounds on what a caller may send."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@attrs.frozen
class RouteTable:
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: CallerLimits


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
    """How much longer it stays slow after its start."""

    @property
    def key(self) -> str:
        """Identifies the incarnation."""
        return f"{self.id}/{self.started_ms}"


@attrs.frozen
class InstanceEntry:
    """How an instance announces itself to the others."""

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
class PromptSize:
    """Size of a model request."""

    tokens: int
    max_new_tokens: int
    expected_new_tokens: int
    """The caller's estimate; the most possible if it gave none."""


@attrs.frozen
class ForwardRequest:
    """One attempt of a caller."""

    id: str
    method: str
    host: str
    target: str
    """Path and query, unchanged."""
    fields: tuple[HeaderField, ...]
    """Header fields that go on to the endpoint."""
    body: bytes
    deadline_s: float | None
    """Seconds that the caller waits, from arrival; None if it did not say."""
    prompt: PromptSize | None = None
    last_event_id: int = 0
    """Last event that the caller holds; 0 when it holds none."""

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
    """Id that the answer has to carry; empty if it carries none."""


@attrs.frozen
class AnswerHead:
    """Status line and headers of an endpoint's answer."""

    status: int
    reason: str
    request_id: str
    signed: bool
    """Whether the endpoint vouches for the answer."""
    ran: bool
    """False if the endpoint says that it did not run the request."""
    misdirected: bool
    """Whether another incarnation answered than the one meant."""
    closing: bool
    """Whether the endpoint closes the connection after this answer."""
    keep_alive_s: float | None
    """How long the endpoint keeps an idle connection, if it says so."""
    fields: tuple[HeaderField, ...]
    """Header fields that go on to the caller."""

    @property
    def success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


@attrs.frozen
class PrefillDone:
    """A finished prefill."""

    handle: str
    """Names the KV cache at the engine that computed it."""


@attrs.frozen
class KvSource:
    """Where a decode engine fetches a prompt's KV cache."""

    address: Address
    handle: str
