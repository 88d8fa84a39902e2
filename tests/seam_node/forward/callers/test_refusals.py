"""Tests of the statuses of refusals: 503 only if the request has not run."""

import pytest

from seam_model import endpoint_errors
from seam_model import errors
from seam_node.forward.callers import refusals

FAILURES = [
    errors.DeadlinePassed("endpoint"),
    endpoint_errors.EndpointLost("e"),
    endpoint_errors.EndpointRefused("e", 503),
    errors.NoEndpoint("s"),
    errors.RetryBudgetSpent(),
    errors.Internal("ValueError"),
]


@pytest.mark.parametrize("error", FAILURES)
def test_errors_after_a_possible_run_do_not_guarantee_anything(error):
    refusal = refusals.refusal_for(error, may_have_run=True)
    assert refusal.status in (502, 504)
    assert not refusal.retry


@pytest.mark.parametrize("error", FAILURES)
def test_errors_before_a_run_allow_a_retry(error):
    refusal = refusals.refusal_for(error, may_have_run=False)
    assert refusal.status == 503
    assert refusal.retry


def test_errors_of_the_caller():
    bad = errors.BadInput("Token-Count", "x", "two whole numbers")
    assert refusals.refusal_for(bad, False).status == 400
    assert (
        refusals.refusal_for(errors.RouteUnknown("h", 1), False).status == 404
    )
