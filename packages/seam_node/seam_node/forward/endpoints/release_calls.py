"""Releases holds and KV caches at endpoints in the background."""

import asyncio

from seam_model import endpoint_errors
from seam_model import forwarding
from seam_node import logs
from seam_node.forward.endpoints import exchange

RELEASE_TIMEOUT_S = 0.5


class ReleaseCalls:
    """Sends release calls without making a request wait for them."""

    def __init__(self, client: exchange.EndpointClient, log: logs.Log):
        """Takes the client and the log."""
        self._client = client
        self._log = log
        self._tasks: set[asyncio.Task] = set()

    def send(
        self, endpoint: forwarding.Endpoint, call: forwarding.EndpointCall
    ) -> None:
        """Sends a call; if it is lost, the resource expires by itself."""
        task = asyncio.ensure_future(self._send(endpoint, call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Waits for the calls in flight."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send(
        self, endpoint: forwarding.Endpoint, call: forwarding.EndpointCall
    ) -> None:
        response = await exchange.call_endpoint(
            self._client, endpoint.address, call, RELEASE_TIMEOUT_S
        )
        if response.is_error() and not isinstance(
            response.error, endpoint_errors.EndpointUnavailable
        ):
            self._log.error(
                "release_failed",
                response.error,
                endpoint=endpoint.id,
                call=call.target,
            )
