"""Endpoints of plain services as the placer sees them."""

from collections.abc import Callable
from collections.abc import Collection

from seam_model import forwarding
from seam_node.forward.fleet import messages
from seam_node.forward.service_calls import service_messages
from seam_node.forward.store import catalog_state
from seam_policy import call_choice
from seam_policy import call_health
from seam_policy import call_ledger
from seam_policy import call_limits


def plain(
    endpoints: catalog_state.Endpoints, service: str
) -> list[forwarding.Endpoint]:
    """Returns the usable endpoints of a service that take plain calls."""
    return [
        each
        for each in endpoints.usable(service)
        if each.stage is not forwarding.Stage.PREFILL
    ]


class ServiceEndpoints:
    """Counts calls by endpoint and learns how the endpoints do."""

    def __init__(
        self,
        endpoints: catalog_state.Endpoints,
        between_s: Callable[[str, str], float],
        now: Callable[[], float],
    ):
        """Creates the records.

        Args:
            endpoints: the announced endpoints.
            between_s: returns the one-way delay between two data centres, in
                seconds.
            now: the clock.
        """
        self._endpoints = endpoints
        self._between_s = between_s
        self._now = now
        self.ledger = call_ledger.CallLedger()
        self._limits = call_limits.CallLimits()
        self._health = call_health.CallHealth()

    def candidates(
        self, service: str, data_centre: str, avoid: Collection[str] = ()
    ) -> list[call_choice.Candidate]:
        """Returns the endpoints that a call may use.

        Args:
            service: the service that is called.
            data_centre: data centre of the instance that has the call.
            avoid: keys of endpoints that the call must not use.
        """
        now = self._now()
        return [
            self._candidate(each, data_centre, now)
            for each in plain(self._endpoints, service)
            if each.key not in avoid
        ]

    def service_s(self, service: str) -> float:
        """Returns the average seconds that a service's calls take."""
        return self._health.average_s(service)

    def record(
        self, ended: service_messages.ServiceEnded, granted_here: bool
    ) -> None:
        """Records how a call went; call it before its lease is removed.

        Args:
            ended: the call's end.
            granted_here: whether this instance's placer granted the call.
        """
        now, key = self._now(), ended.endpoint
        if not self._endpoints.is_known(key):
            return
        if ended.outcome is messages.Outcome.SERVED:
            self._health.served(ended.service, key, ended.took_s, now)
        elif ended.outcome is messages.Outcome.GONE:
            self._health.unreachable(key, now)
        elif ended.outcome is messages.Outcome.FAILED:
            self._health.failed(key, now)
        elif ended.outcome is messages.Outcome.FULL:
            self._refused(ended, granted_here, now)

    def remove(self, key: str) -> None:
        """Forgets an incarnation that has ended."""
        self._limits.remove(key)
        self._health.remove(key)

    def _refused(
        self,
        ended: service_messages.ServiceEnded,
        granted_here: bool,
        now: float,
    ) -> None:
        endpoint = self._endpoints.by_key(ended.service, ended.endpoint)
        if endpoint is None:
            return
        in_flight = None
        if granted_here:
            in_flight = self.ledger.in_flight(endpoint.key)
        self._limits.refused(endpoint.key, endpoint.slots, in_flight, now)
        self._health.failed(endpoint.key, now)

    def _candidate(
        self, endpoint: forwarding.Endpoint, data_centre: str, now: float
    ) -> call_choice.Candidate:
        key = endpoint.key
        return call_choice.Candidate(
            key=key,
            slots=endpoint.slots,
            limit=self._limits.limit(key, endpoint.slots, now),
            in_flight=self.ledger.in_flight(key),
            service_s=self._health.service_s(endpoint.service, key, now),
            failure_share=self._health.failure_share(key, now),
            reachable=self._health.is_reachable(key, now),
            one_way_s=self._between_s(data_centre, endpoint.data_centre),
            warm_up_s=endpoint.warm_up_s,
        )
