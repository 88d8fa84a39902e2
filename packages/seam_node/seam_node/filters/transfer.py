"""Runs the prefill and transfers its KV cache to the decode engine."""

import asyncio
from typing import Any

import attrs
import expression

from seam_model import endpoint_errors
from seam_model import endpoints
from seam_model import errors
from seam_model import ids
from seam_node import metrics
from seam_node import task
from seam_node.controllers import bookings
from seam_node.controllers import engines
from seam_node.controllers import planner
from seam_node.controllers import registry
from seam_node.controllers import runs
from seam_node.filters import base
from seam_node.ports import engine

PREFILL_TIMEOUT_S = 10.0
DECODE_TIMEOUT_S = 2.0
TRANSFER_SLACK_S = 0.15
TRANSFER_FACTOR = 4.0
"""Multiple of the expected duration in the timeout of a transfer."""
FIRST_DECODE_STEP_S = 0.03
"""Time reserved for the first decode step."""
FULL_RETRY_WINDOW_SHARE = 0.25
"""Share of the first-token target during which a full engine is retried."""
FULL_RETRY_PAUSE_S = 0.025
"""Pause before a full engine is retried with the same KV cache."""


class TransferFilter(base.Filter):
    """Opens a decode stream in the reserved slot."""

    name = "transfer"

    def __init__(
        self,
        directory: engines.EngineDirectory,
        plan: planner.Planner,
        booking: bookings.BookingClient,
        registry_: registry.Registry,
        meter: metrics.Metrics,
        owner: str,
    ):
        """Takes engines, planner, bookings, registry, metrics and owner id."""
        self._directory = directory
        self._planner = plan
        self._bookings = booking
        self._registry = registry_
        self._metrics = meter
        self._owner = owner

    async def apply(
        self, ctx: base.Context, proceed: base.Proceed
    ) -> base.Result:
        """Prefills, opens the decode stream, and runs the next filter."""
        if ctx.stream is not None:
            return await proceed(ctx)
        ctx.run.incarnation = ids.engine_incarnation(
            ctx.run.generation, ctx.attempt
        )
        if not ctx.has_usable_kv():
            prefilled = await self._discard_kv_and_prefill(ctx)
            if prefilled.is_error():
                return base.fail(prefilled.error)
            ctx.kv = prefilled.ok
        opened = await self._decode(ctx, ctx.kv)
        if opened.is_error():
            if isinstance(opened.error, endpoint_errors.KvExpired):
                ctx.excluded.add(ctx.kv.engine)
                ctx.kv = attrs.evolve(ctx.kv, expires_at=ctx.now())
            return base.fail(opened.error)
        ctx.note(self.name, "stream open")
        ctx.stream = opened.ok
        ctx.run.stream = opened.ok
        try:
            return await proceed(ctx)
        finally:
            ctx.stream = None
            ctx.run.stream = None

    # Prefill

    async def _discard_kv_and_prefill(
        self, ctx: base.Context
    ) -> expression.Result:
        if ctx.kv is not None:
            self._metrics.prefill_wasted(ctx.generate.prompt_tokens)
            ctx.kv = None
        return await self._prefill(ctx)

    async def _prefill(self, ctx: base.Context) -> expression.Result:
        req = ctx.generate
        choices = self._planner.prefill_order(
            req, ctx.decode.name, ctx.excluded
        )
        if not choices:
            return expression.Error(
                errors.NoEndpoint(f"prefill engine for {req.model}")
            )
        if self._planner.reserves:
            booked = await self._bookings.book(req, choices)
            if ctx.run.stop is not None or not _is_in_time(ctx, booked):
                self._bookings.withdraw(req, booked.choice.name)
                return expression.Error(_prefill_not_sent_error(ctx))
            choice, ready_s = booked.choice, booked.ready_s
        else:
            choice, ready_s = choices[0], choices[0].lead_s
        name = choice.name
        ctx.note(self.name, f"prefill engine {name}, ready in {ready_s:.3f} s")
        order = endpoints.PrefillOrder(
            req.request_id,
            ctx.run.incarnation,
            req.model,
            req.prompt,
            req.prompt_tokens,
            int(req.rank),
            req.adapter,
        )
        started_at = ctx.now()
        ctx.reached_endpoint = True
        self._planner.prefill_started(name, req.prompt_tokens)
        self._metrics.prefill_ordered(req.prompt_tokens)
        try:
            done = await runs.wait_unless_stopped(
                ctx.run,
                self._directory.engine(name).prefill(order, PREFILL_TIMEOUT_S),
            )
        finally:
            self._planner.prefill_ended(name, req.prompt_tokens)
        if done is None:
            await self._cancel(name, ctx.run)
            return expression.Error(runs.stop_error(ctx.run, self.name))
        if done.is_error():
            await self._prefill_failed(ctx, name, done.error)
            return done
        self._planner.record_prefill(
            name, req, done.ok.cached_tokens, ctx.now() - started_at
        )
        cached = done.ok.cached_tokens
        ctx.note(
            self.name, f"prefilled, {cached} of {req.prompt_tokens} cached"
        )
        record = self._directory.record(name)
        return expression.Ok(
            base.KvCacheRef(
                name,
                record.url if record else "",
                done.ok.kv_handle,
                ctx.now() + done.ok.life_s,
                choice.transfer_s,
            )
        )

    async def _prefill_failed(
        self, ctx: base.Context, name: str, error: endpoint_errors.EndpointError
    ) -> None:
        ctx.excluded.add(name)
        if isinstance(error, endpoint_errors.EndpointUnreachable):
            ctx.reached_endpoint = ctx.attempt > 0
        if isinstance(
            error,
            endpoint_errors.EndpointUnreachable | endpoint_errors.EndpointLost,
        ):
            self._directory.suspect(name)
            await self._cancel(name, ctx.run)

    # Decode

    async def _decode(
        self, ctx: base.Context, kv: base.KvCacheRef
    ) -> expression.Result[engine.DecodeStream, errors.SeamError]:
        await self._wait_for_slot(ctx, kv)
        may_retry_transfer = True
        retry_window_s = (
            FULL_RETRY_WINDOW_SHARE * ctx.generate.targets.first_token_s
        )
        retry_full_until = max(ctx.now(), ctx.slot_free_at) + retry_window_s
        while True:
            opened = await self._decode_once(ctx, kv)
            if opened.is_ok() or ctx.run.stop is not None:
                return opened
            if kv.expires_at - ctx.now() < base.KV_RETRY_MARGIN_S:
                return opened
            if isinstance(opened.error, endpoint_errors.TransferFailed):
                if not may_retry_transfer:
                    return opened
                may_retry_transfer = False
                ctx.note(self.name, "transfer retried from the same KV")
            elif (
                self._is_reserved_slot_busy(opened.error)
                and ctx.now() < retry_full_until
            ):
                # The owner grants a slot shortly before the stream that
                # occupies it ends, so the engine may still be full.
                await asyncio.sleep(FULL_RETRY_PAUSE_S)
            else:
                return opened

    def _is_reserved_slot_busy(self, error: errors.SeamError) -> bool:
        full = isinstance(error, endpoint_errors.EndpointFull)
        return full and self._planner.reserves

    async def _wait_for_slot(
        self, ctx: base.Context, kv: base.KvCacheRef
    ) -> None:
        """Waits until the granted slot is free or the KV cache nears expiry."""
        until = min(ctx.slot_free_at, kv.expires_at - base.KV_RETRY_MARGIN_S)
        wait_s = until - ctx.now()
        if wait_s > 0:
            await runs.wait_unless_stopped(ctx.run, asyncio.sleep(wait_s))

    async def _decode_once(
        self, ctx: base.Context, kv: base.KvCacheRef
    ) -> expression.Result[engine.DecodeStream, errors.SeamError]:
        req = ctx.generate
        name = ctx.decode.name
        ctx.run.engine = name
        order = endpoints.DecodeOrder(
            req.request_id,
            ctx.run.incarnation,
            req.model,
            req.prompt_tokens,
            req.max_tokens,
            int(req.rank),
            kv.url,
            kv.handle,
            self._owner,
            req.adapter,
        )
        self._registry.record_placement(ids.pack(req.request_id), name)
        self._planner.transfer_started(kv.engine)
        decode = asyncio.ensure_future(
            self._directory.engine(name).decode(order, _transfer_limit_s(kv))
        )
        try:
            opened = await runs.wait_unless_stopped(
                ctx.run, asyncio.shield(decode)
            )
        finally:
            self._planner.transfer_ended(kv.engine)
        if opened is None:
            decode.add_done_callback(_close_opened_stream)
            await self._cancel(name, ctx.run)
            return expression.Error(runs.stop_error(ctx.run, self.name))
        if opened.is_error():
            await self._decode_failed(ctx, name, opened.error)
        return opened

    async def _decode_failed(
        self, ctx: base.Context, name: str, error: endpoint_errors.EndpointError
    ) -> None:
        if isinstance(
            error, endpoint_errors.TransferFailed | endpoint_errors.KvExpired
        ):
            return
        ctx.excluded.add(name)
        if isinstance(error, endpoint_errors.EndpointFull):
            return
        if isinstance(error, endpoint_errors.EndpointLost):
            # The engine may have fetched the KV cache, which ends its life.
            ctx.kv = attrs.evolve(ctx.kv, expires_at=ctx.now())
            # A single stalled transfer is weak evidence of a failed engine.
            self._directory.report_failure(name)
        else:
            self._directory.suspect(name)
        await self._cancel(name, ctx.run)

    async def _cancel(self, name: str, run: runs.Run) -> None:
        if self._directory.record(name) is not None:
            await self._directory.engine(name).cancel(
                run.request_id, run.incarnation
            )


def _transfer_limit_s(kv: base.KvCacheRef) -> float:
    """Returns the timeout of a transfer, in seconds."""
    expected_s = TRANSFER_SLACK_S + TRANSFER_FACTOR * kv.transfer_s
    return min(DECODE_TIMEOUT_S, expected_s)


def _is_in_time(ctx: base.Context, booked: bookings.Booked) -> bool:
    """Returns whether the first-token target can still be met."""
    waited_s = ctx.now() - ctx.arrived_at
    left_s = ctx.generate.targets.first_token_s - waited_s
    return booked.ready_s + FIRST_DECODE_STEP_S <= left_s


def _prefill_not_sent_error(ctx: base.Context) -> errors.SeamError:
    if ctx.run.stop is not None:
        return runs.stop_error(ctx.run, "transfer")
    return errors.Overloaded("prefill queue is too long")


def _close_opened_stream(decode: asyncio.Future[Any]) -> None:
    if decode.cancelled() or decode.exception() or decode.result().is_error():
        return
    task.run_in_background(decode.result().ok.close())
