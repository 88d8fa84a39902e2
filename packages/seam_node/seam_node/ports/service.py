"""Plain services beside the engines."""

import abc

import expression

from seam_model import endpoints
from seam_model import errors
from seam_model import requests


class Service(abc.ABC):
    """Calls to plain services."""

    @abc.abstractmethod
    async def call(
        self, record: endpoints.EndpointRecord, order: endpoints.ServiceOrder
    ) -> expression.Result[requests.ServiceReply, errors.EndpointError]:
        """Sends one call.

        Errors: `EndpointUnreachable` only if no byte was sent;
        `EndpointLost` when the call may have run.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes every connection."""
