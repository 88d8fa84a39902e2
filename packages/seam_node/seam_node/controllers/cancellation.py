"""Cancels runs at the instance that holds them and at engines."""

from seam_model import ids
from seam_model import peers
from seam_node.controllers import engines
from seam_node.controllers import membership
from seam_node.controllers import registry
from seam_node.controllers import runs
from seam_node.ports import peer


class RunCancellation:
    """Cancels runs for callers of this instance and of others."""

    def __init__(
        self,
        own_name: str,
        run_table: runs.RunTable,
        members: membership.MembershipController,
        run_registry: registry.Registry,
        network: peer.PeerNetwork,
    ):
        """Registers the handler of other instances' cancellations.

        Args:
            own_name: name of this instance.
            run_table: the runs of this instance.
            members: the live instances.
            run_registry: knows which instances hold a run.
            network: the way to other instances.
        """
        self._own_name = own_name
        self._runs = run_table
        self._members = members
        self._registry = run_registry
        self._peers = network
        network.register_handler(peers.CancelRun, self._on_cancel_run)

    async def cancel(self, request_id: str, workspace: str) -> bool:
        """Cancels a workspace's run here or at a remote holder.

        The run's mirrors name the instances that hold it.
        """
        tag = ids.workspace_tag(workspace)
        if await self._cancel_local(request_id, tag):
            return True
        packed = ids.pack(request_id)
        names = {site.name for site in self._members.view().live}
        names.discard(self._own_name)
        holders = await self._registry.holders(packed, tag)
        for name in sorted(holders & names):
            answer = await self._peers.request(
                name,
                peers.CancelRun(packed, tag),
                registry.HAND_OVER_TIMEOUT_S,
            )
            if answer.is_ok() and answer.ok.known:
                return True
        return False

    async def _on_cancel_run(
        self, sender: str, message: peers.CancelRun
    ) -> peers.CancelAnswer:
        del sender
        request_id = ids.unpack(message.request_id)
        cancelled = await self._cancel_local(request_id, message.tag)
        return peers.CancelAnswer(cancelled)

    async def _cancel_local(self, request_id: str, tag: bytes) -> bool:
        run = self._runs.get(request_id)
        if run is None or ids.workspace_tag(run.trace.workspace) != tag:
            return False
        await runs.stop_run(run, runs.Stop.CANCELLED)
        return True


class EngineStreams:
    """The streams at engines, as mirrors see and cancel them."""

    def __init__(self, directory: engines.EngineDirectory):
        """Takes the engines."""
        self._directory = directory

    async def cancel(
        self, engine: str, request_id: bytes, generation: int
    ) -> bool:
        """Cancels a run's stream; returns whether the engine did it."""
        if self._directory.record(engine) is None:
            return False
        done = await self._directory.engine(engine).cancel(
            ids.unpack(request_id), ids.last_incarnation(generation)
        )
        return done.is_ok()

    async def has_reader(self, engine: str, request_id: bytes) -> bool:
        """Returns whether a stream has, or may have, a reader."""
        if self._directory.record(engine) is None:
            return False
        report = await self._directory.engine(engine).load()
        if report.is_error():
            return True
        run_id = ids.unpack(request_id)
        return any(
            stream.request_id == run_id and stream.idle_s <= 0.0
            for stream in report.ok.streams
        )
