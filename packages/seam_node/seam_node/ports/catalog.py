"""Port to the platform's store of routes, endpoints and instances."""

import abc
import enum

import attrs
import expression

from seam_model import forwarding
from seam_model import platform_errors
from seam_node.ports import objects
from seam_policy import store_position


class Kind(enum.Enum):
    """Kinds of objects in the store."""

    ROUTES = "routes"
    ENDPOINTS = "endpoints"
    INSTANCES = "instances"


Value = (
    forwarding.RouteTable
    | forwarding.Endpoint
    | forwarding.InstanceEntry
    | None
)
"""Decoded object; None for an object that could not be decoded."""


@attrs.frozen
class Entry:
    """One object of the store and its revision."""

    name: str
    revision: int
    value: Value


@attrs.frozen
class Listing:
    """All objects of a kind and the position to watch from."""

    entries: tuple[Entry, ...]
    position: store_position.Position


@attrs.frozen
class Change:
    """An object that was written or removed."""

    entry: Entry
    removed: bool


@attrs.frozen
class Changes:
    """Changes up to a position of the store."""

    changes: tuple[Change, ...]
    position: store_position.Position


class Catalog(objects.ObjectStore):
    """Reads and watches the store and registers this instance in it.

    Every call may fail with `PlatformUnavailable` or `PlatformAmbiguous`.
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
    ) -> expression.Result[Listing, platform_errors.PlatformError]:
        """Returns all objects of a kind.

        With `allow_stale` the result may be seconds old, but the read is
        cheaper for the store.
        """

    @abc.abstractmethod
    async def watch(
        self, kind: Kind, revision: int, wait_s: float
    ) -> expression.Result[Changes, platform_errors.PlatformError]:
        """Waits for changes after a revision; returns none on timeout.

        Errors: `HistoryGone` if the store has compacted these changes.
        """

    @abc.abstractmethod
    async def announce(
        self, entry: forwarding.InstanceEntry
    ) -> expression.Result[None, platform_errors.PlatformError]:
        """Creates or overwrites this instance's entry."""

    @abc.abstractmethod
    async def withdraw(
        self, name: str
    ) -> expression.Result[None, platform_errors.PlatformError]:
        """Deletes an instance's entry; idempotent."""
