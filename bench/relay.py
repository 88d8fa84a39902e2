"""A TCP relay that can go silent on open connections, for tests."""

import asyncio

READ_BYTES = 65536


class Relay:
    """Forwards connections to one port of loopback.

    After `silence`, connections that are open stay open but carry nothing;
    new ones work.
    """

    def __init__(self, target_port: int):
        """Takes the port that connections are forwarded to."""
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()
        self.port = 0
        self.opened = 0
        """Connections accepted so far."""

    @property
    def url(self) -> str:
        """Returns the base URL of the relay."""
        return f"http://127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Starts listening on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Closes the port and every connection."""
        self._server.close()
        for writer in tuple(self._open):
            writer.close()

    def silence(self) -> int:
        """Silences the connections open now; returns how many sides."""
        self._silent |= self._open
        return len(self._open)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.opened += 1
        try:
            there, back = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
        except OSError:
            writer.close()
            return
        self._open |= {writer, back}
        await asyncio.gather(
            self._pump(reader, back), self._pump(there, writer)
        )

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if writer not in self._silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if writer not in self._silent:
            self._open.discard(writer)
            writer.close()
