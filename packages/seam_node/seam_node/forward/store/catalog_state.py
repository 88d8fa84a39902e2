"""Local copies of the store's routes, endpoints and instance entries."""

from collections.abc import Callable

import attrs

from seam_model import forwarding
from seam_model import workspace_config
from seam_node import logs
from seam_node.forward.store import catalog_watch
from seam_node.ports import catalog
from seam_policy import announcement_memory
from seam_policy import endpoint_signs
from seam_policy import route_match


class Routes(catalog_watch.ChangeListener):
    """The newest configuration that this process has received."""

    def __init__(self, log: logs.Log):
        """Starts without a configuration."""
        self._log = log
        self._index: route_match.RouteIndex = route_match.RouteIndex(())
        self._keys = workspace_config.KeyIndex(())
        self.table: forwarding.RouteTable | None = None
        self.newest_unreadable = False
        """Whether the store has a configuration that could not be decoded."""
        self._name = ""
        """Name of the object that holds the configuration in force."""
        self._unreadable_revision = 0
        """Newest revision of that object that could not be decoded; 0 if a
        readable one is newer."""
        self.on_change: Callable[[forwarding.RouteTable], None] | None = None
        """Called with each configuration that comes into force."""

    def put(self, entry: catalog.Entry) -> None:
        """Applies a configuration unless its version is not newer."""
        table = entry.value
        if not isinstance(table, forwarding.RouteTable):
            if not self.newest_unreadable:
                self._log.event(
                    "routes_unreadable", "warning", revision=entry.revision
                )
            self.newest_unreadable = True
            if entry.name == self._name:
                self._unreadable_revision = entry.revision
            return
        self.newest_unreadable = False
        is_newer = self.table is None or table.version > self.table.version
        replaces_unreadable = entry.revision > self._unreadable_revision
        if replaces_unreadable and (is_newer or entry.name == self._name):
            self._unreadable_revision = 0
        if not is_newer:
            return
        self._name = entry.name
        self.table = table
        self._index = route_match.RouteIndex(table.routes)
        self._keys = workspace_config.KeyIndex(table.workspaces or ())
        if self.on_change is not None:
            self.on_change(table)
        self._log.event(
            "routes_in_force",
            version=table.version,
            revision=entry.revision,
            routes=len(table.routes),
        )

    def is_outdated(self, entry: catalog.Entry) -> bool:
        """Returns whether a later version is in force."""
        table = entry.value
        return (
            isinstance(table, forwarding.RouteTable)
            and self.table is not None
            and table.version < self.table.version
        )

    def remove(self, name: str) -> None:
        """Keeps the configuration in force; a removal brings no newer one."""
        self._log.event("routes_removed", "warning", name=name)

    @property
    def is_superseded(self) -> bool:
        """Whether a newer configuration is known that could not be decoded."""
        return self._unreadable_revision > 0

    def forget_unreadable(self) -> None:
        """Drops the unreadable revision; a restored store reuses revisions."""
        self._unreadable_revision = 0

    def engine_spec(self, service: str) -> forwarding.EngineSpec | None:
        """Returns the engines' capacity of a service, None without engines."""
        spec = self.table.services.get(service) if self.table else None
        return spec.engine if spec else None

    def version(self) -> int:
        """Returns the version in force; 0 if there is none."""
        return self.table.version if self.table else 0

    def match(self, host: str, path: str) -> forwarding.Route | None:
        """Returns the route for a host and path, or None."""
        return self._index.match(host, path)

    def find_workspace(self, key: str) -> workspace_config.Workspace | None:
        """Returns the workspace that holds a key, or None."""
        return self._keys.find(key)


