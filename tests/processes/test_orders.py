"""Tests of orders with real processes while the platform or a service fails."""

import asyncio
import signal

from processes import world

from bench import cluster
from seam_model import endpoints
from seam_node.adapters import service_http


def test_orders_wait_for_a_stopped_platform_and_run_once():
    async def test(clu, user):
        url = clu.url("e1")
        keys = [world.new_id() for _ in range(4)]
        platform = clu.processes["platform"]
        platform.signal(signal.SIGSTOP)
        refused = await asyncio.gather(
            *(world.send_order(clu, user, url, key) for key in keys)
        )
        for status, body in refused:
            assert status in (503, 504), body
            assert body["ran"] == "no"
        body = world.request_fields(20)
        world.check_complete(await world.generate(user, url, body), 20)
        assert not await world.execution_counts(clu)
        platform.signal(signal.SIGCONT)
        for key in keys:

            async def done(key=key):
                return (await world.send_order(clu, user, url, key))[0] == 200

            await world.wait_until(done, "a successful answer to the order")
        assert await world.execution_counts(clu) == dict.fromkeys(keys, 1)

    world.run(test)


def test_orders_at_a_platform_too_slow_to_answer_run_at_most_once():
    async def test(clu, user):
        urls = [clu.url("e1"), clu.url("e2")]
        keys = [world.new_id() for _ in range(3)]
        await clu.control("platform", slow_s=2.5)
        sent = [(key, url) for key in keys for url in urls]
        answers = await asyncio.gather(
            *(world.send_order(clu, user, url, key) for key, url in sent)
        )
        early = await world.execution_counts(clu)
        for (key, _), (status, body) in zip(sent, answers, strict=True):
            if status != 200 and body["ran"] == "no":
                assert early.get(key, 0) <= 1
        await clu.control("platform", slow_s=0.0)
        for key in keys:

            async def settled(key=key):
                status, body = await world.send_order(clu, user, urls[1], key)
                return status == 200 or body["ran"] == "unknown"

            await world.wait_until(settled, "the outcome of the order")
        counts = await world.execution_counts(clu)
        assert max(counts.values(), default=0) <= 1
        fresh = world.new_id()

        async def works():
            return (await world.send_order(clu, user, urls[0], fresh))[0] == 200

        await world.wait_until(works, "a successful order")

    world.run(test)


class _ClosingServer:
    """Answers the first request of a connection; closes on the second."""

    def __init__(self):
        self.runs = []

    async def accept(self, reader, writer):
        for number in range(2):
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            self.runs.append(head.split(b" ", 2)[1].decode())
            if number == 0:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                await writer.drain()
        writer.close()


def test_order_is_not_repeated_when_a_kept_connection_closes():
    async def main():
        closing = _ClosingServer()
        server = await asyncio.start_server(closing.accept, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        record = endpoints.EndpointRecord(
            "ledger-1", "service", f"http://127.0.0.1:{port}", "cebu-a"
        )
        service = service_http.HttpService()

        def order(operation, key):
            return endpoints.ServiceOrder(
                cluster.SERVICE, operation, "w", b"", key, 5.0
            )

        for _ in range(3):
            await service.call(record, order("lookup", ""))
        # libcurl retries lookups on a new connection. An order must not be
        # retried like this, since it could then run twice.
        assert len(closing.runs) > 3
        for _ in range(4):
            await service.call(record, order("reserve", world.new_id()))
        runs = [path for path in closing.runs if path.endswith("reserve")]
        assert len(runs) == 4
        await service.close()
        server.close()

    asyncio.run(main())
