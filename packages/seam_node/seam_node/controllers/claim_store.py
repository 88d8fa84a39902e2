"""Writes claims to the platform, batched by object.

Messages that arrive while a write of their object is in flight are sent
together in the next one. A conditional update that succeeds proves that the
cached copy was current, so a batch costs one platform call as long as no other
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
from seam_model import platform_errors
from seam_node.ports import platform as platform_port

ATTEMPTS = 8
RETRY_DELAY_S = 0.05
OUTCOME_LINGER_S = 0.25
"""Time for which an outcome waits for a claim to share its write."""
MAX_CACHED_OBJECTS = 512


@attrs.frozen
class _CachedObject:
    version: int
    entries: claims.Entries


@attrs.frozen
class _PendingMessage:
    message: Any
    fut: asyncio.Future


@attrs.define
class _Writer:
    pending: list[_PendingMessage] = attrs.field(factory=list)
    running: bool = False
    flush_now: asyncio.Event = attrs.field(factory=asyncio.Event)


class ClaimStore:
    """Applies claim messages to the platform's objects.

    `platform` stores the objects; `spawn` runs a coroutine in the background;
    `object_key` returns the name of the object for a packed key.
    """

    def __init__(
        self,
        platform: platform_port.Platform,
        spawn: Callable[[Any], Any],
        outcome_linger_s: float = OUTCOME_LINGER_S,
        object_key: Callable[[bytes], str] = claims.object_key,
    ):
        """Starts with an empty cache."""
        self._platform = platform
        self._spawn = spawn
        self._linger_s = outcome_linger_s
        self._object_key = object_key
        self._writers: dict[str, _Writer] = {}
        self._cache: dict[str, _CachedObject] = {}

    async def submit(self, message: Any) -> Any:
        """Applies a claim, an outcome or a release; returns the answer."""
        fut = asyncio.get_running_loop().create_future()
        object_key = self._object_key(message.key)
        writer = self._writers.setdefault(object_key, _Writer())
        writer.pending.append(_PendingMessage(message, fut))
        if not isinstance(message, peers.ClaimOutcome):
            writer.flush_now.set()
        if not writer.running:
            writer.running = True
            self._spawn(self._run(object_key, writer))
        return await fut

    def version(self, object_key: str) -> int | None:
        """Returns the cached version of an object, if there is one."""
        cached = self._cache.get(object_key)
        return cached.version if cached else None

    def invalidate(self, object_key: str) -> None:
        """Drops the cached copy of an object."""
        self._cache.pop(object_key, None)

    async def _run(self, object_key: str, writer: _Writer) -> None:
        batch: list[_PendingMessage] = []
        try:
            while writer.pending:
                await self._linger(writer)
                batch, writer.pending = writer.pending, []
                writer.flush_now.clear()
                answers = await self._write(
                    object_key, [op.message for op in batch]
                )
                _set_answers(batch, answers)
        finally:
            writer.running = False
            self._writers.pop(object_key, None)
            for op in batch + writer.pending:
                op.fut.cancel()

    async def _linger(self, writer: _Writer) -> None:
        try:
            async with asyncio.timeout(self._linger_s):
                await writer.flush_now.wait()
        except TimeoutError:
            return

    async def _write(self, object_key: str, batch: list[Any]) -> list[Any]:
        ambiguous = False
        bypass_cache = False
        for _ in range(ATTEMPTS):
            cached = self._cache.get(object_key)
            if cached is None and (bypass_cache or ambiguous):
                read = await self._read(object_key)
                if read.is_error() and not ambiguous:
                    break
                if read.is_error():
                    await asyncio.sleep(RETRY_DELAY_S)
                    continue
                cached = self._update_cache(object_key, read.ok)
            cached = cached or _CachedObject(platform_port.ABSENT, {})
            entries, answers = _apply_all(cached.entries, batch)
            if entries == cached.entries:
                if bypass_cache:
                    return answers
                bypass_cache = True
                self.invalidate(object_key)
                continue
            put = await self._platform.put(
                object_key, claims.encode(entries), cached.version
            )
            if put.is_ok():
                self._update_cache(object_key, _CachedObject(put.ok, entries))
                return answers
            self.invalidate(object_key)
            bypass_cache = True
            if isinstance(put.error, platform_errors.PlatformAmbiguous):
                ambiguous = True
            elif not isinstance(put.error, platform_errors.VersionConflict):
                if not ambiguous:
                    break
                await asyncio.sleep(RETRY_DELAY_S)
        return [_failure_answer(message, ambiguous) for message in batch]

    async def _read(
        self, object_key: str
    ) -> expression.Result[_CachedObject, errors.SeamError]:
        got = await self._platform.get(object_key)
        if got.is_error():
            if isinstance(got.error, platform_errors.ObjectMissing):
                return expression.Ok(_CachedObject(platform_port.ABSENT, {}))
            return expression.Error(got.error)
        version = got.ok.version
        return claims.decode(got.ok.data).map(
            lambda e: _CachedObject(version, e)
        )

    def _update_cache(
        self, object_key: str, cached: _CachedObject
    ) -> _CachedObject:
        self._cache.pop(object_key, None)
        self._cache[object_key] = cached
        if len(self._cache) > MAX_CACHED_OBJECTS:
            self._cache.pop(next(iter(self._cache)))
        return cached


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


def _failure_answer(message: Any, ambiguous: bool) -> Any:
    if not isinstance(message, peers.ClaimRequest):
        return peers.ClaimStored(False)
    state = claims.ClaimState.UNAVAILABLE
    if ambiguous:
        state = claims.ClaimState.UNSETTLED
    return peers.ClaimAnswer(state.value)


def _set_answers(batch: list[_PendingMessage], answers: list[Any]) -> None:
    for op, answer in zip(batch, answers, strict=True):
        if not op.fut.done():
            op.fut.set_result(answer)
