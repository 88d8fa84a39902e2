"""Computes a prompt's KV cache at a prefill engine."""

import expression

from seam_model import endpoint_errors
from seam_model import errors
from seam_model import forwarding
from seam_node.forward.callers import context
from seam_node.forward.endpoints import call_stats
from seam_node.forward.endpoints import engine_access
from seam_node.forward.endpoints import exchange
from seam_node.forward.endpoints import request_sender
from seam_node.forward.filters import base
from seam_node.forward.filters import kv as kv_filter
from seam_node.forward.fleet import messages
from seam_node.forward.placement import placement
from seam_node.forward.placement import prefill_engines
from seam_node.forward.placement import workload
from seam_node.ports import wire

MIN_PREFILL_TIMEOUT_S = 1.2
"""Timeout of a prefill without a queue. Beyond it and twice the expected queue
the engine is taken for dead."""


_NO_OUTCOMES = (
    endpoint_errors.EndpointUnavailable,
    endpoint_errors.EndpointPausing,
)
KV_REUSE_SHARE = 0.6
"""Share of the time for which a KV cache is kept in which it may be offered to
another decode engine, which has yet to start fetching it."""


class PrefillFilter(base.ForwardFilter):
    """Prefills the prompt."""

    def __init__(
        self,
        access: engine_access.EngineAccess,
        sender: request_sender.RequestSender,
        engines: prefill_engines.PrefillEngines,
        places: placement.Placement,
        load: workload.WorkloadEstimate,
    ):
        """Creates the filter.

        Args:
            access: the engines, their statistics and the client.
            sender: holds the retry budget.
            engines: the prefill engines and their estimated queues.
            places: told how each prefill went.
            load: told the duration of each prefill.
        """
        self._access = access
        self._stats = access.stats
        self._available = access.available
        self._client = access.client
        self._codec = access.codec
        self._sender = sender
        self._engines = engines
        self._places = places
        self._load = load
        self._log = access.log

    async def apply(
        self, ctx: context.ForwardContext, proceed: base.Proceed
    ) -> base.Result:
        """Prefills the prompt, then runs the rest of the chain.

        A KV cache that was computed for a place at another engine is used as
        long as it is kept. If no prefill engine is left, or no retry of a
        prefill, the decode engine computes the KV cache.
        """
        if ctx.kv is not None and ctx.now() < ctx.kv.kept_until:
            self._report_unneeded(ctx)
            return await self._decode(ctx, proceed)
        kv_filter.release(ctx, self._access)
        failed = self._available.pausing()
        engine = ctx.placement.prefill
        queued_s = ctx.placement.queued_s
        while engine is not None:
            if ctx.prefills and not self._sender.take_retry(ctx):
                break
            done = await self._prefill(ctx, engine, queued_s)
            if done.is_ok():
                ctx.kv = done.ok
                return await self._decode(ctx, proceed)
            failed.add(engine.key)
            self._log.error(
                "prefill_failed",
                done.error,
                request=ctx.req.id,
                endpoint=engine.id,
                left_s=round(ctx.remaining_s(), 3),
            )
            plan = self._engines.plan(
                ctx.service.name,
                ctx.req.prompt.tokens,
                ctx.now(),
                ctx.placement.decode.data_centre,
                failed,
            )
            engine = None
            if plan is not None:
                engine, queued_s = plan.endpoint, plan.queued_s
                self._engines.enqueue(
                    engine,
                    self._places.stream_id(ctx.placement.number),
                    ctx.req.prompt.tokens,
                )
        return await proceed(ctx)

    async def _decode(
        self, ctx: context.ForwardContext, proceed: base.Proceed
    ) -> base.Result:
        """Runs the rest of the chain with the KV cache of the context.

        The cache stays in the context if no engine was told of it.
        """
        kv = ctx.kv
        try:
            result = await proceed(ctx)
        finally:
            if ctx.hold_used:
                ctx.kv = None
        if ctx.hold_used:
            self._record_kv_outcome(ctx, kv, result)
        return result

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
        elif _is_kv_lost(result.error):
            pause_s = kv_backoff.record_kv_lost()
            self._stats.exclude(kv.endpoint.key, ctx.now() + pause_s)
            self._log.event(
                "kv_lost",
                "warning",
                request=ctx.req.id,
                endpoint=kv.endpoint.id,
                pause_s=pause_s,
            )

    async def _prefill(
        self,
        ctx: context.ForwardContext,
        engine: forwarding.Endpoint,
        queued_s: float,
    ) -> expression.Result[context.PrefilledKv, endpoint_errors.EndpointError]:
        """Prefills at one engine and reports how it went."""
        ctx.prefills += 1
        started_at = ctx.now()
        done = None
        try:
            done = await self._call(ctx, engine, queued_s)
        finally:
            took_s = ctx.now() - started_at
            self._report(ctx, engine, took_s, queued_s, _outcome(done))
        if done.is_error():
            return done
        ctx.prefilled_at = ctx.now()
        self._load.record_prefill_rate(self._stats.prefill(engine).tokens_s)
        self._log.event(
            "prefilled",
            request=ctx.req.id,
            endpoint=engine.key,
            tokens=ctx.req.prompt.tokens,
            queued_s=round(queued_s, 4),
            took_s=round(took_s, 4),
            left_s=round(ctx.remaining_s(), 3),
        )
        return done

    def _report(
        self,
        ctx: context.ForwardContext,
        engine: forwarding.Endpoint,
        took_s: float,
        queued_s: float,
        outcome: messages.Outcome,
    ) -> None:
        self._stats.call(engine)
        self._places.prefill_ended(
            messages.PrefillEnded(
                self._places.stream_id(ctx.placement.number).holder,
                ctx.placement.number,
                engine.key,
                ctx.req.prompt.tokens,
                took_s,
                queued_s,
                outcome,
            )
        )

    def _report_unneeded(self, ctx: context.ForwardContext) -> None:
        """Tells the placers that a prompt need not be prefilled again."""
        engine = ctx.placement.prefill
        if engine is not None:
            self._report(ctx, engine, 0.0, 0.0, messages.Outcome.UNKNOWN)

    async def _call(
        self,
        ctx: context.ForwardContext,
        engine: forwarding.Endpoint,
        queued_s: float,
    ) -> expression.Result[context.PrefilledKv, endpoint_errors.EndpointError]:
        remaining_s = ctx.remaining_s()
        options = wire.SendOptions(
            remaining_s,
            rank=ctx.engine_rank(),
            workspace=ctx.workspace_name(),
        )
        call = self._codec.prefill_call(ctx.req, engine, options)
        response = await exchange.call_endpoint(
            self._client,
            engine.address,
            call,
            min(MIN_PREFILL_TIMEOUT_S + 2 * queued_s, remaining_s),
            ctx.used_conns,
        )
        if response.is_error():
            if _is_unavailable(response.error):
                ctx.prefills -= 1
            elif isinstance(
                response.error, endpoint_errors.EndpointUnreachable
            ):
                until = ctx.now() + call_stats.UNREACHABLE_BACKOFF_S
                self._stats.deprioritize(engine.key, until)
            return expression.Error(response.error)
        done = self._codec.decode_prefill_done(response.ok)
        if done is None:
            return expression.Error(
                endpoint_errors.AnswerInvalid(engine.id, "no KV handle")
            )
        ttl_s = ctx.service.engine.handle_ttl_s
        kept_until = ctx.now() + ttl_s * KV_REUSE_SHARE
        return expression.Ok(
            context.PrefilledKv(engine, done.handle, kept_until)
        )


def _is_kv_lost(error: errors.SeamError) -> bool:
    """Returns whether a decode engine could not fetch the KV cache."""
    return isinstance(
        error, endpoint_errors.EndpointRefused
    ) and not isinstance(error, endpoint_errors.EndpointPausing)


def _is_unavailable(error: endpoint_errors.EndpointError) -> bool:
    return isinstance(error, endpoint_errors.EndpointUnavailable)


def _outcome(
    done: expression.Result[context.PrefilledKv, endpoint_errors.EndpointError]
    | None,
) -> messages.Outcome:
    """Returns how a prefill went; `done` is None if it was cancelled."""
    if done is None:
        return messages.Outcome.UNKNOWN
    if done.is_ok():
        return messages.Outcome.SERVED
    if isinstance(done.error, _NO_OUTCOMES):
        return messages.Outcome.UNKNOWN
    if isinstance(done.error, endpoint_errors.EndpointRefused):
        return messages.Outcome.FULL
    return messages.Outcome.FAILED
