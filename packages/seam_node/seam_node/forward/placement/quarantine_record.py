"""Keeps the quarantine in the platform's store.

It lasts there while all instances are restarted at once, and new instances
find it. It is read once at the start, and written when it changes or when the
store was restored from a copy that may lack it.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import attrs

from seam_model import codec
from seam_model import platform_errors
from seam_node import logs
from seam_node.ports import objects
from seam_policy import quarantine

KEY = "quarantine"
FIRST_BACKOFF_S = 0.2
MAX_READ_BACKOFF_S = 0.8
"""Reading is urgent, as an instance serves no prompts before."""
MAX_WRITE_BACKOFF_S = 5.0


@attrs.frozen
class Record:
    """The object in the store."""

    entries: tuple[quarantine.Entry, ...]


class QuarantineRecord:
    """Reads and writes the record in the background."""

    def __init__(
        self,
        store: objects.ObjectStore,
        entries: Callable[[], tuple[quarantine.Entry, ...]],
        on_read: Callable[[tuple[quarantine.Entry, ...]], None],
        log: logs.Log,
    ):
        """Creates a record that is not read yet.

        Args:
            store: the platform's store.
            entries: returns the entries to write.
            on_read: called with the entries in the store; none if they could
                not be decoded.
            log: where failures are logged.
        """
        self._store = store
        self._entries = entries
        self._on_read = on_read
        self._log = log
        self._changed = asyncio.Event()
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts to read the record, and to write it after each change."""
        self._task = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Stops reading and writing."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def write(self) -> None:
        """Writes the entries soon."""
        self._changed.set()

    async def _run(self) -> None:
        await self._until_done(self._read, MAX_READ_BACKOFF_S)
        while True:
            await self._changed.wait()
            self._changed.clear()
            await self._until_done(self._merge_and_write, MAX_WRITE_BACKOFF_S)

    async def _until_done(
        self, step: Callable[[], Awaitable[bool]], max_backoff_s: float
    ) -> None:
        backoff_s = FIRST_BACKOFF_S
        while not await step():
            await asyncio.sleep(backoff_s)
            backoff_s = min(max_backoff_s, 2 * backoff_s)

    async def _read(self) -> bool:
        return await self._read_stored() is not None

    async def _read_stored(self) -> objects.Stored | None:
        """Passes the stored entries on; None if the store did not answer."""
        got = await self._store.get(KEY)
        if got.is_error():
            if isinstance(got.error, platform_errors.ObjectUnreadable):
                self._log.error("quarantine_unreadable", got.error)
                self._on_read(())
                return objects.Stored(KEY, got.error.version, b"")
            if not isinstance(got.error, platform_errors.ObjectMissing):
                return None
            self._on_read(())
            return objects.Stored(KEY, objects.ABSENT, b"")
        parsed = codec.from_json(got.ok.data, Record)
        if parsed.is_error():
            self._log.error("quarantine_unreadable", parsed.error)
        self._on_read(parsed.ok.entries if parsed.is_ok() else ())
        return got.ok

    async def _merge_and_write(self) -> bool:
        era = self._store.era
        stored = await self._read_stored()
        if stored is None:
            return False
        data = codec.to_json(Record(self._entries()))
        if data == stored.data:
            return True
        put = await self._store.put(KEY, data, stored.version)
        if put.is_error():
            self._log.error("quarantine_not_written", put.error)
        # After a restore the version may be that of other entries.
        return put.is_ok() and self._store.era == era
