"""Runs a forwarding instance as a process."""

import asyncio
from collections.abc import Callable
import http
import logging
import pathlib
import signal
import socket
import sys
import time

import attrs
import eliot
from tornado import httputil
from tornado import netutil

from seam_model import forward_settings
from seam_model import forwarding
from seam_node import logs
from seam_node import metrics
from seam_node.adapters import process_memory
from seam_node.forward import log_writer
from seam_node.forward import node
from seam_node.forward.callers import client_closings
from seam_node.forward.callers import entry
from seam_node.forward.callers import listener_limits
from seam_node.forward.callers import side_servers
from seam_node.ports import catalog
from seam_node.ports import clock
from seam_node.ports import wire

EXIT_BAD_SETTINGS = 2
MS_PER_S = 1000
METRICS_PATH = "/metrics"
_LISTEN_BACKLOG = 512


@attrs.frozen
class EntryQuery:
    """A caller's query for the instances to use."""

    data_centre: str


@attrs.frozen
class Adapter:
    """The parts that a platform adapter provides."""

    make_catalog: Callable[[forward_settings.ForwardSettings], catalog.Catalog]
    make_wire: Callable[[forward_settings.ForwardSettings], wire.Wire]
    ready_path: str
    parse_entry_query: Callable[[httputil.HTTPServerRequest], EntryQuery | None]
    """Decodes an entry query; None if the request is not one."""
    encode_entry_answer: Callable[[entry.EntryAnswer], bytes]


def run(path: pathlib.Path, adapter: Adapter) -> int:
    """Runs an instance until it has shut down; returns the exit status."""
    loaded = forward_settings.load(path)
    if loaded.is_error():
        for problem in loaded.error.problems:
            print(problem.describe(), file=sys.stderr)
        return EXIT_BAD_SETTINGS
    # The code that handles a failure logs it, so tornado's own log is not
    # needed.
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    writer = log_writer.LineWriter(
        sys.stdout.fileno(),
        loaded.ok.logs.level,
        loaded.ok.logs.max_queued_lines,
        loaded.ok.logs.max_lines_per_s,
    )
    process_memory.return_large_blocks()
    writer.start()
    eliot.add_destinations(writer)
    asyncio.run(_Process(path, loaded.ok, adapter, writer).serve())
    writer.close()
    return 0


@attrs.frozen
class _BoundSockets:
    """Bound sockets; the fields are named like the `listen` settings."""

    callers: list[socket.socket]
    ready: list[socket.socket]
    entry: list[socket.socket]
    metrics: list[socket.socket]


