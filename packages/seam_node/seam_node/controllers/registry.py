"""Registers the runs that this instance owns at their replicas (mirrors).

A run may start or continue only after a majority of its replicas granted its
registration. See docs/decisions/one-run-per-request.md.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import attrs
import expression

from seam_model import errors
from seam_model import ids
from seam_model import peers
from seam_node import task
from seam_node.controllers import membership
from seam_node.controllers import membership_view
from seam_node.controllers import mirror
from seam_node.ports import clock as clock_port
from seam_node.ports import peer as peer_port
from seam_policy import rendezvous

REGISTER_TIMEOUT_S = 1.0
HAND_OVER_TIMEOUT_S = 1.0
NOTIFY_TIMEOUT_S = 2.0
NOTIFY_ATTEMPTS = 3
REPLACED_LIST_RETENTION_S = 10.0
"""Time for which a replaced list is used, since peers may still have it."""
REREGISTER_INTERVAL_S = 1.0
OUTCOME_OK = "ok"
"""Outcome of a run whose complete answer was sent."""


@attrs.frozen
class Registration:
    """Permission to run a request under a generation."""

    request_id: bytes
    generation: int


@attrs.frozen
class TakeOver:
    """Permission to continue a run; `engine` is empty if it is unknown."""

    engine: str
    generation: int
    final_outcome: str = ""
    """Outcome of a run that has ended: only its kept stream may be read."""


@attrs.define
class _Run:
    generation: int
    tag: bytes
    engine: str = ""
    placement_count: int = 0
    registered: bool = False
    confirmed_replicas: set[tuple[str, int]] = attrs.field(factory=set)
    reregistering: bool = False


@attrs.frozen
class _ReplacedList:
    sites: tuple[rendezvous.Site, ...]
    expires_at: float


@attrs.define
class _Ballot:
    replica_sets: tuple[tuple[str, ...], ...]
    answers: dict[str, peers.RegisterAnswer] = attrs.field(factory=dict)
    missing: int = 0

    def has_quorum(self) -> bool:
        """Returns whether a majority of each replica set granted."""
        return bool(self.replica_sets) and all(
            self._granted(names) > len(names) // 2
            for names in self.replica_sets
        )

    def quorum_error(self) -> errors.NoQuorum:
        """Returns the error of the replica set furthest from a majority."""
        if not self.replica_sets:
            return errors.NoQuorum(0, 1)
        worst = min(
            self.replica_sets,
            key=lambda names: self._granted(names) - len(names) // 2,
        )
        return errors.NoQuorum(self._granted(worst), len(worst) // 2 + 1)

    def _granted(self, names: tuple[str, ...]) -> int:
        answers = (self.answers.get(name) for name in names)
        return sum(1 for answer in answers if answer and answer.granted)


class Registry(task.Task):
    """Registers, takes over and ends the runs of this instance."""

    def __init__(
        self,
        members: membership.MembershipController,
        network: peer_port.PeerNetwork,
        clock: clock_port.Clock,
        stop_relay: Callable[[bytes], Awaitable[None]],
        on_fenced: Callable[[bytes], None] = lambda request_id: None,
    ):
        """Registers the handler of hand-over requests.

        `stop_relay` stops sending a stream and detaches it from the engine;
        `on_fenced` is called with a run that another instance took over.
        """
        super().__init__("registry")
        self._members = members
        self._network = network
        self._clock = clock
        self._stop_relay = stop_relay
        self._on_fenced = on_fenced
        self._runs: dict[bytes, _Run] = {}
        self._listed: tuple[rendezvous.Site, ...] = ()
        self._replaced_lists: list[_ReplacedList] = []
        network.register_handler(peers.HandOver, self._on_hand_over)
        members.subscribe(self._on_view)

    async def receive(self, message: Any) -> Any:
        """Handles a hand-over request; a run handed over is no longer owned."""
        run = self._runs.get(message.request_id)
        if run is None:
            return peers.HandOverAnswer(False, "", 0)
        if run.generation >= message.generation:
            return peers.HandOverAnswer(True, run.engine, run.generation)
        del self._runs[message.request_id]
        return peers.HandOverAnswer(True, run.engine, run.generation)

    def own_runs(self) -> Iterable[tuple[bytes, mirror.Entry]]:
        """Returns the registered runs of this instance, to sync mirrors."""
        own = self._members.view().own
        now = self._clock.monotonic()
        return [
            (
                request_id,
                mirror.Entry(
                    *_holder(own, run),
                    now,
                    run.engine,
                    tag=run.tag,
                    placement_number=_placement_number(run),
                ),
            )
            for request_id, run in self._runs.items()
            if run.registered
        ]

    async def begin(
        self, request_id: bytes, tag: bytes
    ) -> expression.Result[Registration, errors.SeamError]:
        """Registers the first run of a request.

        Errors: `AlreadyRunning`, `AlreadyEnded`, `IdTaken`, `NoQuorum`.
        """
        own = self._members.view().own.name
        if request_id in self._runs:
            return expression.Error(errors.AlreadyRunning(own))
        return await self._register(request_id, _Run(1, tag))

    def record_placement(self, request_id: bytes, engine: str) -> None:
        """Records the engine of a run and notifies the mirrors."""
        run = self._runs.get(request_id)
        if run is not None:
            run.engine = engine
            run.placement_count += 1
            self._notify_replicas(_placed(request_id, run))

    def record_end(self, request_id: bytes, outcome: str) -> None:
        """Removes an ended run and notifies the mirrors of its outcome."""
        run = self._runs.pop(request_id, None)
        if run is not None:
            self._notify_replicas(
                peers.RunEnded(request_id, run.generation, outcome)
            )

    def withdraw(self, request_id: bytes, keep: bool) -> None:
        """Releases a run, so that a new arrival of its id may start it again.

        `keep` is set when an endpoint may have received the run; its
        generation then stays used, and the next run must take over.
        """
        run = self._runs.pop(request_id, None)
        if run is None:
            return
        holder = _holder(self._members.view().own, run)
        self._release(
            peers.RunReleased(request_id, *holder, keep),
            self._replica_sets(request_id),
        )

    async def take_over(
        self, request_id: bytes, tag: bytes
    ) -> expression.Result[TakeOver, errors.SeamError]:
        """Continues a run that another reader or instance holds.

        A run that ended with `OUTCOME_OK` is not registered again: its engine
        keeps the finished stream for a while, so that a caller that missed
        the last events can read them.

        Errors: `RunUnknown`, `AlreadyEnded`, `IdTaken`, `NoQuorum` and, when
        another takeover was faster, `AlreadyRunning`.
        """
        ballot = await self._poll(request_id, peers.RunQuery(request_id, tag))
        recorded = [a for a in ballot.answers.values() if a.generation]
        recorded.sort(key=lambda a: a.generation, reverse=True)
        newest = max(recorded, key=lambda a: a.placement_number, default=None)
        engine = newest.engine if newest else ""
        for answer in recorded:
            if answer.final_outcome == OUTCOME_OK and engine:
                taken = TakeOver(
                    engine, answer.generation + 1, answer.final_outcome
                )
                return expression.Ok(taken)
            if answer.final_outcome:
                return expression.Error(_ended_error(answer.final_outcome))
        if not ballot.has_quorum():
            return expression.Error(ballot.quorum_error())
        if not recorded:
            return expression.Error(errors.RunUnknown())
        generation = recorded[0].generation + 1
        holder = next((a.instance for a in recorded if a.instance), "")
        handed_over_engine = await self._request_hand_over(
            request_id, generation, holder
        )
        run = _Run(generation, tag, handed_over_engine or engine)
        registration = await self._register(request_id, run)
        if registration.is_error():
            return registration
        if run.engine:
            self.record_placement(request_id, run.engine)
        return expression.Ok(TakeOver(run.engine, generation))

    async def holders(self, request_id: bytes, tag: bytes) -> set[str]:
        """Returns the instances that hold the run according to its mirrors."""
        ballot = await self._poll(request_id, peers.RunQuery(request_id, tag))
        answers = ballot.answers.values()
        return {
            a.instance for a in answers if a.instance and not a.final_outcome
        }

    async def confirm(self, request_id: bytes) -> bool:
        """Returns whether a majority still has this run as the newest."""
        run = self._runs.get(request_id)
        if run is None:
            return False
        ballot = await self._poll(
            request_id, peers.RunQuery(request_id, run.tag)
        )
        own_holder = _holder(self._members.view().own, run)
        for name, answer in ballot.answers.items():
            recorded_holder = (
                answer.generation,
                answer.instance,
                answer.incarnation,
            )
            ballot.answers[name] = attrs.evolve(
                answer, granted=answer.granted and recorded_holder == own_holder
            )
        return ballot.has_quorum() and self._runs.get(request_id) is run

    # Registration

    async def _register(
        self, request_id: bytes, run: _Run
    ) -> expression.Result[Registration, errors.SeamError]:
        self._runs[request_id] = run
        own = self._members.view().own
        message = peers.RegisterRun(request_id, *_holder(own, run), run.tag)
        try:
            ballot = await self._poll(request_id, message)
        except asyncio.CancelledError:
            self._drop(request_id, run)
            released = peers.RunReleased(request_id, *_holder(own, run))
            self._release(released, self._replica_sets(request_id))
            raise
        ended = any(answer.final_outcome for answer in ballot.answers.values())
        still_held = self._runs.get(request_id) is run
        if ballot.has_quorum() and still_held and not ended:
            run.registered = True
            self._note_confirmed(run, ballot)
            return expression.Ok(Registration(request_id, message.generation))
        self._drop(request_id, run)
        released = peers.RunReleased(request_id, *_holder(own, run))
        self._release(released, ballot.replica_sets)
        return expression.Error(_refusal(ballot, own))

    def _drop(self, request_id: bytes, run: _Run) -> None:
        if self._runs.get(request_id) is run:
            del self._runs[request_id]

    def _release(
        self,
        message: peers.RunReleased,
        replica_sets: tuple[tuple[str, ...], ...],
    ) -> None:
        for name in _unique_names(replica_sets):
            self.spawn(self._notify(name, message))

    async def _request_hand_over(
        self, request_id: bytes, generation: int, holder: str
    ) -> str:
        if not holder:
            return ""
        answer = await self._network.request(
            holder,
            peers.HandOver(request_id, generation),
            HAND_OVER_TIMEOUT_S,
        )
        if answer.is_error() or answer.ok is None:
            return ""
        return answer.ok.engine if answer.ok.generation < generation else ""

    async def _on_hand_over(
        self, sender: str, message: peers.HandOver
    ) -> peers.HandOverAnswer:
        answer = await self.ask(message)
        if answer.held and answer.generation < message.generation:
            await self._stop_relay(message.request_id)
        return answer

    # Replicas

    def _replica_sets(self, request_id: bytes) -> tuple[tuple[str, ...], ...]:
        now = self._clock.monotonic()
        self._replaced_lists = [
            s for s in self._replaced_lists if s.expires_at > now
        ]
        lists = [self._members.view().listed]
        lists += [replaced.sites for replaced in self._replaced_lists]
        replica_sets = (
            mirror.replica_names(request_id, sites) for sites in lists
        )
        return tuple(dict.fromkeys(names for names in replica_sets if names))

    async def _poll(self, request_id: bytes, message: Any) -> _Ballot:
        ballot = _Ballot(self._replica_sets(request_id))
        jobs = {
            self.spawn(
                self._network.request(name, message, REGISTER_TIMEOUT_S)
            ): name
            for name in _unique_names(ballot.replica_sets)
        }
        waiting = set(jobs)
        while waiting and not ballot.has_quorum():
            done, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )
            for job in done:
                answer = job.result()
                if answer.is_ok() and answer.ok is not None:
                    ballot.answers[jobs[job]] = answer.ok
        return ballot

    def _notify_replicas(self, message: Any) -> None:
        for name in _unique_names(self._replica_sets(message.request_id)):
            self.spawn(self._notify(name, message))

    async def _notify(self, name: str, message: Any) -> None:
        for _ in range(NOTIFY_ATTEMPTS):
            answer = await self._network.request(
                name, message, NOTIFY_TIMEOUT_S
            )
            if answer.is_ok():
                return

    # Changed lists and restarted replicas

    def _on_view(self, view: membership_view.MembershipView) -> None:
        if view.listed != self._listed:
            expires_at = self._clock.monotonic() + REPLACED_LIST_RETENTION_S
            if self._listed:
                self._replaced_lists.append(
                    _ReplacedList(self._listed, expires_at)
                )
            self._listed = view.listed
        for request_id, run in self._runs.items():
            stale = (
                not self._replica_incarnations(request_id, view)
                <= run.confirmed_replicas
            )
            if run.registered and stale and not run.reregistering:
                run.reregistering = True
                self.spawn(self._reregister(request_id, run))

    def _replica_incarnations(
        self, request_id: bytes, view: membership_view.MembershipView
    ) -> set[tuple[str, int]]:
        names = mirror.replica_names(request_id, view.listed)
        records = view.instances
        return {
            (name, records[name].incarnation)
            for name in names
            if name in records
        }

    def _note_confirmed(self, run: _Run, ballot: _Ballot) -> None:
        records = self._members.view().instances
        for name, answer in ballot.answers.items():
            if answer.granted and name in records:
                run.confirmed_replicas.add((name, records[name].incarnation))

    async def _reregister(self, request_id: bytes, run: _Run) -> None:
        while self._runs.get(request_id) is run:
            view = self._members.view()
            missing = (
                self._replica_incarnations(request_id, view)
                - run.confirmed_replicas
            )
            if not missing:
                break
            for name, incarnation in sorted(missing):
                if await self._reregister_at(name, request_id, run):
                    run.confirmed_replicas.add((name, incarnation))
            await asyncio.sleep(REREGISTER_INTERVAL_S)
        run.reregistering = False

    async def _reregister_at(
        self, name: str, request_id: bytes, run: _Run
    ) -> bool:
        own_holder = _holder(self._members.view().own, run)
        answer = await self._network.request(
            name,
            peers.RegisterRun(request_id, *own_holder, run.tag),
            REGISTER_TIMEOUT_S,
        )
        if answer.is_error() or answer.ok is None:
            return False
        if answer.ok.generation > run.generation:
            if not await self.confirm(request_id):
                self._drop(request_id, run)
                self._on_fenced(request_id)
            return True
        if answer.ok.granted and run.engine:
            await self._notify(name, _placed(request_id, run))
        return answer.ok.granted


def _holder(own: Any, run: _Run) -> tuple[int, str, int]:
    return (run.generation, own.name, own.incarnation)


def _placement_number(run: _Run) -> int:
    return ids.engine_incarnation(run.generation, run.placement_count)


def _placed(request_id: bytes, run: _Run) -> peers.RunPlaced:
    return peers.RunPlaced(request_id, _placement_number(run), run.engine)


def _unique_names(replica_sets: tuple[tuple[str, ...], ...]) -> tuple[str, ...]:
    return tuple(
        dict.fromkeys(name for names in replica_sets for name in names)
    )


def _ended_error(outcome: str) -> errors.SeamError:
    if outcome == mirror.OTHER_WORKSPACE:
        return errors.IdTaken()
    return errors.AlreadyEnded(outcome)


def _refusal(ballot: _Ballot, own: Any) -> errors.SeamError:
    refused = [a for a in ballot.answers.values() if not a.granted]
    for answer in refused:
        if answer.final_outcome:
            return _ended_error(answer.final_outcome)
    for answer in refused:
        holder = (answer.instance, answer.incarnation)
        if answer.generation and holder != (own.name, own.incarnation):
            return errors.AlreadyRunning(answer.instance)
    return ballot.quorum_error()
