"""Sends requests to endpoints and tracks whether they may have run."""

from collections.abc import Callable

import expression

from seam_model import endpoint_errors
from seam_model import forwarding
from seam_node import logs
from seam_node.forward.callers import context
from seam_node.forward.endpoints import call_stats
from seam_node.forward.endpoints import exchange
from seam_node.ports import wire
from seam_policy import retry_share

Sent = expression.Result[forwarding.AnswerHead, endpoint_errors.EndpointError]


class RequestSender:
    """Sends requests to endpoints; all forwarded requests go through it."""

    def __init__(
        self,
        client: exchange.EndpointClient,
        codec: wire.Wire,
        stats: call_stats.CallStats,
        budget: retry_share.RetryShare,
        instance_count: Callable[[], int],
        log: logs.Log,
    ):
        """Creates a sender.

        Args:
            client: sends calls.
            codec: encodes calls.
            stats: records which endpoints were unreachable.
            budget: limits the sends after a request's first one.
            instance_count: returns how many instances share the budget.
            log: where failed sends are logged.
        """
        self._client = client
        self._codec = codec
        self._stats = stats
        self._budget = budget
        self._instance_count = instance_count
        self._log = log

    def take_retry(self, ctx: context.ForwardContext) -> bool:
        """Takes one retry from the budget of the request's service."""
        return self._budget.take(
            ctx.service.name, ctx.now(), self._instance_count()
        )

    async def send(
        self,
        ctx: context.ForwardContext,
        endpoint: forwarding.Endpoint,
        options: wire.SendOptions,
        receiver: exchange.Receiver,
    ) -> Sent:
        """Sends a request and waits for the complete answer.

        Errors: `EndpointUnreachable`, `EndpointRefused` and
        `EndpointMisdirected` if the request has not run; `EndpointLost` and
        `AnswerInvalid` if it may have run.
        """
        reached_before = ctx.reached_endpoint
        ctx.record_sent(endpoint.key)
        if ctx.sends == 1:
            self._budget.record_request(ctx.service.name, ctx.now())
        ctx.reached_endpoint = True
        ctx.apply_start_limit()
        sent = await self._client.send(
            endpoint.address,
            # Kept by no name here: its body may be let go before the answer
            # ends.
            self._codec.forward_call(ctx.req, endpoint, options),
            receiver,
            ctx.used_conns,
            ctx,
        )
        result = _check_answer(endpoint, sent)
        if result.is_error():
            ctx.reached_endpoint = reached_before or _may_have_run(result.error)
            ctx.apply_start_limit()
            self._record_failure(ctx, endpoint, result.error)
        return result

    def _record_failure(
        self,
        ctx: context.ForwardContext,
        endpoint: forwarding.Endpoint,
        error: endpoint_errors.EndpointError,
    ) -> None:
        if isinstance(error, endpoint_errors.EndpointUnreachable):
            ctx.tried.remove(endpoint.key)
            ctx.sends -= 1
        if _is_fault(error):
            until = ctx.now() + call_stats.UNREACHABLE_BACKOFF_S
            self._stats.deprioritize(endpoint.key, until)
        self._log.error(
            "send_failed",
            error,
            request=ctx.req.id,
            endpoint=endpoint.id,
            sends=ctx.sends,
            connections=",".join(map(str, ctx.used_conns)),
            left_s=round(ctx.remaining_s(), 3),
            may_run=ctx.reached_endpoint,
        )


def _is_fault(error: endpoint_errors.EndpointError) -> bool:
    """Returns whether to deprioritize the endpoint for a while."""
    if isinstance(error, endpoint_errors.EndpointUnavailable):
        return False
    return isinstance(
        error,
        endpoint_errors.EndpointUnreachable
        | endpoint_errors.EndpointMisdirected,
    )


def _may_have_run(error: endpoint_errors.EndpointError) -> bool:
    return isinstance(
        error, endpoint_errors.EndpointLost | endpoint_errors.AnswerInvalid
    )


def _check_answer(endpoint: forwarding.Endpoint, sent: Sent) -> Sent:
    """Returns an error for an answer that must not reach the caller."""
    if sent.is_error():
        return sent
    head = sent.ok
    if head.misdirected:
        return expression.Error(
            endpoint_errors.EndpointMisdirected(endpoint.id)
        )
    if not head.ran:
        return expression.Error(exchange.refusal(endpoint.id, head))
    if not head.signed:
        return expression.Error(
            endpoint_errors.AnswerInvalid(
                endpoint.id, "not signed by the endpoint"
            )
        )
    return sent
