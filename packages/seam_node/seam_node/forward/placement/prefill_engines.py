"""Selects prefill engines by their estimated queues."""

from collections.abc import Callable
from collections.abc import Container
import math

import attrs

from seam_model import forwarding
from seam_node.forward.endpoints import engine_access
from seam_policy import prefill_choice
from seam_policy import stream_ledger


@attrs.frozen
class PrefillPlan:
    """The prefill engine for a prompt and the expected times."""

    endpoint: forwarding.Endpoint
    queued_s: float
    """Expected wait behind other prompts."""
    total_s: float
    """Expected time until the prompt's KV cache can be fetched."""


@attrs.frozen
class _Selection:
    """The prefill engines that prompts may use at one time."""

    by_key: dict[str, forwarding.Endpoint]
    candidates: list[prefill_choice.PrefillCandidate]


class PrefillEngines:
    """The prefill engines of all services, as seen by this instance."""

    def __init__(
        self,
        access: engine_access.EngineAccess,
        one_way_delay_s: Callable[[str], float],
        now: Callable[[], float],
    ):
        """Takes the engines, the delay to a data centre and the clock."""
        self._endpoints = access.endpoints
        self._stats = access.stats
        self._limits = access.limits
        self._one_way_delay_s = one_way_delay_s
        self._now = now
        self._selections: dict[tuple[str, str], _Selection] = {}
        """Engines by service and decode data centre, at `_cached_at`."""
        self._limited_rates: dict[str, float] = {}
        """Rates of services, at `_cached_at`."""
        self._cached_at = float("-inf")

    def plan(
        self,
        service: str,
        tokens: int,
        now: float,
        decode_data_centre: str = "",
        failed: Container[str] = (),
    ) -> PrefillPlan | None:
        """Returns the engine that should finish first, or None without one.

        An engine whose rate limit is used up counts as none.

        Args:
            service: the model service.
            tokens: length of the prompt.
            now: current time.
            decode_data_centre: data centre of the decode engine; empty if it
                is not known yet.
            failed: keys of engines that must not be used.
        """
        if failed:
            selection = self._select(service, now, decode_data_centre, failed)
        else:
            selection = self._select_once(service, now, decode_data_centre)
        chosen = prefill_choice.choose(selection.candidates, tokens, now)
        if chosen is None:
            return None
        return PrefillPlan(
            selection.by_key[chosen.key],
            chosen.record.queued_s(now),
            prefill_choice.expected_s(chosen, tokens, now),
        )

    def _select_once(
        self, service: str, now: float, decode_data_centre: str
    ) -> _Selection:
        """Returns the engines, selected once for all plans of one time.

        A placer plans for each queued request at once.
        """
        self._drop_older(now)
        known = self._selections.get((service, decode_data_centre))
        if known is None:
            known = self._select(service, now, decode_data_centre)
            self._selections[service, decode_data_centre] = known
        return known

    def _drop_older(self, now: float) -> None:
        """Clears the caches if they are of another time."""
        if now != self._cached_at:
            self._selections.clear()
            self._limited_rates.clear()
            self._cached_at = now

    def _select(
        self,
        service: str,
        now: float,
        decode_data_centre: str,
        failed: Container[str] = (),
    ) -> _Selection:
        by_key = {
            each.key: each
            for each in self._usable(service, now)
            if each.key not in failed
            and self._limits.prefill_wait_s(each.key) <= 0.0
        }
        candidates = [
            prefill_choice.PrefillCandidate(
                each.key,
                self._one_way_delay_s(each.data_centre),
                each.data_centre == (decode_data_centre or each.data_centre),
                self._stats.prefill(each),
                self._stats.call(each).failure_share(now),
            )
            for each in self._stats.preferred(by_key.values(), now)
        ]
        return _Selection(by_key, candidates)

    def limited_rate(self, service: str, now: float) -> float:
        """Returns the prompts a second that all engines get together.

        It is infinite unless each engine that there is names a rate limit.
        """
        self._drop_older(now)
        known = self._limited_rates.get(service)
        if known is None:
            rates = [
                self._limits.prefill_rate(each.key)
                for each in self._usable(service, now)
            ]
            known = sum(rates) if rates else math.inf
            self._limited_rates[service] = known
        return known

    def _usable(self, service: str, now: float) -> list[forwarding.Endpoint]:
        excluded = self._stats.excluded(now)
        return [
            each
            for each in self._endpoints.usable(service)
            if each.stage is forwarding.Stage.PREFILL
            and each.key not in excluded
        ]

    def enqueue(
        self,
        engine: forwarding.Endpoint,
        stream_id: stream_ledger.StreamId,
        tokens: int,
    ) -> None:
        """Adds the prompt of a stream to the queue of an engine."""
        self._limits.take(engine.key)
        # The engine's rate limit may be used up now.
        self._selections.clear()
        self._stats.prefill(engine).enqueue(stream_id, tokens, self._now())

    def complete(self, engine: str, stream_id: stream_ledger.StreamId) -> None:
        """Removes the prompt of a stream from the queue of an engine."""
        record = self._stats.existing_prefill(engine)
        if record is not None:
            record.complete(stream_id, self._now())
