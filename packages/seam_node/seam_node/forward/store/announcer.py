"""Writes this instance's entry to the platform's store."""

import asyncio

from seam_model import forwarding
from seam_node.forward.store import catalog_watch
from seam_node.ports import catalog


class Announcer:
    """Writes the entry on request and retries until the store accepts it."""

    def __init__(self, entry: forwarding.InstanceEntry, store: catalog.Catalog):
        """Takes the entry and the store."""
        self._entry = entry
        self._store = store
        self._task: asyncio.Task | None = None
        self._closed = False

    def announce(self) -> None:
        """Starts writing the entry unless a write is in progress."""
        if self._closed:
            return
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._run())

    def close(self) -> None:
        """Stops writing permanently."""
        self._closed = True
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        backoff_s = catalog_watch.BACKOFF_INITIAL_S
        while True:
            done = await self._store.announce(self._entry)
            if done.is_ok():
                return
            await asyncio.sleep(backoff_s)
            backoff_s = min(catalog_watch.BACKOFF_MAX_S, backoff_s * 2)
