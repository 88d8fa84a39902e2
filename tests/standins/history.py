"""Records what callers and endpoints observed and checks the guarantees.

Each rule returns the violations of one guarantee in a recorded history.
"""

import collections
import itertools

import attrs

from standins import engine_parts

CONFIG_PROPAGATION_LIMIT_S = 4.0
LEAVE_GRACE_S = 3.0
HELD_MEMORY_LIMIT_S = 6.0
"""Resume window of 5 s plus 1 s to cancel the stream."""


@attrs.frozen
class Event:
    """One event of a stream as a caller received it."""

    seq: int
    text: str
    at_s: float


@attrs.frozen
class Attempt:
    """One request or order that a caller sent to one instance."""

    id: str
    """Request id or idempotency key."""
    instance: str
    start_s: float
    end_s: float
    is_order: bool = False
    after_seq: int = 0
    events: tuple[Event, ...] = ()
    done_tokens: int = 0
    """Token count in the end event; 0 if the end event did not arrive."""
    status: int = 200
    ran: str = ""
    """`ran` of the refusal, `no` or `unknown`; empty if not refused."""
    broken: bool = False
    """Whether the connection ended, not by the caller, before the answer."""


@attrs.frozen
class ExecutionStart:
    """An endpoint started a request (by id) or an order (by key)."""

    endpoint: str
    id: str
    at_s: float


@attrs.frozen
class ConfigAccepted:
    version: int
    at_s: float


@attrs.frozen
class ConfigInForce:
    """An instance put a configuration version in force."""

    instance: str
    version: int
    at_s: float


@attrs.frozen
class InstanceLifetime:
    """When an instance ran; `leave_s` is when it was asked to stop."""

    instance: str
    start_s: float
    end_s: float = float("inf")
    leave_s: float = float("inf")


@attrs.frozen
class HeldMemory:
    """Memory held by an engine for a caller that left `idle_s` ago."""

    engine: str
    id: str
    idle_s: float


@attrs.frozen
class ModelOrderExecuted:
    """An engine executed an order that sets its role or models."""

    engine: str
    fencing_token: int
    at_s: float


@attrs.define
class History:
    """Everything that was recorded in one session."""

    attempts: list[Attempt] = attrs.Factory(list)
    execution_starts: list[ExecutionStart] = attrs.Factory(list)
    accepted: list[ConfigAccepted] = attrs.Factory(list)
    configs_in_force: list[ConfigInForce] = attrs.Factory(list)
    lifetimes: list[InstanceLifetime] = attrs.Factory(list)
    model_orders: list[ModelOrderExecuted] = attrs.Factory(list)
    held: list[HeldMemory] = attrs.Factory(list)
    """Memory that engines still hold after the last caller has left."""


@attrs.frozen
class Violation:
    """Base class of violations of a guarantee."""

    subject: str
    detail: str = ""


class DuplicateAnswer(Violation): ...


class CorruptAnswer(Violation): ...


class RanAfterRefusal(Violation): ...


class OrderRepeated(Violation): ...


class OrderLost(Violation): ...


class ConfigReverted(Violation): ...


class ConfigLate(Violation): ...


class FencingTokenReverted(Violation): ...


class AcceptedWhileLeaving(Violation): ...


class CutOffByStop(Violation): ...


class MemoryLeaked(Violation): ...


def check_single_answer(h: History) -> list[Violation]:
    """Checks that an id has one end, nothing after it and one relay at once."""
    found: list[Violation] = []
    for id_, attempts in _by_id(h.attempts).items():
        ends = [a for a in attempts if a.done_tokens]
        if len(ends) > 1:
            found.append(DuplicateAnswer(id_, f"{len(ends)} ends"))
        found += [
            DuplicateAnswer(id_, "an event after the end")
            for end in ends
            for other in attempts
            if other is not end
            and other.events
            and other.events[-1].at_s > end.events[-1].at_s
        ]
        relays = [a for a in attempts if a.events]
        relays.sort(key=lambda a: a.events[0].at_s)
        for old, new in itertools.pairwise(relays):
            late = [e for e in old.events if e.at_s > new.events[0].at_s]
            if late:
                found.append(DuplicateAnswer(id_, f"{len(late)} late events"))
    return found


def check_complete_answers(h: History) -> list[Violation]:
    """Checks that every event is the next event of its own request."""
    found = []
    for a in h.attempts:
        expected = a.after_seq
        for event in a.events:
            expected += 1
            is_end = a.done_tokens and event is a.events[-1]
            expected_text = (
                "" if is_end else engine_parts.token_text(a.id, expected)
            )
            if (event.seq, event.text) != (expected, expected_text):
                found.append(
                    CorruptAnswer(a.id, f"unexpected event {event.seq}")
                )
                break
        if a.done_tokens and a.done_tokens != expected - 1:
            found.append(
                CorruptAnswer(a.id, f"end event reports {a.done_tokens} tokens")
            )
    return found


