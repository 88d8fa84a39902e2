"""Sends and receives the datagrams between instances."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from seam_model import forwarding
from seam_node.forward.fleet import message_codec
from seam_node.forward.fleet import messages


class DatagramPort(asyncio.DatagramProtocol):
    """A UDP socket whose messages are dispatched by their type."""

    def __init__(self, address: forwarding.Address):
        """Takes the address to bind."""
        self._address = address
        self._transport: asyncio.DatagramTransport | None = None
        self._handlers: dict[type, Callable[[Any], None]] = {}

    def handle(self, kind: type, handler: Callable[[Any], None]) -> None:
        """Sets the handler of one type of message."""
        self._handlers[kind] = handler

    async def start(self) -> None:
        """Binds the socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._address.host, self._address.port)
        )

    async def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(
        self, message: messages.Message, entry: forwarding.InstanceEntry
    ) -> None:
        """Sends a message to one instance; it may be lost."""
        self.send_all(message, (entry.peers,))

    def send_all(
        self,
        message: messages.Message,
        addresses: Iterable[forwarding.Address],
    ) -> None:
        """Sends a message to several addresses; it may be lost."""
        if self._transport is None or self._transport.is_closing():
            return
        data = message_codec.encode(message)
        for address in addresses:
            self._transport.sendto(data, (address.host, address.port))

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Decodes a datagram and passes its message to the handler."""
        del addr
        message = message_codec.decode(data)
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message)

    def error_received(self, exc: Exception) -> None:
        """Ignores a failed send; a dead peer is detected by its silence."""
