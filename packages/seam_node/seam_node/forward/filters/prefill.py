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
from seam_node.forward import sends
from seam_node.forward.filters import base
from seam_node.ports import wire
from seam_policy import prefill_choice

TIMEOUT_S = 1.2
"""Longest wait for a prefill; an engine that needs more is lost or flooded."""


class PrefillFilter(base.ForwardFilter):
    """Prefills the prompt and frees its KV cache if it is not decoded."""

    def __init__(
        self,
        access: engine_access.EngineAccess,
        sender: sends.Sender,
        queues: prefill_queues.PrefillQueues,
        distance_s: Callable[[str], float],
        tell: Callable[[], None],
    ):
        """Takes the engines, their queues and how to call them."""
        self._endpoints = access.endpoints
        self._stats = access.stats
        self._client = access.client
        self._codec = access.codec
        self._sender = sender
        self._queues = queues
        self._releases = access.releases
        self._distance_s = distance_s
        self._tell = tell
        self._log = access.log

    async def apply(
        self, ctx: context.ForwardContext, proceed: base.Proceed
    ) -> base.Result:
        """Prefills; without a prefill engine left the decode engine does it."""
        failed: set[str] = set()
        while True:
            engine = self._choose(ctx, failed)
            if engine is None:
                return await proceed(ctx)
            if ctx.prefills and not self._sender.may_repeat(ctx):
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
            self._note_kv(ctx, kv, result)
            return result
        finally:
            ctx.kv = None
            if not ctx.hold_used:
                call = self._codec.release_kv_call(kv.endpoint, kv.handle)
                self._releases.send(kv.endpoint, call)

    def _note_kv(
        self,
        ctx: context.ForwardContext,
        kv: context.PrefilledKv,
        result: base.Result,
    ) -> None:
        """An engine that holds a place refuses only a cache it can't get."""
        trust = self._stats.kv(kv.endpoint)
        if result.is_ok():
            trust.record_kv_fetched()
        elif isinstance(result.error, errors.EndpointRefused):
            pause_s = trust.record_kv_lost()
            self._stats.avoid(kv.endpoint.key, ctx.now() + pause_s)
            self._tell()
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
        avoided = self._stats.avoided(ctx.now())
        engines = {
            each.key: each
            for each in self._endpoints.usable(ctx.service.name)
            if each.stage is forwarding.Stage.PREFILL
            and each.key not in failed
            and each.key not in avoided
        }
        if not engines:
            return None
        here = ctx.place.endpoint.data_centre
        open_now = self._stats.open_at(engines.values(), ctx.now())
        chosen = prefill_choice.choose(
            [
                prefill_choice.PrefillCandidate(
                    each.key,
                    self._distance_s(each.data_centre),
                    each.data_centre == here,
                    self._stats.prefill(each),
                    self._stats.call(each).failure_share(ctx.now()),
                )
                for each in open_now
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
        queued_s = self._queues.send(engine, tokens)
        started_at = ctx.now()
        left_s = ctx.remaining_s()
        options = wire.SendOptions(left_s, rank=ctx.route.rank)
        call = self._codec.prefill_call(ctx.req, engine, options)
        asked = await exchange.ask(
            self._client, engine.address, call, min(TIMEOUT_S, left_s)
        )
        if asked.is_error():
            if isinstance(asked.error, errors.EndpointUnreachable):
                until = ctx.now() + call_stats.UNREACHABLE_S
                self._stats.shun(engine, until)
            return expression.Error(asked.error)
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
        done = self._codec.decode_prefill_done(asked.ok)
        if done is None:
            return expression.Error(
                errors.AnswerInvalid(engine.id, "no KV handle")
            )
        return expression.Ok(context.PrefilledKv(engine, done.handle))
