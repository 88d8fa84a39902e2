"""Holds the newest fleet configuration and applies operators' changes.

New versions are received from the platform's watch or from peers; either is
sufficient. A version below the one already held is never adopted.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import datetime
from typing import Any

import attrs
import expression

from seam_model import config
from seam_model import config_check
from seam_model import errors
from seam_model import operator_errors
from seam_model import peers
from seam_model import platform_errors
from seam_node import task
from seam_node.ports import clock as clock_port
from seam_node.ports import peer as peer_port
from seam_node.ports import platform as platform_port

RETRY_DELAY_S = 0.5
PEER_TIMEOUT_S = 2.0
APPLY_ATTEMPTS = 6
PROBES_PER_SILENCE_LIMIT = 8
"""Reads of the platform within the longest silence allowed."""

Listener = Callable[[config.FleetConfig], None]


@attrs.frozen
class _PeerVersion:
    peer: str
    version: int


@attrs.frozen
class _Base:
    cfg: config.FleetConfig
    object_version: int


@attrs.frozen
class _ChangeRequest:
    draft: config.Draft
    who: str
    why: str
    expected_version: int
    change_id: str


class ConfigController(task.Task):
    """Holds the configuration of one instance."""

    def __init__(
        self,
        platform: platform_port.Platform,
        network: peer_port.PeerNetwork,
        clock: clock_port.Clock,
        live_peers: Callable[[], Iterable[str]],
        watch_s: float,
        silent_s: float,
    ):
        """Registers the handler of configuration fetches.

        `live_peers` returns the names of live peers; `watch_s` is the timeout
        of a watch; `silent_s` is the longest time without contact for which
        the configuration counts as current.
        """
        super().__init__("config")
        self._platform = platform
        self._network = network
        self._clock = clock
        self._live_peers = live_peers
        self._watch_s = watch_s
        self._silent_s = silent_s
        self._cfg: config.FleetConfig | None = None
        self._object_version = platform_port.ABSENT
        self._highest_seen = 0
        self._confirmed = False
        self._in_force = False
        self._last_contact_at = clock.monotonic()
        self._listeners: list[Listener] = []
        self._fetching: set[str] = set()
        network.register_handler(peers.ConfigFetch, self._answer_fetch)

    async def start(self) -> None:
        """Starts the watch and the probe of the platform's configuration."""
        await super().start()
        self.spawn(self._follow())
        self.spawn(self._probe())

    async def receive(self, message: Any) -> None:
        """Fetches the configuration of a peer that has a higher version."""
        if not isinstance(message, _PeerVersion):
            return
        self._last_contact_at = self._clock.monotonic()
        self._highest_seen = max(self._highest_seen, message.version)
        if (
            message.version > self._held_version()
            and message.peer not in self._fetching
        ):
            self.spawn(self._fetch(message.peer))

    # The configuration in force

    def current(self) -> config.FleetConfig | None:
        """Returns the configuration, or None until it is confirmed."""
        return self._cfg if self._in_force else None

    def version(self) -> int:
        """Returns the version held, or 0 if there is none."""
        return max(self._held_version(), 0)

    def subscribe(self, callback: Listener) -> None:
        """Registers `callback` to be called with each newer configuration."""
        self._listeners.append(callback)

    def note_peer_version(self, peer: str, version: int) -> None:
        """Records the version received in a heartbeat of a peer."""
        self.tell(_PeerVersion(peer, version))

    def check_freshness(
        self, now: float
    ) -> expression.Result[float, errors.ConfigStale]:
        """Returns the seconds since the last contact with platform or peers.

        Errors: `ConfigStale` if that is above the limit.
        """
        silent_s = max(0.0, now - self._last_contact_at)
        if silent_s > self._silent_s:
            return expression.Error(errors.ConfigStale(round(silent_s, 1)))
        return expression.Ok(silent_s)

    def _held_version(self) -> int:
        return -1 if self._cfg is None else self._cfg.version

    def _adopt(self, cfg: config.FleetConfig) -> None:
        if cfg.version <= self._held_version():
            self._update_in_force()
            return
        self._cfg = cfg
        self._update_in_force()
        for listener in tuple(self._listeners):
            listener(cfg)

    def _update_in_force(self) -> None:
        if self._confirmed and self._held_version() >= self._highest_seen:
            self._in_force = True

    # Receiving new versions

    async def _follow(self) -> None:
        while True:
            if self._confirmed:
                result = await self._platform.watch(
                    config.CONFIG_KEY, self._object_version, self._watch_s
                )
            else:
                # A read may be stale, so peers are queried before serving.
                await self._confirm_with_peers()
                result = await self._platform.get(config.CONFIG_KEY)
            if not self._take(result):
                await asyncio.sleep(RETRY_DELAY_S)

    async def _probe(self) -> None:
        """Reads the object when there was no contact for some time.

        A watch may take longer than the longest silence that is allowed, and
        an instance without peers has no other contact.
        """
        period_s = self._silent_s / PROBES_PER_SILENCE_LIMIT
        while True:
            await asyncio.sleep(period_s)
            silent_s = self._clock.monotonic() - self._last_contact_at
            if self._confirmed and silent_s > 2 * period_s:
                self._take(await self._platform.get(config.CONFIG_KEY))

    def _is_missing(self, result: expression.Result) -> bool:
        return result.is_error() and isinstance(
            result.error, platform_errors.ObjectMissing
        )

    def _take(self, result: expression.Result) -> bool:
        """Processes an answer; returns whether to query again without delay."""
        if result.is_error():
            if not isinstance(result.error, platform_errors.ObjectMissing):
                return False
            self._last_contact_at = self._clock.monotonic()
            self._confirmed = True
            self._adopt(config_check.initial())
            return False
        self._last_contact_at = self._clock.monotonic()
        stored = result.ok
        if stored is None:
            return True
        decoded = config_check.decode(stored.data)
        if decoded.is_error():
            return False
        self._object_version = max(self._object_version, stored.version)
        self._confirmed = True
        self._adopt(decoded.ok)
        return True

    async def _confirm_with_peers(self) -> None:
        """Confirms the configuration by the live peers, without the platform.

        Every live peer must answer, and at least one must have its version in
        force: peers that start at the same time may hold an outdated one.
        """
        names = tuple(self._live_peers())
        answers = await asyncio.gather(*(self._fetch(name) for name in names))
        if None in answers or self._cfg is None:
            return
        if any(answer.in_force for answer in answers):
            self._confirmed = True
            self._update_in_force()

    async def _fetch(self, peer: str) -> peers.ConfigObject | None:
        """Returns the peer's answer, or None if there is no valid one."""
        self._fetching.add(peer)
        message = peers.ConfigFetch(self._held_version())
        try:
            result = await self._network.request(peer, message, PEER_TIMEOUT_S)
        finally:
            self._fetching.discard(peer)
        if result.is_error() or not isinstance(result.ok, peers.ConfigObject):
            return None
        self._last_contact_at = self._clock.monotonic()
        self._highest_seen = max(self._highest_seen, result.ok.version)
        if result.ok.data:
            decoded = config_check.decode(result.ok.data)
            if decoded.is_error():
                return None
            self._adopt(decoded.ok)
        return result.ok

    async def _answer_fetch(
        self, _peer: str, message: peers.ConfigFetch
    ) -> peers.ConfigObject:
        if self._cfg is None or self._cfg.version <= message.above_version:
            return peers.ConfigObject(self.version(), b"", self._in_force)
        data = config_check.encode(self._cfg)
        return peers.ConfigObject(self._cfg.version, data, self._in_force)

    # Applying changes

    async def apply(
        self,
        draft: config.Draft,
        who: str,
        why: str,
        expected_version: int,
        change_id: str,
    ) -> expression.Result[config.Change, errors.SeamError]:
        """Stores `draft` as the next version, by a conditional update.

        Errors: `ConfigInvalid`, `ConfigConflict` or a `PlatformError`;
        `PlatformAmbiguous` if the outcome could not be determined.
        """
        checked = _check(draft, who, why, change_id)
        if checked.is_error():
            return checked
        request = _ChangeRequest(
            checked.ok, who, why, expected_version, change_id
        )
        sent = False
        for _ in range(APPLY_ATTEMPTS):
            result = await self._attempt(request)
            if result.is_ok():
                return result
            error = result.error
            if isinstance(error, platform_errors.PlatformAmbiguous):
                sent = True
            elif isinstance(error, platform_errors.VersionConflict):
                pass
            elif not (
                sent and isinstance(error, platform_errors.PlatformError)
            ):
                return result
            await asyncio.sleep(RETRY_DELAY_S)
        if sent:
            return expression.Error(platform_errors.PlatformAmbiguous("apply"))
        return expression.Error(platform_errors.PlatformUnavailable("apply"))

    async def _attempt(
        self, request: _ChangeRequest
    ) -> expression.Result[config.Change, errors.SeamError]:
        """Writes the change, unless it is stored already or conflicts."""
        read = await self._read_base()
        if read.is_error():
            return read
        cfg = read.ok.cfg
        for change in cfg.changes:
            if change.change_id == request.change_id:
                self._adopt(cfg)
                return expression.Ok(change)
        if cfg.version != request.expected_version:
            return expression.Error(_conflict(cfg))
        new = self._next(cfg, request)
        result = await self._write(read.ok.object_version, new)
        if result.is_error():
            return result
        self._adopt(result.ok)
        return expression.Ok(result.ok.changes[-1])

    async def _read_base(self) -> expression.Result[_Base, errors.SeamError]:
        result = await self._platform.get(config.CONFIG_KEY)
        if self._is_missing(result):
            base = _Base(config_check.initial(), platform_port.ABSENT)
        elif result.is_error():
            return result
        else:
            decoded = config_check.decode(result.ok.data)
            if decoded.is_error():
                return decoded
            base = _Base(decoded.ok, result.ok.version)
        if base.cfg.version < self._held_version():
            return expression.Error(
                platform_errors.PlatformUnavailable("stale read")
            )
        return expression.Ok(base)

    def _next(
        self, old: config.FleetConfig, request: _ChangeRequest
    ) -> config.FleetConfig:
        draft, who = request.draft, request.who
        stamp = datetime.datetime.fromtimestamp(
            self._clock.wall(), datetime.UTC
        )
        when = stamp.isoformat(timespec="seconds")
        old_rules = {rule.id: rule for rule in old.exceptions}
        rules = []
        for rule in draft.exceptions:
            old_rule = old_rules.get(rule.id, rule)
            signed = attrs.evolve(rule, who=old_rule.who, when=old_rule.when)
            if rule.id not in old_rules or signed != old_rule:
                signed = attrs.evolve(rule, who=who, when=when)
            rules.append(signed)
        what = config_check.differences(old.draft(), draft)
        version = old.version + 1
        change = config.Change(
            version, who, when, request.why, what, request.change_id
        )
        changes = (*old.changes, change)
        return config.FleetConfig(
            version, draft.defaults, tuple(rules), changes
        )

    async def _write(
        self, object_version: int, new: config.FleetConfig
    ) -> expression.Result[config.FleetConfig, errors.SeamError]:
        """Archives surplus changes, then writes the object."""
        while _needs_trimming(new):
            moved = await self._archive_change(new.changes[0])
            if moved.is_error():
                return moved
            new = attrs.evolve(new, changes=new.changes[1:])
        data = config_check.encode(new)
        if len(data) > config.OBJECT_MAX_BYTES:
            allowed = f"at most {config.OBJECT_MAX_BYTES} bytes"
            problem = errors.BadInput("config", f"{len(data)} bytes", allowed)
            return expression.Error(errors.ConfigInvalid((problem,)))
        result = await self._platform.put(
            config.CONFIG_KEY, data, object_version
        )
        return result.map(lambda _: new)

    async def _archive_change(
        self, change: config.Change
    ) -> expression.Result[None, platform_errors.PlatformError]:
        """Writes an accepted change to its own object, which never changes."""
        key = config.audit_key(change.version)
        data = config_check.encode(change)
        result = await self._platform.put(key, data, platform_port.ABSENT)
        if result.is_error() and not isinstance(
            result.error, platform_errors.VersionConflict
        ):
            return expression.Error(
                platform_errors.PlatformUnavailable("audit")
            )
        return expression.Ok(None)


def _check(
    draft: config.Draft, who: str, why: str, change_id: str
) -> config_check.DraftResult:
    """Returns the checked draft, or all problems of the change."""
    checked = config_check.check_draft(draft)
    problems = list(checked.error.problems) if checked.is_error() else []
    for name, text in (("who", who), ("why", why), ("change_id", change_id)):
        if not text.strip():
            problems.append(errors.BadInput(name, text, "a text"))
    if problems:
        return expression.Error(errors.ConfigInvalid(tuple(problems)))
    return checked


def _needs_trimming(cfg: config.FleetConfig) -> bool:
    if len(cfg.changes) > config.CHANGES_KEPT:
        return True
    size = len(config_check.encode(cfg))
    return size > config.OBJECT_MAX_BYTES and len(cfg.changes) > 1


def _conflict(cfg: config.FleetConfig) -> operator_errors.ConfigConflict:
    if not cfg.changes:
        return operator_errors.ConfigConflict(cfg.version, "", "", "")
    last = cfg.changes[-1]
    what = "; ".join(last.what)
    return operator_errors.ConfigConflict(
        cfg.version, last.who, last.when, what
    )
