"""A pool of keep-alive connections to endpoints."""

import asyncio
import collections
from collections.abc import Collection

import expression
from tornado import iostream

from seam_model import endpoint_errors
from seam_model import forwarding
from seam_node.forward import sockets

CONNECT_TIMEOUT_S = 0.4
MAX_IDLE_S = 4.0
"""Longest time that an idle connection is kept."""
KEEP_ALIVE_SHARE = 0.6
"""Share of the endpoint's keep-alive timeout that a connection may be idle."""
SWEEP_INTERVAL_S = 1.0
"""Interval at which expired connections are closed."""
MAX_IDLE_PER_ADDRESS = 8
"""Maximum number of idle connections to one address."""

Opened = expression.Result[
    sockets.EndpointStream, endpoint_errors.EndpointError
]


class Connections:
    """Opens connections and keeps idle ones for reuse."""

    def __init__(self) -> None:
        """Creates an empty pool."""
        self._idle: dict[
            forwarding.Address, collections.deque[sockets.EndpointStream]
        ] = {}
        self.opened_count = 0
        """Connections opened since the start."""

    async def acquire(
        self,
        address: forwarding.Address,
        excluded: Collection[int] = (),
    ) -> Opened:
        """Returns an idle connection or opens a new one.

        Args:
            address: where to connect.
            excluded: numbers of connections that must not be used.
        """
        reusable = self._take_idle(address, excluded)
        if reusable is not None:
            return expression.Ok(reusable)
        return await self._open(address)

    async def is_refused(self, address: forwarding.Address) -> bool:
        """Returns whether nothing listens at an address any more.

        A new connection that is not answered in time proves nothing.
        """
        opened = await self._open(address)
        if opened.is_error():
            return isinstance(opened.error, endpoint_errors.EndpointGone)
        opened.ok.close()
        return False

    def release(
        self,
        address: forwarding.Address,
        stream: sockets.EndpointStream,
        keep_alive_s: float | None,
    ) -> None:
        """Returns a connection to the pool after a complete exchange."""
        idle_s = MAX_IDLE_S
        if keep_alive_s is not None:
            idle_s = min(idle_s, keep_alive_s * KEEP_ALIVE_SHARE)
        idle = self._idle.setdefault(address, collections.deque())
        if idle_s <= 0 or len(idle) >= MAX_IDLE_PER_ADDRESS:
            stream.close()
            return
        stream.idle_until = _loop_time() + idle_s
        idle.append(stream)

    def drop(self, address: forwarding.Address) -> None:
        """Closes the idle connections to an address."""
        for stream in self._idle.pop(address, ()):
            stream.close()

    async def keep_closing_expired(self) -> None:
        """Closes expired connections until it is cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.close_expired()

    def close_expired(self) -> None:
        """Closes the connections whose idle time has run out."""
        now = _loop_time()
        for address in list(self._idle):
            idle = self._idle[address]
            while idle and idle[0].idle_until <= now:
                idle.popleft().close()
            if not idle:
                del self._idle[address]

    def close(self) -> None:
        """Closes all idle connections."""
        for address in list(self._idle):
            self.drop(address)

    def _take_idle(
        self, address: forwarding.Address, excluded: Collection[int]
    ) -> sockets.EndpointStream | None:
        idle = self._idle.get(address, ())
        now = _loop_time()
        for stream in tuple(reversed(idle)):
            if stream.number in excluded:
                continue
            idle.remove(stream)
            if stream.idle_until > now and stream.is_clean():
                return stream
            stream.close()
        return None

    async def _open(self, address: forwarding.Address) -> Opened:
        stream = sockets.open_stream()
        self.opened_count += 1
        stream.number = self.opened_count
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.connect((address.host, address.port))
        except (iostream.StreamClosedError, OSError, TimeoutError):
            is_gone = isinstance(stream.error, ConnectionRefusedError)
            stream.close()
            error = (
                endpoint_errors.EndpointGone
                if is_gone
                else endpoint_errors.EndpointUnreachable
            )
            return expression.Error(error(str(address)))
        except asyncio.CancelledError:
            stream.close()
            raise
        return expression.Ok(stream)


def _loop_time() -> float:
    return asyncio.get_running_loop().time()
