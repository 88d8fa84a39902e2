"""A store of versioned objects in memory, which may be away."""

import expression

from seam_model import platform_errors
from seam_node.ports import objects


class MemoryStore(objects.ObjectStore):
    """Objects that outlast the instances of a test."""

    def __init__(self) -> None:
        self.is_away = False
        self.store_era = 1
        self.objects: dict[str, objects.Stored] = {}
        self._version = 0

    @property
    def era(self):
        return self.store_era

    def copy(self):
        """Returns a copy to restore the store from."""
        return self._version, dict(self.objects)

    def restore(self, kept):
        """Loses what was written since a copy."""
        self._version, self.objects = kept[0], dict(kept[1])
        self.store_era += 1

    async def get(self, key: str):
        if self.is_away:
            return expression.Error(platform_errors.PlatformUnavailable("get"))
        if key not in self.objects:
            return expression.Error(platform_errors.ObjectMissing(key))
        return expression.Ok(self.objects[key])

    async def put(self, key: str, data: bytes, expected: int):
        if self.is_away:
            return expression.Error(platform_errors.PlatformUnavailable("put"))
        known = self.objects.get(key)
        current = known.version if known else objects.ABSENT
        if current != expected:
            return expression.Error(
                platform_errors.VersionConflict(key, expected, current)
            )
        self._version += 1
        self.objects[key] = objects.Stored(key, self._version, data)
        return expression.Ok(self._version)
