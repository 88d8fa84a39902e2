"""Plans role changes and model loads of engines.

Roles change one engine per model at a time, with hysteresis: the demand must
differ clearly for some time, and an engine that changed keeps its role for a
minimum time. Loads are spaced by the rate of the weight store.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import enum

import attrs


class Role(enum.Enum):
    """Stage of a request that an engine serves."""

    PREFILL = "prefill"
    DECODE = "decode"


@attrs.frozen
class EngineView:
    """State of one engine as known to the planner."""

    name: str
    role: Role
    models: tuple[str, ...]
    running: int = 0
    """Running streams or prefills; the engine with the fewest changes first."""
    pinned: bool = False
    """Whether the configuration pins its role and models."""
    leaving: bool = False


@attrs.frozen
class RoleDemand:
    """Measured utilization of the two pools of one model; 1 is full."""

    model: str
    prefill_use: float
    decode_use: float


@attrs.frozen
class RoleSettings:
    """Thresholds of role changes."""

    high_use: float = 0.85
    """Utilization above which a pool needs another engine."""
    low_use: float = 0.5
    """Utilization below which a pool can give up an engine."""
    min_engines: int = 1
    """Minimum number of engines in each pool of a model."""
    persist_s: float = 30.0
    """Time for which the demand must persist before a change."""
    dwell_s: float = 300.0
    """Minimum time between two changes of the same engine."""
    settle_s: float = 60.0
    """Minimum time between two changes in the pools of one model."""


@attrs.frozen
class ChangeRole:
    """Order for an engine to change its role."""

    engine: str
    model: str
    role: Role


class RolePlanner:
    """Plans role changes from the measured demand."""

    def __init__(self, settings: RoleSettings):
        """Starts without pending or recent changes."""
        self._settings = settings
        self._pending: dict[str, tuple[Role, float]] = {}
        self._engine_changed_at: dict[str, float] = {}
        self._model_changed_at: dict[str, float] = {}

    def plan(
        self,
        engines: Sequence[EngineView],
        demands: Iterable[RoleDemand],
        now: float,
    ) -> list[ChangeRole]:
        """Returns the changes to order now, at most one per model."""
        self._expire_changes(now)
        demands = list(demands)
        models = {demand.model for demand in demands}
        for model in [each for each in self._pending if each not in models]:
            del self._pending[model]
        changes = []
        taken: set[str] = set()
        for demand in demands:
            change = self._plan_model(engines, demand, taken, now)
            if change is not None:
                changes.append(change)
                taken.add(change.engine)
        return changes

    def record_change(self, engine: str, now: float) -> None:
        """Records a change made elsewhere, such as by an operator's order."""
        self._engine_changed_at[engine] = now

    def _plan_model(
        self,
        engines: Sequence[EngineView],
        demand: RoleDemand,
        taken: set[str],
        now: float,
    ) -> ChangeRole | None:
        role = self._role_to_add(demand)
        if role is None:
            self._pending.pop(demand.model, None)
            return None
        if not self._has_persisted(demand.model, role, now):
            return None
        engine = self._donor(engines, demand.model, role, taken)
        if engine is None:
            return None
        del self._pending[demand.model]
        self._engine_changed_at[engine.name] = now
        self._model_changed_at[demand.model] = now
        return ChangeRole(engine.name, demand.model, role)

    def _role_to_add(self, demand: RoleDemand) -> Role | None:
        high, low = self._settings.high_use, self._settings.low_use
        if demand.decode_use > high and demand.prefill_use < low:
            return Role.DECODE
        if demand.prefill_use > high and demand.decode_use < low:
            return Role.PREFILL
        return None

    def _has_persisted(self, model: str, role: Role, now: float) -> bool:
        pending_role, since = self._pending.get(model, (None, now))
        if pending_role != role:
            self._pending[model] = (role, now)
            return False
        if model in self._model_changed_at:
            return False
        return now - since >= self._settings.persist_s

    def _donor(
        self,
        engines: Sequence[EngineView],
        model: str,
        role: Role,
        taken: set[str],
    ) -> EngineView | None:
        pool = [
            each
            for each in engines
            if model in each.models and each.role != role and not each.leaving
        ]
        if len(pool) <= self._settings.min_engines:
            return None
        movable = [
            each
            for each in pool
            if not each.pinned
            and each.name not in taken
            and each.name not in self._engine_changed_at
        ]
        return min(
            movable, key=lambda each: (each.running, each.name), default=None
        )

    def _expire_changes(self, now: float) -> None:
        _drop_before(self._engine_changed_at, now - self._settings.dwell_s)
        _drop_before(self._model_changed_at, now - self._settings.settle_s)


# Model loads


@attrs.frozen
class LoadRequest:
    """Request to load a model on an engine."""

    engine: str
    model: str
    size_bytes: int
    rank: int = 1
    """Priority; the lowest value is loaded first."""


@attrs.frozen
class StartLoad:
    """Order for an engine to load a model."""

    engine: str
    model: str


class LoadPlanner:
    """Schedules model loads within the limits of the weight store."""

    def __init__(self, bytes_s: float, concurrent: int = 2):
        """Takes the limits of the weight store.

        Args:
            bytes_s: rate of the store, in bytes per second.
            concurrent: maximum number of loads in progress.
        """
        self._bytes_s = bytes_s
        self._concurrent = concurrent
        self._next_load_at = 0.0
        self._running: set[tuple[str, str]] = set()

    def plan(
        self, requests: Iterable[LoadRequest], now: float
    ) -> list[StartLoad]:
        """Returns the loads to start now, by rank and then by name."""
        ordered = sorted(
            requests, key=lambda each: (each.rank, each.model, each.engine)
        )
        loading = {engine for engine, _ in self._running}
        starts = []
        for request in ordered:
            if request.engine in loading:
                continue
            if (
                len(self._running) >= self._concurrent
                or now < self._next_load_at
            ):
                break
            self._next_load_at = now + request.size_bytes / self._bytes_s
            self._running.add((request.engine, request.model))
            loading.add(request.engine)
            starts.append(StartLoad(request.engine, request.model))
        return starts

    def record_load_ended(self, engine: str, model: str) -> None:
        """Records that a load has completed or failed."""
        self._running.discard((engine, model))


def _drop_before(changed_at: dict[str, float], before: float) -> None:
    for name in [key for key, at in changed_at.items() if at < before]:
        del changed_at[name]
