"""Encodes typed errors as HTTP answers."""

import attrs

from seam_model import codec
from seam_model import endpoint_errors
from seam_model import errors
from seam_model import operator_errors
from seam_model import requests

_STATUS: dict[type[errors.SeamError], int] = {
    errors.BadInput: 400,
    errors.BodyUnreadable: 400,
    operator_errors.InputInvalid: 400,
    errors.KeyOutsideWindow: 400,
    errors.WorkspaceUnknown: 401,
    operator_errors.TokenUnknown: 401,
    operator_errors.Denied: 403,
    operator_errors.NotFound: 404,
    errors.ModelUnknown: 404,
    errors.ServiceUnknown: 404,
    errors.IdTaken: 409,
    errors.RunUnknown: 404,
    endpoint_errors.StreamUnknown: 410,
    errors.BodyTooSlow: 408,
    errors.AlreadyEnded: 409,
    errors.AlreadyRunning: 409,
    operator_errors.ConfigConflict: 409,
    errors.BodyTooLarge: 413,
    errors.ConfigInvalid: 422,
    errors.LimitExceeded: 429,
    errors.Internal: 500,
    errors.DeadlinePassed: 504,
    errors.KeyReused: 409,
    errors.OutcomeUnknown: 502,
    errors.OutcomeNotKept: 502,
    endpoint_errors.EndpointLost: 502,
}
DEFAULT_STATUS = 503


@attrs.frozen
class RefusalBody:
    """The JSON body of a refusal."""

    error: str
    detail: str
    ran: str
    retry_after_s: float
    instances: tuple[str, ...]


def status_of(error: errors.SeamError) -> int:
    """Returns the HTTP status of an error."""
    return _STATUS.get(type(error), DEFAULT_STATUS)


def body_of(refusal: requests.Refusal) -> bytes:
    """Encodes a refusal as JSON."""
    return codec.to_json(
        RefusalBody(
            error=refusal.error.code,
            detail=refusal.error.describe(),
            ran=refusal.ran.value,
            retry_after_s=round(refusal.retry_after_s, 3),
            instances=refusal.instances,
        )
    )


def event_of(refusal: requests.Refusal) -> bytes:
    """Encodes a refusal as the last event of a started stream."""
    return b"event: error\ndata: " + body_of(refusal) + b"\n\n"
