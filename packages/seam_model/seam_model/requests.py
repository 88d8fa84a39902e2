"""Validated requests of callers, and the answers to them."""

import enum

import attrs

from seam_model import errors


class Rank(enum.IntEnum):
    """Priority of a request; a lower value is served first."""

    URGENT = 0
    OTHER = 1


@attrs.frozen
class Targets:
    """Latency targets of a request, in seconds."""

    first_token_s: float
    per_token_s: float


@attrs.frozen
class GenerateRequest:
    """A validated request for text generation by a model."""

    request_id: str
    workspace: str
    rank: Rank
    model: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    targets: Targets
    deadline_s: float
    """Time allowed for the complete answer, in seconds from arrival."""
    adapter: str = ""
    after_seq: int = 0
    """Id of the last event that the caller received; 0 if none."""
    resumes: bool = False
    """Whether the caller sent a last event id, which may be 0."""


@attrs.frozen
class ServiceRequest:
    """A validated call of a plain service."""

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
    """A refusal: the error, whether the request ran, and when to retry."""

    error: errors.SeamError
    ran: errors.Ran
    retry_after_s: float = 1.0
    instances: tuple[str, ...] = ()
    """Base URLs of other instances that may accept the request."""


@attrs.frozen
class EntryInstance:
    """One instance in an entry answer."""

    name: str
    url: str
    data_centre: str


@attrs.frozen
class EntryAnswer:
    """Instances that a caller should use, nearest first."""

    instances: tuple[EntryInstance, ...]
    alternates: tuple[EntryInstance, ...]
    cache_s: float
