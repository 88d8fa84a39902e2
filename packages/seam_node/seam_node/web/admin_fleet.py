"""Operators' handlers for instances and requests."""

from seam_model import admin
from seam_model import errors
from seam_model import ids
from seam_model import operator_errors
from seam_model import settings
from seam_node import node as node_module
from seam_node import status
from seam_node.controllers import drain
from seam_node.web import admin_base

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_VIEWER = settings.OperatorRole.VIEWER
_OPERATOR = settings.OperatorRole.OPERATOR


class StatusHandler(admin_base.Handler):
    """`GET /v1/status`."""

    @admin_base.requires_role(_VIEWER)
    async def get(self) -> None:
        """Answers with the status of all listed instances."""
        self.answer(await self.node.fleet_status())


class InstanceHandler(admin_base.Handler):
    """`GET /v1/instance`."""

    @admin_base.requires_role(_VIEWER)
    async def get(self) -> None:
        """Answers with the status of this instance."""
        self.answer(self.node.status())


class DrainHandler(admin_base.Handler):
    """`POST /v1/drain`."""

    @admin_base.requires_role(_OPERATOR)
    async def post(self) -> None:
        """Starts draining this instance; idempotent."""
        req = self.read_body(admin.DrainRequest)
        if req is None:
            return
        name = self.node.record.name
        if req.instance != name:
            error = errors.BadInput("instance", req.instance, f"this is {name}")
            self.refuse(error)
            return
        controller = self.node.drain
        if controller.phase is drain.Phase.SERVING:
            self.record_action("drain", why=req.why)
            await controller.begin_once(
                f"operator {self.operator_name}: {req.why}"
            )
        phase = status.phase_name(controller.phase)
        self.answer(admin.DrainAnswer(name, phase, controller.in_progress))


class ExplainHandler(admin_base.Handler):
    """`GET /v1/explain/{request}`."""

    @admin_base.requires_role(_VIEWER)
    async def get(self, request: str) -> None:
        """Answers with the traces that instances still keep."""
        if not ids.is_uuid7(request):
            allowed = "a UUIDv7 in lower-case text form"
            self.refuse(errors.BadInput("request", request, allowed))
            return
        explanation = await self.node.observer.explain(request)
        if explanation.traces or explanation.silent:
            self.answer(explanation)
        else:
            self.refuse(operator_errors.NotFound("request", request))


class MetricsHandler(admin_base.Handler):
    """`GET /metrics`.

    Needs no token, so the metrics contain no request id and no workspace.
    """

    def get(self) -> None:
        """Answers in the Prometheus text format."""
        self.set_header("Content-Type", METRICS_TYPE)
        self.finish(self.node.metrics.text())


class HealthHandler(admin_base.Handler):
    """`GET /healthz` and `GET /readyz`; need no token."""

    def initialize(self, node: node_module.Node, ready: bool) -> None:
        """Sets the node and whether to check readiness."""
        super().initialize(node)
        self._ready = ready

    def get(self) -> None:
        """Answers 200, or 503 with the reason."""
        reason = self.node.not_ready() if self._ready else None
        if self._ready and self.node.drain.phase is not drain.Phase.SERVING:
            reason = errors.InstanceLeaving(self.node.record.name)
        if reason is not None:
            self.refuse(reason)
            return
        self.finish("ok\n")
