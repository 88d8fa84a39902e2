"""The platform's store of routes, endpoints and instances."""

import abc
import enum

import attrs
import expression

from seam_model import errors
from seam_model import forwarding
from seam_node.ports import objects


class Kind(enum.Enum):
    """What is kept in the store."""

    ROUTES = "routes"
    ENDPOINTS = "endpoints"
    INSTANCES = "instances"


Value = (
    forwarding.RouteTable
    | forwarding.Endpoint
    | forwarding.InstanceEntry
    | None
)
"""None stands for an entry that can't be read."""


@attrs.frozen
class Entry:
    """One object of the store."""

    name: str
    revision: int
    value: Value


@attrs.frozen
class Listing:
    """All objects of a kind at one revision of the store."""

    entries: tuple[Entry, ...]
    revision: int


@attrs.frozen
class Change:
    """An object that was written or removed."""

    entry: Entry
    removed: bool


@attrs.frozen
class Changes:
    """What changed up to a revision of the store."""

    changes: tuple[Change, ...]
    revision: int


class Catalog(objects.ObjectStore):
    """Reads and watches the store; announces this instance there.

    Errors of all calls: `PlatformUnavailable` and `PlatformAmbiguous`.
    """

    @abc.abstractmethod
    async def start(self) -> None:
        """Opens the client."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes connections."""

    @abc.abstractmethod
    async def list(
        self, kind: Kind, timeout_s: float, allow_stale: bool = False
    ) -> expression.Result[Listing, errors.PlatformError]:
        """Returns all objects; a stale read may be seconds old but is cheap."""

    @abc.abstractmethod
    async def watch(
        self, kind: Kind, revision: int, wait_s: float
    ) -> expression.Result[Changes, errors.PlatformError]:
        """Waits for changes after a revision; empty when time runs out.

        Errors: `HistoryGone` when the store no longer has these changes.
        """

    @abc.abstractmethod
    async def announce(
        self, entry: forwarding.InstanceEntry
    ) -> expression.Result[None, errors.PlatformError]:
        """Writes this instance's entry, whether or not there was one."""

    @abc.abstractmethod
    async def withdraw(
        self, name: str
    ) -> expression.Result[None, errors.PlatformError]:
        """Deletes an instance's entry; idempotent."""
