"""Which prompts wait at prefill engines, whichever instance sent them."""

import collections
from collections.abc import Callable

import attrs

from seam_model import forwarding
from seam_node.forward import call_stats
from seam_node.forward import heartbeats

RECENT_S = 1.0
"""How long other instances are told of a prompt."""


@attrs.frozen
class _Own:
    """A prompt that this instance sent."""

    number: int
    key: str
    tokens: int
    sent_at: float


@attrs.frozen
class _Newest:
    """The newest prompt that an instance told of."""

    incarnation: int
    number: int


class PrefillQueues:
    """Books prompts of all instances in the engines' records."""

    def __init__(
        self,
        stats: call_stats.CallStats,
        tell: Callable[[], None],
        now: Callable[[], float],
    ):
        """Takes the records, what tells the other instances and the clock."""
        self._stats = stats
        self._tell = tell
        self._now = now
        self._count = 0
        self._recent: collections.deque[_Own] = collections.deque()
        self._newest: dict[str, _Newest] = {}

    def send(self, engine: forwarding.Endpoint, tokens: int) -> float:
        """Books a prompt that is sent now; returns how long it should wait."""
        now = self._now()
        record = self._stats.prefill(engine)
        queued_s = record.queued_s(now)
        record.book(tokens, now)
        self._count += 1
        self._recent.append(_Own(self._count, engine.key, tokens, now))
        self._tell()
        return queued_s

    def recent(self) -> tuple[heartbeats.PrefillSent, ...]:
        """Returns the prompts that other instances are told of."""
        now = self._now()
        while self._recent and now - self._recent[0].sent_at > RECENT_S:
            self._recent.popleft()
        return tuple(
            heartbeats.PrefillSent(
                each.number, each.key, each.tokens, now - each.sent_at
            )
            for each in self._recent
        )

    def take(self, beat: heartbeats.Heartbeat) -> None:
        """Books the prompts of another instance that are new."""
        incarnation = beat.entry.incarnation
        newest = self._newest.get(beat.entry.name)
        known = 0
        if newest is not None and newest.incarnation == incarnation:
            known = newest.number
        for sent in beat.prefills:
            if sent.number <= known:
                continue
            known = sent.number
            record = self._stats.known_prefill(sent.key)
            if record is not None:
                record.book(sent.tokens, self._now() - sent.age_s)
        self._newest[beat.entry.name] = _Newest(incarnation, known)
