"""Verifies after a process pause that this instance still owns a run."""

import abc

from seam_model import ids
from seam_node.controllers import membership
from seam_node.controllers import registry
from seam_node.controllers import runs


class OwnershipCheck(abc.ABC):
    """Checks whether the stream of a run may be sent to its caller."""

    @abc.abstractmethod
    def mark_verified(self, run: runs.Run) -> None:
        """Marks a run that has just been registered as verified."""

    @abc.abstractmethod
    def is_current(self, run: runs.Run) -> bool:
        """Returns whether the process has not paused since verification."""

    @abc.abstractmethod
    async def verify(self, run: runs.Run) -> bool:
        """Verifies with the mirrors that this instance still owns the run."""


class MirrorOwnershipCheck(OwnershipCheck):
    """Verifies a run with its mirrors once after each process pause."""

    def __init__(
        self,
        members: membership.MembershipController,
        registry_: registry.Registry,
    ):
        """`members` detects pauses; `registry_` queries the mirrors."""
        self._members = members
        self._registry = registry_

    def mark_verified(self, run: runs.Run) -> None:
        """Marks a run that has just been registered as verified."""
        run.verified_pause_count = self._members.detect_pauses()

    def is_current(self, run: runs.Run) -> bool:
        """Returns whether the process has not paused since verification."""
        return self._members.detect_pauses() == run.verified_pause_count

    async def verify(self, run: runs.Run) -> bool:
        """Verifies with the mirrors that this instance still owns the run."""
        pause_count = self._members.detect_pauses()
        if not await self._registry.confirm(ids.pack(run.request_id)):
            return False
        run.verified_pause_count = pause_count
        return True
