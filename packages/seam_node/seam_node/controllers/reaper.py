"""Cancels streams at engines that have lost their owner and their mirrors.

The instance that owns an engine reads its load reports. A stream without a
reader for longer than the resume window is cancelled if the incarnation of its
owner has ended or if the owner answers that it does not hold the run.
"""

from collections.abc import Callable

import expression

from seam_model import endpoint_errors
from seam_model import endpoints
from seam_model import ids
from seam_model import peers
from seam_node import logs
from seam_node import metrics
from seam_node.controllers import membership
from seam_node.controllers import mirror
from seam_node.ports import engine as engine_port
from seam_node.ports import peer as peer_port

MIRROR_MARGIN_S = 10.0
"""Added to the resume window, so that the mirrors cancel first."""
QUERY_TIMEOUT_S = 1.0
QUERY_GENERATION = 0
"""A hand-over request with this generation only queries the owner."""

OnCancelled = Callable[[endpoints.HeldStream], None]


class Reaper:
    """Cancels orphaned streams found in the load reports of owned engines."""

    def __init__(
        self,
        members: membership.MembershipController,
        network: peer_port.PeerNetwork,
        on_cancelled: OnCancelled = lambda stream: None,
        resume_window_s: Callable[[], float] = lambda: mirror.RESUME_WINDOW_S,
    ):
        """`on_cancelled` is called with each stream that was cancelled."""
        self._resume_window_s = resume_window_s
        self._members = members
        self._network = network
        self._on_cancelled = on_cancelled

    async def cancel_orphans(
        self, engine: engine_port.Engine, report: endpoints.LoadReport
    ) -> None:
        """Cancels the streams of a recent report that no instance holds."""
        for stream in report.streams:
            if await self._is_orphaned(stream):
                await self._cancel_stream(engine, stream)

    async def _cancel_stream(
        self, engine: engine_port.Engine, stream: endpoints.HeldStream
    ) -> expression.Result[None, endpoint_errors.EndpointError]:
        done = await engine.cancel(stream.request_id, stream.incarnation)
        if done.is_ok():
            self._on_cancelled(stream)
        return done

    async def _is_orphaned(self, stream: endpoints.HeldStream) -> bool:
        if stream.idle_s <= self._resume_window_s() + MIRROR_MARGIN_S:
            return False
        name, _, incarnation = stream.owner.rpartition("/")
        if not incarnation.isdigit():
            return True
        view = self._members.view()
        if view.fleet_read_at is None:
            return False
        if mirror.has_ended(view, name, int(incarnation)):
            return True
        return await self._owner_denies(name, stream)

    async def _owner_denies(
        self, name: str, stream: endpoints.HeldStream
    ) -> bool:
        query = peers.HandOver(ids.pack(stream.request_id), QUERY_GENERATION)
        answer = await self._network.request(name, query, QUERY_TIMEOUT_S)
        if answer.is_error() or answer.ok is None:
            return False
        return not answer.ok.held


def record_cancelled(
    meter: metrics.Metrics, log: logs.Log, stream: endpoints.HeldStream
) -> None:
    """Counts and logs a stream that was cancelled."""
    meter.stream_reaped()
    log.event("stream_reaped", request=stream.request_id, owner=stream.owner)
