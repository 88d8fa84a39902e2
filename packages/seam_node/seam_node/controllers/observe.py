"""Collects status and traces from all instances for operators."""

import asyncio
from collections.abc import Callable
from typing import Any

import expression

from seam_model import admin
from seam_model import codec
from seam_model import endpoints
from seam_model import errors
from seam_model import peers
from seam_node.controllers import membership_view
from seam_node.controllers import runs
from seam_node.ports import peer

MAX_CONCURRENT_QUERIES = 16
"""Maximum number of peers queried at the same time."""
ANSWER_TIMEOUT_S = 2.0


class Observer:
    """Answers queries of peers about this instance, and queries peers.

    Peers are queried only for an operator's command, so the cost grows with
    the fleet but occurs per command, not continuously.
    """

    def __init__(
        self,
        name: str,
        network: peer.PeerNetwork,
        view: Callable[[], membership_view.MembershipView],
        status: Callable[[], admin.InstanceStatus],
        table: runs.RunTable,
    ):
        """Registers the handlers of status and trace queries."""
        self._name = name
        self._network = network
        self._view = view
        self._status = status
        self._table = table
        network.register_handler(peers.StatusQuery, self._on_status)
        network.register_handler(peers.TraceQuery, self._on_trace)

    async def instances(self) -> tuple[admin.InstanceStatus, ...]:
        """Returns the status of every listed instance, by name."""
        records = dict(self._view().instances)
        records.pop(self._name, None)
        answers = await self._query_all(records, peers.StatusQuery())
        statuses = {self._name: self._status()}
        for name, answer in answers.items():
            read = _read(answer, admin.InstanceStatus)
            statuses[name] = (
                read.ok if read.is_ok() else _unreachable_status(records[name])
            )
        return tuple(statuses[name] for name in sorted(statuses))

    async def explain(self, request: str) -> admin.Explanation:
        """Returns all traces of a request that instances still have."""
        names = set(self._view().instances) - {self._name}
        answers = await self._query_all(names, peers.TraceQuery(request))
        own = self._trace(request)
        traces = [] if own is None else [own]
        unanswered = []
        for name, answer in sorted(answers.items()):
            if answer.is_error():
                unanswered.append(name)
                continue
            read = _read(answer, admin.RequestTrace)
            if read.is_ok():
                traces.append(read.ok)
        return admin.Explanation(request, tuple(traces), tuple(unanswered))

    async def _query_all(
        self, names: Any, message: Any
    ) -> dict[str, expression.Result]:
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)

        async def query(name: str) -> expression.Result:
            async with semaphore:
                return await self._network.request(
                    name, message, ANSWER_TIMEOUT_S
                )

        ordered = sorted(names)
        answers = await asyncio.gather(*(query(name) for name in ordered))
        return dict(zip(ordered, answers, strict=True))

    async def _on_status(
        self, sender: str, message: peers.StatusQuery
    ) -> peers.StatusAnswer:
        del sender, message
        return peers.StatusAnswer(codec.to_json(self._status()))

    async def _on_trace(
        self, sender: str, message: peers.TraceQuery
    ) -> peers.TraceAnswer:
        del sender
        trace = self._trace(message.request)
        return peers.TraceAnswer(codec.to_json(trace) if trace else b"")

    def _trace(self, request: str) -> admin.RequestTrace | None:
        run = self._table.get(request)
        trace = run.trace if run else self._table.trace(request)
        if trace is None:
            return None
        steps = tuple(
            admin.TraceStep(step.at_s, step.filter, step.what)
            for step in trace.steps
        )
        return admin.RequestTrace(
            self._name,
            trace.workspace,
            trace.rank,
            trace.model,
            trace.outcome,
            steps,
        )


def _read(answer: expression.Result, cls: type) -> expression.Result:
    if answer.is_error():
        return answer
    data = getattr(answer.ok, "data", b"")
    if not data:
        return expression.Error(errors.BadInput("answer", "", "data"))
    return codec.from_json(data, cls)


def _unreachable_status(
    record: endpoints.InstanceRecord,
) -> admin.InstanceStatus:
    return admin.InstanceStatus(
        record.name,
        record.data_centre,
        record.incarnation,
        record.url,
        record.admin_url,
        admin.UNREACHABLE,
    )
