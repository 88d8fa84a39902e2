"""Statuses of refusals: 503 only for what has not run."""

import pytest

from seam_model import errors
from seam_node.forward import refusals

FAILURES = [
    errors.DeadlinePassed("endpoint"),
    errors.EndpointLost("e"),
    errors.EndpointRefused("e", 503),
    errors.NoEndpoint("s"),
    errors.RetryBudgetSpent(),
    errors.Internal("ValueError"),
]


@pytest.mark.parametrize("error", FAILURES)
def test_what_may_have_run_is_never_promised_not_to(error):
    refusal = refusals.refusal_for(error, may_have_run=True)
    assert refusal.status in (502, 504)
    assert not refusal.retry


@pytest.mark.parametrize("error", FAILURES)
def test_what_has_not_run_may_come_back(error):
    refusal = refusals.refusal_for(error, may_have_run=False)
    assert refusal.status == 503
    assert refusal.retry


def test_faults_of_the_caller():
    bad = errors.BadInput("Token-Count", "x", "two whole numbers")
    assert refusals.refusal_for(bad, False).status == 400
    assert (
        refusals.refusal_for(errors.RouteUnknown("h", 1), False).status == 404
    )
