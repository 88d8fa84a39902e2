"""Writes claims to the platform, batched for each object.

Messages that wait while a write of their object is in flight go out together
with the next one. A conditional update that succeeds proves that the cached
copy was current, so a batch costs one platform call as long as no other
instance writes the object.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
import expression

from seam_model import claims
from seam_model import errors
from seam_model import peers
from seam_node.ports import platform as platform_port

ATTEMPTS = 8
RETRY_S = 0.05
OUTCOME_LINGER_S = 0.25
"""How long an outcome waits for a claim to share its write."""
VIEWS_KEPT = 512


@attrs.frozen
class _View:
    version: int
    entries: claims.Entries


@attrs.frozen
class _Op:
    message: Any
    fut: asyncio.Future


@attrs.define
class _Writer:
    pending: list[_Op] = attrs.field(factory=list)
    running: bool = False
    urgent: asyncio.Event = attrs.field(factory=asyncio.Event)


class ClaimStore:
    """Applies claim messages to the platform's objects.

    `platform` holds the objects; `spawn` runs a coroutine in the background;
    `object_key` names the object of a packed key.
    """

    def __init__(
        self,
        platform: platform_port.Platform,
        spawn: Callable[[Any], Any],
        outcome_linger_s: float = OUTCOME_LINGER_S,
        object_key: Callable[[bytes], str] = claims.object_key,
    ):
        """Starts with nothing cached."""
        self._platform = platform
        self._spawn = spawn
        self._linger_s = outcome_linger_s
        self._object_key = object_key
        self._writers: dict[str, _Writer] = {}
        self._views: dict[str, _View] = {}

    async def submit(self, message: Any) -> Any:
        """Applies a claim, an outcome or a release; returns the answer."""
        fut = asyncio.get_running_loop().create_future()
        object_key = self._object_key(message.key)
        writer = self._writers.setdefault(object_key, _Writer())
        writer.pending.append(_Op(message, fut))
        if not isinstance(message, peers.ClaimOutcome):
            writer.urgent.set()
        if not writer.running:
            writer.running = True
            self._spawn(self._run(object_key, writer))
        return await fut

    def version(self, object_key: str) -> int | None:
        """Returns the cached version of an object, if there is one."""
        view = self._views.get(object_key)
        return view.version if view else None

    def forget(self, object_key: str) -> None:
        """Drops the cached copy of an object."""
        self._views.pop(object_key, None)

    async def _run(self, object_key: str, writer: _Writer) -> None:
        batch: list[_Op] = []
        try:
            while writer.pending:
                await self._linger(writer)
                batch, writer.pending = writer.pending, []
                writer.urgent.clear()
                answers = await self._write(
                    object_key, [op.message for op in batch]
                )
                _settle(batch, answers)
        finally:
            writer.running = False
            self._writers.pop(object_key, None)
            for op in batch + writer.pending:
                op.fut.cancel()

    async def _linger(self, writer: _Writer) -> None:
        try:
            async with asyncio.timeout(self._linger_s):
                await writer.urgent.wait()
        except TimeoutError:
            return

    async def _write(self, object_key: str, batch: list[Any]) -> list[Any]:
        doubt = False
        fresh = False
        for _ in range(ATTEMPTS):
            view = self._views.get(object_key)
            if view is None and (fresh or doubt):
                read = await self._read(object_key)
                if read.is_error() and not doubt:
                    break
                if read.is_error():
                    await asyncio.sleep(RETRY_S)
                    continue
                view = self._keep(object_key, read.ok)
            view = view or _View(platform_port.ABSENT, {})
            entries, answers = _apply_all(view.entries, batch)
            if entries == view.entries:
                if fresh:
                    return answers
                fresh = True
                self.forget(object_key)
                continue
            put = await self._platform.put(
                object_key, claims.encode(entries), view.version
            )
            if put.is_ok():
                self._keep(object_key, _View(put.ok, entries))
                return answers
            self.forget(object_key)
            fresh = True
            if isinstance(put.error, errors.PlatformAmbiguous):
                doubt = True
            elif not isinstance(put.error, errors.VersionConflict):
                if not doubt:
                    break
                await asyncio.sleep(RETRY_S)
        return [_failed(message, doubt) for message in batch]

    async def _read(
        self, object_key: str
    ) -> expression.Result[_View, errors.SeamError]:
        got = await self._platform.get(object_key)
        if got.is_error():
            if isinstance(got.error, errors.ObjectMissing):
                return expression.Ok(_View(platform_port.ABSENT, {}))
            return expression.Error(got.error)
        version = got.ok.version
        return claims.decode(got.ok.data).map(lambda e: _View(version, e))

    def _keep(self, object_key: str, view: _View) -> _View:
        self._views.pop(object_key, None)
        self._views[object_key] = view
        if len(self._views) > VIEWS_KEPT:
            self._views.pop(next(iter(self._views)))
        return view


def _apply_all(
    before: claims.Entries, batch: list[Any]
) -> tuple[claims.Entries, list[Any]]:
    entries = dict(before)
    size = claims.size_bound(entries)
    answers = []
    for message in batch:
        step = claims.apply(entries, message, size)
        if step.entry is not None:
            old = entries.get(message.key)
            size -= claims.size_bound({b"": old}) if old else 0
            size += claims.size_bound({b"": step.entry})
            entries[message.key] = step.entry
        answers.append(step.answer)
    return entries, answers


def _failed(message: Any, doubt: bool) -> Any:
    if not isinstance(message, peers.ClaimRequest):
        return peers.ClaimStored(False)
    state = claims.ClaimState.UNAVAILABLE
    if doubt:
        state = claims.ClaimState.UNSETTLED
    return peers.ClaimAnswer(state.value)


def _settle(batch: list[_Op], answers: list[Any]) -> None:
    for op, answer in zip(batch, answers, strict=True):
        if not op.fut.done():
            op.fut.set_result(answer)
