"""State of a forwarded request while it passes the filters."""

import abc
from collections.abc import Awaitable
from collections.abc import Callable

import attrs

from seam_model import errors
from seam_model import forwarding
from seam_model import workspace_config
from seam_node.forward.endpoints import exchange
from seam_node.forward.fleet import messages
from seam_node.forward.quota import gate

SMALL_BODY_BYTES = 16 * 1024
"""Size up to which a body is kept until its request ends."""


class CallerAnswer(abc.ABC):
    """Sends the answer to one caller."""

    @abc.abstractmethod
    def start(self, head: forwarding.AnswerHead) -> None:
        """Sends the head of an answer whose body follows in chunks."""

    @abc.abstractmethod
    def write(self, chunk: bytes) -> Awaitable[None] | None:
        """Sends bytes of the body, now or when the caller reads them.

        Returns what to wait for before more may follow, or None.
        """

    @abc.abstractmethod
    def finish(self) -> None:
        """Ends a complete answer."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Closes the connection, so that the caller detects the truncation."""

    @abc.abstractmethod
    def send_complete(
        self,
        status: int,
        reason: str,
        fields: tuple[forwarding.HeaderField, ...],
        body: bytes,
    ) -> None:
        """Sends a complete answer."""

    @abc.abstractmethod
    def take_memory(self, size: int) -> bool:
        """Takes memory for bytes of the answer; returns whether there is room.

        It is given back once the answer has been sent.
        """

    @property
    @abc.abstractmethod
    def started(self) -> bool:
        """Whether the head has been sent."""


@attrs.frozen
class Placement:
    """A place at engines that was granted to one request."""

    number: int
    """Number of the stream among this instance's streams."""
    decode: forwarding.Endpoint
    prefill: forwarding.Endpoint | None
    """None to prefill at the decode engine."""
    queued_s: float
    """Expected wait of the prompt at the prefill engine."""
    placer: str
    """Name of the instance that granted it."""


@attrs.frozen
class PrefilledKv:
    """A prompt's KV cache at the prefill engine that computed it."""

    endpoint: forwarding.Endpoint
    handle: str
    kept_until: float
    """Time until which a decode engine can still fetch it."""


class StartLimit(abc.ABC):
    """Limits the time until which a request may be sent to an endpoint."""

    @abc.abstractmethod
    def apply(self) -> None:
        """Sets the time anew, as the request was sent, placed or refused."""

    @abc.abstractmethod
    def error(self) -> errors.SeamError | None:
        """Returns why the request must not be sent any more, or None."""


@attrs.define(eq=False)
class ForwardContext(exchange.BodyWriteObserver):
    """State of one request, shared by the filters."""

    req: forwarding.ForwardRequest
    answer: CallerAnswer
    arrived_at: float
    """Arrival time on a monotonic clock that includes suspended time."""
    now: Callable[[], float]
    on_body_released: Callable[[], None] | None = None
    """Called when the body is let go before the request ends."""
    body_writes: int = 0
    """Copies of the body that are still being written to endpoints."""
    is_body_released: bool = False
    """Whether the request no longer holds its body."""
    table: forwarding.RouteTable | None = None
    route: forwarding.Route | None = None
    service: forwarding.ServiceSpec | None = None
    workspace: workspace_config.Workspace | None = None
    """None if the request needs no key."""
    charge: gate.Charge | None = None
    """What was counted against the workspace's quota; None without one."""
    deadline_at: float = 0.0
    tried: list[str] = attrs.field(factory=list)
    """Keys of the endpoints that the request was sent to, in order."""
    used_conns: list[int] = attrs.field(factory=list)
    """Numbers of the connections to endpoints that carried the request, in
    order."""
    sends: int = 0
    start_limit: StartLimit | None = None
    """None if the request does not wait before it is sent."""
    reached_endpoint: bool = False
    """Whether an endpoint may have executed the request."""
    failed_keys: set[str] = attrs.field(factory=set)
    """Keys of endpoints that failed or refused the request."""
    late: bool = False
    """Whether the request can no longer meet its latency target."""
    placement: Placement | None = None
    hold_id: str = ""
    """Id of the engine's own hold; empty if it offers none."""
    outcome: messages.Outcome = messages.Outcome.UNKNOWN
    """How the decode engine did."""
    engine_crashed: bool = False
    """Whether the last engine crashed before the first event."""
    prompt_trial: bool = False
    """Whether this request may try a prompt that is in quarantine."""
    hold_used: bool = False
    """Whether the hold was sent to an engine."""
    kv: PrefilledKv | None = None
    """KV cache that no decode engine has been told of yet, or that is being
    fetched."""
    prefills: int = 0
    retry_after_s: float = 0.5
    status: int = 0
    """HTTP status sent to the caller; 0 if none."""
    first_byte_at: float | None = None
    last_byte_at: float = 0.0
    events: int = 0
    """Number of stream events forwarded to the caller."""
    longest_gap_s: float = 0.0
    """Longest pause between chunks of a stream."""
    reserved_at: float | None = None
    """Time at which the decode engine held a place."""
    prefilled_at: float | None = None
    last_event_id: int = 0
    """Id of the last event forwarded to the caller."""

    def since_arrival_s(self, at: float | None) -> float:
        """Returns the seconds from arrival to a time; -1 if it is None."""
        return -1 if at is None else round(at - self.arrived_at, 4)

    def remaining_s(self) -> float:
        """Returns the seconds left until the deadline."""
        return self.deadline_at - self.now()

    def age_s(self) -> float:
        """Returns the seconds since arrival."""
        return self.now() - self.arrived_at

    def rank(self) -> int:
        """Returns the request's priority; 0 is served first."""
        if self.workspace is None or self.workspace.rank is None:
            return self.route.rank
        return self.workspace.rank

    def workspace_name(self) -> str:
        """Returns the name of the caller's workspace; empty without one."""
        return "" if self.workspace is None else self.workspace.name

    def engine_rank(self) -> int:
        """Returns the request's priority at engines, lowest first."""
        return 2 * self.rank() + self.late

    def only_keys(self) -> tuple[str, ...]:
        """Returns the engines still allowed by the route; empty for all."""
        tried = set(self.tried)
        return tuple(tried) if len(tried) >= self.route.max_attempts else ()

    def release_body(self) -> None:
        """Lets a large body go, as the request will not be sent again."""
        if len(self.req.body) <= SMALL_BODY_BYTES:
            return
        self.req = attrs.evolve(self.req, body=b"")
        self.is_body_released = True
        self._report_body_released()

    def body_write_started(self) -> None:
        """Records that the body begins to be written to an endpoint."""
        self.body_writes += 1

    def body_write_ended(self) -> None:
        """Records that a copy was written, or that its connection closed."""
        self.body_writes -= 1
        self._report_body_released()

    def _report_body_released(self) -> None:
        """Reports once neither the request nor a connection holds the body."""
        if not self.is_body_released or self.body_writes:
            return
        if self.on_body_released is not None:
            self.on_body_released()

    def apply_start_limit(self) -> None:
        """Limits the time to send the request, as its state has changed."""
        if self.start_limit is not None:
            self.start_limit.apply()

    def start_error(self) -> errors.SeamError | None:
        """Returns why the request must not be sent any more, or None."""
        return None if self.start_limit is None else self.start_limit.error()

    def record_sent(self, key: str) -> None:
        """Records that the request is sent to an endpoint."""
        self.tried.append(key)
        self.sends += 1
