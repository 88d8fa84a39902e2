"""Counts calls to the platform by operation and outcome."""

from collections.abc import Callable

import expression

from seam_model import endpoints
from seam_node.ports import platform

Count = Callable[[str, str], None]
"""Takes the operation and its outcome: `ok` or an error code."""


class MeteredPlatform(platform.Platform):
    """Delegates to another platform port and counts its calls."""

    def __init__(self, inner: platform.Platform, count: Count):
        """Sets the wrapped port and the callback for each finished call."""
        self._inner = inner
        self._count = count

    async def start(self) -> None:
        """Opens connections."""
        await self._inner.start()

    async def close(self) -> None:
        """Closes connections."""
        await self._inner.close()

    async def get(self, key: str) -> expression.Result:
        """Returns an object, or `ObjectMissing`."""
        return self._count_outcome("get", await self._inner.get(key))

    async def put(
        self, key: str, data: bytes, expected: int
    ) -> expression.Result:
        """Writes if the current version is `expected`; returns the new one."""
        return self._count_outcome(
            "put", await self._inner.put(key, data, expected)
        )

    async def delete(self, key: str, expected: int) -> expression.Result:
        """Deletes an object if its current version is `expected`."""
        return self._count_outcome(
            "delete", await self._inner.delete(key, expected)
        )

    async def list_keys(self, prefix: str) -> expression.Result:
        """Returns the keys that start with `prefix`, sorted."""
        return self._count_outcome("list", await self._inner.list_keys(prefix))

    async def watch(
        self, key: str, above: int, timeout_s: float
    ) -> expression.Result:
        """Waits for a version above `above`; returns None on timeout."""
        result = await self._inner.watch(key, above, timeout_s)
        return self._count_outcome("watch", result)

    async def fleet(self) -> expression.Result:
        """Returns the list of instances and endpoints, which may lag."""
        return self._count_outcome("fleet", await self._inner.fleet())

    async def announce(
        self, record: endpoints.InstanceRecord
    ) -> expression.Result:
        """Lists this instance; must be repeated to keep it listed."""
        return self._count_outcome(
            "announce", await self._inner.announce(record)
        )

    def _count_outcome(
        self, operation: str, result: expression.Result
    ) -> expression.Result:
        outcome = "ok" if result.is_ok() else result.error.code
        self._count(operation, outcome)
        return result
