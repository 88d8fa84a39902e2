"""How callers and endpoints spell requests and answers on a platform."""

import abc

import attrs
import expression
from tornado import httputil

from seam_model import errors
from seam_model import forwarding


@attrs.frozen
class SendOptions:
    """What goes with a request besides what the caller sent."""

    remaining_s: float
    """Time that the endpoint may spend."""
    kv_source: forwarding.KvSource | None = None
    hold_id: str = ""
    """Reservation of a decode place at the endpoint."""
    rank: int | None = None
    """Urgency among the engine's requests; None leaves the default."""
    last_event_id: int = 0
    """Last event that has been delivered; the engine goes on after it."""


@attrs.frozen
class EngineReport:
    """What an engine says of orders that it was given."""

    busy: bool
    """Whether it still carries one out."""
    accepted_orders: int
    """Orders that it accepted since its start."""


@attrs.frozen
class StageOrder:
    """An order to change an engine's stage."""

    stage: forwarding.Stage
    fencing_token: int
    """Rises with each holder of the lease for orders."""
    expected_accepted_orders: int
    """Orders that the engine must have accepted for this one to hold."""


class Wire(abc.ABC):
    """Translates between HTTP messages and the product's types."""

    @abc.abstractmethod
    def decode_request(
        self,
        start: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
        body: bytes,
    ) -> expression.Result[forwarding.ForwardRequest, errors.BadInput]:
        """Returns a caller's request without the fields that are ours."""

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
        """Decodes the answer to a prefill; None if it can't be read."""

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
        """Decodes a reservation's id; empty if it can't be read."""

    @abc.abstractmethod
    def release_hold_call(
        self, endpoint: forwarding.Endpoint, hold: str
    ) -> forwarding.EndpointCall:
        """Returns the call that gives a reservation back."""

    @abc.abstractmethod
    def release_kv_call(
        self, endpoint: forwarding.Endpoint, handle: str
    ) -> forwarding.EndpointCall:
        """Returns the call that frees a prefilled KV cache."""

    @abc.abstractmethod
    def report_call(
        self, endpoint: forwarding.Endpoint
    ) -> forwarding.EndpointCall:
        """Returns the call that asks an engine for its report."""

    @abc.abstractmethod
    def decode_report(self, body: bytes) -> EngineReport | None:
        """Decodes a report; None if it can't be read."""

    @abc.abstractmethod
    def stage_order_call(
        self, endpoint: forwarding.Endpoint, order: StageOrder
    ) -> forwarding.EndpointCall:
        """Returns the call that gives an engine an order."""

    @abc.abstractmethod
    def decode_answer_head(
        self,
        start: httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> forwarding.AnswerHead:
        """Decodes the head of an endpoint's answer."""

    @abc.abstractmethod
    def retry_after_field(self, seconds: float) -> forwarding.HeaderField:
        """Returns the header field that tells a caller when to return."""

    @abc.abstractmethod
    def decode_event_id(self, event: bytes) -> int | None:
        """Returns the id of one event of a stream, if it has any."""
