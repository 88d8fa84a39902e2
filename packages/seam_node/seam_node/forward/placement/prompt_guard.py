"""Keeps prompts that crash engines away from the engines of the fleet.

Each instance reports the prompts that were lost in a crash, and those that
started, to the coordinators. These find the parts to blame, put them into the
quarantine and tell all instances, which refuse such prompts themselves.
"""

import collections
from collections.abc import Callable

import attrs

from seam_model import forwarding
from seam_node import logs
from seam_node.forward.callers import context
from seam_node.forward.endpoints import exchange
from seam_node.forward.fleet import fleet_links
from seam_node.forward.fleet import messages
from seam_node.forward.placement import quarantine_record
from seam_node.ports import objects
from seam_policy import crash_evidence
from seam_policy import quarantine

KEEP_LOST_S = 30.0
"""Time for which a lost prompt is repeated in reports."""
MAX_LOST = 16
MAX_STARTED = 64
"""Started prompts that one report tells of."""
MAX_SOUND_PROMPTS = 2048
UNKNOWN_DIGEST = -1
"""Digest told by an instance that has not learned the quarantine yet."""


@attrs.frozen
class _Seen:
    """A prompt that was lost or that started, and when."""

    service: str
    parts: tuple[str, ...]
    at: float
    engine: str = ""


