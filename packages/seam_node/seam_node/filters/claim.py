"""Claims the idempotency key of a non-idempotent call before it is sent."""

import asyncio
import hashlib

from seam_model import errors
from seam_node.controllers import claims
from seam_node.filters import base

DIGEST_BYTES = 8


def call_digest(service: str, operation: str, body: bytes) -> bytes:
    """Returns a hash that distinguishes a repeated call from a reused key."""
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (service.encode(), operation.encode(), body):
        state.update(len(part).to_bytes(4, "big"))
        state.update(part)
    return state.digest()


def _may_have_run(error: errors.SeamError) -> bool:
    """Returns whether an earlier call with the key may have run."""
    if isinstance(error, errors.KeyOutsideWindow):
        return error.may_have_run
    return isinstance(error, errors.OutcomeUnknown | errors.OutcomeNotKept)


class ClaimFilter(base.Filter):
    """Sends each non-idempotent call at most once."""

    name = "claim"

    def __init__(self, controller: claims.ClaimController):
        """Takes the claim controller."""
        self._claims = controller

    async def apply(
        self, ctx: base.Context, proceed: base.Proceed
    ) -> base.Result:
        """Claims the key, runs the next filter, and records the outcome."""
        call = ctx.call
        if call.idempotent:
            return await proceed(ctx)
        digest = call_digest(call.service, call.operation, call.body)
        try:
            async with asyncio.timeout(max(0.0, ctx.remaining_s())):
                claimed = await self._claims.claim(call.key, digest)
        except TimeoutError:
            # The cancelled claim releases itself once the platform answers.
            return base.fail(errors.DeadlinePassed(self.name))
        if claimed.is_error():
            ctx.reached_endpoint = _may_have_run(claimed.error)
            return base.fail(claimed.error)
        claim = claimed.ok
        if claim.reply is not None:
            ctx.note(self.name, "answered from the recorded outcome")
            ctx.reply = claim.reply
            return base.OK
        result = await proceed(ctx)
        if ctx.reply is not None:
            self._claims.record(claim, ctx.reply)
        elif not ctx.reached_endpoint:
            self._claims.release(claim)
        return result
