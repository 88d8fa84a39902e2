"""Stores the runs in progress on this instance and recent traces."""

import asyncio
import collections
import enum
from typing import Any

import attrs

from seam_model import errors
from seam_node.ports import engine as engine_port

MAX_TRACES = 2000


class Stop(enum.Enum):
    """Why a run is stopped before its stream ends."""

    CALLER_GONE = "caller_gone"
    """The caller may resume until the resume window ends."""
    ABANDONED = "abandoned"
    """The caller disconnected and did not resume in time."""
    CANCELLED = "cancelled"
    HANDED_OVER = "handed_over"
    DEADLINE = "deadline"


@attrs.frozen
class Step:
    """One decision about a request, for `explain`."""

    at_s: float
    """Seconds since the request arrived."""
    filter: str
    what: str


@attrs.define
class Trace:
    """The decisions and the outcome of one request."""

    request_id: str
    workspace: str = ""
    rank: str = ""
    model: str = ""
    outcome: str = "running"
    steps: list[Step] = attrs.field(factory=list)


@attrs.define(eq=False)
class Run:
    """One request in progress on this instance."""

    request_id: str
    generation: int
    trace: Trace
    engine: str = ""
    incarnation: int = 0
    """Number of the current attempt at the engine."""
    final_outcome: str = ""
    """Outcome of a run that has ended: only its kept stream is read."""
    stop: Stop | None = None
    stream: engine_port.DecodeStream | None = None
    verified_pause_count: int = 0
    """Value of the pause count when ownership was last verified."""
    stopped: asyncio.Event = attrs.field(factory=asyncio.Event)
    relay_ended: asyncio.Event = attrs.field(factory=asyncio.Event)
    """Set once this instance will not send any more of the stream."""


class RunTable:
    """Keeps the runs in progress and the traces of recent requests.

    Used only on the event loop's thread. Its methods never wait, except `stop`,
    so each of the others is atomic.
    """

    def __init__(self) -> None:
        """Creates an empty table."""
        self._runs: dict[str, Run] = {}
        self._traces: collections.OrderedDict[str, Trace] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Returns the number of requests in progress."""
        return len(self._runs)

    def add(self, run: Run) -> None:
        """Adds a run."""
        self._runs[run.request_id] = run

    def remove(self, run: Run) -> None:
        """Removes a run, unless a newer run of the request has replaced it."""
        run.relay_ended.set()
        if self._runs.get(run.request_id) is run:
            del self._runs[run.request_id]

    def get(self, request_id: str) -> Run | None:
        """Returns the run of a request."""
        return self._runs.get(request_id)

    def runs(self) -> tuple[Run, ...]:
        """Returns every run in progress."""
        return tuple(self._runs.values())

    async def stop(self, request_id: str, stop: Stop) -> Run | None:
        """Stops a run; see `stop_run` for which reason is kept."""
        run = self._runs.get(request_id)
        if run is None:
            return None
        await stop_run(run, stop)
        return run

    # Traces

    def add_trace(self, trace: Trace) -> None:
        """Stores a trace and evicts the oldest above `MAX_TRACES`."""
        self._traces[trace.request_id] = trace
        self._traces.move_to_end(trace.request_id)
        while len(self._traces) > MAX_TRACES:
            self._traces.popitem(last=False)

    def trace(self, request_id: str) -> Trace | None:
        """Returns the trace of a recent request."""
        return self._traces.get(request_id)


async def stop_run(run: Run, stop: Stop) -> None:
    """Records why a run stops and detaches it from its stream.

    A caller that disconnected may resume, so any later reason replaces
    `CALLER_GONE`; every other reason is kept.
    """
    if run.stop is None or run.stop is Stop.CALLER_GONE:
        run.stop = stop
    run.stopped.set()
    if run.stream is not None:
        await run.stream.close()


def stop_error(run: Run, stage: str) -> errors.SeamError:
    """Returns the error for a run that was stopped at a stage."""
    if run.stop is Stop.DEADLINE:
        return errors.DeadlinePassed(stage)
    return errors.Cancelled(run.stop.value if run.stop else "")


async def wait_unless_stopped(run: Run, awaitable: Any) -> Any | None:
    """Awaits `awaitable`; cancels it and returns None if the run stops."""
    work = asyncio.ensure_future(awaitable)
    stopped = asyncio.ensure_future(run.stopped.wait())
    try:
        await asyncio.wait((work, stopped), return_when=asyncio.FIRST_COMPLETED)
        return work.result() if work.done() else None
    finally:
        stopped.cancel()
        if not work.done():
            work.cancel()
