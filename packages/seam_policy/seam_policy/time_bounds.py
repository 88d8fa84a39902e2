"""Derives timeouts from the time bounds of a deployment.

This handles deployments whose bounds are tighter or wider than usual: an
instance must notice a store that fell silent, and hand over the right to send
orders, within the time that the deployment allows.
"""

MAX_WATCH_WAIT_S = 2.0
MIN_WATCH_WAIT_S = 0.3
MAX_SOURCE_WAIT_S = 1.0
MIN_SOURCE_WAIT_S = 0.2
SLOW_ANSWER_S = 0.2
"""Longest time that a slow store takes to answer."""
CACHE_FACTOR = 3.0
"""Some callers keep an entry answer this many times longer than stated."""
ANSWER_DELAY_S = 0.3
"""Time until all instances name a leaving one no more."""
MAX_ACCEPT_SHARE = 0.5
"""Share of the grace period in which new connections may be accepted."""
RELIST_S = 1.0
"""Time to give up a silent watch after its wait and to list the objects."""
KEY_PROOF_WAITS = 4
"""Longest waits of a watch that fit into the accepted age of a proof. A call
proves only its send time, so a proof is up to two waits old, and up to three
after one lost call.
"""
KEY_PROOF_SHARE = 0.75
"""Accepted age of a proof, as a share of the time to revoke a key. The rest is
for a watch on which the store stops to deliver changes for a moment."""
ORDER_ARRIVAL_MARGIN_S = 0.2
"""Longest time from an order's timeout to its arrival at an engine."""


MISSED_ANNOUNCEMENTS = 3
"""Announcements that an endpoint may miss before the store drops it."""
DROP_MARGIN_S = 0.4
"""Time from the last missed announcement to the removal of the endpoint."""


def unconfirmed_s(announce_s: float) -> float:
    """Returns how long after a restore the store may show endpoints that left.

    It drops those that don't repeat their announcement in time.
    """
    return MISSED_ANNOUNCEMENTS * announce_s + DROP_MARGIN_S


def watch_wait_s(settle_s: float) -> float:
    """Returns how long a watch of the store may wait for a change.

    A watch whose connection is silent looks like one without changes. It must
    end, and the objects must be listed again, within `settle_s`.
    """
    wait_s = settle_s - RELIST_S
    return min(MAX_WATCH_WAIT_S, max(MIN_WATCH_WAIT_S, wait_s))


def up_to_date_s(watch_wait_s: float) -> float:
    """Returns the age of the store's last answer up to which it is current."""
    return watch_wait_s + 1.5 * RELIST_S


def source_wait_s(apply_s: float) -> float:
    """Returns the wait of a watch whose objects are passed on to others.

    The others have to find out within `apply_s` that the watch hears nothing.
    """
    return min(MAX_SOURCE_WAIT_S, max(MIN_SOURCE_WAIT_S, apply_s / 4))


def source_max_age_s(apply_s: float) -> float:
    """Returns the age of the store's last answer up to which a source is used.

    Beyond it, the other instances ask the store themselves.
    """
    return 1.5 * source_wait_s(apply_s) + SLOW_ANSWER_S


def key_proof_s(revoke_s: float) -> float:
    """Returns the seconds up to which a proof of the configuration is accepted.

    A revoked key must be refused within `revoke_s` seconds, whatever this
    instance can reach.
    """
    return KEY_PROOF_SHARE * revoke_s


def key_proof_wait_s(revoke_s: float) -> float:
    """Returns the longest wait, in seconds, of a watch that proves the keys.

    It is that of other watches if `revoke_s` is 0: keys then need no proof.
    """
    if not revoke_s:
        return MAX_WATCH_WAIT_S
    return max(MIN_SOURCE_WAIT_S, key_proof_s(revoke_s) / KEY_PROOF_WAITS)


def accept_s(cache_s: float, grace_s: float) -> float:
    """Returns how long a leaving instance accepts new connections.

    Callers keep an entry answer for up to `CACHE_FACTOR` times its stated time
    and would find no connection sooner. The rest of the grace period is for
    the requests that run. This handles restarts of all instances in turn.

    Args:
        cache_s: time stated in entry answers.
        grace_s: time until a leaving process is killed.
    """
    needed_s = CACHE_FACTOR * cache_s + ANSWER_DELAY_S
    return min(needed_s, MAX_ACCEPT_SHARE * grace_s)


def lease_handover_s(handover_s: float, order_timeout_s: float) -> float:
    """Returns how long a successor waits after a lease has expired.

    The last order of the former holder may arrive until its timeout; the first
    order of the successor must follow it by `handover_s`.
    """
    return order_timeout_s + handover_s + ORDER_ARRIVAL_MARGIN_S
