"""Second copies of answers, which endpoints send late.

Each test guards against taking a copy of an earlier answer for the answer to a
later call on the same connection.
"""

import asyncio

from standins import forward_endpoint
from standins import forward_world

COPY_DELAY_S = 0.15
RUN_S = 0.4
"""Time from the start of a run to its first event."""


def is_run(received):
    internal = received.target.startswith("/sycamoreseam/")
    return not internal and not received.prefills


class RefusesOnce:
    """Refuses the first of some calls, and sends the refusal once more."""

    def __init__(self, concerns):
        self._concerns = concerns
        self._is_first = True

    async def __call__(self, endpoint, received, writer):
        if not self._concerns(received):
            await forward_endpoint.reply_engine(endpoint, received, writer)
            return
        if self._is_first:
            self._is_first = False
            writer.write(forward_endpoint.refusal(received))
            asyncio.get_running_loop().call_later(
                COPY_DELAY_S, writer.write, forward_endpoint.refusal(received)
            )
            return
        await asyncio.sleep(RUN_S)
        await forward_endpoint.reply_engine(endpoint, received, writer)


def test_late_copy_of_refusal_makes_no_request_run_twice():
    async def scenario(world):
        _, decode = await world.engines()
        decode.reply = RefusesOnce(is_run)
        caller = await world.connect()
        response = await caller.request_model()
        assert (response.status, response.complete) == (200, True)
        assert len(decode.ran) == 1

    forward_world.run_scenario(scenario)


def test_log_tells_copies_from_answers():
    async def scenario(world):
        plain = await world.endpoint("plain-1", reply=_answer_twice)
        caller = await world.connect()
        await caller.request("/read/1", request_id="first")
        await caller.request("/read/1", request_id="second")
        (skipped,) = world.logged("answer_skipped")
        assert (skipped["request"], skipped["answer_to"]) == ("second", "first")
        assert skipped["status"] == 200
        assert len(plain.ran) == 2

    forward_world.run_scenario(scenario)


def test_log_names_the_connections_of_all_sendings():
    async def scenario(world):
        _, decode = await world.engines()
        decode.reply = RefusesOnce(is_run)
        caller = await world.connect()
        await caller.request_model(request_id="refused-once")
        (failed,) = world.logged("send_failed")
        assert failed["request"] == "refused-once"
        numbers = failed["connections"].split(",")
        assert len(numbers) == len(set(numbers)) == 2

    forward_world.run_scenario(scenario)


async def _answer_twice(endpoint, received, writer):
    """Sends a second copy once the connection is in use again."""
    if received.request_id == "second":
        first, *_ = endpoint.ran
        writer.write(forward_endpoint.answer(first))
        await asyncio.sleep(COPY_DELAY_S)
    await forward_endpoint.reply_whole(endpoint, received, writer)


class PrefillsWithCopy:
    """Prefills; sends the first answer once more, during the next prefill."""

    def __init__(self):
        self._count = 0

    async def __call__(self, endpoint, received, writer):
        if not received.prefills:
            await forward_endpoint.reply_engine(endpoint, received, writer)
            return
        self._count += 1
        body = b'{"kv_handle":"kv%d","tokens":1}' % self._count
        reply = forward_endpoint.answer(received, body)
        if self._count == 1:
            asyncio.get_running_loop().call_later(
                COPY_DELAY_S, writer.write, reply
            )
        else:
            await asyncio.sleep(RUN_S)
        writer.write(reply)


class LosesFirstRun:
    """Closes the connection of the first run, at whichever engine it is."""

    def __init__(self):
        self._is_first = True

    async def __call__(self, endpoint, received, writer):
        if is_run(received) and self._is_first:
            self._is_first = False
            writer.close()
            return
        await forward_endpoint.reply_engine(endpoint, received, writer)


def test_late_copy_of_prefill_is_not_taken_for_the_next_one():
    async def scenario(world):
        prefill, decode = await world.engines()
        decodes = [decode, await world.engine("decode-2", "decode")]
        prefill.reply = PrefillsWithCopy()
        decode.reply = decodes[1].reply = LosesFirstRun()
        caller = await world.connect()
        response = await caller.request_model("/long/1")
        assert (response.status, response.complete) == (200, True)
        (run,) = [run for each in decodes for run in each.ran]
        source = run.headers["kv-source"]
        assert source == f"127.0.0.1:{prefill.port}/kv2"

    forward_world.run_scenario(scenario)


class CopiesRefusalIntoHold:
    """Refuses a run; sends the refusal again while a hold is asked for."""

    def __init__(self):
        self._refused = None

    async def __call__(self, endpoint, received, writer):
        if is_run(received) and self._refused is None:
            self._refused = (received, writer)
            writer.write(forward_endpoint.refusal(received))
            return
        is_hold = received.target.startswith("/sycamoreseam/hold-take")
        if is_hold and self._refused and self._refused[1] is writer:
            writer.write(forward_endpoint.refusal(self._refused[0]))
            await asyncio.sleep(COPY_DELAY_S)
        await forward_endpoint.reply_engine(endpoint, received, writer)


def test_late_copy_of_refusal_is_not_taken_for_the_answer_to_a_hold():
    async def scenario(world):
        _, decode = await world.engines()
        decode.reply = CopiesRefusalIntoHold()
        caller = await world.connect()
        response = await caller.request_model()
        assert (response.status, response.complete) == (200, True)
        asked = [each.target for each in decode.received].count(
            "/sycamoreseam/hold-take"
        )
        # The second hold was not taken for refused.
        assert (asked, decode.ran[0].headers["kv-hold"]) == (2, "h2")

    forward_world.run_scenario(scenario)
