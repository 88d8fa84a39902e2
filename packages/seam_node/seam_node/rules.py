"""Looks rules up in the configuration in force."""

from collections.abc import Callable

from seam_model import config
from seam_model import endpoints
from seam_node.controllers import mirror


class Rules:
    """Answers what the current configuration says, as seen in a data centre."""

    def __init__(
        self,
        current: Callable[[], config.FleetConfig | None],
        data_centre: str,
    ):
        """Takes the configuration in force and the instance's data centre."""
        self._current = current
        self._data_centre = data_centre

    def defaults(self) -> config.Defaults | None:
        """Returns the fleet's defaults; None without a configuration."""
        cfg = self._current()
        return cfg.defaults if cfg else None

    def engine_defaults(
        self, record: endpoints.EndpointRecord
    ) -> config.Defaults | None:
        """Returns the settings of an engine, exceptions included."""
        cfg = self._current()
        if cfg is None:
            return None
        scope = config.Scope(engine=record.name, data_centre=record.data_centre)
        return config.resolve(cfg, scope)

    def order_window_s(self) -> float:
        """Returns the time for which the key of an order is kept."""
        defaults = self.defaults()
        return defaults.orders.window_s if defaults else 0.0

    def model_rule(self, model: str) -> config.ModelRule | None:
        """Returns the rule of a model, or None."""
        defaults = self.defaults()
        return defaults.models.get(model) if defaults else None

    def scope(self, workspace: str) -> config.Scope:
        """Returns the configuration scope of a workspace on this instance."""
        return config.Scope(workspace=workspace, data_centre=self._data_centre)

    def resume_window_s(self) -> float:
        """Returns the time for which a stream may be resumed."""
        defaults = self.defaults()
        return defaults.resume_window_s if defaults else mirror.RESUME_WINDOW_S
