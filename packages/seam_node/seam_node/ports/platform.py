"""Port to the platform's versioned objects and its instance list."""

import abc

import expression

from seam_model import endpoints
from seam_model import platform_errors
from seam_node.ports import objects

ABSENT = objects.ABSENT
Stored = objects.Stored


class Platform(objects.ObjectStore):
    """Versioned objects with conditional updates and watches.

    A call that fails with `PlatformUnavailable` had no effect. A write that
    fails with `PlatformAmbiguous` may have had an effect. Each object has its
    own version, which increases with every write.
    """

    @abc.abstractmethod
    async def start(self) -> None:
        """Opens connections."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes connections."""

    @abc.abstractmethod
    async def delete(
        self, key: str, expected: int
    ) -> expression.Result[None, platform_errors.PlatformError]:
        """Deletes an object if its current version is `expected`."""

    @abc.abstractmethod
    async def list_keys(
        self, prefix: str
    ) -> expression.Result[tuple[str, ...], platform_errors.PlatformError]:
        """Returns the keys that start with `prefix`, sorted."""

    @abc.abstractmethod
    async def watch(
        self, key: str, above: int, timeout_s: float
    ) -> expression.Result[Stored | None, platform_errors.PlatformError]:
        """Waits for a version above `above`; returns None on timeout."""

    @abc.abstractmethod
    async def fleet(
        self,
    ) -> expression.Result[endpoints.FleetList, platform_errors.PlatformError]:
        """Returns the list of instances and endpoints, which may lag."""

    @abc.abstractmethod
    async def announce(
        self, record: endpoints.InstanceRecord
    ) -> expression.Result[None, platform_errors.PlatformError]:
        """Lists this instance; must be repeated to keep it listed."""
