"""Follows the changes of one kind of object in the platform's store."""

import abc
import asyncio
from collections.abc import Callable

import expression

from seam_model import platform_errors
from seam_node.forward.store import feed_board
from seam_node.forward.store import store_link
from seam_node.ports import catalog
from seam_policy import store_position

LIST_TIMEOUT_S = 1.0
COALESCE_S = 0.1
"""Delay after a change, so that changes in quick succession need one call."""
BACKOFF_INITIAL_S = 0.05
BACKOFF_MAX_S = 0.4
REANNOUNCE_GRACE_S = 1.7
"""Time after an outage or a restore of the store is found to be over in which
missing objects are kept: live endpoints announce themselves again within about
two seconds of the store's recovery."""

Done = expression.Result[None, platform_errors.PlatformError]


class ChangeListener(abc.ABC):
    """Receives the changes of one kind of object."""

    @abc.abstractmethod
    def put(self, entry: catalog.Entry) -> None:
        """Handles an object that was written."""

    @abc.abstractmethod
    def remove(self, name: str) -> None:
        """Handles the removal of an object."""

    def is_outdated(self, entry: catalog.Entry) -> bool:
        """Returns whether an object is known to have changed since.

        Only a store that was restored from a copy shows such an object.
        """
        del entry
        return False


