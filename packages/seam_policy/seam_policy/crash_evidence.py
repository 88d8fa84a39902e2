"""Finds the parts of prompts that crash the engines of a service.

An engine that crashes loses all its streams, so what is known is which prompts
were lost there before they had started. A part is suspected in each crash after
the last prompt with it that started. This handles prompts that crash engine
after engine while sound prompts share some of their parts, engines that crash
for other reasons beside them, and several such parts at once.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable

import attrs

MIN_CRASHES = 2
"""Crashes from which a part that was never sound counts as their cause."""
PROVEN_STARTS = 3
"""Started prompts from which a part counts as proven."""
PROVEN_MIN_CRASHES = 3
"""The same as `MIN_CRASHES` for a proven part."""
EPISODE_S = 1.0
"""Crashes of proven parts within this time count as one, as engines may end
together for a reason of their own."""
KEEP_S = 600.0
MAX_LOST = 256
MAX_SOUND_PARTS = 4096

Parts = frozenset[str]


@attrs.frozen
class Culprit:
    """Parts that crash engines, if all of them are in a prompt."""

    parts: Parts
    episodes: int
    """Times at which engines crashed, apart from each other."""


@attrs.frozen
class _Lost:
    """A prompt that was lost in a crash before it had started."""

    engine: str
    parts: Parts
    at: float


@attrs.define
class _Sound:
    """Prompts with a part that started."""

    last_at: float
    starts: int = 0


class CrashEvidence:
    """What is known of the crashes of one service's engines."""

    def __init__(self) -> None:
        """Starts without crashes."""
        self._lost: collections.deque[_Lost] = collections.deque(
            maxlen=MAX_LOST
        )
        self._sound: collections.OrderedDict[str, _Sound] = (
            collections.OrderedDict()
        )

    def add_lost(self, engine: str, parts: Iterable[str], at: float) -> bool:
        """Adds a prompt lost in a crash; returns whether it was unknown.

        Args:
            engine: key of the engine's incarnation.
            parts: the prompt's parts that others may share.
            at: time of the crash.
        """
        parts = frozenset(parts)
        if not parts or any(
            each.engine == engine and each.parts == parts for each in self._lost
        ):
            return False
        self._lost.append(_Lost(engine, parts, at))
        return True

    def add_sound(self, parts: Collection[str], at: float) -> bool:
        """Adds a prompt that started at a time.

        Returns whether a crash before it may now be judged otherwise.
        """
        for part in parts:
            known = self._sound.pop(part, None) or _Sound(at)
            known.last_at = max(known.last_at, at)
            known.starts += 1
            self._sound[part] = known
        while len(self._sound) > MAX_SOUND_PARTS:
            self._sound.popitem(last=False)
        return any(not each.parts.isdisjoint(parts) for each in self._lost)

    def culprits(self, now: float) -> list[Culprit]:
        """Returns the parts to blame for the crashes.

        Parts that were lost in the same prompts can't be told apart, so they
        are in one set. If rarer parts explain the same crashes as a common
        one, either may be the cause, so only prompts with both are meant. A
        crash that one set explains says nothing against other parts.
        """
        lost = self._current(now)
        groups = self._groups(lost)
        explained: set[str] = set()
        found: list[Culprit] = []
        while groups:
            indexes, parts = max(
                groups.items(),
                key=lambda item: self._weight(
                    self._unexplained(lost, item[0], explained), item[1]
                ),
            )
            crashes = self._unexplained(lost, indexes, explained)
            if not self._is_enough(crashes, parts):
                return found
            rivals = self._rivals(lost, groups, indexes, explained)
            episodes = _count_episodes(crashes.values())
            blamed = [parts | rival for rival in rivals] or [parts]
            found += [Culprit(each, episodes) for each in blamed]
            explained.update(crashes)
            del groups[indexes]
        return found

    def _rivals(
        self,
        lost: list[_Lost],
        groups: dict[frozenset[int], Parts],
        indexes: frozenset[int],
        explained: set[str],
    ) -> list[Parts]:
        """Returns rarer parts that together explain all crashes of a group."""
        rivals = []
        covered: set[str] = set()
        for rarer, parts in groups.items():
            crashes = self._unexplained(lost, rarer, explained)
            if rarer < indexes and self._is_enough(crashes, parts):
                rivals.append(parts)
                covered.update(crashes)
        all_crashes = self._unexplained(lost, indexes, explained)
        return rivals if covered == set(all_crashes) else []

    def _current(self, now: float) -> list[_Lost]:
        while self._lost and self._lost[0].at < now - KEEP_S:
            self._lost.popleft()
        return list(self._lost)

    def _groups(self, lost: list[_Lost]) -> dict[frozenset[int], Parts]:
        """Returns the suspected parts by the lost prompts that had them."""
        prompts_of: dict[str, set[int]] = {}
        for index, each in enumerate(lost):
            for part in each.parts:
                sound = self._sound.get(part)
                if sound is None or sound.last_at < each.at:
                    prompts_of.setdefault(part, set()).add(index)
        groups: dict[frozenset[int], set[str]] = {}
        for part, indexes in prompts_of.items():
            groups.setdefault(frozenset(indexes), set()).add(part)
        return {key: frozenset(parts) for key, parts in groups.items()}

    def _unexplained(
        self, lost: list[_Lost], indexes: frozenset[int], explained: set[str]
    ) -> dict[str, float]:
        """Returns the times of the crashes of lost prompts, by engine."""
        return {
            lost[index].engine: lost[index].at
            for index in indexes
            if lost[index].engine not in explained
        }

    def _weight(
        self, crashes: dict[str, float], parts: Parts
    ) -> tuple[bool, int, int, list[str]]:
        """Returns how strongly parts are suspected, as a sort key."""
        return (
            self._is_enough(crashes, parts),
            len(crashes),
            -self._starts(parts),
            sorted(parts),
        )

    def _is_enough(self, crashes: dict[str, float], parts: Parts) -> bool:
        if self._starts(parts) < PROVEN_STARTS:
            return len(crashes) >= MIN_CRASHES
        return _count_episodes(crashes.values()) >= PROVEN_MIN_CRASHES

    def _starts(self, parts: Parts) -> int:
        """Returns the started prompts of the part that has the fewest."""
        return min(
            self._sound[part].starts if part in self._sound else 0
            for part in parts
        )


def _count_episodes(times: Iterable[float]) -> int:
    count = 0
    last_at = float("-inf")
    for at in sorted(times):
        if at - last_at >= EPISODE_S:
            count += 1
            last_at = at
    return count
