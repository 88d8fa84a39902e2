"""TCP relay for tests that can stop data on open connections."""

import asyncio

READ_BYTES = 65536


class Relay:
    """Forwards TCP connections to a loopback port.

    After `silence`, connections that were open stay open but carry no data;
    new connections work.
    """

    def __init__(self, target_port: int):
        """Creates a relay to the given loopback port."""
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent_writers: set[asyncio.StreamWriter] = set()
        self.port = 0
        self.opened = 0
        """Number of connections accepted so far."""

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
        for writer in tuple(self._writers):
            writer.close()

    def silence(self) -> int:
        """Stops data on open connections; returns their number of sockets."""
        self._silent_writers |= self._writers
        return len(self._writers)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.opened += 1
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
        except OSError:
            writer.close()
            return
        self._writers |= {writer, target_writer}
        await asyncio.gather(
            self._copy(reader, target_writer), self._copy(target_reader, writer)
        )

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if writer not in self._silent_writers:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if writer not in self._silent_writers:
            self._writers.discard(writer)
            writer.close()
