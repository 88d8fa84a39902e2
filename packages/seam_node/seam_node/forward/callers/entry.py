"""Selects the instances to return to a caller's entry query."""

from collections.abc import Sequence

import attrs

from seam_model import forwarding
from seam_node.forward.fleet import messages

MAX_ADDRESSES = 64
MIN_LOCAL_ADDRESSES = 2
"""With fewer instances in the caller's data centre, others are added."""


@attrs.frozen
class EntryAnswer:
    """Addresses that a caller may use, in no particular order."""

    addresses: tuple[forwarding.Address, ...]
    cache_s: float


def choose(
    live: Sequence[messages.Heartbeat],
    data_centre: str,
    cache_s: float,
) -> EntryAnswer:
    """Returns serving instances, preferably of the caller's data centre.

    Args:
        live: latest heartbeats of live instances, including this one.
        data_centre: data centre of the caller.
        cache_s: how long the caller may cache the answer.
    """
    serving = sorted(
        (heartbeat for heartbeat in live if heartbeat.serving),
        key=lambda heartbeat: heartbeat.entry.name,
    )
    local = [
        heartbeat
        for heartbeat in serving
        if heartbeat.entry.data_centre == data_centre
    ]
    chosen = local if len(local) >= MIN_LOCAL_ADDRESSES else serving
    addresses = tuple(
        heartbeat.entry.callers for heartbeat in chosen[:MAX_ADDRESSES]
    )
    return EntryAnswer(addresses, cache_s)
