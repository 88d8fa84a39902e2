"""Command line of `sycamoreseamd`, the daemon of one entry instance."""

import asyncio
import functools
import pathlib
import random
import signal
import sys
import time
from typing import Annotated
from typing import Any

import eliot
from tornado import netutil
import typer

from seam_model import endpoints
from seam_model import errors
from seam_model import settings as node_settings
from seam_node import logs
from seam_node import metrics
from seam_node import node
from seam_node.adapters import engine_http
from seam_node.adapters import peer_stream
from seam_node.adapters import peer_tcp
from seam_node.adapters import platform_http
from seam_node.adapters import service_http
from seam_node.ports import clock
from seam_node.web import admin
from seam_node.web import callers

EXIT_BAD_SETTINGS = 2
MICROS_PER_S = 1_000_000
LAST_ANSWERS_S = 0.1
"""Time at the exit for the answers to requests that had just arrived."""

app = typer.Typer(add_completion=False)


@app.command()
def run(
    settings: Annotated[
        pathlib.Path, typer.Option(help="TOML file of this instance.")
    ],
    check: Annotated[
        bool, typer.Option("--check", help="Check the settings and exit.")
    ] = False,
) -> None:
    """Runs one entry instance until a signal or operator drains it."""
    loaded = node_settings.load(settings)
    if loaded.is_error():
        for problem in loaded.error.problems:
            typer.echo(problem.describe(), err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS)
    if check:
        typer.echo("settings: ok")
        return
    asyncio.run(serve(loaded.ok))


async def serve(settings: node_settings.NodeSettings) -> None:
    """Runs an instance until it is drained, then closes it."""
    _add_log_destination(settings.logs)
    listen = settings.listen
    incarnation = int(time.time() * MICROS_PER_S)
    name = settings.instance.name
    log = logs.Log(name)
    meter = metrics.Metrics()
    network = peer_tcp.TcpPeerNetwork(
        name,
        incarnation,
        listen.peer_host,
        listen.peer_port,
        settings.peer_key(),
        on_refused=lambda error: _peer_refused(log, meter, error),
        on_handler_error=lambda peer, exc: log.event(
            "peer_handler_failed", "error", peer=peer, detail=repr(exc)
        ),
    )
    sockets = netutil.bind_sockets(listen.callers_port, listen.callers_host)
    admin_sockets = netutil.bind_sockets(listen.admin_port, listen.admin_host)
    port = sockets[0].getsockname()[1]
    admin_port = admin_sockets[0].getsockname()[1]
    peer_port = network.bind()
    record = endpoints.InstanceRecord(
        name=name,
        url=listen.callers_url or f"http://{listen.callers_host}:{port}",
        peer_host=listen.peer_host,
        peer_port=peer_port,
        data_centre=settings.instance.data_centre,
        incarnation=incarnation,
        admin_url=f"http://{listen.admin_host}:{admin_port}",
    )
    ports = node.Ports(
        clock.LoopClock(),
        platform_http.HttpPlatform(
            settings.platform.url, settings.platform.timeout_s
        ),
        network,
        engine_http.HttpEngineFactory(),
        service_http.HttpService(),
    )
    instance = node.Node(
        settings, record, ports, random.Random(incarnation), meter=meter
    )
    asyncio.get_running_loop().set_exception_handler(
        lambda loop, context: _log_unhandled(log, context)
    )
    _register_traffic_gauges(instance, network.traffic)
    _drain_on_signals(instance)
    await instance.start()
    server = callers.make_server(instance)
    server.add_sockets(sockets)
    admin_server = admin.make_server(instance)
    admin_server.add_sockets(admin_sockets)
    log.event("listening", callers=record.url, admin=record.admin_url)
    await instance.drain.wait_ended()
    server.stop()
    admin_server.stop()
    await server.close_connections(LAST_ANSWERS_S)
    await instance.close()


def _peer_refused(
    log: logs.Log, meter: metrics.Metrics, error: errors.SeamError
) -> None:
    meter.peer_refused(error.code)
    log.error("peer_refused", error)


def _add_log_destination(settings: node_settings.LogSettings) -> None:
    streams = {"stderr": sys.stderr, "stdout": sys.stdout}
    stream = streams.get(settings.destination)
    if stream is None:
        stream = open(settings.destination, "a", encoding="utf-8")  # noqa: SIM115
    eliot.add_destinations(logs.Destination(stream, settings.level))


def _log_unhandled(log: logs.Log, context: dict[str, Any]) -> None:
    """Logs an exception that reached the event loop, in one line."""
    exc = context.get("exception")
    if exc is None:
        log.event("task_failed", "error", detail=context["message"])
    else:
        log.bug("task_failed", exc, what=context["message"])


def _register_traffic_gauges(
    instance: node.Node, traffic: peer_stream.Traffic
) -> None:
    for name, help_text in (
        ("sent", "Bytes sent to other instances."),
        ("received", "Bytes received from other instances."),
        ("frames", "Messages sent to other instances."),
    ):
        instance.metrics.gauge(
            f"seam_peer_{name}",
            help_text,
            functools.partial(getattr, traffic, name),
        )


def _drain_on_signals(instance: node.Node) -> None:
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(
            number, instance.drain.begin, signal.Signals(number).name
        )


def main() -> None:
    """Runs the command line."""
    app()


if __name__ == "__main__":
    main()
