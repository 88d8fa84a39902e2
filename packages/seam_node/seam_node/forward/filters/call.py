"""Sends calls of plain services."""

import asyncio
from collections.abc import Callable

import attrs
import expression

from seam_model import errors
from seam_model import forwarding
from seam_node.forward import call_stats
from seam_node.forward import context
from seam_node.forward import exchange
from seam_node.forward import fleet
from seam_node.forward import sends
from seam_node.forward.filters import base
from seam_node.ports import wire
from seam_policy import endpoint_choice

ATTEMPT_SHARE = 0.45
"""Part of the time left that one of several attempts may take."""
LEAST_LEFT_SHARE = 0.2
"""Part of the route's timeout that must be left to try a failure again."""
DEADLINE_MARGIN_S = 0.02
"""Time left at which a cancelled call is taken to have met its deadline."""
SERVER_ERROR = 500


@attrs.frozen
class _Reply:
    """A whole answer that may be passed on."""

    head: forwarding.AnswerHead
    body: exchange.Collector


class CallFilter(base.ForwardFilter):
    """Ends the chain of plain calls; idempotent ones are retried."""

    def __init__(
        self,
        endpoints: fleet.Endpoints,
        stats: call_stats.CallStats,
        sender: sends.Sender,
        distance_s: Callable[[str], float],
    ):
        """Takes the endpoints, what is known of them and the sender."""
        self._endpoints = endpoints
        self._stats = stats
        self._sender = sender
        self._distance_s = distance_s

    async def apply(
        self, ctx: context.ForwardContext, proceed: base.Proceed
    ) -> base.Result:
        """Sends the call until an answer is whole or no retry is allowed."""
        del proceed
        kept: _Reply | None = None
        error: errors.SeamError = errors.NoEndpoint(ctx.service.name)
        while True:
            endpoint = self._choose(ctx)
            if endpoint is None:
                return _end(ctx, kept, error)
            if ctx.sends and not self._sender.may_repeat(ctx):
                return _end(ctx, kept, errors.RetryBudgetSpent())
            body = exchange.Collector()
            sent = await self._send(ctx, endpoint, body)
            if sent.is_ok():
                kept = _Reply(sent.ok, body)
                if not _may_improve(ctx, sent.ok):
                    return _end(ctx, kept, error)
            elif not _may_retry(ctx, sent.error):
                return _end(ctx, kept, sent.error)
            else:
                error = sent.error
            ctx.refused_by.add(endpoint.key)

    def _choose(
        self, ctx: context.ForwardContext
    ) -> forwarding.Endpoint | None:
        now = ctx.now()
        usable = [
            each
            for each in self._endpoints.usable(ctx.service.name)
            if each.key not in ctx.refused_by
            and each.stage is not forwarding.Stage.PREFILL
        ]
        if not usable:
            return None
        by_key = {each.key: each for each in self._stats.open_at(usable, now)}
        chosen = endpoint_choice.choose(
            [self._candidate(each) for each in by_key.values()], now
        )
        return by_key[chosen.key]

    def _candidate(
        self, endpoint: forwarding.Endpoint
    ) -> endpoint_choice.Candidate:
        return endpoint_choice.Candidate(
            endpoint.key,
            endpoint.slots,
            self._distance_s(endpoint.data_centre),
            endpoint.warm_up_s,
            self._stats.call(endpoint),
        )

    async def _send(
        self,
        ctx: context.ForwardContext,
        endpoint: forwarding.Endpoint,
        body: exchange.Collector,
    ) -> sends.Sent:
        record = self._stats.call(endpoint)
        record.in_progress += 1
        started_at = ctx.now()
        failed: bool | None = True
        try:
            async with asyncio.timeout(_attempt_s(ctx)):
                options = wire.SendOptions(max(0.0, ctx.remaining_s()))
                sent = await self._sender.send(ctx, endpoint, options, body)
            failed = sent.is_error() or sent.ok.status >= SERVER_ERROR
            return sent
        except TimeoutError:
            return expression.Error(errors.EndpointLost(endpoint.id))
        except asyncio.CancelledError:
            # A caller that left early says nothing of the endpoint; the
            # deadline does.
            if ctx.remaining_s() > DEADLINE_MARGIN_S:
                failed = None
            raise
        finally:
            record.in_progress -= 1
            if failed is not None:
                record.add_outcome(ctx.now() - started_at, failed, ctx.now())


def _end(
    ctx: context.ForwardContext,
    reply: _Reply | None,
    error: errors.SeamError,
) -> base.Result:
    """Passes on the last whole answer, or fails if there was none."""
    if reply is None:
        return base.fail(error)
    head = reply.head
    ctx.status = head.status
    ctx.answer.whole(head.status, head.reason, head.fields, reply.body.body)
    return base.OK


def _may_improve(
    ctx: context.ForwardContext, head: forwarding.AnswerHead
) -> bool:
    """Tells whether a failure of the endpoint may be tried elsewhere."""
    if head.status < SERVER_ERROR or not ctx.route.may_repeat():
        return False
    left = ctx.remaining_s() >= LEAST_LEFT_SHARE * ctx.route.timeout_s
    return left and ctx.sends < ctx.route.max_attempts


def _attempt_s(ctx: context.ForwardContext) -> float:
    """Returns how long one attempt may take; it ends early if one is left."""
    left_s = ctx.remaining_s()
    if ctx.route.may_repeat() and ctx.sends + 1 < ctx.route.max_attempts:
        return left_s * ATTEMPT_SHARE
    return left_s + 1.0


def _may_retry(ctx: context.ForwardContext, error: errors.SeamError) -> bool:
    if ctx.remaining_s() <= 0:
        return False
    if isinstance(error, errors.EndpointUnreachable):
        return True
    if isinstance(error, errors.EndpointMisdirected):
        return True
    if ctx.sends >= ctx.route.max_attempts:
        return False
    if isinstance(error, errors.EndpointRefused):
        return True
    return ctx.route.may_repeat()