class _Process:
    """An instance with its side servers and signal handlers."""

    def __init__(
        self,
        path: pathlib.Path,
        settings: forward_settings.ForwardSettings,
        adapter: Adapter,
        writer: log_writer.LineWriter,
    ):
        self._path = path
        self._settings = settings
        self._adapter = adapter
        self._writer = writer
        self._log = logs.Log(settings.instance.name)
        self._meter = metrics.Metrics()
        self._stop_requested = asyncio.Event()

    async def serve(self) -> None:
        """Runs the instance until a signal stops it and it has drained."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._on_unhandled_error)
        bound = self._bind_all()
        self._node = node.ForwardNode(
            self._settings,
            int(time.time() * MS_PER_S),
            node.Ports(
                clock.BootClock(),
                self._adapter.make_catalog(self._settings),
                self._adapter.make_wire(self._settings),
            ),
            self._meter,
            self._log,
        )
        self._meter.gauge(
            "seam_log_lines_left_out",
            "Log lines left out since the start.",
            lambda: self._writer.dropped_lines,
        )
        limits = listener_limits.of_process(self._settings)
        ready_server = self._make_side_server(
            "ready", self._handle_ready, limits.probes
        )
        entry_server = self._make_side_server(
            "entry", self._handle_entry, limits.entry
        )
        metrics_server = self._make_side_server(
            "metrics", self._handle_metrics, limits.probes
        )
        ready_server.start(bound.ready)
        entry_server.start(bound.entry)
        metrics_server.start(bound.metrics)
        await self._node.start(bound.callers)
        self._install_signal_handlers(loop)
        await self._stop_requested.wait()
        await self._node.leave()
        await self._node.close()
        for each in (ready_server, entry_server, metrics_server):
            await each.close()

    def _make_side_server(
        self, port: str, handler: side_servers.Handler, max_connections: int
    ) -> side_servers.SideServer:
        closings = client_closings.ClientClosings(port, self._meter, self._log)
        return side_servers.SideServer(
            handler,
            listener_limits.of_listener(self._settings, max_connections),
            self._settings.clients.side_body_bytes,
            closings.note,
        )

    def _bind_all(self) -> "_BoundSockets":
        """Binds all ports; port 0 is replaced by the port the system chose."""
        listen = self._settings.listen
        bound = _BoundSockets(
            callers=_bind(listen.callers),
            ready=_bind(listen.ready),
            entry=_bind(listen.entry),
            metrics=_bind(listen.metrics),
        )
        addresses = {
            field.name: _address_of(getattr(bound, field.name)[0])
            for field in attrs.fields(_BoundSockets)
        }
        self._settings = attrs.evolve(
            self._settings, listen=attrs.evolve(listen, **addresses)
        )
        self._log.event("listening", **addresses)
        return bound

    def _handle_ready(
        self, req: httputil.HTTPServerRequest
    ) -> side_servers.SideAnswer:
        if req.path != self._adapter.ready_path:
            return side_servers.SideAnswer(http.HTTPStatus.NOT_FOUND)
        reason = self._node.not_ready()
        if reason is None:
            return side_servers.SideAnswer(http.HTTPStatus.OK)
        return side_servers.SideAnswer(
            http.HTTPStatus.SERVICE_UNAVAILABLE, reason.describe().encode()
        )

    def _handle_metrics(
        self, req: httputil.HTTPServerRequest
    ) -> side_servers.SideAnswer:
        if req.path != METRICS_PATH:
            return side_servers.SideAnswer(http.HTTPStatus.NOT_FOUND)
        return side_servers.SideAnswer(http.HTTPStatus.OK, self._meter.text())

    def _handle_entry(
        self, req: httputil.HTTPServerRequest
    ) -> side_servers.SideAnswer:
        query = self._adapter.parse_entry_query(req)
        if query is None:
            return side_servers.SideAnswer(http.HTTPStatus.NOT_FOUND)
        answer = self._node.entry_answer(query.data_centre)
        if not answer.addresses:
            return side_servers.SideAnswer(http.HTTPStatus.SERVICE_UNAVAILABLE)
        body = self._adapter.encode_entry_answer(answer)
        return side_servers.SideAnswer(
            http.HTTPStatus.OK, body, "application/json"
        )

    def _install_signal_handlers(self, loop: asyncio.AbstractEventLoop) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        # One that came earlier has waited, as the entry point blocks it.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})

    def _reload(self) -> None:
        """Reloads the settings; only the log level applies without restart."""
        loaded = forward_settings.load(self._path)
        if loaded.is_error():
            self._log.error("settings_refused", loaded.error)
            return
        self._writer.set_level(loaded.ok.logs.level)
        not_applied = sorted(
            field.name
            for field in attrs.fields(forward_settings.ForwardSettings)
            if getattr(loaded.ok, field.name)
            != getattr(self._settings, field.name)
            and field.name != "logs"
        )
        self._log.event(
            "settings_reloaded",
            level=loaded.ok.logs.level,
            wait_for_restart=",".join(not_applied),
        )

    def _on_unhandled_error(self, loop: object, context: dict) -> None:
        del loop
        exc = context.get("exception")
        if exc is None:
            self._log.event("task_failed", "error", detail=context["message"])
        else:
            self._log.bug("task_failed", exc, what=context["message"])


def _address_of(sock: socket.socket) -> str:
    host, port = sock.getsockname()
    return f"{host}:{port}"


def _bind(text: str) -> list[socket.socket]:
    address: forwarding.Address = forward_settings.parse_address(text)
    return netutil.bind_sockets(
        address.port, address.host, backlog=_LISTEN_BACKLOG
    )
