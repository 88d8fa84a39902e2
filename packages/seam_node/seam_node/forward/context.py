"""One forwarded request on its way through the filters."""

import abc
from collections.abc import Awaitable
from collections.abc import Callable

import attrs

from seam_model import forwarding
from seam_policy import kv_forecast


class CallerAnswer(abc.ABC):
    """Where the answer to one caller goes."""

    @abc.abstractmethod
    def start(self, head: forwarding.AnswerHead) -> None:
        """Sends the head of an answer whose body follows in pieces."""

    @abc.abstractmethod
    def write(self, chunk: bytes) -> Awaitable[None]:
        """Sends bytes of the body."""

    @abc.abstractmethod
    def finish(self) -> None:
        """Ends the answer as complete."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Closes the connection, so that the answer is seen to be cut off."""

    @abc.abstractmethod
    def whole(
        self,
        status: int,
        reason: str,
        fields: tuple[forwarding.HeaderField, ...],
        body: bytes,
    ) -> None:
        """Sends a complete answer."""

    @property
    @abc.abstractmethod
    def started(self) -> bool:
        """Whether the head has been sent."""


@attrs.frozen
class DecodePlace:
    """A place at a decode engine that is kept for one request."""

    endpoint: forwarding.Endpoint
    hold: str
    """Reservation at the engine; empty if it offers none."""
    stream: str
    """Names the stream among this instance's at the engine."""


@attrs.frozen
class PrefilledKv:
    """KV cache of a prompt at the engine that computed it."""

    endpoint: forwarding.Endpoint
    handle: str


@attrs.define(eq=False)
class ForwardContext:
    """What the filters know of one request."""

    req: forwarding.ForwardRequest
    answer: CallerAnswer
    arrived_at: float
    """Seconds on the clock that counts frozen time."""
    now: Callable[[], float]
    table: forwarding.RouteTable | None = None
    route: forwarding.Route | None = None
    service: forwarding.ServiceSpec | None = None
    deadline_at: float = 0.0
    tried: list[str] = attrs.field(factory=list)
    """Keys of the endpoints that the request was sent to, in order."""
    sends: int = 0
    reached_endpoint: bool = False
    """Whether the request may have run."""
    refused_by: set[str] = attrs.field(factory=set)
    """Keys of endpoints that failed or refused it."""
    returned: bool = False
    """Whether its caller asked before and was sent away."""
    size: kv_forecast.StreamSize | None = None
    place: DecodePlace | None = None
    hold_used: bool = False
    """Whether the place and the KV cache went with a send."""
    kv: PrefilledKv | None = None
    prefills: int = 0
    retry_after_s: float = 0.5
    status: int = 0
    """Status that the caller got."""
    first_byte_at: float | None = None
    last_byte_at: float = 0.0
    events: int = 0
    """Events of a stream that were passed on."""
    longest_gap_s: float = 0.0
    """Longest pause between pieces of a stream."""
    placed_at: float | None = None
    """When a decode place was reserved."""
    prefilled_at: float | None = None
    last_event_id: int = 0
    """Last event that was passed on to the caller."""

    def since_arrival_s(self, at: float | None) -> float:
        """Returns the seconds from arrival to a time; -1 if there is none."""
        return -1 if at is None else round(at - self.arrived_at, 4)

    def remaining_s(self) -> float:
        """Returns the seconds left until the deadline."""
        return self.deadline_at - self.now()

    def age_s(self) -> float:
        """Returns the seconds since arrival."""
        return self.now() - self.arrived_at

    def may_try(self, key: str) -> bool:
        """Tells whether the route allows a send to this endpoint."""
        if key in self.tried:
            return True
        return len(set(self.tried)) < self.route.max_attempts

    def note_sent(self, key: str) -> None:
        """Records that the request goes to an endpoint now."""
        self.tried.append(key)
        self.sends += 1
