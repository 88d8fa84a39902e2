"""HTTP stand-in for the platform, over `platform_core`.

Run with `python -m standins.platform_server`; prints `ready PORT`.
"""

import argparse
import asyncio
import json
import time

import expression
import tornado.httpserver
import tornado.netutil
import tornado.web

from seam_model import codec
from seam_model import endpoints
from seam_model import platform_errors
from standins import platform_core


class Faults:
    """Fault switches, set through `/control`."""

    def __init__(self, slow_s: float):
        """Sets a latency of `slow_s` and no other fault."""
        self.down = False
        self.slow_s = slow_s
        self.lose_answers = 0


class _Base(tornado.web.RequestHandler):
    def initialize(self, core: platform_core.PlatformCore, faults: Faults):
        self.core = core
        self.faults = faults

    async def prepare(self) -> None:
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        if self.faults.down:
            self._drop()
            raise tornado.web.Finish

    def reply(self, result: expression.Result, write: bool = False) -> None:
        if write and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            self._drop()
            return
        if result.is_ok():
            stored = result.ok
            self.set_header(
                "X-Version", str(getattr(stored, "version", stored))
            )
            self.finish(getattr(stored, "data", b""))
            return
        conflict = isinstance(result.error, platform_errors.VersionConflict)
        self.set_status(409 if conflict else 404)
        current = result.error.current if conflict else 0
        self.set_header("X-Version", str(current))
        self.finish()

    def _drop(self) -> None:
        self._finished = True
        self.request.connection.stream.close()


class _Object(_Base):
    async def get(self, key: str) -> None:
        above = self.get_argument("above", None)
        if above is None:
            self.reply(self.core.get(key))
            return
        timeout_s = float(self.get_argument("timeout_s"))
        stored = await self.core.watch(key, int(above), timeout_s)
        if stored is None:
            self.set_status(204)
            return
        self.reply(expression.Ok(stored))

    def put(self, key: str) -> None:
        expected = int(self.request.headers["If-Version"])
        result = self.core.put(key, self.request.body, expected)
        self.reply(result, write=True)

    def delete(self, key: str) -> None:
        expected = int(self.request.headers["If-Version"])
        self.reply(self.core.delete(key, expected), write=True)


class _Keys(_Base):
    def get(self) -> None:
        keys = self.core.list_keys(self.get_argument("prefix", ""))
        self.finish({"keys": list(keys)})


class _Fleet(_Base):
    def get(self) -> None:
        self.finish(codec.to_json(self.core.fleet()))


class _FleetMember(_Base):
    def put(self, kind: str, _name: str) -> None:
        if kind == "instances":
            cls, add = endpoints.InstanceRecord, self.core.announce
        else:
            cls, add = endpoints.EndpointRecord, self.core.register
        add(codec.from_json(self.request.body, cls).ok)


class _Control(_Base):
    async def prepare(self) -> None:
        """Skips the faults: control calls also work while `down` is set."""

    def post(self) -> None:
        for name, value in json.loads(self.request.body).items():
            setattr(self.faults, name, value)
        self.finish(dict(self.core.counts))


def make_app(
    core: platform_core.PlatformCore, faults: Faults
) -> tornado.web.Application:
    """Returns the web application of the stand-in."""
    parts = {"core": core, "faults": faults}
    return tornado.web.Application(
        [
            (r"/v1/objects", _Keys, parts),
            (r"/v1/objects/([^/]+)", _Object, parts),
            (r"/v1/fleet", _Fleet, parts),
            (r"/v1/fleet/(instances|endpoints)/([^/]+)", _FleetMember, parts),
            (r"/control", _Control, parts),
        ],
        log_function=lambda handler: None,
    )


async def serve(args: argparse.Namespace) -> None:
    """Serves until the process is killed."""
    core = platform_core.PlatformCore(time.monotonic, args.lag_s)
    server = tornado.httpserver.HTTPServer(
        make_app(core, Faults(args.latency_s))
    )
    sockets = tornado.netutil.bind_sockets(args.port, "127.0.0.1")
    server.add_sockets(sockets)
    print(f"ready {sockets[0].getsockname()[1]}", flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Parses the command line and serves."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--lag-s", type=float, default=0.0)
    parser.add_argument("--latency-s", type=float, default=0.0)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
