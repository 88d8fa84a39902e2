"""Replicates the registrations of runs; cancels runs without an owner.

A mirror keeps its entries in memory only. After a start it grants nothing
until it has fetched the runs that it mirrors from every live listed peer, or
until the longest deadline of a run has passed, because a restart loses its
earlier votes.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import attrs

from seam_model import ids
from seam_model import peers
from seam_node import task
from seam_node.controllers import membership
from seam_node.controllers import membership_view
from seam_node.ports import clock as clock_port
from seam_node.ports import peer as peer_port
from seam_policy import rendezvous

REPLICAS = 3
RESUME_WINDOW_S = 5.0
CANCEL_STAGGER_S = 3.0
"""Additional delay per rank, before a lower-ranked replica cancels too."""
SWEEP_S = 1.0
SYNC_PERIOD_S = 0.5
SYNC_TIMEOUT_S = 2.0
RUN_RETENTION_S = 900.0
ENDED_RETENTION_S = 300.0
MAX_RUNS = 100_000
ABANDONED = "abandoned"
OTHER_WORKSPACE = "other_workspace"
"""Returned in place of an outcome if the id is of another workspace."""


@attrs.define
class Entry:
    """The state of one run as recorded by a mirror."""

    generation: int
    instance: str
    """Owner of the run; empty after a takeover was withdrawn."""
    incarnation: int
    recorded_at: float
    engine: str = ""
    final_outcome: str = ""
    """Outcome of a run that has ended; empty while it is in progress."""
    tag: bytes = b""
    placement_number: int = 0
    orphaned_at: float | None = None


@attrs.frozen
class _Sweep:
    pass


@attrs.frozen
class _Synced:
    answer: peers.MirrorSyncAnswer


HasReader = Callable[[str, bytes], Awaitable[bool]]
"""Returns whether a stream at an engine may still have a reader."""
Cancel = Callable[[str, bytes, int], Awaitable[bool]]
"""Cancels a run at an engine up to a generation; returns success."""


class Mirror(task.Task):
    """Votes on registrations; cancels runs that no caller resumed."""

    def __init__(
        self,
        members: membership.MembershipController,
        network: peer_port.PeerNetwork,
        clock: clock_port.Clock,
        cancel: Cancel,
        has_reader: HasReader,
        own_runs: Callable[[], Iterable[tuple[bytes, Entry]]] = lambda: (),
        warm_up_limit_s: float = RUN_RETENTION_S,
        resume_window_s: Callable[[], float] = lambda: RESUME_WINDOW_S,
    ):
        """Registers the handlers of the mirror messages.

        `own_runs` returns the runs that this instance owns, which are sent
        to a restarted mirror as well.
        """
        self._resume_window_s = resume_window_s
        super().__init__("mirror")
        self._members = members
        self._network = network
        self._clock = clock
        self._cancel = cancel
        self._has_reader = has_reader
        self._own_runs = own_runs
        self._warm_up_limit_s = warm_up_limit_s
        self._entries: dict[bytes, Entry] = {}
        self.warming = True
        for kind in (
            peers.RegisterRun,
            peers.RunPlaced,
            peers.RunEnded,
            peers.RunReleased,
            peers.RunQuery,
            peers.MirrorSync,
        ):
            network.register_handler(kind, self._on_message)

    async def start(self) -> None:
        """Starts the warm-up and the periodic sweep."""
        await super().start()
        self.spawn(self._warm_up())
        self.spawn(self._sweep_loop())

    async def receive(self, message: Any) -> Any:
        """Handles one message; returns its answer, or None if it has none."""
        match message:
            case peers.RegisterRun():
                return self._vote(message)
            case peers.RunQuery(request_id, tag):
                entry = self._entries.get(request_id)
                if _is_foreign(entry, tag):
                    return _foreign_answer()
                return self._answer(entry, granted=not self.warming)
            case peers.RunPlaced():
                self._record_placement(message)
            case peers.RunEnded(request_id, generation, outcome):
                self._record_end(request_id, generation, outcome)
            case peers.RunReleased():
                self._release(message)
            case peers.MirrorSync(name):
                return self._sync_answer(name)
            case _Synced(answer):
                self._merge(answer)
            case _Sweep():
                self._sweep()
        return None

    async def _on_message(self, sender: str, message: Any) -> Any:
        return await self.ask(message)

    # Votes

    def _vote(self, message: peers.RegisterRun) -> peers.RegisterAnswer:
        entry = self._entries.get(message.request_id)
        if self.warming:
            return self._answer(entry, granted=False)
        if _is_foreign(entry, message.tag):
            return _foreign_answer()
        if entry is None:
            if len(self._entries) >= MAX_RUNS:
                return self._answer(None, granted=False)
            entry = Entry(0, "", 0, 0.0, tag=message.tag)
            self._entries[message.request_id] = entry
        elif entry.final_outcome:
            return self._answer(entry, granted=False)
        is_repeat = (entry.instance, entry.incarnation, entry.generation) == (
            message.instance,
            message.incarnation,
            message.generation,
        )
        if message.generation <= entry.generation and not is_repeat:
            return self._answer(entry, granted=False)
        entry.generation = message.generation
        entry.instance = message.instance
        entry.incarnation = message.incarnation
        entry.recorded_at = self._clock.monotonic()
        entry.orphaned_at = None
        # The requester's own fields are left out to keep control traffic low.
        return peers.RegisterAnswer(True, entry.generation, "", 0, "", "")

    def _answer(
        self, entry: Entry | None, granted: bool
    ) -> peers.RegisterAnswer:
        if entry is None:
            return peers.RegisterAnswer(granted, 0, "", 0, "", "", self.warming)
        return peers.RegisterAnswer(
            granted,
            entry.generation,
            entry.instance,
            entry.incarnation,
            entry.engine,
            entry.final_outcome,
            self.warming,
            entry.placement_number,
        )

    def _record_placement(self, message: peers.RunPlaced) -> None:
        """Records a placement, unless a newer one has arrived before it."""
        entry = self._entries.get(message.request_id)
        if entry is None or message.placement_number < entry.placement_number:
            return
        if ids.generation_of(message.placement_number) == entry.generation:
            entry.engine = message.engine
            entry.placement_number = message.placement_number

    def _release(self, message: peers.RunReleased) -> None:
        entry = self._entries.get(message.request_id)
        if entry is None or entry.final_outcome:
            return
        holder = (entry.generation, entry.instance, entry.incarnation)
        if holder != (
            message.generation,
            message.instance,
            message.incarnation,
        ):
            return
        if message.generation == 1 and not message.keep_generation:
            del self._entries[message.request_id]
        else:
            entry.instance = ""

    def _record_end(
        self, request_id: bytes, generation: int, outcome: str
    ) -> None:
        entry = self._entries.get(request_id)
        if entry is None:
            entry = Entry(generation, "", 0, 0.0)
            self._entries[request_id] = entry
        if generation >= entry.generation and not entry.final_outcome:
            entry.final_outcome = outcome
            entry.recorded_at = self._clock.monotonic()

    # Warming up

    async def _warm_up(self) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._warm_up_limit_s
        synced: set[str] = set()
        while loop.time() < deadline:
            view = self._members.view()
            missing = _unsynced(view, synced)
            if view.fleet_read_at is not None and not missing:
                break
            jobs = [self._sync_with(name) for name in missing]
            synced.update(filter(None, await asyncio.gather(*jobs)))
            await asyncio.sleep(SYNC_PERIOD_S)
        self.warming = False

    async def _sync_with(self, name: str) -> str | None:
        own = self._members.view().own.name
        answer = await self._network.request(
            name, peers.MirrorSync(own), SYNC_TIMEOUT_S
        )
        if answer.is_error() or answer.ok is None:
            return None
        await self.ask(_Synced(answer.ok))
        return name

    def _sync_answer(self, name: str) -> peers.MirrorSyncAnswer:
        listed = self._members.view().listed
        entries = dict(self._own_runs()) | self._entries
        rows = [
            (request_id, *_sync_columns(entry))
            for request_id, entry in entries.items()
            if name in replica_names(request_id, listed)
        ]
        if not rows:
            return peers.MirrorSyncAnswer((), (), (), (), (), (), (), ())
        return peers.MirrorSyncAnswer(*zip(*rows, strict=True))

    def _merge(self, answer: peers.MirrorSyncAnswer) -> None:
        columns = attrs.astuple(answer, recurse=False)
        now = self._clock.monotonic()
        for request_id, *values in zip(*columns, strict=True):
            generation, instance, incarnation = values[:3]
            existing = self._entries.get(request_id)
            if existing is not None and existing.generation > generation:
                continue
            if existing is not None and existing.final_outcome:
                continue
            self._entries[request_id] = Entry(
                generation, instance, incarnation, now, *values[3:]
            )

    # Detecting orphaned runs

    async def _sweep_loop(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            await self.ask(_Sweep())

    def _sweep(self) -> None:
        now = self._clock.monotonic()
        view = self._members.view()
        for request_id, entry in tuple(self._entries.items()):
            retention_s = (
                ENDED_RETENTION_S if entry.final_outcome else RUN_RETENTION_S
            )
            if now - entry.recorded_at > retention_s:
                del self._entries[request_id]
            elif not entry.final_outcome:
                self._check_owner(request_id, entry, view, now)

    def _check_owner(
        self,
        request_id: bytes,
        entry: Entry,
        view: membership_view.MembershipView,
        now: float,
    ) -> None:
        if not has_ended(view, entry.instance, entry.incarnation):
            entry.orphaned_at = None
            return
        if entry.orphaned_at is None:
            entry.orphaned_at = now
        live = {site.name for site in view.live}
        names = replica_names(request_id, view.listed)
        order = [name for name in names if name in live]
        own = view.own.name
        position = order.index(own) if own in order else len(order)
        wait_s = self._resume_window_s() + position * CANCEL_STAGGER_S
        if now - entry.orphaned_at >= wait_s:
            entry.orphaned_at = now
            self.spawn(self._abandon(request_id, entry, names))

    async def _abandon(
        self, request_id: bytes, entry: Entry, names: tuple[str, ...]
    ) -> None:
        generation = entry.generation
        # In a network partition, an owner that seems dead may still stream.
        if entry.engine and await self._has_reader(entry.engine, request_id):
            return
        if entry.engine and not await self._cancel(
            entry.engine, request_id, generation
        ):
            return
        for name in names:
            self._network.notify(
                name, peers.RunEnded(request_id, generation, ABANDONED)
            )
        self.tell(peers.RunEnded(request_id, generation, ABANDONED))


def _is_foreign(entry: Entry | None, tag: bytes) -> bool:
    """Returns whether an id is known to belong to another workspace."""
    return entry is not None and bool(entry.tag) and entry.tag != tag


def _foreign_answer() -> peers.RegisterAnswer:
    return peers.RegisterAnswer(False, 1, "", 0, "", OTHER_WORKSPACE)


def replica_names(
    request_id: bytes, listed: Iterable[rendezvous.Site]
) -> tuple[str, ...]:
    """Returns the instances that mirror a request, in order of rank."""
    sites = rendezvous.spread(request_id, listed, REPLICAS)
    return tuple(site.name for site in sites)


def has_ended(
    view: membership_view.MembershipView, instance: str, incarnation: int
) -> bool:
    """Returns whether an incarnation has ended, as far as is known."""
    record = view.instances.get(instance)
    if record is not None and incarnation > record.incarnation:
        return False
    return not view.is_live(instance, incarnation)


def _unsynced(
    view: membership_view.MembershipView, synced: set[str]
) -> list[str]:
    dead = membership_view.PeerState.DEAD
    return [
        site.name
        for site in view.listed
        if site.name != view.own.name
        and site.name not in synced
        and view.states.get(site.name) is not dead
    ]


def _sync_columns(entry: Entry) -> tuple[Any, ...]:
    return (
        entry.generation,
        entry.instance,
        entry.incarnation,
        entry.engine,
        entry.final_outcome,
        entry.tag,
        entry.placement_number,
    )
