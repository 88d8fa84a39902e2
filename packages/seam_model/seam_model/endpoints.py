"""Messages between instances and endpoints, and records of both."""

import enum

import attrs

KV_BLOCK_TOKENS = 2048
"""Tokens in one block of an engine's KV cache memory."""


class EngineRole(enum.Enum):
    """Stage of model requests that an engine executes."""

    PREFILL = "prefill"
    DECODE = "decode"


@attrs.frozen
class EndpointRecord:
    """One engine or service in the platform's list, which may be outdated."""

    name: str
    kind: str
    """`engine` or `service`."""
    url: str
    data_centre: str
    leaving: bool = False
    role: EngineRole = EngineRole.DECODE
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    service: str = ""
    slots: int = 20
    kv_blocks: int = 0
    checks_fence: bool = False
    """Whether the engine refuses orders with an outdated fencing token."""


@attrs.frozen
class InstanceRecord:
    """One entry instance in the platform's list, which may be outdated."""

    name: str
    url: str
    """Base URL of the callers' listening address."""
    peer_host: str
    peer_port: int
    data_centre: str
    incarnation: int
    leaving: bool = False
    admin_url: str = ""


@attrs.frozen
class FleetList:
    """The platform's list of instances and endpoints, which may be outdated."""

    instances: tuple[InstanceRecord, ...]
    endpoints: tuple[EndpointRecord, ...]


@attrs.frozen
class PrefillOrder:
    """Asks an engine to compute the KV cache of a prompt."""

    request_id: str
    incarnation: int
    model: str
    prompt: str
    prompt_tokens: int
    rank: int
    adapter: str = ""


@attrs.frozen
class PrefillDone:
    """Result of a prefill: the KV cache is kept for `life_s` seconds."""

    kv_handle: str
    life_s: float
    cached_tokens: int


@attrs.frozen
class DecodeOrder:
    """Asks a decode engine to import a KV cache and stream tokens."""

    request_id: str
    incarnation: int
    """An `ids.engine_incarnation`; a higher one replaces the reader."""
    model: str
    prompt_tokens: int
    max_tokens: int
    rank: int
    source_url: str
    """Base URL of the engine that holds the KV cache."""
    kv_handle: str
    owner: str = ""
    """Name and incarnation of the ordering instance, as `name/incarnation`."""
    adapter: str = ""


@attrs.frozen
class ResumeOrder:
    """Asks a decode engine to continue a stream after an event id."""

    request_id: str
    incarnation: int
    after_seq: int
    owner: str = ""


@attrs.frozen
class TokenChunk:
    """Complete events of a stream, ready to be sent to the caller.

    `data` contains `count` server-sent events with consecutive ids that start
    at `first_seq`. `done` is set if the last one ends the stream.
    """

    first_seq: int
    count: int
    data: bytes
    done: bool = False


@attrs.frozen
class HeldStream:
    """A stream that occupies memory of an engine."""

    request_id: str
    incarnation: int
    owner: str
    idle_s: float
    """Seconds since the last reader detached; 0 while one is attached."""


@attrs.frozen
class LoadReport:
    """Load as reported by an engine, `age_s` seconds ago."""

    engine: str
    age_s: float
    running: int
    slots: int
    kv_blocks_free: int
    queued_prefill_tokens: int
    streams: tuple[HeldStream, ...] = ()


@attrs.frozen
class CacheEvent:
    """A prompt prefix was stored in or evicted from an engine's cache."""

    seq: int
    prefix_hash: int
    stored: bool


@attrs.frozen
class ModelOrder:
    """Desired state of an engine: role, models and adapters."""

    order_id: str
    fence: int
    role: EngineRole
    models: tuple[str, ...]
    adapters: tuple[str, ...] = ()


@attrs.frozen
class ServiceOrder:
    """One call to a plain service."""

    service: str
    operation: str
    workspace: str
    body: bytes
    key: str
    timeout_s: float
