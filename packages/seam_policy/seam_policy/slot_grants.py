"""Grants of one engine's slots, and when they are expected to end."""

from collections.abc import Iterable

import attrs

from seam_policy import hold_estimate


@attrs.frozen
class Grant:
    """A slot that a request holds, or is about to."""

    request_id: bytes
    rank: int
    workspace: str
    kv_blocks: int
    tokens: int
    """Expected output tokens."""
    starts_at: float
    expires_at: float
    adopted: bool
    """Whether the grant was added for a stream found at the engine."""


def predicted_ends(
    grants: Iterable[Grant], holds: hold_estimate.HoldEstimate, now: float
) -> list[tuple[float, int]]:
    """Returns late ends and KV blocks of streams that are not overdue."""
    if not holds.is_predictable():
        return []
    ends = []
    for grant in grants:
        if grant.adopted:
            continue
        end = holds.late_end_at(grant.starts_at, grant.tokens)
        if grant.starts_at <= now <= end:
            ends.append((end, grant.kv_blocks))
    ends.sort()
    return ends


def expected_hold_times(
    grants: Iterable[Grant], holds: hold_estimate.HoldEstimate, now: float
) -> list[float]:
    """Returns the expected remaining hold time of each grant, sorted."""
    mean_hold_s = holds.mean_s()
    remaining_times = []
    for grant in grants:
        remaining_s = grant.starts_at + holds.stream_s(grant.tokens) - now
        remaining_times.append(
            remaining_s if remaining_s > 0 else mean_hold_s / 2
        )
    remaining_times.sort()
    return remaining_times
