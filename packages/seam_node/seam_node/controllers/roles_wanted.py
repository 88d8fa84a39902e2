"""Computes the wanted state of engines from configuration and demand.

Only engines named in the configuration get orders. An adaptive engine keeps
the role that the platform lists until demand requires the other one, so that a
new holder of the lease continues from the current state.
"""

from collections.abc import Callable

import attrs

from seam_model import config
from seam_model import endpoints
from seam_node.controllers import roles
from seam_node.controllers import roles_demand
from seam_node.ports import clock
from seam_policy import roles as role_policy

ADAPTER_BYTES = 512 * 1024 * 1024
"""Size assumed for one adapter in the weight store."""


class WantedEngines:
    """Computes the states that the roles controller orders.

    `defaults` returns the configuration in force; `listed` returns the
    platform's endpoints by name.
    """

    def __init__(
        self,
        defaults: Callable[[], config.Defaults | None],
        listed: Callable[[], dict[str, endpoints.EndpointRecord]],
        clk: clock.Clock,
    ):
        """Starts without pending changes of role."""
        self._defaults = defaults
        self._listed = listed
        self._clock = clk
        self._planner = role_policy.RolePlanner(role_policy.RoleSettings())
        self._role_changes: dict[str, endpoints.EngineRole] = {}
        self._fence = 0

    def has_rules(self) -> bool:
        """Returns whether the configuration has a rule for any engine."""
        defaults = self._defaults()
        return defaults is not None and bool(defaults.engines)

    def records(self) -> roles.Records:
        """Returns the listed engines that have a rule.

        `checks_fence` is taken from the rule, not from the list.
        """
        rules = self._rules()
        return tuple(
            attrs.evolve(record, checks_fence=rules[name].checks_fence)
            for name, record in sorted(self._listed().items())
            if record.kind == "engine" and name in rules
        )

    def adaptable_records(self) -> roles.Records:
        """Returns the engines in whose pools a role may change."""
        rules = self._rules()
        records = self.records()
        models = {
            model
            for record in records
            if rules[record.name].adapts
            for model in record.models
        }
        return tuple(
            record
            for record in records
            if not record.leaving and models & set(record.models)
        )

    def load_s(
        self,
        record: endpoints.EndpointRecord,
        target: roles.WantedState,
    ) -> float:
        """Returns for how many seconds an order occupies the weight store."""
        defaults = self._defaults()
        adapters = len(set(target.adapters) - set(record.adapters))
        size = adapters * ADAPTER_BYTES
        for model in set(target.models) - set(record.models):
            # A newer configuration may have removed the model meanwhile.
            rule = defaults.models.get(model)
            size += rule.weight_bytes if rule else 0
        return size / defaults.weights.bytes_per_s

    def decide(
        self,
        records: roles.Records,
        demand: roles_demand.PoolDemand,
        fence: int,
    ) -> dict[str, roles.WantedState]:
        """Returns the wanted state of each engine by name.

        Role changes planned under an earlier fencing token are discarded,
        because another holder may have planned others since.
        """
        if fence != self._fence:
            self._fence = fence
            self._role_changes.clear()
        self._plan(records, demand)
        rules = self._rules()
        return {
            record.name: self._wanted(rules[record.name], record)
            for record in records
            if record.name in rules
        }

    def _rules(self) -> dict[str, config.EngineRule]:
        defaults = self._defaults()
        return defaults.engines if defaults else {}

    def _plan(
        self, records: roles.Records, demand: roles_demand.PoolDemand
    ) -> None:
        rules = self._rules()
        views = [
            role_policy.EngineView(
                record.name,
                role_policy.Role(record.role.value),
                record.models,
                demand.busy(record.name),
                not rules[record.name].adapts,
                record.leaving,
            )
            for record in records
            if record.name in rules
        ]
        demands = demand.demands(self.adaptable_records())
        now = self._clock.monotonic()
        for change in self._planner.plan(views, demands, now):
            role = endpoints.EngineRole(change.role.value)
            self._role_changes[change.engine] = role

    def _wanted(
        self, rule: config.EngineRule, record: endpoints.EndpointRecord
    ) -> roles.WantedState:
        role = rule.role
        if rule.adapts:
            role = self._role_changes.get(record.name, record.role)
            if role is record.role:
                self._role_changes.pop(record.name, None)
        return roles.WantedState(role, rule.models, rule.adapters)
