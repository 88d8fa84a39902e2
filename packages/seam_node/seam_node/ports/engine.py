"""Model engines."""

import abc

import expression

from seam_model import endpoints
from seam_model import errors


class DecodeStream(abc.ABC):
    """A stream of tokens from one decode engine to one reader."""

    @abc.abstractmethod
    async def read(
        self,
    ) -> expression.Result[endpoints.TokenChunk | None, errors.EndpointError]:
        """Waits for the next events; None after the end of the stream.

        Errors: `EndpointLost` when the connection breaks or when nothing came
        for the silence limit.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Detaches from the stream without cancelling it."""


class Engine(abc.ABC):
    """Orders to one engine, named by its record."""

    @abc.abstractmethod
    async def prefill(
        self, order: endpoints.PrefillOrder, timeout_s: float
    ) -> expression.Result[endpoints.PrefillDone, errors.EndpointError]:
        """Computes a prompt's KV cache."""

    @abc.abstractmethod
    async def decode(
        self, order: endpoints.DecodeOrder, timeout_s: float
    ) -> expression.Result[DecodeStream, errors.EndpointError]:
        """Imports KV and starts a stream; returns once KV is imported.

        Errors: `EndpointUnreachable`, `EndpointFull`, `KvExpired`,
        `TransferFailed`, `EndpointLost`.
        """

    @abc.abstractmethod
    async def resume(
        self, order: endpoints.ResumeOrder, timeout_s: float
    ) -> expression.Result[DecodeStream, errors.EndpointError]:
        """Attaches to a stream after an event id, displacing any reader.

        Errors: `StreamUnknown`, `EndpointUnreachable`, `EndpointLost`.
        """

    @abc.abstractmethod
    async def cancel(
        self, request_id: str, incarnation: int
    ) -> expression.Result[None, errors.EndpointError]:
        """Frees what a run up to that generation holds; idempotent."""

    @abc.abstractmethod
    async def load(
        self,
    ) -> expression.Result[endpoints.LoadReport, errors.EndpointError]:
        """Returns the engine's load report."""

    @abc.abstractmethod
    async def cache_events(
        self, after: int
    ) -> expression.Result[
        tuple[endpoints.CacheEvent, ...], errors.EndpointError
    ]:
        """Returns cache events after a sequence number; gaps are possible."""

    @abc.abstractmethod
    async def configure(
        self, order: endpoints.ModelOrder, timeout_s: float
    ) -> expression.Result[None, errors.EndpointError]:
        """Sets role, models and adapters. Errors: `OrderFenced`."""


class EngineFactory(abc.ABC):
    """Makes and keeps engine connections."""

    @abc.abstractmethod
    def engine(self, record: endpoints.EndpointRecord) -> Engine:
        """Returns the engine of a record."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes every connection."""
