"""Stops a run whose caller went or whose deadline passed, in any phase."""

import asyncio

from seam_node import task
from seam_node.controllers import runs
from seam_node.filters import base


class SuperviseFilter(base.Filter):
    """Watches the caller's connection and the deadline of one run."""

    name = "supervise"

    async def apply(
        self, ctx: base.Context, proceed: base.Proceed
    ) -> base.Result:
        """Passes on; a run that is stopped ends wherever it is."""
        loop = asyncio.get_running_loop()
        timers = [
            loop.call_later(
                max(0.0, ctx.remaining_s()), _stop, ctx, runs.Stop.DEADLINE
            )
        ]
        ctx.sink.on_gone(lambda: timers.append(_caller_gone(ctx)))
        try:
            return await proceed(ctx)
        finally:
            for timer in timers:
                timer.cancel()


def _caller_gone(ctx: base.Context) -> asyncio.TimerHandle:
    """Detaches from a stream now, and ends the run after the window.

    A run that has no stream yet goes on, so that a caller who comes back
    finds it; only the relay must not take more from the engine.
    """
    if ctx.run.stream is not None:
        _stop(ctx, runs.Stop.CALLER_GONE)
    return asyncio.get_running_loop().call_later(
        ctx.effective.resume_window_s, _stop, ctx, runs.Stop.ABANDONED
    )


def _stop(ctx: base.Context, reason: runs.Stop) -> None:
    task.run_in_background(runs.stop_run(ctx.run, reason))
