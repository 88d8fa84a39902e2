"""Asks for slots of an engine or service, their limits and their answers."""

from collections.abc import Mapping
import enum

import attrs

URGENT = 0
OTHER = 1


class DeclineReason(enum.Enum):
    """Why a slot was not granted."""

    TOO_LATE = "too_late"
    """The estimated wait is over the longest useful wait."""
    DROPPED = "dropped"
    """The ask waited until it could no longer be met."""
    QUEUE_FULL = "queue_full"
    TOO_LARGE = "too_large"
    """The engine never has that many KV blocks."""
    CANCELLED = "cancelled"


@attrs.frozen
class LedgerLimits:
    """Settings of one engine's ledger."""

    slots: int
    kv_blocks: int = 0
    """KV blocks of the engine; 0 when it doesn't say."""
    other_floor: float = 0.1
    """Share of usable slots kept for the other rank while it waits."""
    urgent_reserve: float = 0.15
    """Most slots kept free of other work, as a share of usable slots."""
    queue_limit: int = 64
    """Waiting asks of each rank."""
    overbook: int = 2
    """Grants ahead of streams that are expected to end."""
    max_lead_s: float = 0.8
    """Longest time that a slot is granted ahead of a stream's end."""
    min_slots: int = 2
    per_token_target_s: float = 0.0
    """Wanted seconds between tokens; 0 turns adaptation off."""
    adapt_interval_s: float = 2.0
    per_token_s: float = 0.03
    """Seconds between tokens until there are samples."""
    grant_slack_s: float = 30.0
    """Time over the slowest expected end after which a grant expires."""
    slowest_factor: float = 4.0
    weights: Mapping[str, float] = attrs.field(factory=dict)
    """Weights of workspaces within their rank; 1 where none is given."""


@attrs.frozen
class SlotRequest:
    """Asks for a slot and KV blocks."""

    request_id: bytes
    rank: int
    """`URGENT` or `OTHER`."""
    workspace: str
    wait_s: float
    """Longest useful wait for the grant from now, in seconds."""
    kv_blocks: int
    tokens: int
    """Expected output tokens."""
    lead_s: float
    """Time of prefill and transfer before the slot is needed."""


@attrs.frozen
class Granted:
    """The ask holds a slot until it is released, cancelled or expires."""

    request_id: bytes
    delay_s: float
    """Expected time until the slot is free; at most the ask's `lead_s`."""


@attrs.frozen
class Declined:
    """The ask holds nothing and is forgotten."""

    request_id: bytes
    reason: DeclineReason


Decision = Granted | Declined
