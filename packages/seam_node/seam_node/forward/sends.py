"""Sends a request to an endpoint and keeps account of whether it may run."""

from collections.abc import Callable

import expression

from seam_model import errors
from seam_model import forwarding
from seam_node import logs
from seam_node.forward import call_stats
from seam_node.forward import context
from seam_node.forward import exchange
from seam_node.ports import wire
from seam_policy import retry_share

_SHUNNED = (errors.EndpointUnreachable, errors.EndpointMisdirected)
"""Failures after which an endpoint gets no work for a while."""

Sent = expression.Result[forwarding.AnswerHead, errors.EndpointError]


class Sender:
    """The only way by which requests reach endpoints."""

    def __init__(
        self,
        client: exchange.EndpointClient,
        codec: wire.Wire,
        stats: call_stats.CallStats,
        budget: retry_share.RetryShare,
        instances: Callable[[], int],
        log: logs.Log,
    ):
        """Takes the client, the codec and the shared retry budget.

        Args:
            client: sends calls.
            codec: spells them.
            stats: keeps which endpoints were unreachable.
            budget: pays for every send after a request's first.
            instances: returns how many instances share the budget.
            log: takes a line for each failed send.
        """
        self._client = client
        self._codec = codec
        self._stats = stats
        self._budget = budget
        self._instances = instances
        self._log = log

    def may_repeat(self, ctx: context.ForwardContext) -> bool:
        """Takes one repeat from the budget of the request's service."""
        return self._budget.take(ctx.service.name, ctx.now(), self._instances())

    async def send(
        self,
        ctx: context.ForwardContext,
        endpoint: forwarding.Endpoint,
        options: wire.SendOptions,
        receiver: exchange.Receiver,
    ) -> Sent:
        """Sends a request and waits for the whole answer.

        Errors: `EndpointUnreachable`, `EndpointRefused` and
        `EndpointMisdirected` if it has not run, else `EndpointLost` and
        `AnswerInvalid`.
        """
        before = ctx.reached_endpoint
        ctx.note_sent(endpoint.key)
        if ctx.sends == 1:
            self._budget.record_request(ctx.service.name, ctx.now())
        call = self._codec.forward_call(ctx.req, endpoint, options)
        ctx.reached_endpoint = True
        sent = await self._client.send(endpoint.address, call, receiver)
        checked = _checked(endpoint, sent)
        if checked.is_error():
            ctx.reached_endpoint = before or _may_run(checked.error)
            self._note_failed(ctx, endpoint, checked.error)
        return checked

    def _note_failed(
        self,
        ctx: context.ForwardContext,
        endpoint: forwarding.Endpoint,
        error: errors.EndpointError,
    ) -> None:
        if isinstance(error, errors.EndpointUnreachable):
            ctx.tried.remove(endpoint.key)
            ctx.sends -= 1
        if isinstance(error, _SHUNNED):
            until = ctx.now() + call_stats.UNREACHABLE_S
            self._stats.shun(endpoint, until)
        self._log.error(
            "send_failed",
            error,
            request=ctx.req.id,
            endpoint=endpoint.id,
            sends=ctx.sends,
            left_s=round(ctx.remaining_s(), 3),
            may_run=ctx.reached_endpoint,
        )


def _may_run(error: errors.EndpointError) -> bool:
    return isinstance(error, errors.EndpointLost | errors.AnswerInvalid)


def _checked(endpoint: forwarding.Endpoint, sent: Sent) -> Sent:
    """Returns an error for an answer that may not be passed on."""
    if sent.is_error():
        return sent
    head = sent.ok
    if head.misdirected:
        return expression.Error(errors.EndpointMisdirected(endpoint.id))
    if not head.ran:
        return expression.Error(
            errors.EndpointRefused(endpoint.id, head.status)
        )
    if not head.signed:
        return expression.Error(
            errors.AnswerInvalid(endpoint.id, "not signed by the endpoint")
        )
    return sent
