"""Retries model requests whose attempt failed, where that is safe."""

from seam_model import endpoint_errors
from seam_model import errors
from seam_node import logs
from seam_node.forward.callers import context
from seam_node.forward.endpoints import request_sender
from seam_node.forward.filters import base
from seam_node.forward.placement import prompt_guard

MAX_ATTEMPTS = 3
MIN_TIME_LEFT_S = 0.3
"""Remaining time that another attempt requires at least."""

_NOT_EXECUTED = (
    endpoint_errors.EndpointRefused,
    endpoint_errors.EndpointUnreachable,
    endpoint_errors.EndpointMisdirected,
    endpoint_errors.KvExpired,
)
_MAY_HAVE_RUN = (endpoint_errors.EndpointLost, endpoint_errors.AnswerInvalid)


class AttemptFilter(base.ForwardFilter):
    """Runs the rest of the chain once for each attempt."""

    def __init__(
        self,
        sender: request_sender.RequestSender,
        prompts: prompt_guard.PromptGuard,
        log: logs.Log,
    ):
        """Takes the sender, which holds the retry budget, and the log.

        `prompts` tells which prompts may be repeated after a crash.
        """
        self._sender = sender
        self._prompts = prompts
        self._log = log

    async def apply(
        self, ctx: context.ForwardContext, proceed: base.Proceed
    ) -> base.Result:
        """Runs attempts until one succeeds or no retry is allowed."""
        for number in range(1, MAX_ATTEMPTS + 1):
            result = await proceed(ctx)
            if result.is_ok():
                return result
            if number == MAX_ATTEMPTS or not self._may_retry(ctx, result.error):
                return result
            self._log.event(
                "attempt_repeated",
                request=ctx.req.id,
                code=result.error.code,
                number=number,
                after_event=ctx.last_event_id,
                left_s=round(ctx.remaining_s(), 3),
            )
        return result

    def _may_retry(
        self, ctx: context.ForwardContext, error: errors.SeamError
    ) -> bool:
        if ctx.remaining_s() < MIN_TIME_LEFT_S:
            return False
        if isinstance(error, _MAY_HAVE_RUN):
            if not ctx.route.resumable:
                return False
            if ctx.sends >= ctx.route.max_attempts:
                return False
            if ctx.engine_crashed and not self._prompts.is_sound(ctx):
                return False
        elif not isinstance(error, _NOT_EXECUTED):
            return False
        return self._sender.take_retry(ctx)
