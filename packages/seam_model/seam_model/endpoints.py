"""What instances and endpoints tell each other."""

import enum

import attrs

KV_BLOCK_TOKENS = 2048
"""Tokens in one piece of engine memory."""


class EngineRole(enum.Enum):
    """Which phase of a request an engine serves."""

    PREFILL = "prefill"
    DECODE = "decode"


@attrs.frozen
class EndpointRecord:
    """One engine or service as the platform's lagging list shows it."""

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
    """Whether the engine refuses orders with an old fencing number."""


@attrs.frozen
class InstanceRecord:
    """One entry instance as the platform's lagging list shows it."""

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
    """The platform's lagging list of instances and endpoints."""

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
    """The KV cache is ready and is held for `life_s` seconds."""

    kv_handle: str
    life_s: float
    cached_tokens: int


@attrs.frozen
class DecodeOrder:
    """Asks a decode engine to import a KV cache and stream tokens."""

    request_id: str
    incarnation: int
    """Generation of the run; a higher one displaces the reader."""
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
    """Whole events of a stream, ready to be sent to the caller.

    `data` holds `count` server-sent events with consecutive ids that start at
    `first_seq`. `done` marks that the last of them ends the stream.
    """

    first_seq: int
    count: int
    data: bytes
    done: bool = False


@attrs.frozen
class HeldStream:
    """A stream that an engine holds memory for."""

    request_id: str
    incarnation: int
    owner: str
    idle_s: float
    """Seconds since a reader was attached; 0 while one is."""


@attrs.frozen
class LoadReport:
    """An engine's own account of its load, which may be old."""

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
    """Wanted end state of an engine: role, models and adapters."""

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
