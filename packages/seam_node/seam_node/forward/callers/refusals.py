"""Maps errors to the HTTP statuses of refusals.

429 and 503 guarantee that the request has not run and never will; 502 and 504
guarantee nothing. Only this module decides between them.
"""

import http

import attrs

from seam_model import errors


@attrs.frozen
class Refusal:
    """Status of a refusal and whether it gets a Retry-After field."""

    status: http.HTTPStatus
    retry: bool


_FIXED = {
    errors.BadInput: http.HTTPStatus.BAD_REQUEST,
    errors.RouteUnknown: http.HTTPStatus.NOT_FOUND,
}


def refusal_for(error: errors.SeamError, may_have_run: bool) -> Refusal:
    """Returns the refusal for an error.

    Args:
        error: why the request failed.
        may_have_run: whether an endpoint may have run it or may still run it.
    """
    fixed = _FIXED.get(type(error))
    if fixed is not None:
        return Refusal(fixed, False)
    if not may_have_run:
        return Refusal(http.HTTPStatus.SERVICE_UNAVAILABLE, True)
    if isinstance(error, errors.DeadlinePassed):
        return Refusal(http.HTTPStatus.GATEWAY_TIMEOUT, False)
    return Refusal(http.HTTPStatus.BAD_GATEWAY, False)
