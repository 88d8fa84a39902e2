"""Sends calls of plain services."""

import asyncio
import functools

import expression

from seam_model import endpoint_errors
from seam_model import errors
from seam_node.forward.callers import answer_buffer
from seam_node.forward.callers import context
from seam_node.forward.endpoints import call_stats
from seam_node.forward.endpoints import endpoint_limits
from seam_node.forward.endpoints import request_sender
from seam_node.forward.filters import base
from seam_node.forward.fleet import messages
from seam_node.forward.service_calls import chooser
from seam_node.ports import wire

ATTEMPT_TIME_SHARE = 0.45
"""Timeout of an attempt that may be retried, as a share of the time left."""
MIN_TIME_LEFT_SHARE = 0.2
"""Share of the route's timeout that must be left to retry a server error."""
DEADLINE_MARGIN_S = 0.02
"""A call cancelled with at most this time left counts as timed out."""
MIN_SERVER_ERROR_STATUS = 500
_OUTCOMES = (
    (endpoint_errors.EndpointUnavailable, messages.Outcome.UNKNOWN),
    (endpoint_errors.EndpointPausing, messages.Outcome.UNKNOWN),
    (endpoint_errors.EndpointRefused, messages.Outcome.FULL),
    (endpoint_errors.EndpointUnreachable, messages.Outcome.GONE),
    (endpoint_errors.EndpointMisdirected, messages.Outcome.GONE),
)
"""Outcomes by the error of a call; the first match counts."""

_NO_SAMPLES = (messages.Outcome.UNKNOWN, messages.Outcome.ABANDONED)
"""Outcomes that say nothing of an endpoint."""


class CallFilter(base.ForwardFilter):
    """Sends plain calls, the last filter of their chain.

    Idempotent calls are retried at another endpoint.
    """

    def __init__(
        self,
        endpoint_chooser: chooser.EndpointChooser,
        stats: call_stats.CallStats,
        limits: endpoint_limits.EndpointLimits,
        sender: request_sender.RequestSender,
    ):
        """Creates the filter.

        Args:
            endpoint_chooser: chooses the endpoint of each attempt.
            stats: statistics of the endpoints.
            limits: rate limits of the endpoints.
            sender: sends requests and holds the retry budget.
        """
        self._chooser = endpoint_chooser
        self._stats = stats
        self._limits = limits
        self._sender = sender

    async def apply(
        self, ctx: context.ForwardContext, proceed: base.Proceed
    ) -> base.Result:
        """Sends the call until it succeeds or no retry is allowed."""
        del proceed
        last_reply: answer_buffer.AnswerBuffer | None = None
        error: errors.SeamError = errors.NoEndpoint(ctx.service.name)
        while True:
            chosen = await self._chooser.choose(ctx, error)
            if chosen.is_error():
                return _finish(ctx, last_reply, chosen.error)
            choice = chosen.ok
            if ctx.sends and not self._sender.take_retry(ctx):
                self._chooser.ended(choice, messages.Outcome.UNKNOWN, 0.0)
                return _finish(ctx, last_reply, errors.RetryBudgetSpent())
            answer = answer_buffer.AnswerBuffer(ctx)
            sent = await self._send(ctx, choice, answer)
            if sent.is_ok():
                last_reply = answer
                if not _may_retry_server_error(ctx, answer.status):
                    return _finish(ctx, last_reply, error)
            elif not _may_retry_failure(ctx, sent.error):
                return _finish(ctx, last_reply, sent.error)
            else:
                error = sent.error
            ctx.failed_keys.add(choice.endpoint.key)

    async def _send(
        self,
        ctx: context.ForwardContext,
        choice: chooser.Choice,
        answer: answer_buffer.AnswerBuffer,
    ) -> request_sender.Sent:
        endpoint = choice.endpoint
        self._limits.take(endpoint.key)
        record = self._stats.call(endpoint)
        record.in_progress += 1
        started_at = ctx.now()
        outcome = messages.Outcome.FAILED
        try:
            async with asyncio.timeout(_attempt_timeout_s(ctx)) as limit:
                # No other attempt may follow one whose answer is passed on.
                answer.on_passed = functools.partial(limit.reschedule, None)
                options = wire.SendOptions(
                    max(0.0, ctx.remaining_s()),
                    workspace=ctx.workspace_name(),
                )
                sent = await self._sender.send(ctx, endpoint, options, answer)
            outcome = _outcome(sent)
            return sent
        except TimeoutError:
            return expression.Error(endpoint_errors.EndpointLost(endpoint.id))
        except asyncio.CancelledError:
            # A caller that disconnects early is no failure of the endpoint;
            # a missed deadline is.
            if ctx.remaining_s() > DEADLINE_MARGIN_S:
                outcome = messages.Outcome.ABANDONED
            raise
        finally:
            record.in_progress -= 1
            took_s = ctx.now() - started_at
            if outcome not in _NO_SAMPLES:
                failed = outcome is not messages.Outcome.SERVED
                record.add_outcome(took_s, failed, ctx.now())
            self._chooser.ended(choice, outcome, took_s)


def _finish(
    ctx: context.ForwardContext,
    reply: answer_buffer.AnswerBuffer | None,
    error: errors.SeamError,
) -> base.Result:
    """Returns the last complete answer to the caller, or else the error."""
    if reply is None:
        return base.fail(error)
    reply.send()
    return base.OK


def _may_retry_server_error(ctx: context.ForwardContext, status: int) -> bool:
    """Returns whether a server error may be retried at another endpoint."""
    if status < MIN_SERVER_ERROR_STATUS or not ctx.route.may_retry():
        return False
    if ctx.answer.started:
        return False
    has_time = ctx.remaining_s() >= MIN_TIME_LEFT_SHARE * ctx.route.timeout_s
    return has_time and ctx.sends < ctx.route.max_attempts


def _outcome(sent: request_sender.Sent) -> messages.Outcome:
    """Returns the outcome; unknown if the endpoint got no call or pauses."""
    if sent.is_ok():
        if sent.ok.status >= MIN_SERVER_ERROR_STATUS:
            return messages.Outcome.FAILED
        return messages.Outcome.SERVED
    for kind, outcome in _OUTCOMES:
        if isinstance(sent.error, kind):
            return outcome
    return messages.Outcome.FAILED


def _attempt_timeout_s(ctx: context.ForwardContext) -> float:
    """Returns the timeout of an attempt; shorter if a retry may follow.

    The last attempt is limited by the request's deadline alone.
    """
    remaining_s = ctx.remaining_s()
    if ctx.route.may_retry() and ctx.sends + 1 < ctx.route.max_attempts:
        return remaining_s * ATTEMPT_TIME_SHARE
    return remaining_s + 1.0


def _may_retry_failure(
    ctx: context.ForwardContext, error: errors.SeamError
) -> bool:
    if ctx.remaining_s() <= 0 or ctx.answer.started:
        return False
    if isinstance(error, endpoint_errors.EndpointUnreachable):
        return True
    if isinstance(error, endpoint_errors.EndpointMisdirected):
        return True
    if ctx.sends >= ctx.route.max_attempts:
        return False
    if isinstance(error, endpoint_errors.EndpointRefused):
        return True
    return ctx.route.may_retry()
