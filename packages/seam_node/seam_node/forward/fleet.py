"""What this instance believes of routes, endpoints and other instances."""

from collections.abc import Callable

import attrs

from seam_model import forwarding
from seam_node import logs
from seam_node.forward import catalog_watch
from seam_node.ports import catalog
from seam_policy import route_match


class Routes(catalog_watch.Follower):
    """The newest configuration that this process has seen."""

    def __init__(self, log: logs.Log):
        """Starts without a configuration."""
        self._log = log
        self._index: route_match.RouteIndex = route_match.RouteIndex(())
        self.table: forwarding.RouteTable | None = None
        self.on_change: Callable[[forwarding.RouteTable], None] | None = None
        """Called with each configuration that is put in force."""

    def put(self, entry: catalog.Entry) -> None:
        """Puts a configuration in force unless it is older."""
        table = entry.value
        if not isinstance(table, forwarding.RouteTable):
            self._log.event(
                "routes_unreadable", "warning", revision=entry.revision
            )
            return
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        self._index = route_match.RouteIndex(table.routes)
        if self.on_change is not None:
            self.on_change(table)
        self._log.event(
            "routes_in_force",
            version=table.version,
            revision=entry.revision,
            routes=len(table.routes),
        )

    def remove(self, name: str) -> None:
        """Keeps the configuration; a removed object allows nothing new."""
        self._log.event("routes_removed", "warning", name=name)

    def match(self, host: str, path: str) -> forwarding.Route | None:
        """Returns the route that a request takes."""
        return self._index.match(host, path)


class Endpoints(catalog_watch.Follower):
    """Endpoints that may get work, by service."""

    def __init__(self, log: logs.Log):
        """Starts empty."""
        self._log = log
        self._by_id: dict[str, forwarding.Endpoint] = {}
        self._usable: dict[str, tuple[forwarding.Endpoint, ...]] = {}
        self.on_gone: Callable[[forwarding.Endpoint], None] | None = None
        """Called with an incarnation that takes no more work."""
        self.on_stage: Callable[[forwarding.Endpoint], None] | None = None
        """Called with an engine that has changed its stage."""

    def put(self, entry: catalog.Entry) -> None:
        """Takes an announcement; one that can't be read names no endpoint."""
        found = entry.value
        old = self._by_id.pop(entry.name, None)
        if isinstance(found, forwarding.Endpoint):
            self._by_id[entry.name] = found
        else:
            found = None
            self._log.event(
                "endpoint_unreadable",
                "warning",
                endpoint=entry.name,
                revision=entry.revision,
            )
        if old != found:
            self._changed(entry.name, old, found)

    def remove(self, name: str) -> None:
        """Takes the removal of an announcement."""
        old = self._by_id.pop(name, None)
        if old is not None:
            self._changed(name, old, None)

    def usable(self, service: str) -> tuple[forwarding.Endpoint, ...]:
        """Returns the endpoints of a service that may get new work."""
        found = self._usable.get(service)
        if found is None:
            found = tuple(
                each
                for each in self._by_id.values()
                if each.service == service and not each.draining
            )
            self._usable[service] = found
        return found

    def still_usable(self, endpoint: forwarding.Endpoint) -> bool:
        """Tells whether an endpoint chosen before may still get work."""
        current = self._by_id.get(endpoint.id)
        if current is None or current.draining:
            return False
        return current.key == endpoint.key

    def _changed(
        self,
        name: str,
        old: forwarding.Endpoint | None,
        new: forwarding.Endpoint | None,
    ) -> None:
        self._usable.clear()
        self._log.event(
            "endpoint_changed",
            endpoint=name,
            state=_state(new),
            born_ms=new.started_ms if new else 0,
            stage=new.stage.value if new else "none",
        )
        staged = old is not None and new is not None and old.stage != new.stage
        if staged and self.on_stage is not None:
            self.on_stage(new)
        ended = old is not None and (new is None or new.key != old.key)
        if ended and self.on_gone is not None:
            self.on_gone(old)


def _state(endpoint: forwarding.Endpoint | None) -> str:
    if endpoint is None:
        return "gone"
    return "draining" if endpoint.draining else "ready"


@attrs.define
class Instances(catalog_watch.Follower):
    """Entries of instances in the store, this one's included."""

    entries: dict[str, forwarding.InstanceEntry] = attrs.field(factory=dict)

    def put(self, entry: catalog.Entry) -> None:
        """Takes an instance's entry."""
        if isinstance(entry.value, forwarding.InstanceEntry):
            self.entries[entry.name] = entry.value

    def remove(self, name: str) -> None:
        """Takes the removal of an entry."""
        self.entries.pop(name, None)
