"""Base class of tasks that own state and talk by messages."""

import abc
import asyncio
from typing import Any

import attrs

_background: set[asyncio.Future] = set()


def run_in_background(coro: Any) -> asyncio.Future:
    """Runs a coroutine to its end, whoever started it ends before or not."""
    fut = asyncio.ensure_future(coro)
    _background.add(fut)
    fut.add_done_callback(_background.discard)
    return fut


@attrs.frozen
class _Ask:
    message: Any
    fut: asyncio.Future


class Task(abc.ABC):
    """Owns its state; handles one message at a time from a mailbox."""

    def __init__(self, name: str):
        """Names the task for logs."""
        self.name = name
        self._mailbox: asyncio.Queue[Any] = asyncio.Queue()
        self._runners: list[asyncio.Task] = []

    async def start(self) -> None:
        """Starts the mailbox loop."""
        self.spawn(self._run())

    async def close(self) -> None:
        """Stops the mailbox loop and every spawned runner."""
        runners, self._runners = self._runners, []
        for runner in runners:
            runner.cancel()
        await asyncio.gather(*runners, return_exceptions=True)

    def spawn(self, coro: Any) -> asyncio.Task:
        """Runs a coroutine until it ends or the task is closed."""
        runner = asyncio.ensure_future(coro)
        self._runners.append(runner)
        runner.add_done_callback(self._forget)
        return runner

    def tell(self, message: Any) -> None:
        """Puts a message into the mailbox."""
        self._mailbox.put_nowait(message)

    async def ask(self, message: Any) -> Any:
        """Puts a message into the mailbox and waits for its answer."""
        fut = asyncio.get_running_loop().create_future()
        self._mailbox.put_nowait(_Ask(message, fut))
        return await fut

    @abc.abstractmethod
    async def receive(self, message: Any) -> Any:
        """Handles one message and returns its answer."""

    def _forget(self, runner: asyncio.Task) -> None:
        if runner in self._runners:
            self._runners.remove(runner)

    async def _run(self) -> None:
        while True:
            message = await self._mailbox.get()
            fut = None
            if isinstance(message, _Ask):
                message, fut = message.message, message.fut
            try:
                answer = await self.receive(message)
            except Exception as exc:
                self._failed(message, fut, exc)
                continue
            if fut is not None and not fut.done():
                fut.set_result(answer)

    def _failed(
        self, message: Any, fut: asyncio.Future | None, exc: Exception
    ) -> None:
        """Reports a fault of ours; the task goes on with the next message."""
        asyncio.get_running_loop().call_exception_handler(
            {
                "message": f"{self.name} failed on {type(message).__name__}",
                "exception": exc,
            }
        )
        if fut is not None and not fut.done():
            fut.set_exception(exc)
