"""Directory of endpoints, with hints about their load.

The records are those of the platform's lagging list. Hints about free slots
and waits come with the answers of the engines' owners; load reports and cache
events are read from a bounded number of engines only.
"""

from collections.abc import Iterable

import attrs

from seam_model import endpoints
from seam_node.ports import clock
from seam_node.ports import engine

FAILURE_WINDOW_S = 1.0
"""Time within which a second failure makes an endpoint suspected."""
SUSPECT_TTL_S = 5.0
"""Time for which an endpoint that did not answer is avoided."""


@attrs.define
class Hint:
    """Last answer of an engine's owner to a request of one rank."""

    free_slots: int = 0
    wait_s: float = 0.0
    received_at: float = float("-inf")


class EngineDirectory:
    """Finds endpoints; stores hints about them and which are suspected.

    Used only on the event loop's thread; no method waits.
    """

    def __init__(self, factory: engine.EngineFactory, clk: clock.Clock):
        """Starts without records; `factory` connects to engines."""
        self._factory = factory
        self._clock = clk
        self._records: dict[str, endpoints.EndpointRecord] = {}
        self._engines: dict[str, engine.Engine] = {}
        self._hints: dict[tuple[str, int], Hint] = {}
        self._suspected_until: dict[str, float] = {}
        self._last_failures: dict[str, float] = {}

    def update(self, records: Iterable[endpoints.EndpointRecord]) -> None:
        """Replaces the records with those of a newer list."""
        newer = {record.name: record for record in records}
        for name, record in self._records.items():
            if newer.get(name) != record:
                self._engines.pop(name, None)
        self._records = newer
        self._hints = {
            key: hint for key, hint in self._hints.items() if key[0] in newer
        }

    def record(self, name: str) -> endpoints.EndpointRecord | None:
        """Returns the record of an endpoint, or None if it is not listed."""
        return self._records.get(name)

    def records(self) -> tuple[endpoints.EndpointRecord, ...]:
        """Returns every listed endpoint, by name."""
        return tuple(self._records[name] for name in sorted(self._records))

    def engine(self, name: str) -> engine.Engine:
        """Returns the connection to a listed engine."""
        if name not in self._engines:
            self._engines[name] = self._factory.engine(self._records[name])
        return self._engines[name]

    def engines(
        self, role: endpoints.EngineRole, model: str = "", adapter: str = ""
    ) -> tuple[endpoints.EndpointRecord, ...]:
        """Returns the engines of a role that can take new work."""
        return tuple(
            record
            for record in self._records.values()
            if record.kind == "engine"
            and record.role is role
            and not record.leaving
            and (not model or model in record.models)
            and (not adapter or adapter in record.adapters)
            and not self.suspected(record.name)
        )

    def services(self, service: str) -> tuple[endpoints.EndpointRecord, ...]:
        """Returns the endpoints of a service that can take new work."""
        return tuple(
            record
            for record in self._records.values()
            if record.kind == "service"
            and record.service == service
            and not record.leaving
        )

    def serves_model(self, model: str) -> bool:
        """Returns whether any listed engine serves the model."""
        return any(model in r.models for r in self._records.values())

    # Hints and failures

    def hint(self, name: str, rank: int) -> Hint:
        """Returns the last hint of an engine's owner for a rank."""
        return self._hints.get((name, int(rank)), Hint())

    def set_hint(
        self, name: str, rank: int, free_slots: int, wait_s: float
    ) -> None:
        """Stores the hint of an engine's owner for a rank."""
        hint = Hint(free_slots, wait_s, self._clock.monotonic())
        self._hints[(name, int(rank))] = hint

    def suspect(self, name: str) -> None:
        """Avoids an endpoint that did not answer, for `SUSPECT_TTL_S`."""
        self._suspected_until[name] = self._clock.monotonic() + SUSPECT_TTL_S

    def report_failure(self, name: str) -> None:
        """Avoids an endpoint after two failures within `FAILURE_WINDOW_S`."""
        now = self._clock.monotonic()
        if (
            now - self._last_failures.get(name, float("-inf"))
            < FAILURE_WINDOW_S
        ):
            self.suspect(name)
        self._last_failures[name] = now

    def suspected(self, name: str) -> bool:
        """Returns whether an endpoint is currently avoided."""
        return self._suspected_until.get(name, 0.0) > self._clock.monotonic()
