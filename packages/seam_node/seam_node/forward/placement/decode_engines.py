"""The decode engines that a request may use, and what is known of them."""

from collections.abc import Callable
import math

import attrs

from seam_model import forwarding
from seam_node.forward.endpoints import call_stats
from seam_node.forward.endpoints import engine_access
from seam_node.forward.fleet import messages
from seam_node.forward.placement import workload
from seam_policy import decode_choice
from seam_policy import rendezvous
from seam_policy import stage_balance
from seam_policy import stream_ledger

FULL_BACKOFF_S = 0.08
"""Back-off after an engine refused to hold a place."""


@attrs.frozen
class _SelectionKey:
    """What decides which engines a request may use."""

    service: str
    only: tuple[str, ...]
    avoid: tuple[str, ...]


@attrs.frozen(eq=False)
class UsableEngines:
    """The decode engines of a service that a request may use."""

    spec: forwarding.EngineSpec
    endpoints: tuple[forwarding.Endpoint, ...]
    interval_s: float
    """Average time between two places that become free, in seconds."""

    def by_key(self, key: str) -> forwarding.Endpoint:
        """Returns the engine with a key."""
        return next(each for each in self.endpoints if each.key == key)


class DecodeEngines:
    """The decode engines of all services, as seen by this instance."""

    def __init__(
        self,
        access: engine_access.EngineAccess,
        ledger: stream_ledger.StreamLedger,
        engine_spec: Callable[[str], forwarding.EngineSpec | None],
        load: workload.WorkloadEstimate,
    ):
        """Takes the engines, the streams at them, their capacity and the load.

        Args:
            access: the engines and their statistics.
            ledger: the streams of all instances.
            engine_spec: returns the engines' capacity of a service.
            load: average size and output rate of requests.
        """
        self._endpoints = access.endpoints
        self._stats = access.stats
        self._limits = access.limits
        self._ledger = ledger
        self._engine_spec = engine_spec
        self._load = load
        self._full_until: dict[str, float] = {}
        self._usable: dict[_SelectionKey, UsableEngines | None] = {}
        """Results of `usable` at `_usable_at`; a placer asks for each queued
        request at once."""
        self._usable_at = float("-inf")

    def note_full(self, key: str, now: float) -> None:
        """Notes that an engine refused to hold a place."""
        self._full_until[key] = now + FULL_BACKOFF_S

    def note_gone(self, key: str, now: float) -> None:
        """Notes that nothing listens at an engine's address any more."""
        self._stats.deprioritize(key, now + call_stats.UNREACHABLE_BACKOFF_S)

    def note_served(self, key: str) -> None:
        """Notes that an engine finished a stream, so that it has a place."""
        self._full_until.pop(key, None)

    def take(self, key: str) -> None:
        """Counts a place that is granted against the engine's rate limit."""
        self._limits.take(key)

    def usable(
        self, ask: messages.PlaceAsk, now: float
    ) -> UsableEngines | None:
        """Returns the engines for a request; None if there are none."""
        if now != self._usable_at:
            self._usable.clear()
            self._usable_at = now
        key = _SelectionKey(ask.service, ask.only, ask.avoid)
        if key not in self._usable:
            self._usable[key] = self._select(key, now)
        return self._usable[key]

    def _select(self, key: _SelectionKey, now: float) -> UsableEngines | None:
        spec = self._engine_spec(key.service)
        excluded = self._stats.excluded(now)
        allowed = [
            each
            for each in self._endpoints.usable(key.service)
            if each.stage is forwarding.Stage.DECODE
            and each.key not in excluded
            and (not key.only or each.key in key.only)
        ]
        if spec is None or not allowed:
            return None
        others = [each for each in allowed if each.key not in key.avoid]
        preferred = tuple(self._stats.preferred(others or allowed, now))
        interval_s = self._interval_s(spec, preferred)
        return UsableEngines(spec, preferred, interval_s)

    def candidates(
        self, ask: messages.PlaceAsk, engines: UsableEngines, now: float
    ) -> list[decode_choice.DecodeCandidate]:
        """Returns the state of each engine that may get a request now."""
        seed = ask.request_id.encode()
        return [
            decode_choice.DecodeCandidate(
                key=each.key,
                slots=engines.spec.slots,
                kv_tokens=engines.spec.kv_tokens,
                used=self._ledger.profile(each.key, now),
                local=each.data_centre == ask.data_centre,
                full_until=self._full_until.get(each.key, 0.0),
                failure_share=self._stats.call(each).failure_share(now),
                jitter=rendezvous.uniform(seed, each.key),
            )
            for each in engines.endpoints
            if self._limits.decode_wait_s(each.key) <= 0.0
        ]

    def interval_s(self, engines: UsableEngines | None) -> float:
        """Returns the average time between two places that become free."""
        return math.inf if engines is None else engines.interval_s

    def _interval_s(
        self,
        spec: forwarding.EngineSpec,
        endpoints: tuple[forwarding.Endpoint, ...],
    ) -> float:
        size = stage_balance.EngineSize(spec.slots, spec.kv_tokens)
        rate = stage_balance.decode_rate(1, size, self._load.current())
        total_rate = sum(
            min(rate, self._limits.rate(each.key)) for each in endpoints
        )
        return 1.0 / total_rate
