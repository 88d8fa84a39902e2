"""Port to versioned objects with conditional writes."""

import abc

import attrs
import expression

from seam_model import platform_errors

ABSENT = 0
"""Expected version of a conditional write that creates an object."""


@attrs.frozen
class Stored:
    """An object and its version."""

    key: str
    version: int
    data: bytes


class ObjectStore(abc.ABC):
    """Reads and writes single objects.

    A call that fails with `PlatformUnavailable` had no effect. A write that
    fails with `PlatformAmbiguous` may have had an effect. Each object has its
    own version, which increases with every write of an era.
    """

    @property
    def era(self) -> int:
        """How often the store was restored from a copy, as last heard.

        0 for a store that does not tell. A restore sets versions back and
        loses writes that had been acknowledged.
        """
        return 0

    @abc.abstractmethod
    async def get(
        self, key: str
    ) -> expression.Result[Stored, platform_errors.PlatformError]:
        """Returns an object, or `ObjectMissing`."""

    @abc.abstractmethod
    async def put(
        self, key: str, data: bytes, expected: int
    ) -> expression.Result[int, platform_errors.PlatformError]:
        """Writes if the current version is `expected`; returns the new one.

        Errors: `VersionConflict` with the current version.
        """
