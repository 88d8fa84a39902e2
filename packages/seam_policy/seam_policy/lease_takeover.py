"""Decides when a lease may be taken, and with which fencing token.

A store that is restored from a copy loses leases, and brings others back that
were passed on or released since. Nobody can tell what was lost, so in a new
era of the store a lease counts as held until it would have run out. This
handles a holder that goes on under a lease that the store has lost.
"""

import attrs

NEVER_RESTORED_ERA = 1
"""Era up to which a store has lost nothing."""
FENCES_PER_ERA = 1_000_000
"""Distance between the first fencing tokens of two eras. Tokens of an era that
were lost with it are below those of the next one."""


@attrs.frozen
class StoredLease:
    """What the store shows of a lease."""

    store_era: int
    """Era of the store that showed it."""
    exists: bool
    written_era: int = 0
    """Era in which its holder wrote it."""
    duration_s: float = 0.0
    """Its duration; 0 once it was released."""
    fence: int = 0

    @property
    def may_be_outdated(self) -> bool:
        """Returns whether a later lease may have been lost in a restore."""
        if self.exists:
            return self.written_era < self.store_era
        return self.store_era > NEVER_RESTORED_ERA


def takeover_wait_s(
    stored: StoredLease, duration_s: float, order_timeout_s: float
) -> float:
    """Returns how long a lease must be seen unchanged before it may be taken.

    Args:
        stored: the lease that has been seen unchanged, in one era.
        duration_s: duration for which this lease is usually taken.
        order_timeout_s: time in which a holder's last order may arrive.
    """
    if stored.may_be_outdated:
        return max(duration_s, stored.duration_s) + order_timeout_s
    if not stored.exists:
        return 0.0
    return stored.duration_s + order_timeout_s


def next_fence(stored: StoredLease) -> int:
    """Returns the fencing token of the next holder."""
    lost_eras = max(0, stored.store_era - NEVER_RESTORED_ERA)
    return max(stored.fence, lost_eras * FENCES_PER_ERA) + 1
