"""Port to a platform's HTTP encoding of requests and answers."""

import abc

import attrs
import expression
from tornado import httputil

from seam_model import errors
from seam_model import forwarding


@attrs.frozen
class SendOptions:
    """Data that is sent to an endpoint in addition to the caller's request."""

    remaining_s: float
    """Longest time that the endpoint may spend on the request."""
    kv_source: forwarding.KvSource | None = None
    hold_id: str = ""
    """Id of the decode place reservation at the endpoint; empty for none."""
    rank: int | None = None
    """Priority among the engine's requests; None for the engine's default."""
    last_event_id: int = 0
    """Id of the last delivered event, after which the engine resumes."""
    workspace: str = ""
    """Name of the caller's workspace; empty for none."""


@attrs.frozen
class EngineReport:
    """An engine's report on the stage orders that it received."""

    busy: bool
    """Whether an order is still in progress."""
    accepted_orders: int
    """Number of orders accepted since the engine started."""


@attrs.frozen
class StageOrder:
    """An order to change an engine's stage."""

    stage: forwarding.Stage
    fencing_token: int
    """Increases with each new holder of the lease for stage orders."""
    expected_accepted_orders: int
    """Precondition: number of orders that the engine has accepted before."""


class Wire(abc.ABC):
    """Converts between HTTP messages and the router's types.

    Methods named `..._call` build a call to an endpoint; methods named
    `decode_...` parse what came from a caller or an endpoint.
    """

    @abc.abstractmethod
    def decode_request(
        self,
        start: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
        body: bytes,
    ) -> expression.Result[forwarding.ForwardRequest, errors.BadInput]:
        """Decodes a caller's request, without headers that the router sets."""

    @abc.abstractmethod
    def forward_call(
        self,
        req: forwarding.ForwardRequest,
        endpoint: forwarding.Endpoint,
        options: SendOptions,
    ) -> forwarding.EndpointCall:
        """Returns the call that runs a request at an endpoint."""

    @abc.abstractmethod
    def prefill_call(
        self,
        req: forwarding.ForwardRequest,
        endpoint: forwarding.Endpoint,
        options: SendOptions,
    ) -> forwarding.EndpointCall:
        """Returns the call that computes a prompt's KV cache."""

    @abc.abstractmethod
    def decode_prefill_done(self, body: bytes) -> forwarding.PrefillDone | None:
        """Decodes the answer to a prefill; None if it is malformed."""

    @abc.abstractmethod
    def acquire_hold_call(
        self,
        endpoint: forwarding.Endpoint,
        tokens: int,
        ttl_s: float,
    ) -> forwarding.EndpointCall:
        """Returns the call that reserves a decode place."""

    @abc.abstractmethod
    def decode_hold_id(self, body: bytes) -> str:
        """Decodes a reservation's id; empty if the body is malformed."""

    @abc.abstractmethod
    def release_hold_call(
        self, endpoint: forwarding.Endpoint, hold: str
    ) -> forwarding.EndpointCall:
        """Returns the call that releases a decode place reservation."""

    @abc.abstractmethod
    def release_kv_call(
        self, endpoint: forwarding.Endpoint, handle: str
    ) -> forwarding.EndpointCall:
        """Returns the call that frees a prefilled KV cache."""

    @abc.abstractmethod
    def report_call(
        self, endpoint: forwarding.Endpoint
    ) -> forwarding.EndpointCall:
        """Returns the call that requests an engine's report."""

    @abc.abstractmethod
    def decode_report(self, body: bytes) -> EngineReport | None:
        """Decodes an engine's report; None if it is malformed."""

    @abc.abstractmethod
    def stage_order_call(
        self, endpoint: forwarding.Endpoint, order: StageOrder
    ) -> forwarding.EndpointCall:
        """Returns the call that sends a stage order to an engine."""

    @abc.abstractmethod
    def decode_answer_head(
        self,
        start: httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> forwarding.AnswerHead:
        """Decodes the status line and headers of an endpoint's answer."""

    @abc.abstractmethod
    def retry_after_field(self, seconds: float) -> forwarding.HeaderField:
        """Returns the header field that tells a caller when to retry."""

    @abc.abstractmethod
    def decode_event_id(self, event: bytes) -> int | None:
        """Returns the id of a stream event, or None if it has none."""
