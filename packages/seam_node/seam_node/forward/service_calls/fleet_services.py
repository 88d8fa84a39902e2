"""The parts of an instance that place plain calls for the fleet."""

from collections.abc import Callable

from seam_model import forwarding
from seam_node.forward.endpoints import engine_access
from seam_node.forward.fleet import coordinators
from seam_node.forward.placement import fleet_placement
from seam_node.forward.service_calls import fleet_chooser
from seam_node.forward.service_calls import local_chooser
from seam_node.forward.service_calls import service_answers
from seam_node.forward.service_calls import service_client
from seam_node.forward.service_calls import service_endpoints
from seam_node.forward.service_calls import service_messages
from seam_node.forward.service_calls import service_placer


class FleetServices:
    """The service placer of this instance, and the client of all placers."""

    def __init__(
        self,
        entry: forwarding.InstanceEntry,
        access: engine_access.EngineAccess,
        fleet: fleet_placement.FleetView,
        order: coordinators.Coordinators,
        between_s: Callable[[str, str], float],
        now: Callable[[], float],
    ):
        """Creates the parts.

        Args:
            entry: this instance.
            access: the endpoints, their statistics and the log.
            fleet: the other instances.
            order: the coordinators.
            between_s: returns the one-way delay between two data centres, in
                seconds.
            now: the clock.
        """

        def one_way_s(data_centre: str) -> float:
            return between_s(entry.data_centre, data_centre)

        self._endpoints = service_endpoints.ServiceEndpoints(
            access.endpoints, between_s, now
        )
        self.placer = service_placer.ServicePlacer(
            entry.name, self._endpoints, now, access.log
        )
        self._answers = service_answers.ServiceAnswers(
            self.placer,
            lambda: {each.entry.name for each in fleet.live()},
            fleet.entry_of,
            fleet.send,
            now,
            access.log,
        )
        self.client = service_client.ServiceClient(
            entry,
            order,
            self.placer,
            fleet.entry_of,
            fleet.send,
            now,
            access.log,
        )
        self.chooser = fleet_chooser.FleetChooser(
            local_chooser.LocalChooser(
                access.endpoints,
                access.stats,
                access.limits,
                access.available,
                one_way_s,
            ),
            self.client,
            access.endpoints,
            access.available,
            lambda: len(fleet.live()) + 1,
            one_way_s,
        )

    async def start(self) -> None:
        """Starts to end the leases of silent instances."""
        await self._answers.start()

    async def close(self) -> None:
        """Stops to end leases, and the placer."""
        await self._answers.close()

    def handlers(self) -> dict[type, Callable]:
        """Returns the handlers of other instances' messages, by type."""
        return {
            service_messages.ServiceAsk: self._answers.on_ask,
            service_messages.ServiceAnswer: self.client.on_answer,
            service_messages.ServiceEnded: self._answers.on_ended,
        }

    def gauges(self) -> tuple[Callable[[], float], ...]:
        """Returns the sources of the gauges that begin with `service_`."""
        return (
            lambda: len(self.placer),
            lambda: self.placer.in_flight,
            lambda: self.placer.granted,
            lambda: self.placer.refused,
            lambda: self.client.unanswered,
        )

    def remove(self, key: str) -> None:
        """Forgets an endpoint's incarnation that has ended."""
        self._endpoints.remove(key)

    def on_routes(self, table: forwarding.RouteTable) -> None:
        """Applies a configuration."""
        self.chooser.configure(table)
        self.placer.retain_routes({route.name for route in table.routes})
