"""The fleet's configuration: defaults, exceptions and the last changes.

All of it is one versioned object, `config/fleet`, so that an accepted change
and its place in the audit trail are written together or not at all.
"""

from collections.abc import Mapping
import functools
from typing import Any

import attrs

from seam_model import claims
from seam_model import endpoints
from seam_model import requests
from seam_model import toml_check

CONFIG_KEY = "config/fleet"
AUDIT_PREFIX = "audit/"
CHANGES_KEPT = 50
"""Changes that the object itself holds; older ones are moved out."""
OBJECT_MAX_BYTES = 512 * 1024
REFUSE_AFTER_LIMIT_S = 3.0
"""Longest time for which a leaving instance may still take new work."""
RESUME_WINDOW_LIMIT_S = 60.0
"""Longest time for which an engine keeps what its caller left."""
RANK_NAMES: tuple[str, ...] = ("urgent", "other")
"""Names in exceptions' scopes, in the order of `requests.Rank`."""

_REQUEST = ("workspace", "model", "data_centre", "rank")
_CALL = ("workspace", "data_centre", "rank")
_WORKSPACE = ("workspace", "data_centre")
_ENGINE = ("engine", "data_centre")
_INSTANCE = ("data_centre",)

OVERRIDABLE: Mapping[str, tuple[str, ...]] = {
    "admission.queue_limit": _ENGINE,
    "admission.urgent_reserve": _ENGINE,
    "admission.other_floor": _ENGINE,
    "deadlines.max_s": _REQUEST,
    "deadlines.other_s": _REQUEST,
    "deadlines.urgent_s": _REQUEST,
    "entry.cache_s": _WORKSPACE,
    "entry.width": _WORKSPACE,
    "hedge.budget_ratio": _INSTANCE,
    "hedge.enabled": _CALL,
    "retry.budget_ratio": _INSTANCE,
    "retry.max_attempts": _REQUEST,
    "targets.other.first_token_s": _REQUEST,
    "targets.other.per_token_s": _REQUEST,
    "targets.urgent.first_token_s": _REQUEST,
    "targets.urgent.per_token_s": _REQUEST,
    "workspace.burst": _WORKSPACE,
    "workspace.concurrency": _WORKSPACE,
    "workspace.rate_per_s": _WORKSPACE,
}
"""Dotted keys that an exception may set, and what its scope may name.

A setting is looked up with these fields of the scope only, so that an
exception which names another one would never be in force. The data centre is
the engine's for `admission`, else that of the instance.
"""


def _ratio() -> Any:
    return toml_check.limits(high=1)


def _seconds() -> Any:
    return toml_check.limits(above=0, high=86400)


def _count() -> Any:
    return toml_check.limits(low=1, high=10**9)


# Defaults


@attrs.frozen
class Admission:
    """Shares of decode slots by rank, and the queues' length."""

    other_floor: float = _ratio()
    """Least share of each engine that the other rank gets."""
    urgent_reserve: float = _ratio()
    """Share of each engine that only urgent work may take."""
    queue_limit: int = _count()
    service_slots: int = _count()
    """Calls in progress from one instance at one endpoint of a service."""
    service_target_s: float = _seconds()
    """Time of a service call above which fewer are let in at once."""


@attrs.frozen
class RankTargets:
    """Latency targets by rank."""

    urgent: requests.Targets
    other: requests.Targets

    def for_rank(self, rank: requests.Rank) -> requests.Targets:
        """Returns the targets of a rank."""
        return self.urgent if rank is requests.Rank.URGENT else self.other


@attrs.frozen
class Deadlines:
    """Time allowed for a whole answer, from its arrival."""

    urgent_s: float = _seconds()
    other_s: float = _seconds()
    max_s: float = _seconds()
    """Longest deadline that a caller may ask for."""

    def for_rank(self, rank: requests.Rank) -> float:
        """Returns the deadline of a rank, in seconds."""
        return self.urgent_s if rank is requests.Rank.URGENT else self.other_s


@attrs.frozen
class WorkspaceLimits:
    """What one workspace may use of the fleet."""

    rate_per_s: float = toml_check.limits(above=0)
    burst: int = _count()
    concurrency: int = _count()


@attrs.frozen
class Retry:
    """How many extra attempts there may be."""

    budget_ratio: float = _ratio()
    """Retries allowed for each first attempt, fleet-wide on average."""
    max_attempts: int = toml_check.limits(low=1, high=10)


@attrs.frozen
class Hedge:
    """Whether a second service call is started for a late idempotent one."""

    enabled: bool
    budget_ratio: float = _ratio()
    """Second calls allowed for each call that succeeded."""


@attrs.frozen
class Orders:
    """Time window of idempotency keys."""

    window_s: float = toml_check.limits(above=0, high=claims.WINDOW_S)
    """Age up to which a key is taken; claims are kept for the longest one."""


@attrs.frozen
class Entry:
    """What entry answers say."""

    cache_s: float = _seconds()
    width: int = toml_check.limits(low=1, high=64)
    """Instances in one answer."""


@attrs.frozen
class Drain:
    """How an instance leaves."""

    refuse_after_s: float = toml_check.limits(high=REFUSE_AFTER_LIMIT_S)


@attrs.frozen
class Weights:
    """Use of the weight store."""

    bytes_per_s: float = toml_check.limits(above=0)


@attrs.frozen
class ModelRule:
    """What the router has to know of a model."""

    kv_bytes_per_token: int = _count()
    max_prompt_tokens: int = _count()
    weight_bytes: int = toml_check.limits(high=10**15, default=0)
    """Size in the weight store; needed for models of `engines`."""


