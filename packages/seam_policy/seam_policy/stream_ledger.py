"""Records the streams of all instances at each decode engine.

An instance that grants places must know every stream, its own grants of the
last milliseconds included. This handles bursts in which many instances would
otherwise choose the same engine from reports that are already out of date.
"""

from collections.abc import Callable
from collections.abc import Mapping

import attrs

from seam_policy import kv_forecast

GRANT_SETTLE_S = 1.5
"""Time after a grant in which its holder's report may still lack the stream."""
HOLDER_LAPSE_S = 3.0
"""Silence of a holder after which its streams no longer count."""
PROFILE_REUSE_S = 0.1
"""Age up to which an engine's forecast is used again."""


@attrs.frozen
class StreamId:
    """Identifies a stream of the fleet."""

    holder: str
    """Name of the instance that relays the stream."""
    number: int
    """Number of the stream among those of its holder's incarnation."""


@attrs.frozen
class Stream:
    """One stream at a decode engine."""

    engine: str
    """Key of the engine's incarnation."""
    size: kv_forecast.StreamSize
    starts_at: float
    """Time at which the engine starts to generate."""


@attrs.frozen
class _Record:
    stream: Stream
    granted_at: float


@attrs.frozen
class _CachedProfile:
    profile: kv_forecast.DemandProfile
    computed_at: float


class StreamLedger:
    """The streams of all holders, and the demand they add up to."""

    def __init__(self, tokens_s: Callable[[], float]):
        """Takes a function that returns the output rate of one stream."""
        self._tokens_s = tokens_s
        self._by_engine: dict[str, dict[StreamId, _Record]] = {}
        self._by_holder: dict[str, dict[int, _Record]] = {}
        self._reported_at: dict[str, float] = {}
        self._profiles: dict[str, _CachedProfile] = {}

    def __len__(self) -> int:
        """Returns the number of streams."""
        return sum(map(len, self._by_holder.values()))

    def add(self, stream_id: StreamId, stream: Stream, now: float) -> None:
        """Adds a stream that has been granted a place."""
        self.remove(stream_id)
        self._put(stream_id, _Record(stream, now))
        self._reported_at.setdefault(stream_id.holder, now)

    def remove(self, stream_id: StreamId) -> None:
        """Removes a stream that has ended; does nothing if it is unknown."""
        records = self._by_holder.get(stream_id.holder, {})
        record = records.pop(stream_id.number, None)
        if record is None:
            return
        engine = record.stream.engine
        del self._by_engine[engine][stream_id]
        self._profiles.pop(engine, None)

    def replace(
        self, holder: str, streams: Mapping[int, Stream], now: float
    ) -> None:
        """Replaces the streams of a holder by those that it reports.

        Grants that its report may not contain yet are kept.
        """
        self._reported_at[holder] = now
        known = self._by_holder.setdefault(holder, {})
        for number, record in tuple(known.items()):
            is_settled = now - record.granted_at > GRANT_SETTLE_S
            if number not in streams and is_settled:
                self.remove(StreamId(holder, number))
        for number, stream in streams.items():
            before = known.get(number)
            if before is None or before.stream != stream:
                granted_at = now if before is None else before.granted_at
                self.remove(StreamId(holder, number))
                self._put(StreamId(holder, number), _Record(stream, granted_at))

    def drop_holder(self, holder: str) -> None:
        """Removes all streams of a holder that has ended."""
        for number in tuple(self._by_holder.get(holder, ())):
            self.remove(StreamId(holder, number))
        self._by_holder.pop(holder, None)
        self._reported_at.pop(holder, None)

    def drop_silent(self, now: float, own: str) -> list[str]:
        """Removes the streams of silent holders; returns who had some.

        Args:
            now: current time.
            own: this instance, which does not report to itself.
        """
        silent = [
            holder
            for holder, reported_at in self._reported_at.items()
            if holder != own and now - reported_at > HOLDER_LAPSE_S
        ]
        had_streams = [each for each in silent if self._by_holder.get(each)]
        for holder in silent:
            self.drop_holder(holder)
        return had_streams

    def is_reporting(self, holder: str, now: float) -> bool:
        """Returns whether a holder was heard lately."""
        reported_at = self._reported_at.get(holder)
        return reported_at is not None and now - reported_at <= HOLDER_LAPSE_S

    def profile(self, engine: str, now: float) -> kv_forecast.DemandProfile:
        """Returns the demand of all streams at an engine from now on."""
        records = self._by_engine.get(engine)
        if not records:
            return kv_forecast.DemandProfile()
        cached = self._profiles.get(engine)
        if cached is None or now - cached.computed_at > PROFILE_REUSE_S:
            cached = _CachedProfile(self._compute(records, now), now)
            self._profiles[engine] = cached
        return cached.profile

    def _compute(
        self, records: Mapping[StreamId, _Record], now: float
    ) -> kv_forecast.DemandProfile:
        tokens_s = self._tokens_s()
        total = kv_forecast.DemandProfile()
        for record in records.values():
            stream = record.stream
            generated = max(0.0, now - stream.starts_at) * tokens_s
            total = total + kv_forecast.DemandProfile(
                1, kv_forecast.stream_demand(stream.size, generated, tokens_s)
            )
        return total

    def _put(self, stream_id: StreamId, record: _Record) -> None:
        engine = record.stream.engine
        self._by_holder.setdefault(stream_id.holder, {})[stream_id.number] = (
            record
        )
        self._by_engine.setdefault(engine, {})[stream_id] = record
        self._profiles.pop(engine, None)