def check_refused_not_run(h: History) -> list[Violation]:
    """Checks that no endpoint ran what was refused with `ran: no`.

    An execution that another attempt with the same id can have caused is no
    violation.
    """
    found = []
    for id_, attempts in _by_id(h.attempts).items():
        refused = [a for a in attempts if a.ran == "no"]
        others = [a for a in attempts if a.ran != "no"]
        for s in h.execution_starts:
            explained = any(a.start_s <= s.at_s for a in others)
            if s.id == id_ and refused and not explained:
                found.append(RanAfterRefusal(id_, s.endpoint))
    return found


def check_orders_run_once(h: History) -> list[Violation]:
    """Checks that each order runs at most once, each answered one once."""
    runs = collections.Counter(s.id for s in h.execution_starts)
    found = []
    for key, attempts in _by_id(a for a in h.attempts if a.is_order).items():
        answered = any(not a.ran and a.status // 100 == 2 for a in attempts)
        if runs[key] > 1:
            found.append(OrderRepeated(key, f"{runs[key]} runs"))
        if answered and not runs[key]:
            found.append(OrderLost(key))
    return found


def check_config_not_reverted(h: History) -> list[Violation]:
    """Checks that no instance returns to an older configuration."""
    highest: dict[str, int] = {}
    found = []
    for seen in sorted(h.configs_in_force, key=lambda seen: seen.at_s):
        if seen.version < highest.get(seen.instance, 0):
            found.append(ConfigReverted(seen.instance, str(seen.version)))
        highest[seen.instance] = max(
            seen.version, highest.get(seen.instance, 0)
        )
    return found


def check_fencing_tokens(h: History) -> list[Violation]:
    """Checks that the fencing token never decreases at an engine.

    A lower token means an order of an earlier holder of the lease.
    """
    highest: dict[str, int] = {}
    found = []
    for seen in sorted(h.model_orders, key=lambda seen: seen.at_s):
        if seen.fencing_token < highest.get(seen.engine, 0):
            found.append(
                FencingTokenReverted(seen.engine, str(seen.fencing_token))
            )
        highest[seen.engine] = max(
            seen.fencing_token, highest.get(seen.engine, 0)
        )
    return found


def check_config_propagation(h: History) -> list[Violation]:
    """Checks that accepted versions are in force everywhere in time."""
    found = []
    for new in h.accepted:
        due = new.at_s + CONFIG_PROPAGATION_LIMIT_S
        updated = {
            seen.instance
            for seen in h.configs_in_force
            if seen.version >= new.version and seen.at_s <= due
        }
        for life in h.lifetimes:
            live = life.start_s <= new.at_s and life.end_s > due
            if live and life.instance not in updated:
                found.append(ConfigLate(life.instance, str(new.version)))
    return found


def check_leaving(h: History) -> list[Violation]:
    """Checks that a leaving instance takes no new work and cuts none off."""
    found = []
    for life in h.lifetimes:
        for a in h.attempts:
            if a.instance != life.instance or a.start_s < life.start_s:
                continue
            if a.start_s > life.end_s or a.end_s < life.leave_s:
                continue
            taken = not a.ran and not a.broken
            if taken and a.start_s > life.leave_s + LEAVE_GRACE_S:
                found.append(AcceptedWhileLeaving(a.instance, a.id))
            if a.broken and a.start_s <= life.leave_s + LEAVE_GRACE_S:
                found.append(CutOffByStop(a.instance, a.id))
    return found


def check_memory_released(h: History) -> list[Violation]:
    """Checks that no engine holds memory for a caller that has left."""
    return [
        MemoryLeaked(held.engine, held.id)
        for held in h.held
        if held.idle_s > HELD_MEMORY_LIMIT_S
    ]


RULES = (
    check_single_answer,
    check_complete_answers,
    check_refused_not_run,
    check_orders_run_once,
    check_config_not_reverted,
    check_config_propagation,
    check_fencing_tokens,
    check_leaving,
    check_memory_released,
)


def check(h: History) -> list[Violation]:
    """Returns the violations found by all rules."""
    return [violation for rule in RULES for violation in rule(h)]


def _by_id(attempts) -> dict[str, list[Attempt]]:
    grouped = collections.defaultdict(list)
    for attempt in attempts:
        grouped[attempt.id].append(attempt)
    return grouped
