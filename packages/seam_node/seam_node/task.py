"""Provides an actor: a task that owns state and handles messages."""

import abc
import asyncio
from typing import Any

import attrs

_background_futures: set[asyncio.Future] = set()


def run_in_background(coro: Any) -> asyncio.Future:
    """Runs a coroutine to completion, independent of the caller's lifetime."""
    fut = asyncio.ensure_future(coro)
    _background_futures.add(fut)
    fut.add_done_callback(_background_futures.discard)
    return fut


@attrs.frozen
class _Request:
    message: Any
    fut: asyncio.Future


class Task(abc.ABC):
    """Actor that handles the messages of its mailbox one at a time."""

    def __init__(self, name: str):
        """Takes the name that is used in logs."""
        self.name = name
        self._mailbox: asyncio.Queue[Any] = asyncio.Queue()
        self._runners: list[asyncio.Task] = []

    async def start(self) -> None:
        """Starts the mailbox loop."""
        self.spawn(self._run())

    async def close(self) -> None:
        """Cancels the mailbox loop and all spawned coroutines."""
        runners, self._runners = self._runners, []
        for runner in runners:
            runner.cancel()
        await asyncio.gather(*runners, return_exceptions=True)

    def spawn(self, coro: Any) -> asyncio.Task:
        """Runs a coroutine; closing the task cancels it."""
        runner = asyncio.ensure_future(coro)
        self._runners.append(runner)
        runner.add_done_callback(self._discard_runner)
        return runner

    def tell(self, message: Any) -> None:
        """Queues a message without waiting for its result."""
        self._mailbox.put_nowait(message)

    async def ask(self, message: Any) -> Any:
        """Queues a message and returns the result of its handling."""
        fut = asyncio.get_running_loop().create_future()
        self._mailbox.put_nowait(_Request(message, fut))
        return await fut

    @abc.abstractmethod
    async def receive(self, message: Any) -> Any:
        """Handles one message and returns the result for `ask`."""

    def _discard_runner(self, runner: asyncio.Task) -> None:
        if runner in self._runners:
            self._runners.remove(runner)

    async def _run(self) -> None:
        while True:
            message = await self._mailbox.get()
            fut = None
            if isinstance(message, _Request):
                message, fut = message.message, message.fut
            try:
                answer = await self.receive(message)
            except Exception as exc:
                self._report_failure(message, fut, exc)
                continue
            if fut is not None and not fut.done():
                fut.set_result(answer)

    def _report_failure(
        self, message: Any, fut: asyncio.Future | None, exc: Exception
    ) -> None:
        """Reports an unexpected exception; the task keeps running."""
        asyncio.get_running_loop().call_exception_handler(
            {
                "message": f"{self.name} failed on {type(message).__name__}",
                "exception": exc,
            }
        )
        if fut is not None and not fut.done():
            fut.set_exception(exc)
