"""Sends calls to plain services; retries and hedges idempotent calls."""

import asyncio
import random

import expression

from seam_model import endpoint_errors
from seam_model import endpoints
from seam_model import errors
from seam_model import requests
from seam_node.controllers import engines
from seam_node.filters import base
from seam_node.ports import service
from seam_policy import hedge
from seam_policy import retry

SERVER_ERROR = 500


class CallFilter(base.Filter):
    """Calls the service; the last filter of the service chain."""

    name = "call"

    def __init__(
        self,
        directory: engines.EngineDirectory,
        services: service.Service,
        budget: retry.RetryBudget,
        rng: random.Random,
    ):
        """Takes the endpoints, the service port and the retry budget."""
        self._directory = directory
        self._services = services
        self._budget = budget
        self._hedge_budget = retry.RetryBudget()
        self._hedges: dict[tuple[str, str], hedge.HedgePolicy] = {}
        self._rng = rng

    async def apply(
        self, ctx: base.Context, proceed: base.Proceed
    ) -> base.Result:
        """Sends the call and stores the reply in the context."""
        del proceed
        if ctx.call.idempotent:
            result = await self._send_idempotent(ctx)
        else:
            result = await self._send_at_most_once(ctx)
        if result.is_error():
            return base.fail(result.error)
        ctx.reply = result.ok
        return base.OK

    # Non-idempotent calls

    async def _send_at_most_once(self, ctx: base.Context) -> expression.Result:
        """Tries endpoints until one may have received the call.

        Only a failure to connect leads to another endpoint, because after any
        other failure the call may have run.
        """
        last: errors.SeamError = errors.NoEndpoint(ctx.call.service)
        for record in self._candidates(ctx):
            if ctx.remaining_s() <= 0:
                return expression.Error(errors.DeadlinePassed(self.name))
            sent = await self._send(ctx, record)
            if sent.is_ok():
                return sent
            last = sent.error
            if not isinstance(last, endpoint_errors.EndpointUnreachable):
                ctx.reached_endpoint = True
                return expression.Error(errors.OutcomeUnknown(ctx.call.key))
        return expression.Error(last)

    # Idempotent calls

    async def _send_idempotent(self, ctx: base.Context) -> expression.Result:
        records = self._candidates(ctx)
        last: expression.Result = expression.Error(
            errors.NoEndpoint(ctx.call.service)
        )
        ctx.reached_endpoint = bool(records)
        for attempt, record in enumerate(records):
            if ctx.remaining_s() <= 0:
                return expression.Error(errors.DeadlinePassed(self.name))
            if attempt and not self._budget.take():
                ctx.note(self.name, "retry budget is spent")
                return last
            hedge_target = records[(attempt + 1) % len(records)]
            last = await self._send_hedged(ctx, record, hedge_target)
            if last.is_ok() and last.ok.status < SERVER_ERROR:
                self._budget.record_success()
                self._hedge_budget.record_success()
                return last
            ctx.attempt += 1
            if ctx.attempt >= ctx.effective.retry.max_attempts:
                return last
        return last

    async def _send_hedged(
        self,
        ctx: base.Context,
        record: endpoints.EndpointRecord,
        hedge_target: endpoints.EndpointRecord,
    ) -> expression.Result:
        policy = self._hedge_policy(ctx)
        self._hedge_budget.configure(ctx.effective.hedge.budget_ratio)
        started_at = ctx.now()
        first = asyncio.ensure_future(self._send(ctx, record))
        pending = {first}
        try:
            plan = policy.plan(
                ctx.effective.hedge.enabled,
                1 + (hedge_target is not record),
                ctx.remaining_s(),
            )
            if plan is not None:
                done, _ = await asyncio.wait(pending, timeout=plan.delay_s)
                if not done and policy.take():
                    ctx.note(self.name, f"hedged at {hedge_target.name}")
                    pending.add(
                        asyncio.ensure_future(self._send(ctx, hedge_target))
                    )
            result = await _first_ok(pending)
        finally:
            for fut in pending:
                fut.cancel()
        if result.is_ok():
            policy.record_latency(ctx.now() - started_at)
        return result

    def _hedge_policy(self, ctx: base.Context) -> hedge.HedgePolicy:
        key = (ctx.call.service, ctx.call.operation)
        if key not in self._hedges:
            self._hedges[key] = hedge.HedgePolicy(self._hedge_budget)
        return self._hedges[key]

    # Endpoints

    def _candidates(self, ctx: base.Context) -> list[endpoints.EndpointRecord]:
        """Returns the service's endpoints shuffled, suspected ones last."""
        records = list(self._directory.services(ctx.call.service))
        self._rng.shuffle(records)
        records.sort(key=lambda each: self._directory.suspected(each.name))
        return records

    async def _send(
        self, ctx: base.Context, record: endpoints.EndpointRecord
    ) -> expression.Result[
        requests.ServiceReply, endpoint_errors.EndpointError
    ]:
        call = ctx.call
        order = endpoints.ServiceOrder(
            call.service,
            call.operation,
            call.workspace,
            call.body,
            call.key,
            max(0.001, ctx.remaining_s()),
        )
        ctx.note(self.name, f"endpoint {record.name}")
        sent = await self._services.call(record, order)
        if sent.is_error():
            self._directory.suspect(record.name)
        elif not call.idempotent:
            ctx.reached_endpoint = True
        return sent


async def _first_ok(pending: set[asyncio.Future]) -> expression.Result:
    """Returns the first success, or the last failure if all fail."""
    waiting = set(pending)
    while True:
        done, waiting = await asyncio.wait(
            waiting, return_when=asyncio.FIRST_COMPLETED
        )
        results = [fut.result() for fut in done]
        for result in results:
            if result.is_ok():
                return result
        if not waiting:
            return results[-1]
