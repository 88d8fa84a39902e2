"""Port to model engines."""

import abc

import expression

from seam_model import endpoint_errors
from seam_model import endpoints


class DecodeStream(abc.ABC):
    """A stream of tokens from one decode engine to one reader."""

    @abc.abstractmethod
    async def read(
        self,
    ) -> expression.Result[
        endpoints.TokenChunk | None, endpoint_errors.EndpointError
    ]:
        """Waits for the next events; returns None after the end of the stream.

        Errors: `EndpointLost` when the connection breaks or no event arrives
        within the silence timeout.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Detaches from the stream without cancelling it."""


class Engine(abc.ABC):
    """Client of one engine, which an endpoint record identifies."""

    @abc.abstractmethod
    async def prefill(
        self, order: endpoints.PrefillOrder, timeout_s: float
    ) -> expression.Result[
        endpoints.PrefillDone, endpoint_errors.EndpointError
    ]:
        """Computes a prompt's KV cache."""

    @abc.abstractmethod
    async def decode(
        self, order: endpoints.DecodeOrder, timeout_s: float
    ) -> expression.Result[DecodeStream, endpoint_errors.EndpointError]:
        """Imports a KV cache and starts a stream; returns after the import.

        Errors: `EndpointUnreachable`, `EndpointFull`, `KvExpired`,
        `TransferFailed`, `EndpointLost`.
        """

    @abc.abstractmethod
    async def resume(
        self, order: endpoints.ResumeOrder, timeout_s: float
    ) -> expression.Result[DecodeStream, endpoint_errors.EndpointError]:
        """Attaches to a stream after an event id; replaces any other reader.

        Errors: `StreamUnknown`, `EndpointUnreachable`, `EndpointLost`.
        """

    @abc.abstractmethod
    async def cancel(
        self, request_id: str, incarnation: int
    ) -> expression.Result[None, endpoint_errors.EndpointError]:
        """Frees a request's resources; idempotent.

        Applies to executions of the request up to `incarnation`.
        """

    @abc.abstractmethod
    async def load(
        self,
    ) -> expression.Result[endpoints.LoadReport, endpoint_errors.EndpointError]:
        """Returns the engine's load report."""

    @abc.abstractmethod
    async def cache_events(
        self, after: int
    ) -> expression.Result[
        tuple[endpoints.CacheEvent, ...], endpoint_errors.EndpointError
    ]:
        """Returns cache events after a sequence number; gaps are possible."""

    @abc.abstractmethod
    async def configure(
        self, order: endpoints.ModelOrder, timeout_s: float
    ) -> expression.Result[None, endpoint_errors.EndpointError]:
        """Sets role, models and adapters.

        Errors: `OrderFenced`.
        """


class EngineFactory(abc.ABC):
    """Creates engine clients and owns their connections."""

    @abc.abstractmethod
    def engine(self, record: endpoints.EndpointRecord) -> Engine:
        """Returns a client of the engine that a record describes."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes every connection."""
