"""HTTP stand-in for one engine, over `engine_core`.

Run with `python -m standins.engine_server --name E1 --role decode`; prints
`ready PORT` and serves on loopback until it is killed.
"""

import argparse
import asyncio
import json
import random
from typing import Any

import attrs
import expression
import tornado.httpclient
import tornado.httpserver
import tornado.iostream
import tornado.netutil
import tornado.web

from seam_model import codec
from seam_model import endpoint_errors
from seam_model import endpoints
from standins import costs
from standins import engine_core
from standins import engine_parts

STATUS_BY_ERROR = {
    endpoint_errors.KvExpired: 409,
    endpoint_errors.OrderFenced: 409,
    endpoint_errors.TransferFailed: 502,
    endpoint_errors.EndpointFull: 429,
    endpoint_errors.StreamUnknown: 404,
}
ORDER_TYPES = {
    "prefill": endpoints.PrefillOrder,
    "decode": endpoints.DecodeOrder,
    "resume": endpoints.ResumeOrder,
    "configure": endpoints.ModelOrder,
}
EXPORT_TIMEOUT_S = 5.0


async def import_kv(source_url: str, handle: str) -> expression.Result:
    """Requests the export of KV at its engine; returns its size in bytes."""
    client = tornado.httpclient.AsyncHTTPClient()
    try:
        answer = await client.fetch(
            f"{source_url}/v1/kv/{handle}/export",
            method="POST",
            body=b"",
            request_timeout=EXPORT_TIMEOUT_S,
            raise_error=False,
        )
    except (OSError, tornado.httpclient.HTTPError):
        return expression.Error(endpoint_errors.TransferFailed(source_url))
    if answer.code == 200:
        return expression.Ok(json.loads(answer.body)["bytes"])
    if answer.code == 404:
        return expression.Error(endpoint_errors.KvExpired(source_url))
    return expression.Error(endpoint_errors.TransferFailed(source_url))


class Server:
    """Listens on loopback; can refuse connections for a given time."""

    def __init__(self, core: Any, routes: list, port: int):
        app = tornado.web.Application(
            [
                (path, cls, {"core": core, "server": self})
                for path, cls in routes
            ]
        )
        self._http = tornado.httpserver.HTTPServer(app)
        sockets = tornado.netutil.bind_sockets(port, "127.0.0.1")
        self.port = sockets[0].getsockname()[1]
        self._http.add_sockets(sockets)
        self._core = core

    async def refuse_connections(self, down_s: float) -> None:
        """Closes the port and every connection for `down_s` seconds."""
        self._core.set_faults(down=True)
        self._http.stop()
        await self._http.close_all_connections()
        await asyncio.sleep(down_s)
        self._core.set_faults(down=False)
        self._http.listen(self.port, "127.0.0.1")


class Handler(tornado.web.RequestHandler):
    """Base class of the stand-ins' request handlers."""

    def initialize(self, core: Any, server: Server) -> None:
        self.core, self.server = core, server
        self.reader: engine_parts.Reader | None = None

    def parse_order(self, cls: type) -> Any:
        result = codec.from_json(self.request.body, cls)
        if result.is_error():
            raise tornado.web.HTTPError(400, result.error.describe())
        return result.ok

    def on_connection_close(self) -> None:
        if self.reader is not None:
            self.reader.detach()

    def drop(self) -> None:
        """Closes the connection without an answer."""
        self.request.connection.stream.close()
        raise tornado.web.Finish

    def finish_error(self, error: endpoint_errors.EndpointError) -> None:
        if isinstance(
            error,
            endpoint_errors.EndpointLost | endpoint_errors.EndpointUnreachable,
        ):
            self.drop()
        status = STATUS_BY_ERROR.get(type(error)) or getattr(
            error, "status", 500
        )
        fence = {"fence": error.fence} if hasattr(error, "fence") else {}
        self.set_status(status)
        self.finish({"code": error.code, **fence})

    def finish_json(self, result: expression.Result) -> None:
        if result.is_error():
            self.finish_error(result.error)
        elif result.ok is None:
            self.set_status(204)
            self.finish()
        else:
            self.set_header("Content-Type", "application/json")
            self.finish(codec.to_json(result.ok))

    async def relay(self, result: expression.Result) -> None:
        """Sends the events of a stream and flushes each one at once."""
        if result.is_error():
            self.finish_error(result.error)
            return
        reader = self.reader = result.ok
        self.set_header("Content-Type", "text/event-stream")
        try:
            await self.flush()
            while True:
                part = await reader.read()
                if part.is_error():
                    self.drop()
                if part.ok is None:
                    break
                self.write(part.ok.data)
                await self.flush()
            self.finish()
        except tornado.iostream.StreamClosedError:
            pass
        finally:
            await reader.close()


