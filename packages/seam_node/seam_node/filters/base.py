"""Request context and base class for the filters of callers' requests."""

import abc
from collections.abc import Callable
from collections.abc import Mapping

import attrs

from seam_model import config
from seam_model import endpoints
from seam_model import errors
from seam_model import requests
from seam_node import chain
from seam_node.controllers import runs
from seam_node.ports import engine

KV_RETRY_MARGIN_S = 0.1
"""Minimum remaining lifetime of a KV cache for another transfer."""

Result = chain.Result
Proceed = chain.Proceed
Chain = chain.Chain
OK = chain.OK
fail = chain.fail


class Sink(abc.ABC):
    """Destination of the response stream of one caller."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> bool:
        """Sends bytes of a stream; returns False if the caller disconnected.

        The callback of `on_disconnect` is called before False is returned.
        """

    @abc.abstractmethod
    def is_disconnected(self) -> bool:
        """Returns whether the caller's connection has closed."""

    @abc.abstractmethod
    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Sets a callback that is called once when the connection closes."""


@attrs.frozen
class RawRequest:
    """An unparsed request as received from a caller."""

    body: bytes
    headers: Mapping[str, str]
    """Header names in lower case."""
    service: str = ""
    operation: str = ""
    receive_error: errors.SeamError | None = None
    """Error that occurred while the body was received."""


@attrs.frozen
class KvCacheRef:
    """KV cache of a finished prefill, valid until decoded or expired."""

    engine: str
    url: str
    handle: str
    expires_at: float
    """Monotonic time, in seconds."""
    transfer_s: float
    """Expected duration of a transfer to the decode engine."""


@attrs.define(eq=False)
class Context:
    """State of one request while it is processed by the filters."""

    raw: RawRequest
    sink: Sink
    arrived_at: float
    """Monotonic time of arrival, in seconds."""
    trace: runs.Trace
    now: Callable[[], float]
    generate: requests.GenerateRequest | None = None
    call: requests.ServiceRequest | None = None
    effective: config.Defaults | None = None
    """Defaults with the exceptions for this request applied."""
    run: runs.Run | None = None
    stream: engine.DecodeStream | None = None
    decode: endpoints.EndpointRecord | None = None
    reply: requests.ServiceReply | None = None
    refusal: requests.Refusal | None = None
    retry_after_s: float = 1.0
    slot_free_at: float = 0.0
    """Monotonic time at which the granted decode slot should be free."""
    kv: KvCacheRef | None = None
    """KV cache of the last prefill, which a retry may reuse."""
    attempt: int = 0
    excluded: set[str] = attrs.field(factory=set)
    """Endpoints that a retry avoids because they failed this request."""
    reached_endpoint: bool = False
    """Whether a byte of the request may have reached an endpoint."""
    next_seq: int = 1
    """Id of the next event to send to the caller."""
    first_token_at: float | None = None
    tokens: int = 0
    resumed: bool = False

    def note(self, name: str, what: str) -> None:
        """Adds a step to the request's trace."""
        at_s = round(self.now() - self.arrived_at, 4)
        self.trace.steps.append(runs.Step(at_s, name, what))

    def has_usable_kv(self) -> bool:
        """Returns whether a retry can reuse an earlier attempt's KV cache."""
        if self.kv is None:
            return False
        return self.kv.expires_at - self.now() >= KV_RETRY_MARGIN_S

    def remaining_s(self) -> float:
        """Returns the seconds left until the request's deadline."""
        req = self.generate or self.call
        return self.arrived_at + req.deadline_s - self.now()


def make_context(
    raw: RawRequest, sink: Sink, now: Callable[[], float]
) -> Context:
    """Returns the context of a request that has just arrived."""
    return Context(raw, sink, now(), runs.Trace(""), now)


class Filter(chain.Filter[Context]):
    """Filter of callers' requests; `name` identifies it in traces."""

    name = "filter"
