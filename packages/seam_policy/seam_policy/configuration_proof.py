"""Decides whether the keys of the configuration in force may be accepted.

This handles keys that are revoked while some instances are partitioned from
the store or from each other, suspended or restarted, or while the store is
restored from a copy. A key may be used for a limited time after its revocation
only, so an instance accepts keys only while it can prove that its configuration
is recent.

Times are those of the instance's own clock, which includes suspended time. A
proof is a time such that the configuration contains everything that the store
had acknowledged by then.
"""

import attrs

NEVER = float("-inf")
"""Proof of an instance that has none."""
FEED_SHARE = 0.8
"""Share of the accepted age of a proof up to which a feed is enough. Beyond
it, there is still time to ask the store."""
ANNOUNCE_WAIT_S = 1.0
"""Time in which the other instances announce a newer configuration than that of
a restored store."""
ENOUGH_PEERS = 8
"""Number of other instances whose versions make that wait unnecessary."""


@attrs.frozen
class Evidence:
    """What an instance knows about the age of its configuration."""

    proved_at: float
    version: int
    """Version of the configuration in force."""
    newest_announced: int
    """Newest version that a live instance announces; 0 if none does."""
    peers_had_time: bool
    """Whether others have had the time to announce a newer configuration."""


def proved_by_echo(read_at: float, source_age_s: float, now: float) -> float:
    """Returns the proof that another instance's echo of a clock reading gives.

    The reading was taken before the echo was sent, so a delay of the echo
    makes the proof older, never newer.

    Args:
        read_at: the own clock reading that is echoed.
        source_age_s: age in seconds of the other instance's proof when it sent
            the echo.
        now: current time.

    Returns:
        the proof; `NEVER` if the echo is not valid.
    """
    if not (source_age_s >= 0 and read_at <= now):
        return NEVER
    return read_at - source_age_s


def may_accept_keys(now: float, max_age_s: float, evidence: Evidence) -> bool:
    """Returns whether no key in force can have been revoked too long ago.

    Args:
        now: current time.
        max_age_s: age up to which a proof is accepted, in seconds.
        evidence: what is known.
    """
    return (
        now - evidence.proved_at <= max_age_s
        and evidence.version >= evidence.newest_announced
        and evidence.peers_had_time
    )


def feed_is_enough(now: float, proved_at: float, max_age_s: float) -> bool:
    """Returns whether a feed's proof is too recent to need a store call."""
    return now - proved_at <= FEED_SHARE * max_age_s


def peers_had_time(waited_s: float, heard: int) -> bool:
    """Returns whether others have had the time to announce a newer version.

    Args:
        waited_s: seconds since the first proof after a start or a restore.
        heard: number of instances that were heard since then.
    """
    return waited_s >= ANNOUNCE_WAIT_S or heard >= ENOUGH_PEERS
