"""Ensures that each request id has one run, which a repeat resumes."""

import asyncio

import expression

from seam_model import endpoint_errors
from seam_model import endpoints
from seam_model import errors
from seam_model import ids
from seam_node import task
from seam_node.controllers import engines
from seam_node.controllers import ownership_check
from seam_node.controllers import registry
from seam_node.controllers import runs
from seam_node.filters import base

RESUME_TIMEOUT_S = 2.0
CANCEL_ATTEMPTS = 3
CANCEL_PAUSE_S = 0.5
_STREAM_MAY_SURVIVE = (
    endpoint_errors.EndpointLost,
    endpoint_errors.EndpointUnreachable,
    endpoint_errors.StreamUnknown,
)
"""Errors after which another instance may still reach the stream."""


class DeduplicateFilter(base.Filter):
    """Registers a new run or takes over the existing one."""

    name = "deduplicate"

    def __init__(
        self,
        table: runs.RunTable,
        registry_: registry.Registry,
        check: ownership_check.OwnershipCheck,
        directory: engines.EngineDirectory,
        owner: str,
    ):
        """Takes the runs, registry, ownership check, engines and owner id."""
        self._table = table
        self._registry = registry_
        self._ownership_check = check
        self._directory = directory
        self._owner = owner

    async def apply(
        self, ctx: base.Context, proceed: base.Proceed
    ) -> base.Result:
        """Registers the run, runs the next filter, and ends the run."""
        request_id = ids.pack(ctx.generate.request_id)
        registered = await self._register_run(ctx, request_id)
        if registered.is_error():
            return base.fail(registered.error)
        ctx.run = registered.ok
        self._ownership_check.mark_verified(ctx.run)
        self._table.add(ctx.run)
        self._table.add_trace(ctx.trace)
        result = base.fail(errors.Cancelled("internal"))
        try:
            result = await self._attach(ctx)
            if result.is_ok():
                result = await proceed(ctx)
            return result
        finally:
            self._end(ctx, request_id, result)

    async def _register_run(
        self, ctx: base.Context, request_id: bytes
    ) -> expression.Result[runs.Run, errors.SeamError]:
        req = ctx.generate
        tag = ids.workspace_tag(req.workspace)
        if not req.resumes:
            begun = await self._registry.begin(request_id, tag)
            if begun.is_ok():
                return expression.Ok(
                    runs.Run(req.request_id, begun.ok.generation, ctx.trace)
                )
            if isinstance(begun.error, errors.AlreadyEnded):
                # An earlier attempt with this id may have been answered.
                ctx.reached_endpoint = True
            if not isinstance(begun.error, errors.AlreadyRunning):
                return begun
        # The id already has a run, which may have reached an endpoint.
        ctx.reached_endpoint = True
        taken = await self._registry.take_over(request_id, tag)
        if taken.is_error():
            return taken
        ctx.note(self.name, f"took over generation {taken.ok.generation}")
        run = runs.Run(req.request_id, taken.ok.generation, ctx.trace)
        run.engine = taken.ok.engine
        run.final_outcome = taken.ok.final_outcome
        return expression.Ok(run)

    async def _attach(self, ctx: base.Context) -> base.Result:
        """Resumes the stream of a taken-over run, or prepares a new one."""
        run = ctx.run
        run.incarnation = ids.engine_incarnation(run.generation, 0)
        if not run.engine or self._directory.record(run.engine) is None:
            if run.final_outcome:
                return base.fail(errors.AlreadyEnded(run.final_outcome))
            return self._prepare_placement(ctx)
        engine = self._directory.engine(run.engine)
        order = endpoints.ResumeOrder(
            run.request_id,
            run.incarnation,
            ctx.generate.after_seq,
            self._owner,
        )
        opened = await engine.resume(order, RESUME_TIMEOUT_S)
        if opened.is_ok():
            ctx.resumed = True
            ctx.stream = opened.ok
            run.stream = opened.ok
            return base.OK
        if not isinstance(opened.error, endpoint_errors.StreamUnknown):
            return base.fail(opened.error)
        if run.final_outcome:
            return base.fail(errors.AlreadyEnded(run.final_outcome))
        # After the cancellation, earlier generations cannot start at this
        # engine, so a run that has sent nothing can be restarted safely.
        cancelled = await engine.cancel(
            run.request_id, ids.last_incarnation(run.generation - 1)
        )
        if cancelled.is_error():
            return base.fail(cancelled.error)
        return self._prepare_placement(ctx)

    def _prepare_placement(self, ctx: base.Context) -> base.Result:
        """Prepares a run for placement; fails if events were already sent."""
        if ctx.generate.after_seq > 0:
            return base.fail(endpoint_errors.StreamUnknown(ctx.run.engine))
        ctx.run.engine = ""
        return base.OK

    def _end(
        self, ctx: base.Context, request_id: bytes, result: base.Result
    ) -> None:
        run = ctx.run
        self._table.remove(run)
        if run.stop is runs.Stop.HANDED_OVER:
            return
        if result.is_ok():
            self._registry.record_end(request_id, registry.OUTCOME_OK)
            return
        nothing_sent = ctx.next_seq == 1
        may_survive = isinstance(result.error, _STREAM_MAY_SURVIVE)
        if run.stop is None and (nothing_sent or may_survive):
            self._registry.withdraw(request_id, ctx.reached_endpoint)
        else:
            self._registry.record_end(request_id, result.error.code)
        if run.engine and (nothing_sent or not may_survive):
            task.run_in_background(self._cancel(run))

    async def _cancel(self, run: runs.Run) -> None:
        """Cancels the run at its engine to free memory.

        If every attempt fails, the reaper cancels the stream later.
        """
        for _ in range(CANCEL_ATTEMPTS):
            if self._directory.record(run.engine) is None:
                return
            engine = self._directory.engine(run.engine)
            done = await engine.cancel(
                run.request_id, ids.last_incarnation(run.generation)
            )
            if done.is_ok():
                return
            await asyncio.sleep(CANCEL_PAUSE_S)
