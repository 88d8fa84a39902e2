"""The operators' HTTP interface."""

from tornado import httpserver
from tornado import web

from seam_node import node as node_module

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class MetricsHandler(web.RequestHandler):
    """`GET /metrics`."""

    def initialize(self, node: node_module.Node) -> None:
        """Takes the node whose metrics are shown."""
        self._node = node

    def get(self) -> None:
        """Answers in the text format of Prometheus."""
        self.set_header("Content-Type", METRICS_TYPE)
        self.finish(self._node.metrics.text())


def make_server(node: node_module.Node) -> httpserver.HTTPServer:
    """Returns the operators' server; the port is bound by the caller."""
    routes = [("/metrics", MetricsHandler, {"node": node})]
    app = web.Application(routes, log_function=lambda handler: None)
    return httpserver.HTTPServer(app)
