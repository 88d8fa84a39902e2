"""Matches a request to a route by host and longest path prefix."""

from collections.abc import Iterable
from typing import Generic
from typing import Protocol
from typing import TypeVar


class Prefixed(Protocol):
    """An object that is selected by host and path prefix."""

    host: str
    path_prefix: str


R = TypeVar("R", bound=Prefixed)


class RouteIndex(Generic[R]):
    """Index of routes; a look-up takes one step per path segment."""

    def __init__(self, routes: Iterable[R]):
        """Indexes routes, whose prefixes must begin and end with a slash."""
        self._hosts: dict[str, dict[str, R]] = {}
        for route in routes:
            by_prefix = self._hosts.setdefault(route.host.lower(), {})
            by_prefix[route.path_prefix] = route

    def match(self, host: str, path: str) -> R | None:
        """Returns the route with the longest prefix of the path, if any."""
        by_prefix = self._hosts.get(host.lower())
        if by_prefix is None:
            return None
        end = len(path)
        while end > 0:
            slash = path.rfind("/", 0, end)
            if slash < 0:
                return None
            route = by_prefix.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None
