"""Which engines should change role or load a model.

Changes come one at a time, with hysteresis: the demand must differ clearly for
a while, and an engine that changed stays as it is for some time. Loads are
spaced by the rate of the weight store.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import enum

import attrs


class Role(enum.Enum):
    """Phase of a request that an engine serves."""

    PREFILL = "prefill"
    DECODE = "decode"


@attrs.frozen
class EngineView:
    """What is known of one engine."""

    name: str
    role: Role
    models: tuple[str, ...]
    busy: int = 0
    """Streams or prefills that it runs; an idle one changes first."""
    fixed: bool = False
    """Whether an exception pins its role and models."""
    leaving: bool = False


@attrs.frozen
class RoleDemand:
    """Measured use of the two pools of one model, 1 being full."""

    model: str
    prefill_use: float
    decode_use: float


@attrs.frozen
class RoleSettings:
    """Thresholds of role changes."""

    high_use: float = 0.85
    """Use over which a pool is short of engines."""
    low_use: float = 0.5
    """Use under which a pool can spare one."""
    min_engines: int = 1
    """Engines that each pool of a model keeps."""
    persist_s: float = 30.0
    """Time for which the demand must ask for the change."""
    dwell_s: float = 300.0
    """Time after a change in which the engine isn't changed again."""
    settle_s: float = 60.0
    """Time between two changes in the pools of one model."""


@attrs.frozen
class ChangeRole:
    """Order an engine to take a role."""

    engine: str
    model: str
    role: Role


class RolePlanner:
    """Decides on role changes from measured demand."""

    def __init__(self, settings: RoleSettings):
        """Starts with no change under way."""
        self._settings = settings
        self._wanted: dict[str, tuple[Role, float]] = {}
        self._engine_changed_at: dict[str, float] = {}
        self._model_changed_at: dict[str, float] = {}

    def plan(
        self,
        engines: Sequence[EngineView],
        demands: Iterable[RoleDemand],
        now: float,
    ) -> list[ChangeRole]:
        """Returns the changes to order now, at most one a model."""
        self._forget(now)
        demands = list(demands)
        models = {demand.model for demand in demands}
        for model in [each for each in self._wanted if each not in models]:
            del self._wanted[model]
        changes = []
        taken: set[str] = set()
        for demand in demands:
            change = self._plan_model(engines, demand, taken, now)
            if change is not None:
                changes.append(change)
                taken.add(change.engine)
        return changes

    def note_changed(self, engine: str, now: float) -> None:
        """Records a change by others, such as an operator's order."""
        self._engine_changed_at[engine] = now

    def _plan_model(
        self,
        engines: Sequence[EngineView],
        demand: RoleDemand,
        taken: set[str],
        now: float,
    ) -> ChangeRole | None:
        role = self._short_role(demand)
        if role is None:
            self._wanted.pop(demand.model, None)
            return None
        if not self._has_persisted(demand.model, role, now):
            return None
        engine = self._donor(engines, demand.model, role, taken)
        if engine is None:
            return None
        del self._wanted[demand.model]
        self._engine_changed_at[engine.name] = now
        self._model_changed_at[demand.model] = now
        return ChangeRole(engine.name, demand.model, role)

    def _short_role(self, demand: RoleDemand) -> Role | None:
        high, low = self._settings.high_use, self._settings.low_use
        if demand.decode_use > high and demand.prefill_use < low:
            return Role.DECODE
        if demand.prefill_use > high and demand.decode_use < low:
            return Role.PREFILL
        return None

    def _has_persisted(self, model: str, role: Role, now: float) -> bool:
        wanted, since = self._wanted.get(model, (None, now))
        if wanted != role:
            self._wanted[model] = (role, now)
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
        free = [
            each
            for each in pool
            if not each.fixed
            and each.name not in taken
            and each.name not in self._engine_changed_at
        ]
        return min(free, key=lambda each: (each.busy, each.name), default=None)

    def _forget(self, now: float) -> None:
        _drop_older(self._engine_changed_at, now - self._settings.dwell_s)
        _drop_older(self._model_changed_at, now - self._settings.settle_s)


# Model loads


@attrs.frozen
class LoadWish:
    """A model that an engine should hold."""

    engine: str
    model: str
    size_bytes: int
    rank: int = 1
    """A lower value is loaded first."""


@attrs.frozen
class StartLoad:
    """Order an engine to load a model."""

    engine: str
    model: str


class LoadPlanner:
    """Starts model loads no faster than the weight store can serve."""

    def __init__(self, bytes_s: float, concurrent: int = 2):
        """Takes the limits of the weight store.

        Args:
            bytes_s: rate that the store allows.
            concurrent: loads that may run at once.
        """
        self._bytes_s = bytes_s
        self._concurrent = concurrent
        self._free_at = 0.0
        self._running: set[tuple[str, str]] = set()

    def plan(self, wishes: Iterable[LoadWish], now: float) -> list[StartLoad]:
        """Returns the loads to start now, by rank and then by name."""
        ordered = sorted(
            wishes, key=lambda each: (each.rank, each.model, each.engine)
        )
        loading = {engine for engine, _ in self._running}
        starts = []
        for wish in ordered:
            if wish.engine in loading:
                continue
            if len(self._running) >= self._concurrent or now < self._free_at:
                break
            self._free_at = now + wish.size_bytes / self._bytes_s
            self._running.add((wish.engine, wish.model))
            loading.add(wish.engine)
            starts.append(StartLoad(wish.engine, wish.model))
        return starts

    def note_ended(self, engine: str, model: str) -> None:
        """Records that a load has ended, done or failed."""
        self._running.discard((engine, model))


def _drop_older(changed_at: dict[str, float], before: float) -> None:
    for name in [key for key, at in changed_at.items() if at < before]:
        del changed_at[name]
