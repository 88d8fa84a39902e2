"""Relays the tokens of a run to its caller in order, without duplicates."""

import asyncio

import expression

from seam_model import endpoint_errors
from seam_model import endpoints
from seam_node.controllers import engines
from seam_node.controllers import ownership_check
from seam_node.controllers import runs
from seam_node.filters import base

RESUME_ATTEMPTS = 3
RESUME_TIMEOUT_S = 2.0
RESUME_PAUSE_S = 0.2
_EVENT_END = b"\n\n"


def trim_chunk(
    chunk: endpoints.TokenChunk, next_seq: int
) -> endpoints.TokenChunk | None:
    """Drops the events before `next_seq`; returns None if none are left."""
    skip = next_seq - chunk.first_seq
    if skip <= 0:
        return chunk
    if skip >= chunk.count:
        return None
    parts = chunk.data.split(_EVENT_END, skip)
    return endpoints.TokenChunk(
        next_seq, chunk.count - skip, parts[-1], chunk.done
    )


class StreamFilter(base.Filter):
    """Relays the stream; the last filter of the chain for model requests."""

    name = "stream"

    def __init__(
        self,
        directory: engines.EngineDirectory,
        check: ownership_check.OwnershipCheck,
        owner: str,
    ):
        """Takes the engines, the ownership check and the owner id."""
        self._directory = directory
        self._ownership_check = check
        self._owner = owner

    async def apply(
        self, ctx: base.Context, proceed: base.Proceed
    ) -> base.Result:
        """Relays events until the stream ends or the run is stopped."""
        del proceed
        if ctx.sink.is_disconnected():
            await runs.stop_run(ctx.run, runs.Stop.CALLER_GONE)
        try:
            return await self._relay(ctx)
        finally:
            if ctx.stream is not None:
                await ctx.stream.close()

    async def _relay(self, ctx: base.Context) -> base.Result:
        failures = 0
        while True:
            if ctx.run.stop is not None:
                return await self._end_stopped_run(ctx)
            read = await ctx.stream.read()
            if ctx.run.stop is not None:
                return await self._end_stopped_run(ctx)
            chunk = read.ok if read.is_ok() else None
            if chunk is None or chunk.first_seq > ctx.next_seq:
                failures += 1
                resumed = await self._resume(ctx, failures)
                if resumed.is_error():
                    return resumed
                continue
            verified = self._ownership_check.is_current(ctx.run)
            if not verified and not await self._ownership_check.verify(ctx.run):
                await runs.stop_run(ctx.run, runs.Stop.HANDED_OVER)
                continue
            failures = 0
            if await self._send(ctx, chunk):
                return base.OK

    async def _send(
        self, ctx: base.Context, chunk: endpoints.TokenChunk
    ) -> bool:
        """Sends the new events of a chunk; returns True at the stream's end."""
        fresh = trim_chunk(chunk, ctx.next_seq)
        if fresh is None:
            return chunk.done
        if not await ctx.sink.write(fresh.data):
            await runs.stop_run(ctx.run, runs.Stop.CALLER_GONE)
            return False
        if ctx.first_token_at is None:
            ctx.first_token_at = ctx.now()
        ctx.next_seq = fresh.first_seq + fresh.count
        ctx.tokens += fresh.count - fresh.done
        return fresh.done

    async def _resume(self, ctx: base.Context, failures: int) -> base.Result:
        await ctx.stream.close()
        record = self._directory.record(ctx.run.engine)
        if failures > RESUME_ATTEMPTS or record is None:
            return base.fail(endpoint_errors.EndpointLost(ctx.run.engine))
        ctx.note(self.name, f"resume after event {ctx.next_seq - 1}")
        order = endpoints.ResumeOrder(
            ctx.run.request_id,
            ctx.run.incarnation,
            ctx.next_seq - 1,
            self._owner,
        )
        engine = self._directory.engine(ctx.run.engine)
        opened = await engine.resume(order, RESUME_TIMEOUT_S)
        if opened.is_ok():
            ctx.stream = opened.ok
            ctx.run.stream = opened.ok
            return base.OK
        if isinstance(opened.error, endpoint_errors.StreamUnknown):
            return expression.Error(opened.error)
        await asyncio.sleep(RESUME_PAUSE_S)
        return await self._resume(ctx, failures + 1)

    async def _end_stopped_run(self, ctx: base.Context) -> base.Result:
        stop = ctx.run.stop
        ctx.note(self.name, f"stopped: {stop.value}")
        while ctx.run.stop is runs.Stop.CALLER_GONE:
            # Waits until the run is taken over or cancelled, the resume window
            # ends, or the deadline passes.
            ctx.run.stopped.clear()
            await ctx.run.stopped.wait()
        return base.fail(runs.stop_error(ctx.run, self.name))
