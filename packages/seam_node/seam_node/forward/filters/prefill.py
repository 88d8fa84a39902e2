"""Computes a prompt's KV cache at a prefill engine."""

from collections.abc import Callable

import expression

from seam_model import errors
from seam_model import forwarding
from seam_node.forward import call_stats
from seam_node.forward import context
from seam_node.forward import engine_access
from seam_node.forward import exchange
from seam_node.forward import prefill_queues
from seam_node.forward import request_sender
from seam_node.forward.filters import base
from seam_node.ports import wire
from seam_policy import prefill_choice

MAX_PREFILL_WAIT_S = 1.2
"""Longest wait for a prefill; a slower engine is dead or overloaded."""


class PrefillFilter(base.ForwardFilter):
    """Prefills the prompt and releases the KV cache if it was not used."""

    def __init__(
        self,
        access: engine_access.EngineAccess,
        sender: request_sender.RequestSender,
        queues: prefill_queues.PrefillQueues,
        one_way_delay_s: Callable[[str], float],
        notify_peers: Callable[[], None],
    ):
        """Creates the filter.

        Args:
            access: the engines, their statistics and the client.
            sender: holds the retry budget.
            queues: estimated queues of the prefill engines.
            one_way_delay_s: returns the one-way delay to a data centre.
            notify_peers: sends a heartbeat to the peers immediately.
        """
        self._endpoints = access.endpoints
        self._stats = access.stats
        self._client = access.client
        self._codec = access.codec
        self._sender = sender
        self._queues = queues
        self._releases = access.releases
        self._one_way_delay_s = one_way_delay_s
        self._notify_peers = notify_peers
        self._log = access.log

    async def apply(
        self, ctx: context.ForwardContext, proceed: base.Proceed
    ) -> base.Result:
        """Prefills the prompt, then runs the rest of the chain.

        If no prefill engine is left, the decode engine computes the KV cache.
        """
        failed: set[str] = set()
        while True:
            engine = self._choose(ctx, failed)
            if engine is None:
                return await proceed(ctx)
            if ctx.prefills and not self._sender.take_retry(ctx):
                return base.fail(errors.RetryBudgetSpent())
            done = await self._prefill(ctx, engine)
            record = self._stats.call(engine)
            record.add_outcome(0.0, done.is_error(), ctx.now())
            if done.is_ok():
                return await self._decode(ctx, done.ok, proceed)
            failed.add(engine.key)
            self._log.error(
                "prefill_failed",
                done.error,
                request=ctx.req.id,
                endpoint=engine.id,
                left_s=round(ctx.remaining_s(), 3),
            )

    async def _decode(
        self,
        ctx: context.ForwardContext,
        kv: context.PrefilledKv,
        proceed: base.Proceed,
    ) -> base.Result:
        ctx.kv = kv
        try:
            result = await proceed(ctx)
            self._record_kv_outcome(ctx, kv, result)
            return result
        finally:
            ctx.kv = None
            if not ctx.hold_used:
                call = self._codec.release_kv_call(kv.endpoint, kv.handle)
                self._releases.send(kv.endpoint, call)

    def _record_kv_outcome(
        self,
        ctx: context.ForwardContext,
        kv: context.PrefilledKv,
        result: base.Result,
    ) -> None:
        """Excludes a prefill engine whose KV cache could not be fetched.

        A decode engine that has reserved capacity refuses a request only if
        the KV cache is unavailable.
        """
        kv_backoff = self._stats.kv_backoff(kv.endpoint)
        if result.is_ok():
            kv_backoff.record_kv_fetched()
        elif isinstance(result.error, errors.EndpointRefused):
            pause_s = kv_backoff.record_kv_lost()
            self._stats.exclude(kv.endpoint.key, ctx.now() + pause_s)
            self._notify_peers()
            self._log.event(
                "kv_lost",
                "warning",
                request=ctx.req.id,
                endpoint=kv.endpoint.id,
                pause_s=pause_s,
            )

    def _choose(
        self, ctx: context.ForwardContext, failed: set[str]
    ) -> forwarding.Endpoint | None:
        excluded = self._stats.excluded(ctx.now())
        engines = {
            each.key: each
            for each in self._endpoints.usable(ctx.service.name)
            if each.stage is forwarding.Stage.PREFILL
            and each.key not in failed
            and each.key not in excluded
        }
        if not engines:
            return None
        decode_data_centre = ctx.reservation.endpoint.data_centre
        usable = self._stats.preferred(engines.values(), ctx.now())
        chosen = prefill_choice.choose(
            [
                prefill_choice.PrefillCandidate(
                    each.key,
                    self._one_way_delay_s(each.data_centre),
                    each.data_centre == decode_data_centre,
                    self._stats.prefill(each),
                    self._stats.call(each).failure_share(ctx.now()),
                )
                for each in usable
            ],
            ctx.req.prompt.tokens,
            ctx.now(),
        )
        return engines[chosen.key]

    async def _prefill(
        self, ctx: context.ForwardContext, engine: forwarding.Endpoint
    ) -> expression.Result[context.PrefilledKv, errors.EndpointError]:
        ctx.prefills += 1
        tokens = ctx.req.prompt.tokens
        queued_s = self._queues.record_sent(engine, tokens)
        started_at = ctx.now()
        remaining_s = ctx.remaining_s()
        options = wire.SendOptions(remaining_s, rank=ctx.route.rank)
        call = self._codec.prefill_call(ctx.req, engine, options)
        response = await exchange.call_endpoint(
            self._client,
            engine.address,
            call,
            min(MAX_PREFILL_WAIT_S, remaining_s),
        )
        if response.is_error():
            if isinstance(response.error, errors.EndpointUnreachable):
                until = ctx.now() + call_stats.UNREACHABLE_BACKOFF_S
                self._stats.deprioritize(engine, until)
            return expression.Error(response.error)
        ctx.prefilled_at = ctx.now()
        took_s = ctx.prefilled_at - started_at
        self._log.event(
            "prefilled",
            request=ctx.req.id,
            endpoint=engine.key,
            tokens=tokens,
            queued_s=round(queued_s, 4),
            took_s=round(took_s, 4),
            left_s=round(ctx.remaining_s(), 3),
        )
        self._stats.prefill(engine).add_sample(tokens, took_s, queued_s)
        done = self._codec.decode_prefill_done(response.ok)
        if done is None:
            return expression.Error(
                errors.AnswerInvalid(engine.id, "no KV handle")
            )
        return expression.Ok(context.PrefilledKv(engine, done.handle))