class CatalogWatch:
    """Lists objects, then watches them until it is closed."""

    def __init__(
        self,
        kind: catalog.Kind,
        source: catalog.Catalog,
        listener: ChangeListener,
        link: store_link.StoreLink,
        wait_s: Callable[[], float],
        now: Callable[[], float],
        first_watch_delay_s: float = 0.0,
        board: feed_board.FeedBoard | None = None,
    ):
        """Creates a watch that is not started.

        Args:
            kind: which objects to follow.
            source: the store.
            listener: receives the changes.
            link: reachability of the store, shared by all watches.
            wait_s: returns the duration of one watch call, and so the time to
                detect a store that no longer delivers changes to the watch.
            now: the clock.
            first_watch_delay_s: pause between the first listing and the first
                watch, in which the watch may turn out to be needless.
            board: told what the store has, for other instances.
        """
        self._kind = kind
        self._source = source
        self._listener = listener
        self._link = link
        self._wait_s = wait_s
        self._first_watch_delay_s = first_watch_delay_s
        self._board = board or feed_board.FeedBoard()
        self._now = now
        self._names: set[str] = set()
        self._pending_removals: dict[str, asyncio.TimerHandle] = {}
        self._held_back: dict[str, catalog.Entry] = {}
        """Objects that the store shows in an older state than known."""
        self._release_timer: asyncio.TimerHandle | None = None
        link.on_restored.append(self._relist)
        self._position: store_position.Position | None = None
        """Where the next watch goes on; None to list the objects first."""
        self._task: asyncio.Task | None = None
        self.answered_at: float | None = None
        """Time of the store's last answer; None before the first listing."""
        self.known_position = store_position.START
        """Newest position of the store up to which the objects are known."""
        self.on_applied: Callable[[float, int], None] | None = None
        """Called once an answer of the store has been applied, with the time at
        which its call was sent and the era of the store that answered."""

    async def start(self) -> None:
        """Starts listing and watching."""
        self._task = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Stops watching."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        for timer in self._pending_removals.values():
            timer.cancel()
        if self._release_timer is not None:
            self._release_timer.cancel()
        self._held_back.clear()

    async def restart(self) -> None:
        """Cancels the current call and lists all objects again."""
        await self.close()
        self._pending_removals.clear()
        self.resume()

    def resume(self) -> None:
        """Lists and watches again unless that is being done."""
        if self._task is None or self._task.done():
            self._position = None
            self._task = asyncio.ensure_future(self._run())

    def _relist(self) -> None:
        """Lists the objects again, as the store has been restored.

        The call that waits is of the era before.
        """
        if self._task is None or self._task is asyncio.current_task():
            return
        self._task.cancel()
        self._task = None
        self.resume()

    def pause(self, position: store_position.Position, age_s: float) -> None:
        """Stops calling the store, as another source tells of the objects.

        Args:
            position: position of the store up to which the source knows them.
            age_s: time since the store's last answer to the source.
        """
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self._link.note_era(position.era)
        self.known_position = max(self.known_position, position)
        answered_at = self._now() - age_s
        self.answered_at = max(answered_at, self.answered_at or answered_at)

    def replace(self, entries: tuple[catalog.Entry, ...], era: int) -> None:
        """Replaces all objects by those of another source.

        Args:
            entries: the objects.
            era: era of the store that showed them to the source.
        """
        self._link.note_other_source()
        self._link.note_era(era)
        present = {entry.name for entry in entries}
        for name in (self._names | self._held_back.keys()) - present:
            self._schedule_removal(name)
        for entry in entries:
            self._add(entry)

    def age_s(self) -> float:
        """Returns the seconds since the store's last answer."""
        if self.answered_at is None:
            return float("inf")
        return self._now() - self.answered_at

    async def _run(self) -> None:
        backoff_s = BACKOFF_INITIAL_S
        while True:
            if self._position is not None and self._first_watch_delay_s:
                delay_s, self._first_watch_delay_s = (
                    self._first_watch_delay_s,
                    0.0,
                )
                await asyncio.sleep(delay_s)
            is_probe = await self._link.acquire_turn()
            try:
                done = await self._list_or_watch(is_probe)
            finally:
                if is_probe:
                    self._link.release_turn()
            if done.is_ok():
                backoff_s = BACKOFF_INITIAL_S
            elif not self._link.unreachable:
                await asyncio.sleep(backoff_s)
                backoff_s = min(BACKOFF_MAX_S, backoff_s * 2)

    async def _list_or_watch(self, is_probe: bool) -> Done:
        """Lists or watches once; a probe of an unreachable store lists."""
        if is_probe:
            return await self._list(self._link.probe_timeout_s())
        if self._position is None:
            return await self._list(LIST_TIMEOUT_S)
        return await self._watch()

    async def _list(self, timeout_s: float) -> Done:
        sent_at = self._now()
        listed = await self._source.list(self._kind, timeout_s=timeout_s)
        if listed.is_error():
            return self._note_error(listed.error)
        self._note_answer()
        self._link.note_era(listed.ok.position.era)
        present = {entry.name for entry in listed.ok.entries}
        for name in (self._names | self._held_back.keys()) - present:
            self._schedule_removal(name)
        for entry in listed.ok.entries:
            self._add(entry)
        self._link.log_listing(
            self._kind, listed.ok.position, self._position, len(present)
        )
        self._note_position(listed.ok.position)
        self._note_applied(sent_at, listed.ok.position.era)
        return expression.Ok(None)

    async def _watch(self) -> Done:
        sent_at = self._now()
        watched = await self._source.watch(
            self._kind, self._position.revision, self._wait_s()
        )
        if watched.is_error():
            return self._note_error(watched.error)
        self._note_answer()
        position = watched.ok.position
        if position.era != self._position.era:
            # Its revisions say nothing about those that were watched from.
            self._link.log_crossing(self._kind, self._position, position)
            self._position = None
            self._link.note_era(position.era)
            return expression.Ok(None)
        for change in watched.ok.changes:
            if change.removed:
                self._schedule_removal(change.entry.name)
            else:
                self._add(change.entry)
        self._note_position(max(self._position, position))
        self._note_applied(sent_at, position.era)
        if watched.ok.changes:
            await asyncio.sleep(COALESCE_S)
        return expression.Ok(None)

    def _add(self, entry: catalog.Entry) -> None:
        if self._link.is_unconfirmed() and self._listener.is_outdated(entry):
            self._hold_back(entry)
            return
        self._held_back.pop(entry.name, None)
        timer = self._pending_removals.pop(entry.name, None)
        if timer is not None:
            timer.cancel()
        self._names.add(entry.name)
        self._tell_followers(entry, removed=False)
        self._listener.put(entry)

    def _hold_back(self, entry: catalog.Entry) -> None:
        """Believes an outdated object only if the store keeps showing it."""
        if not self._held_back:
            loop = asyncio.get_running_loop()
            self._release_timer = loop.call_later(
                self._link.unconfirmed_left_s(), self._release_held_back
            )
        self._held_back[entry.name] = entry

    def _release_held_back(self) -> None:
        entries = list(self._held_back.values())
        self._held_back.clear()
        for entry in entries:
            self._add(entry)

    def _schedule_removal(self, name: str) -> None:
        """Removes an object, with a delay after an outage or a restore.

        During an outage the announcements of live endpoints expire, and a copy
        lacks the latest ones, so objects that are missing afterwards get time
        to be announced again.
        """
        self._held_back.pop(name, None)
        self._tell_followers(catalog.Entry(name, 0, None), removed=True)
        grace_left_s = (
            self._link.recovered_at + REANNOUNCE_GRACE_S - self._now()
        )
        if grace_left_s <= 0:
            self._remove_now(name)
            return
        if name in self._pending_removals:
            return
        loop = asyncio.get_running_loop()
        self._pending_removals[name] = loop.call_later(
            grace_left_s, self._remove_now, name
        )

    def _tell_followers(self, entry: catalog.Entry, removed: bool) -> None:
        self._board.update(
            feed_board.Update(self._kind, entry, removed, self._link.era)
        )

    def _remove_now(self, name: str) -> None:
        self._pending_removals.pop(name, None)
        self._names.discard(name)
        self._listener.remove(name)

    def _note_error(self, error: platform_errors.PlatformError) -> Done:
        if isinstance(
            error, platform_errors.HistoryGone | platform_errors.StoreOutdated
        ):
            self._position = None
        else:
            self._link.record_failure(error)
        return expression.Error(error)

    def _note_position(self, position: store_position.Position) -> None:
        self._position = position
        self.known_position = max(self.known_position, position)

    def _note_applied(self, sent_at: float, era: int) -> None:
        if self.on_applied is not None:
            self.on_applied(sent_at, era)

    def _note_answer(self) -> None:
        self.answered_at = self._now()
        self._link.record_success()
