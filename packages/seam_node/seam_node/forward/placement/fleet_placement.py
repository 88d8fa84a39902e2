"""Puts together what an instance needs to place requests for the fleet."""

from collections.abc import Callable

import attrs

from seam_model import forward_settings
from seam_model import forwarding
from seam_node.forward.endpoints import engine_access
from seam_node.forward.fleet import coordinators
from seam_node.forward.fleet import fleet_links
from seam_node.forward.fleet import messages
from seam_node.forward.fleet import stream_reports
from seam_node.forward.placement import decode_engines
from seam_node.forward.placement import engine_outcomes
from seam_node.forward.placement import placement
from seam_node.forward.placement import placement_service
from seam_node.forward.placement import placer
from seam_node.forward.placement import prefill_engines
from seam_node.forward.placement import prompt_guard
from seam_node.forward.placement import workload
from seam_node.forward.quota import fleet_quotas
from seam_node.forward.quota import view
from seam_node.ports import objects
from seam_policy import stream_ledger


@attrs.frozen
class FleetView:
    """How an instance sees the other ones and reaches them."""

    own: Callable[[], messages.Heartbeat]
    """Returns this instance's own heartbeat."""
    live: Callable[[], list[messages.Heartbeat]]
    """Returns the latest heartbeats of the live peers."""
    entry_of: Callable[[str], forwarding.InstanceEntry | None]
    """Returns the entry of an instance, by name."""
    send: Callable[[messages.Message, forwarding.InstanceEntry], None]
    """Sends a message to an instance; it may be lost."""
    known: Callable[[], set[str]]
    """Returns the names of the instances that are listed or heard lately."""
    heard_count: Callable[[], int]
    """Returns about how many peers are heard now."""


class FleetPlacement:
    """The placer of this instance, and its way to the placers of others."""

    def __init__(
        self,
        entry: forwarding.InstanceEntry,
        access: engine_access.EngineAccess,
        fleet: FleetView,
        store: objects.ObjectStore,
        load: workload.WorkloadEstimate,
        quotas: forward_settings.QuotaSettings,
        engine_spec: Callable[[str], forwarding.EngineSpec | None],
        one_way_delay_s: Callable[[str], float],
        now: Callable[[], float],
    ):
        """Creates the parts.

        Args:
            entry: this instance.
            access: the engines, their statistics and the log.
            fleet: the other instances.
            store: the platform's store.
            load: average size and output rate of requests.
            quotas: how far use may exceed the quotas of workspaces.
            engine_spec: returns the engines' capacity of a service.
            one_way_delay_s: returns the one-way delay to a data centre.
            now: the clock.
        """
        self._entry = entry
        self._load = load
        self.ledger = stream_ledger.StreamLedger(lambda: load.output_tokens_s)
        self.outcomes = engine_outcomes.EngineOutcomes(
            access.stats, now, access.log
        )
        self.coordinators = coordinators.Coordinators(
            fleet.own, fleet.live, now, access.log
        )
        self.prefills = prefill_engines.PrefillEngines(
            access, one_way_delay_s, now
        )
        links = fleet_links.FleetLinks(
            entry.name,
            self.coordinators.responsive,
            self.coordinators.first,
            lambda: [each.entry for each in fleet.live()],
            fleet.send,
        )
        self._limits = access.limits
        self._limits.connect(links)
        self.prompts = prompt_guard.PromptGuard(
            links,
            access.client,
            store,
            now,
            access.log,
        )
        self.quotas = fleet_quotas.FleetQuotas(
            entry,
            quotas,
            links,
            view.QuotaView(entry.name, fleet.known, fleet.heard_count, now),
            now,
            access.log,
        )
        self.placer = placer.Placer(
            entry.name,
            self.ledger,
            decode_engines.DecodeEngines(
                access, self.ledger, engine_spec, load
            ),
            self.prefills,
            load,
            self.prompts,
            self.quotas.keeper,
            now,
            access.log,
        )
        self.places = placement.Placement(
            entry,
            self.coordinators,
            self.placer,
            self.ledger,
            access.endpoints,
            access.available,
            self.outcomes,
            fleet.send,
            now,
            access.log,
        )
        self._service = placement_service.PlacementService(
            entry,
            self.placer,
            self.ledger,
            self.outcomes,
            load,
            self.prompts,
            self._limits,
            self.quotas,
            fleet.entry_of,
            fleet.send,
            now,
            access.log,
        )
        self._reports = stream_reports.StreamReports(
            entry, self.coordinators, self._report, fleet.send
        )
        self.quotas.gate.on_unreported = self._reports.report_soon

    async def start(self) -> None:
        """Starts answering other instances and reporting to them."""
        await self.prompts.start()
        await self._service.start()
        await self.quotas.start()
        await self._reports.start()

    async def close(self) -> None:
        """Stops reporting and answering."""
        await self._reports.close()
        await self.quotas.close()
        await self.prompts.close()
        await self._service.close()

    def on_routes(self, table: forwarding.RouteTable) -> None:
        """Applies a configuration."""
        self.placer.retain_routes({route.name for route in table.routes})
        self.quotas.configure(table)

    def handlers(self) -> dict[type, Callable]:
        """Returns the handlers of other instances' messages, by type."""
        return {
            messages.PlaceAsk: self._service.on_ask,
            messages.PlaceAnswer: self.places.on_answer,
            messages.LimitNotice: self._limits.on_notice,
            messages.PromptLost: self.prompts.on_lost,
            messages.QuarantineNotice: self.prompts.on_notice,
            messages.QuotaNotice: self.quotas.gate.on_notice,
            messages.UsageReport: self._service.on_usage,
            messages.KeeperDebts: self.quotas.on_debts,
            messages.PrefillEnded: self._service.on_prefill_ended,
            messages.StreamEnded: self._service.on_ended,
            messages.StreamReport: self._service.on_report,
        }

    def _report(self) -> messages.StreamReport:
        return messages.StreamReport(
            self._entry.name,
            self._entry.incarnation,
            self.places.streams(),
            self.outcomes.excluded(),
            self._load.own(),
            self.prompts.report(),
            self._limits.report(),
            self.quotas.take_usage(),
        )
