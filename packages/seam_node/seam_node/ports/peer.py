"""Port to the message links between entry instances."""

import abc
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import expression

from seam_model import endpoints
from seam_model import errors

Handler = Callable[[str, Any], Awaitable[Any | None]]
"""Takes the sender's name and a message; returns the answer or None."""


class PeerNetwork(abc.ABC):
    """Authenticated message links to other instances."""

    @abc.abstractmethod
    def register_handler(self, message_type: type, handler: Handler) -> None:
        """Registers the only handler of a message type; before `start`."""

    @abc.abstractmethod
    async def start(self) -> None:
        """Starts listening."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes every link."""

    @abc.abstractmethod
    def set_peers(self, records: Iterable[endpoints.InstanceRecord]) -> None:
        """Sets the instances that links may be opened to."""

    @abc.abstractmethod
    async def request(
        self, peer: str, message: Any, timeout_s: float
    ) -> expression.Result[Any, errors.PeerError]:
        """Sends a message and waits for its answer.

        A message to the instance's own name is handled locally.
        """

    @abc.abstractmethod
    def notify(self, peer: str, message: Any) -> None:
        """Sends a message without an answer; it may be lost."""