@attrs.frozen
class OperationRule:
    """What the router has to know of a service's operation."""

    idempotent: bool
    timeout_s: float = _seconds()


@attrs.frozen
class EngineRule:
    """Wanted state of an engine."""

    role: endpoints.EngineRole
    models: tuple[str, ...]
    adapters: tuple[str, ...] = ()
    checks_fence: bool = False
    """Whether the engine refuses orders with an old fencing number."""
    adapts: bool = False
    """Whether measured demand, in place of `role`, decides on the role."""


@attrs.frozen
class Defaults:
    """Settings of the whole fleet, or those in force for a scope."""

    resume_window_s: float = toml_check.limits(
        above=0, high=RESUME_WINDOW_LIMIT_S
    )
    admission: Admission
    targets: RankTargets
    deadlines: Deadlines
    workspace: WorkspaceLimits
    retry: Retry
    hedge: Hedge
    orders: Orders
    entry: Entry
    drain: Drain
    weights: Weights
    models: dict[str, ModelRule]
    services: dict[str, dict[str, OperationRule]]
    engines: dict[str, EngineRule]

    def operation(self, service: str, name: str) -> OperationRule | None:
        """Returns the rule of a service's operation, if there is one."""
        return self.services.get(service, {}).get(name)


# Exceptions and changes


@attrs.frozen
class Scope:
    """What an exception or a question is about; empty fields match all."""

    workspace: str = ""
    engine: str = ""
    model: str = ""
    data_centre: str = ""
    rank: str = toml_check.limits(
        pattern="|".join(("", *RANK_NAMES)),
        allowed="urgent, other or empty",
        default="",
    )


SCOPE_FIELDS: tuple[str, ...] = tuple(f.name for f in attrs.fields(Scope))
"""In order of weight between exceptions with equally many fields."""


@attrs.frozen
class ConfigException:
    """Settings that differ from the defaults for a scope, and why."""

    id: str = toml_check.limits(
        pattern=r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}",
        allowed="1 to 63 letters, digits, dots, dashes or underscores",
    )
    scope: Scope
    settings: dict[str, Any]
    """By dotted key; see `OVERRIDABLE`."""
    reason: str = toml_check.limits(
        pattern=r"(?s)(?=.{3,2000}\Z)\s*\S.*",
        allowed="a written reason of 3 to 2000 characters",
    )
    who: str = ""
    when: str = ""


@attrs.frozen
class Change:
    """One accepted change."""

    version: int
    """Version of the configuration that it made."""
    who: str
    when: str
    """UTC, in the form of ISO 8601."""
    why: str
    what: tuple[str, ...]
    """One line for each difference."""
    change_id: str


@attrs.frozen
class Draft:
    """What an operator edits: all but versions and changes."""

    defaults: Defaults
    exceptions: tuple[ConfigException, ...] = ()


@attrs.frozen
class FleetConfig:
    """The whole configuration object."""

    version: int
    defaults: Defaults
    exceptions: tuple[ConfigException, ...] = ()
    changes: tuple[Change, ...] = ()
    """Oldest first."""

    @functools.cached_property
    def resolver(self) -> "Resolver":
        """Finds the settings in force for a scope."""
        return Resolver(self)

    def draft(self) -> Draft:
        """Returns what an operator edits."""
        return Draft(self.defaults, self.exceptions)


def audit_key(version: int) -> str:
    """Returns the key of a change that was moved out of the object."""
    return f"{AUDIT_PREFIX}{version:06d}"


# Resolving


class Resolver:
    """Answers which settings are in force for a scope.

    Exceptions that name more fields win over those that name fewer; among
    equals the order of `SCOPE_FIELDS` decides, then the id. Answers are kept
    by the named part of the scope, so that values that no exception names
    share one answer.
    """

    def __init__(self, cfg: FleetConfig):
        """Prepares the exceptions of `cfg`."""
        self._defaults = cfg.defaults
        self._rules = sorted(cfg.exceptions, key=_weight)
        self._named = tuple(
            (name, frozenset(getattr(r.scope, name) for r in self._rules))
            for name in SCOPE_FIELDS
        )
        self._answers: dict[tuple[str, ...], Defaults] = {}

    def resolve(self, scope: Scope) -> Defaults:
        """Returns the settings in force for `scope`."""
        if not self._rules:
            return self._defaults
        key = tuple(
            value if (value := getattr(scope, name)) in known else ""
            for name, known in self._named
        )
        found = self._answers.get(key)
        if found is None:
            found = self._build(Scope(*key))
            self._answers[key] = found
        return found

    def _build(self, scope: Scope) -> Defaults:
        result = self._defaults
        for rule in self._rules:
            if not _matches(rule.scope, scope):
                continue
            for key, value in sorted(rule.settings.items()):
                result = override(result, key, value)
        return result


def resolve(cfg: FleetConfig, scope: Scope) -> Defaults:
    """Returns the settings in force for `scope`."""
    return cfg.resolver.resolve(scope)


def override(target: Any, dotted: str, value: Any) -> Any:
    """Returns a copy of `target` with one dotted key set."""
    name, _, rest = dotted.partition(".")
    if rest:
        value = override(getattr(target, name), rest, value)
    return attrs.evolve(target, **{name: value})


def _weight(rule: ConfigException) -> tuple[int, tuple[bool, ...], str]:
    named = tuple(bool(getattr(rule.scope, name)) for name in SCOPE_FIELDS)
    return sum(named), named, rule.id


def _matches(rule: Scope, scope: Scope) -> bool:
    return all(
        getattr(rule, name) in ("", getattr(scope, name))
        for name in SCOPE_FIELDS
    )
