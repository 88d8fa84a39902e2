"""Records what callers and endpoints saw, and checks the promises on it."""

import collections
import itertools

import attrs

from standins import engine_core

CONFIG_LIMIT_S = 4.0
LEAVE_GRACE_S = 3.0
HELD_LIMIT_S = 6.0
"""Resume window of 5 s and 1 s to cancel."""


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
    """Tokens that the end event named; 0 when it did not come."""
    status: int = 200
    ran: str = ""
    """`no` or `unknown` when refused, else empty."""
    broken: bool = False
    """The connection ended before the answer did, not by the caller."""


@attrs.frozen
class Sighting:
    """An endpoint began to run a request (by id) or an order (by key)."""

    endpoint: str
    id: str
    at_s: float


@attrs.frozen
class ConfigAccepted:
    version: int
    at_s: float


@attrs.frozen
class ConfigSeen:
    """An instance put a configuration version in force."""

    instance: str
    version: int
    at_s: float


@attrs.frozen
class Life:
    """When an instance ran; `leave_s` is when it was told to stop."""

    instance: str
    start_s: float
    end_s: float = float("inf")
    leave_s: float = float("inf")


@attrs.frozen
class Held:
    """Memory that an engine holds for a caller that went `idle_s` ago."""

    engine: str
    id: str
    idle_s: float


@attrs.frozen
class ModelOrderSeen:
    """An engine acted on an order for its role or models."""

    engine: str
    fence: int
    at_s: float


@attrs.define
class History:
    """Everything that was recorded in one session."""

    attempts: list[Attempt] = attrs.Factory(list)
    sightings: list[Sighting] = attrs.Factory(list)
    accepted: list[ConfigAccepted] = attrs.Factory(list)
    config_seen: list[ConfigSeen] = attrs.Factory(list)
    lives: list[Life] = attrs.Factory(list)
    model_orders: list[ModelOrderSeen] = attrs.Factory(list)
    held: list[Held] = attrs.Factory(list)
    """What engines hold once callers have been quiet."""


@attrs.frozen
class Violation:
    """Base class of broken promises."""

    subject: str
    detail: str = ""


class SecondAnswer(Violation): ...


class BrokenAnswer(Violation): ...


class RanAfterNo(Violation): ...


class OrderDoubled(Violation): ...


class OrderLost(Violation): ...


class ConfigFell(Violation): ...


class ConfigLate(Violation): ...


class FenceFell(Violation): ...


class WorkOnLeaving(Violation): ...


class CutByStop(Violation): ...


class MemoryHeld(Violation): ...


def one_answer(h: History) -> list[Violation]:
    """An id has one end, nothing after it, and one relay at a time."""
    found: list[Violation] = []
    for id_, tries in _by_id(h.attempts).items():
        ends = [a for a in tries if a.done_tokens]
        if len(ends) > 1:
            found.append(SecondAnswer(id_, f"{len(ends)} ends"))
        found += [
            SecondAnswer(id_, "an event after the end")
            for end in ends
            for other in tries
            if other is not end
            and other.events
            and other.events[-1].at_s > end.events[-1].at_s
        ]
        relays = [a for a in tries if a.events]
        relays.sort(key=lambda a: a.events[0].at_s)
        for old, new in itertools.pairwise(relays):
            late = [e for e in old.events if e.at_s > new.events[0].at_s]
            if late:
                found.append(SecondAnswer(id_, f"{len(late)} late events"))
    return found


def whole_answers(h: History) -> list[Violation]:
    """Every event is the next one of its own request's text."""
    found = []
    for a in h.attempts:
        expected = a.after_seq
        for event in a.events:
            expected += 1
            is_end = a.done_tokens and event is a.events[-1]
            right = "" if is_end else engine_core.token_text(a.id, expected)
            if (event.seq, event.text) != (expected, right):
                found.append(BrokenAnswer(a.id, f"event {event.seq}"))
                break
        if a.done_tokens and a.done_tokens != expected - 1:
            found.append(BrokenAnswer(a.id, f"{a.done_tokens} tokens named"))
    return found


