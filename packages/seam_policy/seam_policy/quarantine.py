"""Lists the combinations of prompt parts that are kept from engines.

Each instance has a copy. Copies are merged by generation, so they may be told
in any order and more than once. A listed combination is tried again with one
request at a time, and ever more seldom while it still crashes engines. This
handles prompts that are sound again later, without more than a few crashes.
"""

from collections.abc import Collection
import enum
import zlib

import attrs

FIRST_TRIAL_S = 30.0
"""Time until the first trial; doubled after each trial that fails."""
EARLY_TRIAL_S = 5.0
"""The same for parts that were blamed for crashes at one time only, when
engines may as well have ended together."""
REVISE_S = 5.0
"""Time in which an entry is released if what is told late speaks for it."""
MAX_TRIAL_S = 600.0
TRIAL_TIMEOUT_S = 10.0
"""Time after which a trial without a result is given up."""
MAX_ENTRIES = 64


class Verdict(enum.Enum):
    """What may be done with a prompt."""

    ALLOWED = "allowed"
    DUE = "due"
    """It may be tried by one request, which the placer selects."""
    REFUSED = "refused"


@attrs.frozen
class Entry:
    """A combination of parts that crashed engines of a service."""

    service: str
    parts: tuple[str, ...]
    """Sorted. A prompt with all of them is kept from engines."""
    generation: int
    """Increases with each change; the higher one is the newer one."""
    active: bool
    failed_trials: int = 0

    @property
    def trial_interval_s(self) -> float:
        """Time from a crash to the next trial."""
        return min(MAX_TRIAL_S, FIRST_TRIAL_S * 2**self.failed_trials)


@attrs.frozen
class Ruling:
    """A verdict, with the entry that it rests on."""

    verdict: Verdict
    entry: Entry | None = None
    retry_after_s: float = 0.0
    """Time until the next trial."""


_ALLOWED = Ruling(Verdict.ALLOWED)
_Key = tuple[str, tuple[str, ...]]


@attrs.define
class _Known:
    entry: Entry
    trial_at: float
    changed_at: float
    trial_until: float | None = None
    """Time until which a trial of this instance may last; None if none does."""
    own: bool = False
    """Whether this instance added the entry by its own judgement."""


class Quarantine:
    """One instance's copy of the list."""

    def __init__(self) -> None:
        """Starts without entries."""
        self._known: dict[_Key, _Known] = {}

    def __len__(self) -> int:
        """Returns the number of active entries."""
        return sum(known.entry.active for known in self._known.values())

    def entries(self) -> tuple[Entry, ...]:
        """Returns all entries in a fixed order, released ones included."""
        return tuple(self._known[key].entry for key in sorted(self._known))

    def retry_after_s(self, entry: Entry, now: float) -> float:
        """Returns the time until the next trial of an entry."""
        return max(0.0, self._known[_key(entry)].trial_at - now)

    def digest(self) -> int:
        """Returns a number that differs between copies that differ."""
        rows = [
            f"{each.service} {' '.join(each.parts)} {each.generation}"
            for each in self.entries()
        ]
        return zlib.crc32("\n".join(rows).encode())

    def rule(self, service: str, parts: Collection[str], now: float) -> Ruling:
        """Returns what may be done with a prompt."""
        due = _ALLOWED
        for known in self._matching(service, parts):
            if known.trial_at > now:
                retry_after_s = known.trial_at - now
                return Ruling(Verdict.REFUSED, known.entry, retry_after_s)
            due = Ruling(Verdict.DUE, known.entry)
        return due

    def start_trial(
        self, service: str, parts: Collection[str], now: float
    ) -> None:
        """Reserves the trial that is due for one request."""
        for known in self._matching(service, parts):
            known.trial_until = now + TRIAL_TIMEOUT_S
            known.trial_at = known.trial_until

    def condemn(
        self,
        service: str,
        parts: Collection[str],
        now: float,
        trial_s: float = FIRST_TRIAL_S,
    ) -> Entry | None:
        """Adds a combination; returns its entry, or None if it is covered.

        Args:
            service: the service whose engines crashed.
            parts: the parts.
            now: current time.
            trial_s: time until the first trial.
        """
        if next(self._matching(service, parts), None) is not None:
            return None
        key = (service, tuple(sorted(parts)))
        before = self._known.get(key)
        generation = before.entry.generation + 1 if before else 1
        entry = Entry(*key, generation, active=True)
        self._put(entry, trial_s, now)
        self._known[key].own = True
        return entry

    def revise(
        self, service: str, blamed: Collection[Collection[str]], now: float
    ) -> list[Entry]:
        """Releases new entries of this instance that are blamed no more.

        Returns the entries that were released.
        """
        released = []
        for known in list(self._known.values()):
            entry = known.entry
            if (
                known.own
                and entry.active
                and entry.service == service
                and now - known.changed_at <= REVISE_S
                and not any(set(entry.parts) == set(each) for each in blamed)
            ):
                released.append(self._release(entry, now))
        return released

    def _release(self, entry: Entry, now: float) -> Entry:
        released = attrs.evolve(
            entry,
            generation=entry.generation + 1,
            active=False,
            failed_trials=0,
        )
        self._put(released, 0.0, now)
        return released

    def record_crash(
        self, service: str, parts: Collection[str], at: float, now: float
    ) -> list[Entry]:
        """Postpones the next trial of a prompt whose trial crashed an engine.

        Returns the entries that changed; none if it was not a trial.
        """
        changed = []
        for known in list(self._matching(service, parts)):
            if known.trial_until is None or at < known.changed_at:
                continue
            entry = attrs.evolve(
                known.entry,
                generation=known.entry.generation + 1,
                failed_trials=known.entry.failed_trials + 1,
            )
            self._put(entry, entry.trial_interval_s, now)
            changed.append(entry)
        return changed

    def record_sound(
        self, service: str, parts: Collection[str], at: float, now: float
    ) -> list[Entry]:
        """Releases what a prompt that started at a time has shown sound.

        Returns the entries that were released.
        """
        released = []
        for known in list(self._matching(service, parts)):
            if at < known.changed_at:
                continue
            released.append(self._release(known.entry, now))
        return released

    def merge(self, entry: Entry, retry_after_s: float, now: float) -> bool:
        """Adds another instance's entry; returns whether it was newer."""
        known = self._known.get(_key(entry))
        if known is not None and known.entry.generation >= entry.generation:
            return False
        self._put(entry, retry_after_s, now)
        return True

    def _matching(self, service: str, parts: Collection[str]):
        for known in self._known.values():
            entry = known.entry
            if (
                entry.active
                and entry.service == service
                and all(part in parts for part in entry.parts)
            ):
                yield known

    def _put(self, entry: Entry, retry_after_s: float, now: float) -> None:
        key = _key(entry)
        self._known.pop(key, None)
        self._known[key] = _Known(entry, now + retry_after_s, now)
        if len(self._known) > MAX_ENTRIES:
            oldest = min(
                self._known, key=lambda each: self._known[each].entry.active
            )
            del self._known[oldest]


def _key(entry: Entry) -> _Key:
    return entry.service, entry.parts
