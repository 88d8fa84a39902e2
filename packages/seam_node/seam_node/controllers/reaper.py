"""Frees streams at engines that have lost their owner and their mirrors.

The instance that owns an engine reads its load reports. A stream without a
reader for longer than callers may take to come back is cancelled if its
owner's incarnation is gone or if the owner denies holding it.
"""

from collections.abc import Callable

import expression

from seam_model import endpoints
from seam_model import errors
from seam_model import ids
from seam_model import peers
from seam_node.controllers import membership
from seam_node.controllers import mirror
from seam_node.ports import engine as engine_port
from seam_node.ports import peer as peer_port

MIRROR_MARGIN_S = 10.0
"""Beyond the resume window; lets the mirrors go first."""
QUERY_TIMEOUT_S = 1.0
QUERY_GENERATION = 0
"""A hand-over that asks for this generation takes nothing."""

OnCancelled = Callable[[endpoints.HeldStream], None]


class Reaper:
    """Judges the streams of load reports of owned engines."""

    def __init__(
        self,
        members: membership.MembershipController,
        network: peer_port.PeerNetwork,
        on_cancelled: OnCancelled = lambda stream: None,
        resume_window_s: Callable[[], float] = lambda: mirror.RESUME_WINDOW_S,
    ):
        """`reaped` is told of each stream that was cancelled."""
        self._resume_window_s = resume_window_s
        self._members = members
        self._network = network
        self._on_cancelled = on_cancelled

    async def cancel_orphans(
        self, engine: engine_port.Engine, report: endpoints.LoadReport
    ) -> None:
        """Cancels at `engine` what nobody holds, by its fresh report."""
        for stream in report.streams:
            if await self._is_orphaned(stream):
                await self._free(engine, stream)

    async def _free(
        self, engine: engine_port.Engine, stream: endpoints.HeldStream
    ) -> expression.Result[None, errors.EndpointError]:
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
