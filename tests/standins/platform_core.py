"""In-memory platform: versioned objects, watches and a delayed fleet list."""

import asyncio
import collections
from collections.abc import Callable

import attrs
import expression

from seam_model import endpoints
from seam_model import platform_errors
from seam_node.ports import platform

ANNOUNCEMENT_TTL_S = 6.0


class PlatformCore:
    """State of the stand-in platform."""

    def __init__(self, now: Callable[[], float], lag_s: float = 0.0):
        """Creates an empty platform whose fleet list is `lag_s` out of date.

        `now` returns the current time in seconds.
        """
        self.counts: collections.Counter[str] = collections.Counter()
        self.lag_s = lag_s
        self._now = now
        self._objects: dict[str, platform.Stored] = {}
        self._last_version: dict[str, int] = {}
        self._changed = asyncio.Event()
        self._instances: dict[str, list[_TimedRecord]] = {}
        self._endpoints: dict[str, list[_TimedRecord]] = {}

    def get(self, key: str) -> expression.Result:
        """Returns an object, or `ObjectMissing`."""
        self.counts["reads"] += 1
        stored = self._objects.get(key)
        if stored is None:
            return expression.Error(platform_errors.ObjectMissing(key))
        return expression.Ok(stored)

    def put(self, key: str, data: bytes, expected: int) -> expression.Result:
        """Writes if the current version is `expected`.

        Versions are never reused, not even after a deletion.
        """
        self.counts["writes"] += 1
        conflict = self._conflict(key, expected)
        if conflict is not None:
            return expression.Error(conflict)
        version = self._last_version.get(key, 0) + 1
        self._last_version[key] = version
        self._objects[key] = platform.Stored(key, version, data)
        self._notify_watchers()
        return expression.Ok(version)

    def delete(self, key: str, expected: int) -> expression.Result:
        """Deletes if the current version is `expected`."""
        self.counts["writes"] += 1
        conflict = self._conflict(key, expected)
        if conflict is not None:
            return expression.Error(conflict)
        self._objects.pop(key, None)
        return expression.Ok(None)

    def list_keys(self, prefix: str) -> tuple[str, ...]:
        """Returns the keys that start with `prefix`, sorted."""
        self.counts["reads"] += 1
        return tuple(sorted(k for k in self._objects if k.startswith(prefix)))

    async def watch(
        self, key: str, above: int, timeout_s: float
    ) -> platform.Stored | None:
        """Waits for a version above `above`; returns None on timeout."""
        self.counts["watches"] += 1
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    stored = self._objects.get(key)
                    if stored is not None and stored.version > above:
                        return stored
                    await self._changed.wait()
        except TimeoutError:
            return None

    def announce(self, record: endpoints.InstanceRecord) -> None:
        """Lists an instance for `ANNOUNCEMENT_TTL_S`."""
        self.counts["writes"] += 1
        seen = self._instances.setdefault(record.name, [])
        seen.append(_TimedRecord(self._now(), record))
        oldest = self._now() - self.lag_s - ANNOUNCEMENT_TTL_S
        while len(seen) > 1 and seen[0].at_s < oldest:
            seen.pop(0)

    def register(self, record: endpoints.EndpointRecord) -> None:
        """Adds or replaces an endpoint."""
        seen = self._endpoints.setdefault(record.name, [])
        seen.append(_TimedRecord(self._now(), record))

    def fleet(self) -> endpoints.FleetList:
        """Returns the fleet list as it was `lag_s` ago."""
        self.counts["reads"] += 1
        at_s = self._now() - self.lag_s
        listed_instances = []
        for name in sorted(self._instances):
            known = [s for s in self._instances[name] if s.at_s <= at_s]
            if known and known[-1].at_s > at_s - ANNOUNCEMENT_TTL_S:
                listed_instances.append(known[-1].record)
        listed_endpoints = []
        for name in sorted(self._endpoints):
            known = [s for s in self._endpoints[name] if s.at_s <= at_s]
            listed_endpoints.extend(each.record for each in known[-1:])
        return endpoints.FleetList(
            tuple(listed_instances), tuple(listed_endpoints)
        )

    def _conflict(
        self, key: str, expected: int
    ) -> platform_errors.VersionConflict | None:
        stored = self._objects.get(key)
        current = platform.ABSENT if stored is None else stored.version
        if current == expected:
            return None
        return platform_errors.VersionConflict(key, expected, current)

    def _notify_watchers(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


@attrs.frozen
class _TimedRecord:
    at_s: float
    record: endpoints.InstanceRecord | endpoints.EndpointRecord
