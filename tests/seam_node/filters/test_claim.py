"""Refused idempotency keys report whether an earlier call may have run.

A key outside the window is refused before the call is sent. An earlier call
with the key may have run, unless no instance could have accepted the key yet.
"""

import random

from seam_model import claims as claim_model
from seam_model import ids
from seam_model import requests
from seam_node.controllers import claims
from seam_node.controllers import runs
from seam_node.filters import base
from seam_node.filters import claim
from tests.seam_node.controllers import claim_fakes

MAX_AHEAD_S = claim_model.FUTURE_S + claim_model.DELETE_MARGIN_S


def refused_context(age_s):
    """Sends a call whose key has the given age; returns its context."""

    async def proceed(ctx):
        raise AssertionError("the call was sent")

    async def main():
        clock = claim_fakes.Clock()
        controller = claims.ClaimController(
            "a",
            claim_fakes.Platform(),
            claim_fakes.Network().link("a"),
            clock,
            lambda shard: "a",
            random.Random(1),
        )
        key = ids.make_uuid7(clock.wall() - age_s, random.Random(2))
        ctx = base.Context(
            base.RawRequest(b"{}", {}),
            None,
            0.0,
            runs.Trace(""),
            clock.monotonic,
        )
        ctx.call = requests.ServiceRequest(
            "s", "op", "w", requests.Rank.OTHER, b"", 5.0, False, key
        )
        result = await claim.ClaimFilter(controller).apply(ctx, proceed)
        assert result.error.code == "key_outside_window"
        return ctx

    return claim_fakes.run(main())


def test_call_with_an_expired_key_may_have_run():
    assert refused_context(claim_model.WINDOW_S + 1).reached_endpoint


def test_key_ahead_of_a_slow_clock_may_have_run_elsewhere():
    assert refused_context(-claim_model.FUTURE_S - 1).reached_endpoint


def test_key_ahead_of_every_clock_within_bounds_has_not_run():
    assert not refused_context(-MAX_AHEAD_S - 1).reached_endpoint