class PromptGuard:
    """One instance's part in keeping prompts away from engines."""

    def __init__(
        self,
        links: fleet_links.FleetLinks,
        client: exchange.EndpointClient,
        store: objects.ObjectStore,
        now: Callable[[], float],
        log: logs.Log,
    ):
        """Creates a guard that knows of no crash.

        Args:
            links: the way to other instances.
            client: finds out whether an engine crashed.
            store: the platform's store, which keeps the quarantine.
            now: the clock.
            log: where crashes and quarantined parts are logged.
        """
        self._links = links
        self._client = client
        self._now = now
        self._log = log
        self.is_known = False
        """Whether the fleet's quarantine has been learned since the start."""
        self._quarantine = quarantine.Quarantine()
        self._evidence: dict[str, crash_evidence.CrashEvidence] = {}
        self._lost: collections.deque[_Seen] = collections.deque(
            maxlen=MAX_LOST
        )
        self._started: collections.deque[_Seen] = collections.deque(
            maxlen=MAX_STARTED
        )
        self._sound: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )
        """Parts of prompts that started at this instance, by service."""
        self._rewrite_due = False
        """Whether the store may have lost the quarantine in a restore."""
        self._record = quarantine_record.QuarantineRecord(
            store, self._quarantine.entries, self._merge_stored, log
        )

    async def start(self) -> None:
        """Starts to read the quarantine from the store."""
        await self._record.start()

    async def close(self) -> None:
        """Stops writing it."""
        await self._record.close()

    def __len__(self) -> int:
        """Returns the number of combinations of parts in quarantine."""
        return len(self._quarantine)

    def on_store_restored(self) -> None:
        """Has the quarantine written again by the coordinators."""
        self._rewrite_due = True

    def _rewrite_if_due(self) -> None:
        if not self._rewrite_due or not self._links.coordinates():
            return
        self._rewrite_due = False
        if self._quarantine.entries():
            self._record.write()

    # Requests of this instance

    def rule(self, ctx: context.ForwardContext) -> quarantine.Ruling:
        """Returns what may be done with a request's prompt."""
        return self._quarantine.rule(
            ctx.service.name, ctx.req.prompt.shared_parts, self._now()
        )

    def is_sound(self, ctx: context.ForwardContext) -> bool:
        """Returns whether prompts with each part have started here before."""
        return all(
            (ctx.service.name, part) in self._sound
            for part in ctx.req.prompt.shared_parts
        )

    def started(self, ctx: context.ForwardContext) -> None:
        """Records that an engine has generated something for a request."""
        parts = ctx.req.prompt.shared_parts
        if not parts:
            return
        service = ctx.service.name
        for part in parts:
            self._sound.pop((service, part), None)
            self._sound[service, part] = None
        while len(self._sound) > MAX_SOUND_PROMPTS:
            self._sound.popitem(last=False)
        seen = _Seen(service, parts, self._now())
        self._started.append(seen)
        self._add_started(seen)

    async def has_crashed(
        self, ctx: context.ForwardContext, engine: forwarding.Endpoint
    ) -> bool:
        """Finds out whether an engine that lost a request has crashed.

        Its prompt is reported if so. It must not have started.
        """
        at = self._now()
        crashed = await self._client.is_refused(engine.address)
        self._log.event(
            "prompt_lost",
            "warning",
            request=ctx.req.id,
            endpoint=engine.key,
            crashed=crashed,
        )
        parts = ctx.req.prompt.shared_parts
        if crashed and parts:
            seen = _Seen(ctx.service.name, parts, at, engine.key)
            self._lost.append(seen)
            self._add_lost(seen)
            self._links.tell_coordinators(self._lost_message(seen))
        return crashed

    # Placer

    def admit(self, ask: messages.PlaceAsk) -> quarantine.Ruling:
        """Returns whether a request may get a place; starts a due trial."""
        now = self._now()
        ruling = self._quarantine.rule(ask.service, ask.parts, now)
        if ruling.verdict is quarantine.Verdict.DUE:
            self._quarantine.start_trial(ask.service, ask.parts, now)
            self._log.event(
                "quarantine_trial",
                request=ask.request_id,
                parts=",".join(ruling.entry.parts),
            )
        return ruling

    # Messages

    def report(self) -> messages.PromptReport:
        """Returns what to tell the coordinators; clears the started ones."""
        self._rewrite_if_due()
        now = self._now()
        while self._lost and self._lost[0].at < now - KEEP_LOST_S:
            self._lost.popleft()
        started = tuple(
            messages.PromptStarted(each.service, each.parts, now - each.at)
            for each in self._started
        )
        self._started.clear()
        return messages.PromptReport(
            tuple(self._lost_message(each) for each in self._lost),
            started,
            self._quarantine.digest() if self.is_known else UNKNOWN_DIGEST,
        )

    def on_report(
        self, report: messages.PromptReport, sender: forwarding.InstanceEntry
    ) -> None:
        """Adds what another instance saw and tells it of the quarantine."""
        for lost in report.lost:
            self.on_lost(lost)
        now = self._now()
        for each in report.started:
            self._add_started(_Seen(each.service, each.parts, now - each.age_s))
        is_same = report.quarantine_digest == self._quarantine.digest()
        if self.is_known and not is_same:
            self._links.send(self._notice(), sender)

    def on_lost(self, lost: messages.PromptLost) -> None:
        """Adds a prompt that was lost at another instance."""
        at = self._now() - lost.age_s
        self._add_lost(_Seen(lost.service, lost.parts, at, lost.engine))

    def on_notice(self, notice: messages.QuarantineNotice) -> None:
        """Merges a coordinator's copy of the quarantine."""
        now = self._now()
        self.is_known = True
        for row in notice.rows:
            if self._quarantine.merge(row.entry, row.retry_after_s, now):
                self._log_entry(row.entry)

    # Evidence

    def _evidence_of(self, service: str) -> crash_evidence.CrashEvidence:
        return self._evidence.setdefault(
            service, crash_evidence.CrashEvidence()
        )

    def _add_lost(self, seen: _Seen) -> None:
        """Adds a prompt that was lost in a crash.

        Only coordinators judge: the others know little of prompts that start
        elsewhere.
        """
        evidence = self._evidence_of(seen.service)
        is_new = evidence.add_lost(seen.engine, seen.parts, seen.at)
        if not is_new or not self._links.coordinates():
            return
        now = self._now()
        changed = self._quarantine.record_crash(
            seen.service, seen.parts, seen.at, now
        )
        self._judge(seen.service, changed)

    def _add_started(self, seen: _Seen) -> None:
        evidence = self._evidence_of(seen.service)
        if not evidence.add_sound(seen.parts, seen.at) and not self._quarantine:
            return
        if not self._links.coordinates():
            return
        released = self._quarantine.record_sound(
            seen.service, seen.parts, seen.at, self._now()
        )
        self._judge(seen.service, released)

    def _judge(self, service: str, changed: list[quarantine.Entry]) -> None:
        """Quarantines the parts to blame and tells of what changed."""
        now = self._now()
        culprits = self._evidence_of(service).culprits(now)
        blamed = [each.parts for each in culprits]
        changed = changed + self._quarantine.revise(service, blamed, now)
        for each in culprits:
            trial_s = (
                quarantine.EARLY_TRIAL_S
                if each.episodes < 2
                else quarantine.FIRST_TRIAL_S
            )
            entry = self._quarantine.condemn(service, each.parts, now, trial_s)
            if entry is not None:
                changed.append(entry)
        if not changed:
            return
        for entry in changed:
            self._log_entry(entry)
        self._record.write()
        self._links.tell_others(self._notice())

    def _merge_stored(self, entries: tuple[quarantine.Entry, ...]) -> None:
        now = self._now()
        self.is_known = True
        for entry in entries:
            self._quarantine.merge(entry, entry.trial_interval_s, now)

    def _notice(self) -> messages.QuarantineNotice:
        now = self._now()
        return messages.QuarantineNotice(
            tuple(
                messages.QuarantineRow(
                    entry, self._quarantine.retry_after_s(entry, now)
                )
                for entry in self._quarantine.entries()
            )
        )

    def _lost_message(self, seen: _Seen) -> messages.PromptLost:
        return messages.PromptLost(
            seen.service, seen.engine, seen.parts, self._now() - seen.at
        )

    def _log_entry(self, entry: quarantine.Entry) -> None:
        name = "prompt_quarantined" if entry.active else "prompt_released"
        self._log.event(
            name,
            "warning",
            service=entry.service,
            parts=",".join(entry.parts),
            generation=entry.generation,
            failed_trials=entry.failed_trials,
        )
