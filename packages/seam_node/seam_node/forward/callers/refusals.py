"""Decides which statuses callers get when a request is not served.

408, 421, 429 and 503 guarantee that the request has not run and never will; 502
and 504 guarantee nothing. Only this module decides between them.
"""

import http

import attrs

from seam_model import errors
from seam_model import forwarding


@attrs.frozen
class Refusal:
    """Status of a refusal and whether it gets a Retry-After field."""

    status: http.HTTPStatus
    retry: bool


_NOT_RUN_STATUSES = frozenset(
    {
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
_FIXED = {
    errors.BadInput: http.HTTPStatus.BAD_REQUEST,
    errors.KeyUnknown: http.HTTPStatus.UNAUTHORIZED,
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
        if isinstance(error, errors.QuotaExceeded):
            return Refusal(http.HTTPStatus.TOO_MANY_REQUESTS, True)
        return Refusal(http.HTTPStatus.SERVICE_UNAVAILABLE, True)
    if isinstance(error, errors.DeadlinePassed):
        return Refusal(http.HTTPStatus.GATEWAY_TIMEOUT, False)
    return Refusal(http.HTTPStatus.BAD_GATEWAY, False)


def for_caller(head: forwarding.AnswerHead) -> forwarding.AnswerHead:
    """Returns the head that a caller gets of an endpoint's answer to a run.

    A run may have failed with a status that would tell the caller that nothing
    has run. The caller gets the rest of the answer with a status that tells
    nothing.
    """
    if head.status not in _NOT_RUN_STATUSES:
        return head
    status = http.HTTPStatus.BAD_GATEWAY
    return attrs.evolve(
        head,
        status=status.value,
        reason=status.phrase,
        fields=tuple(
            each for each in head.fields if each.name not in head.status_fields
        ),
    )
