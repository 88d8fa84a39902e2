"""Datagrams by which instances place plain calls.

The state that they carry is soft: a lost datagram is repeated, or its effect
expires. Times are in seconds.
"""

import enum

import attrs

from seam_node.forward.fleet import messages


@attrs.frozen
class ServiceAsk:
    """Asks a placer for an endpoint; repeated until it is answered."""

    holder: str
    incarnation: int
    number: int
    """Number of the call among those of the holder's incarnation."""
    request_id: str
    service: str
    route: str
    rank: int
    workspace: str
    age_s: float
    """Time since the request arrived."""
    deadline_s: float
    """Time that the caller allowed at arrival; negative if it set none."""
    timeout_s: float
    """Time that the route allows from arrival."""
    target_s: float
    """Latency target of the route."""
    data_centre: str
    """Data centre of the holder."""
    avoid: tuple[str, ...] = ()
    """Keys of endpoints that the call must not use."""


class ServiceState(enum.IntEnum):
    """State of a call that waits for an endpoint."""

    QUEUED = 0
    GRANTED = 1
    FULL = 2
    """Refused: no room in time."""
    NO_ENDPOINT = 3
    """Refused: the service has no endpoint that the call may use."""


@attrs.frozen
class ServiceAnswer:
    """A placer's answer to `ServiceAsk`."""

    placer: str
    number: int
    state: ServiceState
    endpoint: str = ""
    """Key of the endpoint's incarnation."""
    retry_after_s: float = 0.0


@attrs.frozen
class ServiceEnded:
    """Tells a placer that a call has ended, or that its ask is withdrawn."""

    holder: str
    incarnation: int
    number: int
    service: str
    endpoint: str
    """Key of the endpoint's incarnation; empty if none was used."""
    outcome: messages.Outcome
    took_s: float
    """Time from sending the call to its complete answer."""


ServiceMessage = ServiceAsk | ServiceAnswer | ServiceEnded
