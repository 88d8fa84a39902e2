"""HTTP server for operators."""

from tornado import web

from seam_node import node as node_module
from seam_node.adapters import client_server
from seam_node.web import admin_base
from seam_node.web import admin_config
from seam_node.web import admin_fleet
from seam_node.web import listener_limits

MAX_BODY_BYTES = 1024 * 1024
MAX_CONNECTIONS = 64
IDLE_TIMEOUT_S = 30.0
BODY_TIMEOUT_S = 10.0

_ROUTES = (
    ("/v1/config", admin_config.ConfigHandler),
    ("/v1/config/check", admin_config.CheckHandler),
    ("/v1/config/apply", admin_config.ApplyHandler),
    ("/v1/config/diff", admin_config.DiffHandler),
    ("/v1/config/history", admin_config.HistoryHandler),
    ("/v1/audit", admin_config.AuditHandler),
    ("/v1/exceptions", admin_config.ExceptionsHandler),
    ("/v1/exceptions/([A-Za-z0-9._-]{1,63})", admin_config.ExceptionHandler),
    ("/v1/status", admin_fleet.StatusHandler),
    ("/v1/instance", admin_fleet.InstanceHandler),
    ("/v1/drain", admin_fleet.DrainHandler),
    ("/v1/explain/([^/]{1,64})", admin_fleet.ExplainHandler),
    ("/metrics", admin_fleet.MetricsHandler),
)


def make_server(node: node_module.Node) -> client_server.ClientServer:
    """Returns the operators' server; the caller adds bound sockets."""
    health = admin_fleet.HealthHandler
    routes = [(path, handler, {"node": node}) for path, handler in _ROUTES]
    routes.append(("/healthz", health, {"node": node, "ready": False}))
    routes.append(("/readyz", health, {"node": node, "ready": True}))
    app = web.Application(
        routes,
        default_handler_class=admin_base.NotFoundHandler,
        default_handler_args={"node": node},
        log_function=lambda handler: None,
    )
    return client_server.ClientServer(
        app,
        limits=listener_limits.of_listener(MAX_CONNECTIONS),
        max_body_size=MAX_BODY_BYTES,
        idle_connection_timeout=IDLE_TIMEOUT_S,
        body_timeout=BODY_TIMEOUT_S,
    )
