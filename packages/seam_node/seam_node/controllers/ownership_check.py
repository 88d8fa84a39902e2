"""Proof, after a pause, that this instance still owns its streams."""

import abc

from seam_model import ids
from seam_node.controllers import membership
from seam_node.controllers import registry
from seam_node.controllers import runs


class OwnershipCheck(abc.ABC):
    """Says whether a byte of a run may be sent to its caller now."""

    @abc.abstractmethod
    def mark_verified(self, run: runs.Run) -> None:
        """Takes a run that was registered just now as proved."""

    @abc.abstractmethod
    def is_current(self, run: runs.Run) -> bool:
        """Tells whether the process has not paused since the last proof."""

    @abc.abstractmethod
    async def verify(self, run: runs.Run) -> bool:
        """Asks the mirrors whether the run is still ours."""


class MirrorOwnershipCheck(OwnershipCheck):
    """Proves a run at its mirrors once for each pause of the process."""

    def __init__(
        self,
        members: membership.MembershipController,
        registry_: registry.Registry,
    ):
        """Takes who notices pauses and who knows the mirrors."""
        self._members = members
        self._registry = registry_

    def mark_verified(self, run: runs.Run) -> None:
        """Takes a run that was registered just now as proved."""
        run.verified_pause_count = self._members.detect_pauses()

    def is_current(self, run: runs.Run) -> bool:
        """Tells whether the process has not paused since the last proof."""
        return self._members.detect_pauses() == run.verified_pause_count

    async def verify(self, run: runs.Run) -> bool:
        """Asks the mirrors whether the run is still ours."""
        pause_count = self._members.detect_pauses()
        if not await self._registry.confirm(ids.pack(run.request_id)):
            return False
        run.verified_pause_count = pause_count
        return True