class Endpoints(catalog_watch.ChangeListener):
    """Announced endpoints, by service."""

    def __init__(
        self,
        log: logs.Log,
        now: Callable[[], float],
        signs: endpoint_signs.EndpointSigns | None = None,
    ):
        """Starts empty; `signs` are what endpoints say in their answers."""
        self._log = log
        self._now = now
        self._signs = signs or endpoint_signs.EndpointSigns()
        self._memory = announcement_memory.AnnouncementMemory()
        self._by_id: dict[str, forwarding.Endpoint] = {}
        self._unreadable: dict[str, int] = {}
        """Revisions of the announcements that could not be decoded."""
        self._usable: dict[str, tuple[forwarding.Endpoint, ...]] = {}
        self.on_ended: Callable[[forwarding.Endpoint], None] | None = None
        """Called with an incarnation that was removed or replaced."""
        self.on_stage: Callable[[forwarding.Endpoint], None] | None = None
        """Called with an engine that has changed its stage."""

    def is_outdated(self, entry: catalog.Entry) -> bool:
        """Returns whether a later announcement is known, or that it left."""
        endpoint = entry.value
        return isinstance(
            endpoint, forwarding.Endpoint
        ) and self._memory.is_outdated(entry.name, _age(endpoint))

    def put(self, entry: catalog.Entry) -> None:
        """Applies an announcement; an unreadable one removes the endpoint."""
        endpoint = entry.value
        old = self._by_id.pop(entry.name, None)
        if isinstance(endpoint, forwarding.Endpoint):
            self._by_id[entry.name] = endpoint
            self._memory.note(entry.name, _age(endpoint))
            self._unreadable.pop(entry.name, None)
        else:
            endpoint = None
            self._note_unreadable(entry)
        if old != endpoint:
            self._apply_change(entry.name, old, endpoint)

    def remove(self, name: str) -> None:
        """Removes an endpoint whose announcement was removed."""
        old = self._by_id.pop(name, None)
        self._unreadable.pop(name, None)
        self._memory.note_left(name, self._now())
        if old is not None:
            self._apply_change(name, old, None)

    def usable(self, service: str) -> tuple[forwarding.Endpoint, ...]:
        """Returns the endpoints of a service that do not leave."""
        usable = self._usable.get(service)
        if usable is None:
            usable = tuple(
                each
                for each in self._by_id.values()
                if each.service == service and not self._leaves(each)
            )
            self._usable[service] = usable
        return usable

    def by_key(self, service: str, key: str) -> forwarding.Endpoint | None:
        """Returns a usable endpoint of a service; None if there is none."""
        for each in self.usable(service):
            if each.key == key:
                return each
        return None

    def still_usable(self, key: str) -> bool:
        """Returns whether an incarnation is announced and does not leave."""
        endpoint = self._current(key)
        return endpoint is not None and not self._leaves(endpoint)

    def is_known(self, key: str) -> bool:
        """Returns whether an incarnation is announced, leaving or not."""
        return self._current(key) is not None

    def heard_leaving(self, key: str, source: str) -> bool:
        """Records that an endpoint said that it leaves.

        Args:
            key: key of its incarnation.
            source: the call whose answer said so.

        Returns whether that is new, and the endpoint is still announced.
        """
        if not self.is_known(key):
            return False
        if not self._signs.heard_leaving(key, source, self._now()):
            return False
        self._usable.clear()
        self._log.event("endpoint_leaving", endpoint=key, answer_to=source)
        return True

    def leaving_keys(self) -> set[str]:
        """Returns the announced endpoints that said that they leave."""
        if not self._signs.has_leaving:
            return set()
        return {
            each.key
            for each in self._by_id.values()
            if self._signs.leaving(each.key) is not None
        }

    def _current(self, key: str) -> forwarding.Endpoint | None:
        found = self._by_id.get(forwarding.endpoint_id(key))
        return found if found is not None and found.key == key else None

    def _leaves(self, endpoint: forwarding.Endpoint) -> bool:
        return (
            endpoint.draining or self._signs.leaving(endpoint.key) is not None
        )

    def _note_unreadable(self, entry: catalog.Entry) -> None:
        """Logs an unreadable announcement, once for each revision."""
        if self._unreadable.get(entry.name) == entry.revision:
            return
        self._unreadable[entry.name] = entry.revision
        self._log.event(
            "endpoint_unreadable",
            "warning",
            endpoint=entry.name,
            revision=entry.revision,
        )

    def _apply_change(
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
        changed_stage = (
            old is not None and new is not None and old.stage != new.stage
        )
        if changed_stage and self.on_stage is not None:
            self.on_stage(new)
        ended = old is not None and (new is None or new.key != old.key)
        if ended and not old.started_ms:
            # Its next incarnation could not be told from it.
            self._signs.forget(old.key)
        if ended and self.on_ended is not None:
            self.on_ended(old)


def _age(endpoint: forwarding.Endpoint) -> announcement_memory.Age:
    return announcement_memory.Age(endpoint.started_ms, endpoint.announcement)


def _state(endpoint: forwarding.Endpoint | None) -> str:
    if endpoint is None:
        return "gone"
    return "draining" if endpoint.draining else "ready"


@attrs.define
class Instances(catalog_watch.ChangeListener):
    """Entries of all instances in the store, including this one."""

    entries: dict[str, forwarding.InstanceEntry] = attrs.field(factory=dict)

    def put(self, entry: catalog.Entry) -> None:
        """Adds or replaces an entry; an unreadable one names no instance."""
        if isinstance(entry.value, forwarding.InstanceEntry):
            self.entries[entry.name] = entry.value
        else:
            self.entries.pop(entry.name, None)

    def remove(self, name: str) -> None:
        """Removes an instance's entry."""
        self.entries.pop(name, None)
