"""Errors of calls to endpoints."""

import attrs

from seam_model import errors


@attrs.frozen
class EndpointError(errors.SeamError):
    """Base class of errors of engines and services."""

    code = "endpoint"
    endpoint: str


@attrs.frozen
class EndpointUnreachable(EndpointError):
    """The endpoint could not be reached; no byte of the order was received."""

    code = "endpoint_unreachable"


@attrs.frozen
class EndpointGone(EndpointUnreachable):
    """Nothing listens at the endpoint's address any more."""


@attrs.frozen
class EndpointUnavailable(EndpointUnreachable):
    """The endpoint may get no new work now; nothing was sent."""

    code = "endpoint_unavailable"
    reason: str


@attrs.frozen
class EndpointLost(EndpointError):
    """The connection broke or timed out after the order was sent."""

    code = "endpoint_lost"


@attrs.frozen
class EndpointFull(EndpointError):
    """The endpoint refused the order because its slots or memory are full."""

    code = "endpoint_full"


@attrs.frozen
class KvExpired(EndpointError):
    """The KV cache of a finished prefill is no longer available."""

    code = "kv_expired"


@attrs.frozen
class TransferFailed(EndpointError):
    """The KV cache could not be transferred to the decode engine.

    The prefill engine may still hold it.
    """

    code = "transfer_failed"


@attrs.frozen
class StreamUnknown(EndpointError):
    """The engine has no stream of the request."""

    code = "stream_unknown"


@attrs.frozen
class OrderFenced(EndpointError):
    """The engine refused an order because its fencing token is outdated."""

    code = "order_fenced"
    fence: int


@attrs.frozen
class OrderRejected(EndpointError):
    """The endpoint received the order and rejected it."""

    code = "order_rejected"
    status: int


@attrs.frozen
class EndpointRefused(EndpointError):
    """The endpoint stated that it did not execute the request."""

    code = "endpoint_refused"
    status: int


@attrs.frozen
class EndpointPausing(EndpointRefused):
    """It did not execute the request and wants nothing for some time."""

    code = "endpoint_pausing"


@attrs.frozen
class EndpointMisdirected(EndpointError):
    """Another incarnation now listens on the endpoint's address."""

    code = "endpoint_misdirected"


@attrs.frozen
class AnswerInvalid(EndpointError):
    """The endpoint's answer is invalid and is not forwarded."""

    code = "answer_invalid"
    detail: str
