"""The fleet's configuration: defaults, exceptions and the latest changes.

It is stored as one versioned object, `config/fleet`, so that a change and its
entry in the audit trail are written atomically.
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
"""Changes kept in the object itself; older ones become `audit/` objects."""
OBJECT_MAX_BYTES = 512 * 1024
REFUSE_AFTER_LIMIT_S = 3.0
"""Maximum time for which a leaving instance still accepts new requests."""
RESUME_WINDOW_LIMIT_S = 60.0
"""Maximum time for which an engine keeps a stream that has no reader."""
RANK_NAMES: tuple[str, ...] = ("urgent", "other")
"""Names of ranks in scopes, in the order of `requests.Rank`."""

_REQUEST_SCOPE = ("workspace", "model", "data_centre", "rank")
_CALL_SCOPE = ("workspace", "data_centre", "rank")
_WORKSPACE_SCOPE = ("workspace", "data_centre")
_ENGINE_SCOPE = ("engine", "data_centre")
_INSTANCE_SCOPE = ("data_centre",)

OVERRIDABLE: Mapping[str, tuple[str, ...]] = {
    "admission.queue_limit": _ENGINE_SCOPE,
    "admission.urgent_reserve": _ENGINE_SCOPE,
    "admission.other_floor": _ENGINE_SCOPE,
    "deadlines.max_s": _REQUEST_SCOPE,
    "deadlines.other_s": _REQUEST_SCOPE,
    "deadlines.urgent_s": _REQUEST_SCOPE,
    "entry.cache_s": _WORKSPACE_SCOPE,
    "entry.width": _WORKSPACE_SCOPE,
    "hedge.budget_ratio": _INSTANCE_SCOPE,
    "hedge.enabled": _CALL_SCOPE,
    "retry.budget_ratio": _INSTANCE_SCOPE,
    "retry.max_attempts": _REQUEST_SCOPE,
    "targets.other.first_token_s": _REQUEST_SCOPE,
    "targets.other.per_token_s": _REQUEST_SCOPE,
    "targets.urgent.first_token_s": _REQUEST_SCOPE,
    "targets.urgent.per_token_s": _REQUEST_SCOPE,
    "workspace.burst": _WORKSPACE_SCOPE,
    "workspace.concurrency": _WORKSPACE_SCOPE,
    "workspace.rate_per_s": _WORKSPACE_SCOPE,
}
"""Dotted keys that an exception may set, and the scope fields it may use.

A setting is looked up with these fields of the scope only; an exception that
uses another field would never take effect. For `admission` the data centre is
that of the engine, otherwise that of the instance.
"""


def _ratio() -> Any:
    return toml_check.checked_field(high=1)


def _seconds() -> Any:
    return toml_check.checked_field(above=0, high=86400)


def _count() -> Any:
    return toml_check.checked_field(low=1, high=10**9)


# Defaults


@attrs.frozen
class Admission:
    """Shares of decode slots by rank, queue lengths and service call limits."""

    other_floor: float = _ratio()
    """Minimum share of each engine's slots for rank `other`."""
    urgent_reserve: float = _ratio()
    """Share of each engine's slots that is reserved for rank `urgent`."""
    queue_limit: int = _count()
    service_slots: int = _count()
    """Limit of calls in progress from one instance to a service endpoint."""
    service_target_s: float = _seconds()
    """Latency of service calls above which concurrency is reduced."""


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
    """Time allowed for the complete answer, from the request's arrival."""

    urgent_s: float = _seconds()
    other_s: float = _seconds()
    max_s: float = _seconds()
    """Longest deadline that a caller may request."""

    def for_rank(self, rank: requests.Rank) -> float:
        """Returns the deadline of a rank, in seconds."""
        return self.urgent_s if rank is requests.Rank.URGENT else self.other_s


@attrs.frozen
class WorkspaceLimits:
    """Fleet-wide limits of one workspace."""

    rate_per_s: float = toml_check.checked_field(above=0)
    burst: int = _count()
    concurrency: int = _count()


@attrs.frozen
class Retry:
    """Limits on retries."""

    budget_ratio: float = _ratio()
    """Retries per first attempt, as an average over the fleet."""
    max_attempts: int = toml_check.checked_field(low=1, high=10)


@attrs.frozen
class Hedge:
    """Hedging: a second call when an idempotent service call is slow."""

    enabled: bool
    budget_ratio: float = _ratio()
    """Second calls allowed per successful call."""


@attrs.frozen
class Orders:
    """Time window of idempotency keys."""

    window_s: float = toml_check.checked_field(above=0, high=claims.WINDOW_S)
    """Maximum age of a key; claims are kept for the longest allowed value."""


@attrs.frozen
class Entry:
    """Contents of entry answers."""

    cache_s: float = _seconds()
    width: int = toml_check.checked_field(low=1, high=64)
    """Number of instances in one answer."""


@attrs.frozen
class Drain:
    """Shutdown of an instance."""

    refuse_after_s: float = toml_check.checked_field(high=REFUSE_AFTER_LIMIT_S)