def ran_no(h: History) -> list[Violation]:
    """What was refused with `ran: no` was seen by no endpoint.

    A sighting that another attempt with the id explains is no violation.
    """
    found = []
    for id_, tries in _by_id(h.attempts).items():
        refused = [a for a in tries if a.ran == "no"]
        others = [a for a in tries if a.ran != "no"]
        for s in h.sightings:
            explained = any(a.start_s <= s.at_s for a in others)
            if s.id == id_ and refused and not explained:
                found.append(RanAfterNo(id_, s.endpoint))
    return found


def orders_once(h: History) -> list[Violation]:
    """Each order runs at most once, and each answered one once."""
    runs = collections.Counter(s.id for s in h.sightings)
    found = []
    for key, tries in _by_id(a for a in h.attempts if a.is_order).items():
        answered = any(not a.ran and a.status // 100 == 2 for a in tries)
        if runs[key] > 1:
            found.append(OrderDoubled(key, f"{runs[key]} runs"))
        if answered and not runs[key]:
            found.append(OrderLost(key))
    return found


def config_rises(h: History) -> list[Violation]:
    """No instance goes back to an older configuration."""
    highest: dict[str, int] = {}
    found = []
    for seen in sorted(h.config_seen, key=lambda seen: seen.at_s):
        if seen.version < highest.get(seen.instance, 0):
            found.append(ConfigFell(seen.instance, str(seen.version)))
        highest[seen.instance] = max(
            seen.version, highest.get(seen.instance, 0)
        )
    return found


def fences_rise(h: History) -> list[Violation]:
    """No engine acts for an older holder of the lease than before."""
    highest: dict[str, int] = {}
    found = []
    for seen in sorted(h.model_orders, key=lambda seen: seen.at_s):
        if seen.fence < highest.get(seen.engine, 0):
            found.append(FenceFell(seen.engine, str(seen.fence)))
        highest[seen.engine] = max(seen.fence, highest.get(seen.engine, 0))
    return found


def config_in_time(h: History) -> list[Violation]:
    """An accepted version is in force everywhere within the limit."""
    found = []
    for new in h.accepted:
        due = new.at_s + CONFIG_LIMIT_S
        has = {
            seen.instance
            for seen in h.config_seen
            if seen.version >= new.version and seen.at_s <= due
        }
        for life in h.lives:
            live = life.start_s <= new.at_s and life.end_s > due
            if live and life.instance not in has:
                found.append(ConfigLate(life.instance, str(new.version)))
    return found


def leaving(h: History) -> list[Violation]:
    """A leaving instance takes no new work and cuts nothing off."""
    found = []
    for life in h.lives:
        for a in h.attempts:
            if a.instance != life.instance or a.start_s < life.start_s:
                continue
            if a.start_s > life.end_s or a.end_s < life.leave_s:
                continue
            taken = not a.ran and not a.broken
            if taken and a.start_s > life.leave_s + LEAVE_GRACE_S:
                found.append(WorkOnLeaving(a.instance, a.id))
            if a.broken and a.start_s <= life.leave_s + LEAVE_GRACE_S:
                found.append(CutByStop(a.instance, a.id))
    return found


def memory_freed(h: History) -> list[Violation]:
    """No engine holds memory for a caller that is long gone."""
    return [
        MemoryHeld(held.engine, held.id)
        for held in h.held
        if held.idle_s > HELD_LIMIT_S
    ]


RULES = (
    one_answer,
    whole_answers,
    ran_no,
    orders_once,
    config_rises,
    config_in_time,
    fences_rise,
    leaving,
    memory_freed,
)


def check(h: History) -> list[Violation]:
    """Returns the violations of every rule."""
    return [violation for rule in RULES for violation in rule(h)]


def _by_id(attempts) -> dict[str, list[Attempt]]:
    grouped = collections.defaultdict(list)
    for attempt in attempts:
        grouped[attempt.id].append(attempt)
    return grouped
