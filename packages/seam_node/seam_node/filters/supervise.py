"""Stops a run when its caller disconnects or its deadline passes."""

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
        """Runs the next filter; a stop interrupts it in any phase."""
        loop = asyncio.get_running_loop()
        timers = [
            loop.call_later(
                max(0.0, ctx.remaining_s()), _stop, ctx, runs.Stop.DEADLINE
            )
        ]
        ctx.sink.on_disconnect(
            lambda: timers.append(_on_caller_disconnected(ctx))
        )
        try:
            return await proceed(ctx)
        finally:
            for timer in timers:
                timer.cancel()


def _on_caller_disconnected(ctx: base.Context) -> asyncio.TimerHandle:
    """Stops the relay now, and abandons the run after the resume window.

    A run that has no stream yet continues, so that the caller can reconnect
    to it. Only an open stream is closed at once, because the relay must not
    read further events from the engine.
    """
    if ctx.run.stream is not None:
        _stop(ctx, runs.Stop.CALLER_GONE)
    return asyncio.get_running_loop().call_later(
        ctx.effective.resume_window_s, _stop, ctx, runs.Stop.ABANDONED
    )


def _stop(ctx: base.Context, reason: runs.Stop) -> None:
    task.run_in_background(runs.stop_run(ctx.run, reason))
