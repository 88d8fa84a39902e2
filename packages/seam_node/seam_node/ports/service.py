"""Port to plain services, which are not model engines."""

import abc

import expression

from seam_model import endpoint_errors
from seam_model import endpoints
from seam_model import requests


class Service(abc.ABC):
    """Client of plain services."""

    @abc.abstractmethod
    async def call(
        self, record: endpoints.EndpointRecord, order: endpoints.ServiceOrder
    ) -> expression.Result[
        requests.ServiceReply, endpoint_errors.EndpointError
    ]:
        """Sends one call and waits for its reply.

        Errors: `EndpointUnreachable` only if no byte was sent; `EndpointLost`
        if the call may have been executed.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes every connection."""
