"""Makes sure that a request id has one run, which a repeat continues."""

import asyncio

import expression

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
CANCEL_TRIES = 3
CANCEL_PAUSE_S = 0.5
_MAY_RUN_ON = (
    errors.EndpointLost,
    errors.EndpointUnreachable,
    errors.StreamUnknown,
)
"""After these another instance may still reach the stream."""


class DeduplicateFilter(base.Filter):
    """Registers the run, or takes over the one that exists."""

    name = "deduplicate"

    def __init__(
        self,
        table: runs.RunTable,
        registry_: registry.Registry,
        proof: ownership_check.OwnershipCheck,
        directory: engines.EngineDirectory,
        owner: str,
    ):
        """Takes the runs, the registry, the engines and our own name."""
        self._table = table
        self._registry = registry_
        self._proof = proof
        self._directory = directory
        self._owner = owner

    async def apply(
        self, ctx: base.Context, proceed: base.Proceed
    ) -> base.Result:
        """Passes on with a registered run, and ends it afterwards."""
        request_id = ids.pack(ctx.generate.request_id)
        held = await self._hold(ctx, request_id)
        if held.is_error():
            return base.fail(held.error)
        ctx.run = held.ok
        self._proof.mark_verified(ctx.run)
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

    async def _hold(
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
                # An earlier attempt with the id may have been answered.
                ctx.reached_endpoint = True
            if not isinstance(begun.error, errors.AlreadyRunning):
                return begun
        # The id has a run, of which the endpoints may have seen something.
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
        """Attaches to the stream of a run that was taken over."""
        run = ctx.run
        run.incarnation = ids.engine_incarnation(run.generation, 0)
        if not run.engine or self._directory.record(run.engine) is None:
            if run.final_outcome:
                return base.fail(errors.AlreadyEnded(run.final_outcome))
            return self._unplaced(ctx)
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
        if not isinstance(opened.error, errors.StreamUnknown):
            return base.fail(opened.error)
        if run.final_outcome:
            return base.fail(errors.AlreadyEnded(run.final_outcome))
        # A cancelled generation can't start there any more, so that a run
        # which has sent nothing may be started again.
        cancelled = await engine.cancel(
            run.request_id, ids.last_incarnation(run.generation - 1)
        )
        if cancelled.is_error():
            return base.fail(cancelled.error)
        return self._unplaced(ctx)

    def _unplaced(self, ctx: base.Context) -> base.Result:
        if ctx.generate.after_seq > 0:
            return base.fail(errors.StreamUnknown(ctx.run.engine))
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
        unsent = ctx.next_seq == 1
        lost = isinstance(result.error, _MAY_RUN_ON)
        if run.stop is None and (unsent or lost):
            self._registry.withdraw(request_id, ctx.reached_endpoint)
        else:
            self._registry.record_end(request_id, result.error.code)
        if run.engine and (unsent or not lost):
            task.run_in_background(self._cancel(run))

    async def _cancel(self, run: runs.Run) -> None:
        """Frees the engine's memory; the reaper frees what this can't."""
        for _ in range(CANCEL_TRIES):
            if self._directory.record(run.engine) is None:
                return
            engine = self._directory.engine(run.engine)
            done = await engine.cancel(
                run.request_id, ids.last_incarnation(run.generation)
            )
            if done.is_ok():
                return
            await asyncio.sleep(CANCEL_PAUSE_S)
