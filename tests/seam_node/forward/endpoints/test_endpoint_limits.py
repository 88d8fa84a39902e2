"""Endpoints that name how many requests a second they take."""

import asyncio
import itertools

from standins import forward_endpoint
from standins import forward_world

LIMIT = 2.0
"""Requests a second that the endpoint takes."""
WINDOW_S = 2.0
MAX_REQUESTS = 1.5 * LIMIT * WINDOW_S + 5
"""What a limited endpoint may get within the window."""


def limited(rate, reply=forward_endpoint.reply_whole):
    """Returns a reply that names a limit."""

    async def named(endpoint, received, writer):
        arrived_at, ran = asyncio.get_running_loop().time(), len(endpoint.ran)
        writer = _Naming(writer, rate)
        await reply(endpoint, received, writer)
        if len(endpoint.ran) > ran:
            named.arrivals.append(arrived_at)

    named.arrivals = []
    return named


def most_in_window(times):
    """Returns the most arrivals in any span of the window's length."""
    return max(
        sum(at <= other <= at + WINDOW_S for other in times) for at in times
    )


class _Naming:
    """Adds the limit to the head of each answer."""

    def __init__(self, writer, rate):
        self._writer = writer
        self._rate = rate

    def write(self, data):
        if data.startswith(b"HTTP/1.1"):
            first, rest = data.split(b"\r\n", 1)
            named = f"Server-Limit: {self._rate}\r\n".encode()
            data = first + b"\r\n" + named + rest
        self._writer.write(data)

    async def drain(self):
        await self._writer.drain()


async def send_calls(world, path="/read/1", window_s=WINDOW_S, rate=40):
    """Sends calls at a rate; returns the answers."""
    calls = []
    for _ in range(round(window_s * rate)):
        calls.append(asyncio.ensure_future(world.request(path)))
        await asyncio.sleep(1 / rate)
    return await asyncio.gather(*calls)


def test_a_limited_endpoint_gets_no_more_calls_than_it_takes():
    async def scenario(world):
        weak = await world.endpoint("a-weak", reply=limited(LIMIT))
        await world.endpoint("b-strong")
        answers = await send_calls(world)
        assert {answer.status for answer in answers} == {200}
        assert len(weak.ran) <= MAX_REQUESTS

    forward_world.run_scenario(scenario)


def test_a_limited_engine_decodes_no_more_prompts_than_it_takes():
    async def scenario(world):
        reply = limited(LIMIT, forward_endpoint.reply_engine)
        weak = await world.engine("a-weak", "decode")
        weak.reply = reply
        strong = await world.engine("b-strong", "decode")
        count = 40
        started_at = asyncio.get_running_loop().time()
        for _ in range(count):
            caller = await world.connect()
            answer = await caller.request_model()
            caller.close()
            assert (answer.status, answer.complete) == (200, True)
            await asyncio.sleep(WINDOW_S / count)
        assert len(reply.arrivals) == len(weak.ran)
        assert most_in_window(reply.arrivals) <= MAX_REQUESTS
        # A busy machine stretches the run over several windows.
        lasted_s = asyncio.get_running_loop().time() - started_at
        assert len(strong.ran) >= count - (1.5 * LIMIT * lasted_s + 5)

    forward_world.run_scenario(scenario)


def test_calls_that_fit_nowhere_are_refused_at_once_with_a_return_time():
    async def scenario(world):
        weak = await world.endpoint("a-weak", reply=limited(LIMIT))
        answers = await send_calls(world)
        refused = [each for each in answers if each.status == 503]
        assert len(weak.ran) <= MAX_REQUESTS
        assert len(refused) == len(answers) - len(weak.ran)
        times = [float(each.headers["retry-after"]) for each in refused]
        returns = sorted(set(times))[:4]
        steps = [b - a for a, b in itertools.pairwise(returns)]
        assert returns[0] > 0
        assert min(steps) >= 0.8 / LIMIT

    forward_world.run_scenario(scenario)
