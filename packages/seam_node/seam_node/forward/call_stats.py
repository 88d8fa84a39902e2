"""What this instance has seen of each endpoint's calls."""

from collections.abc import Iterable

from seam_model import forwarding
from seam_policy import endpoint_choice
from seam_policy import prefill_backoff
from seam_policy import prefill_choice

USUAL_LATENCY_S = 0.03
"""Latency of a plain call before any was seen."""
ENGINE_GAIN = 0.4
"""Weight of one stream, of which an engine gets few but each is worth much."""
ENGINE_FADE_S = 8.0
UNREACHABLE_S = 1.0
"""How long an endpoint gets no work after its port did not answer."""


class CallStats:
    """Records of endpoints' incarnations, dropped when these end."""

    def __init__(self) -> None:
        """Starts empty."""
        self._calls: dict[str, endpoint_choice.EndpointStats] = {}
        self._prefills: dict[str, prefill_choice.PrefillStats] = {}
        self._kv: dict[str, prefill_backoff.PrefillBackoff] = {}
        self._shunned: dict[str, float] = {}
        self._avoided: dict[str, float] = {}

    def call(
        self, endpoint: forwarding.Endpoint
    ) -> endpoint_choice.EndpointStats:
        """Returns the record of an endpoint's calls or streams."""
        record = self._calls.get(endpoint.key)
        if record is None:
            if endpoint.stage is forwarding.Stage.NONE:
                record = endpoint_choice.EndpointStats(USUAL_LATENCY_S)
            else:
                record = endpoint_choice.EndpointStats(
                    USUAL_LATENCY_S, ENGINE_GAIN, ENGINE_FADE_S
                )
            self._calls[endpoint.key] = record
        return record

    def known_call(self, key: str) -> endpoint_choice.EndpointStats | None:
        """Returns the record of an incarnation's calls, if there is one."""
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

    def known_prefill(self, key: str) -> prefill_choice.PrefillStats | None:
        """Returns the record of an incarnation's prefills, if there is one."""
        return self._prefills.get(key)

    def kv(
        self, endpoint: forwarding.Endpoint
    ) -> prefill_backoff.PrefillBackoff:
        """Returns what is known of the KV caches of a prefill engine."""
        return self._kv.setdefault(
            endpoint.key, prefill_backoff.PrefillBackoff()
        )

    def avoid(self, key: str, until: float) -> None:
        """Gives an engine no new work, even if no other is left."""
        self._avoided[key] = max(until, self._avoided.get(key, until))

    def stop_avoiding(self, key: str) -> None:
        """Lets an engine get work again."""
        self._avoided.pop(key, None)

    def avoided(self, now: float) -> dict[str, float]:
        """Returns until when each avoided engine gets no work."""
        for key, until in tuple(self._avoided.items()):
            if until <= now:
                del self._avoided[key]
        return self._avoided

    def shun(self, endpoint: forwarding.Endpoint, until: float) -> None:
        """Gives an endpoint no work for a while."""
        self._shunned[endpoint.key] = until

    def open_at(
        self, endpoints: Iterable[forwarding.Endpoint], now: float
    ) -> list[forwarding.Endpoint]:
        """Returns the endpoints that are not shunned, or all if all are."""
        every = list(endpoints)
        found = [
            each for each in every if self._shunned.get(each.key, 0.0) <= now
        ]
        return found or every

    def forget(self, endpoint: forwarding.Endpoint) -> None:
        """Drops what is known of an incarnation that has ended."""
        tables: tuple[dict, ...] = (
            self._calls,
            self._prefills,
            self._kv,
            self._shunned,
            self._avoided,
        )
        for table in tables:
            table.pop(endpoint.key, None)
