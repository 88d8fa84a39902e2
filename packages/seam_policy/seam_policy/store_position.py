"""Orders the states of a store that may be restored from a copy.

The revision of a restored store is lower than before, and revisions are given
out again for other changes. So a revision identifies a state only within its
era, and every state of a later era is newer.
"""

import attrs


@attrs.frozen(order=True)
class Position:
    """A state of the store."""

    era: int
    """How often the store was restored; 0 for a store that does not tell."""
    revision: int

    def __str__(self) -> str:
        """Returns `era/revision`."""
        return f"{self.era}/{self.revision}"


START = Position(0, 0)
"""Older than any state."""
