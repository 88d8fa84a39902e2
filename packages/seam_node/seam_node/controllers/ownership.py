"""Assigns each engine to an instance by rendezvous hashing over live ones."""

from collections.abc import Callable

from seam_node.controllers import engines
from seam_policy import rendezvous


class Ownership:
    """Maps engines and shards to live instances.

    Ownership is not exclusive: two instances with different membership views
    may both own an engine for a while. The engine itself then refuses work
    beyond its capacity.
    """

    def __init__(
        self,
        live: Callable[[], tuple[rendezvous.Site, ...]],
        directory: engines.EngineDirectory,
    ):
        """`live` returns the live instances; `directory` has the endpoints."""
        self._live = live
        self._directory = directory
        self._sites: tuple[rendezvous.Site, ...] = ()
        self._table = rendezvous.SiteTable(())

    def owner_of(self, engine: str) -> str | None:
        """Returns the instance that maintains the ledger of an engine."""
        record = self._directory.record(engine)
        if record is None:
            return None
        return self._owner(engine.encode(), record.data_centre)

    def shard_owner(self, shard: bytes) -> str | None:
        """Returns the instance that batches the writes of a claim shard."""
        return self._owner(shard, "")

    def _owner(self, key: bytes, data_centre: str) -> str | None:
        live = self._live()
        if live != self._sites:
            self._sites = live
            self._table = rendezvous.SiteTable(live)
        site = self._table.owner(key, data_centre)
        return site.name if site else None
