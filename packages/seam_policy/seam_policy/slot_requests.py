"""Requests for slots of an engine or service, ledger limits and decisions."""

from collections.abc import Mapping
import enum

import attrs

URGENT = 0
OTHER = 1


class DeclineReason(enum.Enum):
    """Why a slot was not granted."""

    TOO_LATE = "too_late"
    """The estimated wait exceeds the longest useful wait."""
    DROPPED = "dropped"
    """The request's longest useful wait passed while it was queued."""
    QUEUE_FULL = "queue_full"
    TOO_LARGE = "too_large"
    """The engine's KV capacity is smaller than the request."""
    CANCELLED = "cancelled"


@attrs.frozen
class LedgerLimits:
    """Settings of one engine's ledger."""

    slots: int
    kv_blocks: int = 0
    """KV blocks of the engine; 0 if unknown, which disables the KV limit."""
    other_floor: float = 0.1
    """Share of usable slots guaranteed to rank `OTHER` while it waits."""
    urgent_reserve: float = 0.15
    """Maximum share of usable slots that is reserved for rank `URGENT`."""
    queue_limit: int = 64
    """Maximum number of queued requests of each rank."""
    overbook: int = 2
    """Maximum number of grants made before the slot's stream has ended."""
    max_lead_s: float = 0.8
    """Maximum time that a slot is granted before a stream's expected end."""
    min_slots: int = 2
    per_token_target_s: float = 0.0
    """Target seconds between tokens; 0 disables adaptation of the slots."""
    adapt_interval_s: float = 2.0
    per_token_s: float = 0.03
    """Seconds between tokens before the first sample."""
    grant_slack_s: float = 30.0
    """Time after the slowest expected end at which a grant expires."""
    slowest_factor: float = 4.0
    weights: Mapping[str, float] = attrs.field(factory=dict)
    """Weights of workspaces within their rank; the default is 1."""


@attrs.frozen
class SlotRequest:
    """Request for a slot and KV blocks."""

    request_id: bytes
    rank: int
    """`URGENT` or `OTHER`."""
    workspace: str
    wait_s: float
    """Longest useful wait for the grant, in seconds from now."""
    kv_blocks: int
    tokens: int
    """Expected output tokens."""
    lead_s: float
    """Time of prefill and transfer before the slot is needed."""


@attrs.frozen
class Granted:
    """The request holds a slot until released, cancelled or expired."""

    request_id: bytes
    delay_s: float
    """Expected time until the slot is free; at most the request's `lead_s`."""


@attrs.frozen
class Declined:
    """The request holds no slot and is no longer queued."""

    request_id: bytes
    reason: DeclineReason


Decision = Granted | Declined