@attrs.frozen
class Weights:
    """Use of the weight store."""

    bytes_per_s: float = toml_check.checked_field(above=0)


@attrs.frozen
class ModelRule:
    """Properties of a model that routing depends on."""

    kv_bytes_per_token: int = _count()
    max_prompt_tokens: int = _count()
    weight_bytes: int = toml_check.checked_field(high=10**15, default=0)
    """Size in the weight store; required for models listed in `engines`."""


@attrs.frozen
class OperationRule:
    """Properties of a service's operation that routing depends on."""

    idempotent: bool
    timeout_s: float = _seconds()


@attrs.frozen
class EngineRule:
    """Desired state of an engine."""

    role: endpoints.EngineRole
    models: tuple[str, ...]
    adapters: tuple[str, ...] = ()
    checks_fence: bool = False
    """Whether the engine refuses orders with an outdated fencing token."""
    adapts: bool = False
    """Whether measured demand, instead of `role`, determines the role."""


@attrs.frozen
class Defaults:
    """Settings of the whole fleet, or the settings in force for a scope."""

    resume_window_s: float = toml_check.checked_field(
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
    """Requests or engines that an exception or a lookup applies to.

    An empty field of an exception's scope matches every value.
    """

    workspace: str = ""
    engine: str = ""
    model: str = ""
    data_centre: str = ""
    rank: str = toml_check.checked_field(
        pattern="|".join(("", *RANK_NAMES)),
        allowed="urgent, other or empty",
        default="",
    )


SCOPE_FIELDS: tuple[str, ...] = tuple(f.name for f in attrs.fields(Scope))
"""Ordered by precedence among exceptions that name equally many fields."""


@attrs.frozen
class ConfigException:
    """Settings that override the defaults for a scope, with a reason."""

    id: str = toml_check.checked_field(
        pattern=r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}",
        allowed="1 to 63 letters, digits, dots, dashes or underscores",
    )
    scope: Scope
    settings: dict[str, Any]
    """Values by dotted key; see `OVERRIDABLE`."""
    reason: str = toml_check.checked_field(
        pattern=r"(?s)(?=.{3,2000}\Z)\s*\S.*",
        allowed="a written reason of 3 to 2000 characters",
    )
    who: str = ""
    when: str = ""


@attrs.frozen
class Change:
    """One accepted configuration change."""

    version: int
    """Version of the configuration that the change created."""
    who: str
    when: str
    """Time in UTC, in ISO 8601 format."""
    why: str
    what: tuple[str, ...]
    """One line for each difference."""
    change_id: str


@attrs.frozen
class Draft:
    """The part that operators edit: everything but versions and changes."""

    defaults: Defaults
    exceptions: tuple[ConfigException, ...] = ()


@attrs.frozen
class FleetConfig:
    """The complete configuration object."""

    version: int
    defaults: Defaults
    exceptions: tuple[ConfigException, ...] = ()
    changes: tuple[Change, ...] = ()
    """Oldest first."""

    @functools.cached_property
    def resolver(self) -> "Resolver":
        """Cached resolver of this configuration."""
        return Resolver(self)

    def draft(self) -> Draft:
        """Returns the part that operators edit."""
        return Draft(self.defaults, self.exceptions)


def audit_key(version: int) -> str:
    """Returns the key of the object that archives an older change."""
    return f"{AUDIT_PREFIX}{version:06d}"


# Resolving


class Resolver:
    """Finds the settings in force for a scope.

    Exceptions that name more fields take precedence over those that name fewer;
    ties are broken by the order of `SCOPE_FIELDS`, then by the id. Results are
    cached by the values that some exception names; all other values share one
    result.
    """

    def __init__(self, cfg: FleetConfig):
        """Sorts the exceptions of `cfg` by precedence, lowest first."""
        self._defaults = cfg.defaults
        self._rules = sorted(cfg.exceptions, key=_precedence)
        self._named_values = tuple(
            (name, frozenset(getattr(r.scope, name) for r in self._rules))
            for name in SCOPE_FIELDS
        )
        self._cache: dict[tuple[str, ...], Defaults] = {}

    def resolve(self, scope: Scope) -> Defaults:
        """Returns the settings in force for `scope`."""
        if not self._rules:
            return self._defaults
        key = tuple(
            value if (value := getattr(scope, name)) in values_in_use else ""
            for name, values_in_use in self._named_values
        )
        resolved = self._cache.get(key)
        if resolved is None:
            resolved = self._build(Scope(*key))
            self._cache[key] = resolved
        return resolved

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


def _precedence(rule: ConfigException) -> tuple[int, tuple[bool, ...], str]:
    named = tuple(bool(getattr(rule.scope, name)) for name in SCOPE_FIELDS)
    return sum(named), named, rule.id


def _matches(rule: Scope, scope: Scope) -> bool:
    return all(
        getattr(rule, name) in ("", getattr(scope, name))
        for name in SCOPE_FIELDS
    )
