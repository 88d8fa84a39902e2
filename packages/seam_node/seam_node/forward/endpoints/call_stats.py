"""Statistics and back-off state of each endpoint, as seen by this instance."""

from collections.abc import Iterable

from seam_model import forwarding
from seam_policy import endpoint_choice
from seam_policy import prefill_backoff
from seam_policy import prefill_choice

INITIAL_LATENCY_S = 0.03
"""Assumed latency of a plain call before the first sample."""
ENGINE_GAIN = 0.4
"""Weight of a stream's outcome. It is high because an engine gets few streams
and the loss of each is costly."""
ENGINE_DECAY_S = 8.0
UNREACHABLE_BACKOFF_S = 1.0
"""How long an endpoint is deprioritized after it could not be reached."""


class CallStats:
    """Records by endpoint incarnation; removed when the incarnation ends."""

    def __init__(self) -> None:
        """Starts without records."""
        self._calls: dict[str, endpoint_choice.EndpointStats] = {}
        self._prefills: dict[str, prefill_choice.PrefillStats] = {}
        self._kv_backoffs: dict[str, prefill_backoff.PrefillBackoff] = {}
        self._deprioritized_until: dict[str, float] = {}
        self._excluded_until: dict[str, float] = {}

    def call(
        self, endpoint: forwarding.Endpoint
    ) -> endpoint_choice.EndpointStats:
        """Returns the record of an endpoint's calls or streams."""
        record = self._calls.get(endpoint.key)
        if record is None:
            if endpoint.stage is forwarding.Stage.NONE:
                record = endpoint_choice.EndpointStats(INITIAL_LATENCY_S)
            else:
                record = endpoint_choice.EndpointStats(
                    INITIAL_LATENCY_S, ENGINE_GAIN, ENGINE_DECAY_S
                )
            self._calls[endpoint.key] = record
        return record

    def existing_call(self, key: str) -> endpoint_choice.EndpointStats | None:
        """Returns the record of an incarnation's calls, or None."""
        return self._calls.get(key)

    def prefill(
        self, endpoint: forwarding.Endpoint
    ) -> prefill_choice.PrefillStats:
        """Returns the record of a prefill engine."""
        record = self._prefills.get(endpoint.key)
        if record is None:
            record = prefill_choice.PrefillStats()
            self._prefills[endpoint.key] = record
        return record

    def existing_prefill(self, key: str) -> prefill_choice.PrefillStats | None:
        """Returns the record of an incarnation's prefills, or None."""
        return self._prefills.get(key)

    def kv_backoff(
        self, endpoint: forwarding.Endpoint
    ) -> prefill_backoff.PrefillBackoff:
        """Returns the back-off for lost KV caches of a prefill engine."""
        return self._kv_backoffs.setdefault(
            endpoint.key, prefill_backoff.PrefillBackoff()
        )

    def exclude(self, key: str, until: float) -> None:
        """Gives an engine no new work, even if no other engine is left."""
        self._excluded_until[key] = max(
            until, self._excluded_until.get(key, until)
        )

    def include(self, key: str) -> None:
        """Ends the exclusion of an engine."""
        self._excluded_until.pop(key, None)

    def excluded(self, now: float) -> dict[str, float]:
        """Returns the excluded engines, each with the end of its exclusion."""
        for key, until in tuple(self._excluded_until.items()):
            if until <= now:
                del self._excluded_until[key]
        return self._excluded_until

    def deprioritize(self, key: str, until: float) -> None:
        """Gives an endpoint no work until a time, if there is another one."""
        self._deprioritized_until[key] = until

    def preferred(
        self, endpoints: Iterable[forwarding.Endpoint], now: float
    ) -> list[forwarding.Endpoint]:
        """Returns the endpoints that are not deprioritized, or else all."""
        all_endpoints = list(endpoints)
        preferred_endpoints = [
            each
            for each in all_endpoints
            if self._deprioritized_until.get(each.key, 0.0) <= now
        ]
        return preferred_endpoints or all_endpoints

    def remove(self, endpoint: forwarding.Endpoint) -> None:
        """Removes the records of an incarnation that has ended."""
        tables: tuple[dict, ...] = (
            self._calls,
            self._prefills,
            self._kv_backoffs,
            self._deprioritized_until,
            self._excluded_until,
        )
        for table in tables:
            table.pop(endpoint.key, None)