class Export(Handler):
    async def post(self, handle: str) -> None:
        moved = await self.core.export(handle)
        if moved.is_error():
            raise tornado.web.HTTPError(404)
        self.finish({"bytes": moved.ok})


class Order(Handler):
    """Passes an order to the method of the core with the same name."""

    async def post(self, name: str) -> None:
        order = self.parse_order(ORDER_TYPES[name])
        result = await getattr(self.core, name)(order)
        if name in ("decode", "resume"):
            await self.relay(result)
        else:
            self.finish_json(result)


class Stream(Handler):
    async def delete(self, request_id: str) -> None:
        generation = int(self.get_argument("incarnation"))
        self.finish_json(await self.core.cancel(request_id, generation))


class Load(Handler):
    async def get(self) -> None:
        self.finish_json(await self.core.load())


class CacheEvents(Handler):
    async def get(self) -> None:
        after = int(self.get_argument("after", "0"))
        self.finish_json(await self.core.cache_events(after))


class Control(Handler):
    """Sets fault switches; refuses connections for `down_s` seconds."""

    async def post(self) -> None:
        switches = json.loads(self.request.body)
        down_s = switches.pop("down_s", 0)
        self.core.set_faults(**switches)
        self.set_status(204)
        await self.finish()
        if down_s:
            await self.server.refuse_connections(down_s)


class History(Handler):
    """Returns the received orders and the held streams of the engine."""

    async def get(self) -> None:
        self.finish(
            {
                "seen": [attrs.asdict(seen) for seen in self.core.seen],
                "held": [attrs.asdict(held) for held in self.core.held()],
                "wasted_prefill_tokens": self.core.wasted_prefill_tokens,
                "fence": self.core.fence,
            }
        )


ROUTES = [
    (r"/v1/(prefill|decode|resume|configure)", Order),
    (r"/v1/kv/([^/]+)/export", Export),
    (r"/v1/streams/([^/]+)", Stream),
    (r"/v1/load", Load),
    (r"/v1/cache-events", CacheEvents),
    (r"/control", Control),
    (r"/history", History),
]


async def serve(args: argparse.Namespace) -> None:
    """Serves one engine until the process is killed."""
    cost = costs.Costs(
        step_s=args.step_ms / 1000,
        slots=args.slots,
        kv_blocks=args.kv_blocks,
        load_lag_s=args.lag_s,
    )
    core = engine_core.EngineCore(
        args.name,
        endpoints.EngineRole(args.role),
        import_kv,
        random.Random(args.seed),
        cost,
        args.checks_fence,
    )
    server = Server(core, ROUTES, args.port)
    print(f"ready {server.port}", flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Parses the command line and serves."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--role", default="decode")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--step-ms", type=float, default=25.0)
    parser.add_argument("--slots", type=int, default=20)
    parser.add_argument("--kv-blocks", type=int, default=400)
    parser.add_argument("--lag-s", type=float, default=1.0)
    parser.add_argument("--checks-fence", action="store_true")
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
