"""HTTP stand-in for the plain services, over `service_core`.

Run with `python -m standins.service_server --name S1`; prints `ready PORT`.
"""

import argparse
import asyncio

import attrs

from standins import engine_server
from standins import service_core


class Call(engine_server.Handler):
    async def post(self, service: str, operation: str) -> None:
        key = self.request.headers.get("Idempotency-Key", "")
        body = self.request.body
        result = await self.core.call(service, operation, key, body)
        if result.is_error():
            self.finish_error(result.error)
            return
        self.set_header("Content-Type", result.ok.content_type)
        self.finish(result.ok.body)


class History(engine_server.Handler):
    async def get(self) -> None:
        runs = [attrs.asdict(run) for run in self.core.executions]
        self.finish({"executions": runs})


ROUTES = [
    (r"/v1/([a-z-]+)/([a-z-]+)", Call),
    (r"/control", engine_server.Control),
    (r"/history", History),
]


async def serve(args: argparse.Namespace) -> None:
    """Serves until the process is killed."""
    core = service_core.ServiceCore(args.name)
    core.set_faults(latency_s=args.latency_ms / 1000)
    server = engine_server.Server(core, ROUTES, args.port)
    print(f"ready {server.port}", flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Parses the command line and serves."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--latency-ms", type=float, default=2.0)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
