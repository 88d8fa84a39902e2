"""Counts the calls to the platform, by operation and outcome."""

from collections.abc import Callable

import expression

from seam_model import endpoints
from seam_node.ports import platform

Count = Callable[[str, str], None]
"""Takes the operation and `ok` or the code of the failure."""


class MeteredPlatform(platform.Platform):
    """Passes every call on to another platform port."""

    def __init__(self, inner: platform.Platform, count: Count):
        """Takes the port that does the work, and who is told of each call."""
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
        return self._seen("get", await self._inner.get(key))

    async def put(
        self, key: str, data: bytes, expected: int
    ) -> expression.Result:
        """Writes if the version is `expected`; returns the new version."""
        return self._seen("put", await self._inner.put(key, data, expected))

    async def delete(self, key: str, expected: int) -> expression.Result:
        """Deletes if the version is `expected`."""
        return self._seen("delete", await self._inner.delete(key, expected))

    async def list_keys(self, prefix: str) -> expression.Result:
        """Returns the keys that start with `prefix`, sorted."""
        return self._seen("list", await self._inner.list_keys(prefix))

    async def watch(
        self, key: str, above: int, timeout_s: float
    ) -> expression.Result:
        """Waits for a version above `above`; None when time runs out."""
        result = await self._inner.watch(key, above, timeout_s)
        return self._seen("watch", result)

    async def fleet(self) -> expression.Result:
        """Returns the lagging list of instances and endpoints."""
        return self._seen("fleet", await self._inner.fleet())

    async def announce(
        self, record: endpoints.InstanceRecord
    ) -> expression.Result:
        """Shows this instance in the list until it stops announcing."""
        return self._seen("announce", await self._inner.announce(record))

    def _seen(
        self, operation: str, result: expression.Result
    ) -> expression.Result:
        outcome = "ok" if result.is_ok() else result.error.code
        self._count(operation, outcome)
        return result
