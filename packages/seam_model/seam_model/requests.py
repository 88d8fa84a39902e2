"""What callers ask for and what they are told."""

import enum

import attrs

from seam_model import errors


class Rank(enum.IntEnum):
    """Importance of a request; a lower value is served first."""

    URGENT = 0
    OTHER = 1


@attrs.frozen
class Targets:
    """Latency targets of a request, in seconds."""

    first_token_s: float
    per_token_s: float


@attrs.frozen
class GenerateRequest:
    """A checked request for text from a model."""

    request_id: str
    workspace: str
    rank: Rank
    model: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    targets: Targets
    deadline_s: float
    """Time allowed for the whole answer, in seconds from arrival."""
    adapter: str = ""
    after_seq: int = 0
    """Last event id the caller holds; 0 when it holds none."""
    resumes: bool = False
    """Whether the caller named a last event id at all."""


@attrs.frozen
class ServiceRequest:
    """A checked call of a plain service."""

    service: str
    operation: str
    workspace: str
    rank: Rank
    body: bytes
    deadline_s: float
    idempotent: bool
    key: str = ""
    """Idempotency key; empty for idempotent operations."""


@attrs.frozen
class ServiceReply:
    """The complete answer of a plain service."""

    status: int
    content_type: str
    body: bytes


@attrs.frozen
class Refusal:
    """A typed refusal: why, whether it ran, and what to do next."""

    error: errors.SeamError
    ran: errors.Ran
    retry_after_s: float = 1.0
    instances: tuple[str, ...] = ()
    """Base URLs of other instances that may take the request."""


@attrs.frozen
class EntryInstance:
    """One instance of an entry answer."""

    name: str
    url: str
    data_centre: str


@attrs.frozen
class EntryAnswer:
    """Which instances a caller should use, nearest first."""

    instances: tuple[EntryInstance, ...]
    alternates: tuple[EntryInstance, ...]
    cache_s: float
