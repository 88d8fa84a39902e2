"""An engine sends a second copy of a refusal, late, while it runs the request.

The handles of a prefill engine lapse at once for a while, so the decode
engines refuse requests that they can't fetch the memory for. They also send
second copies of a few answers, late but never inside another answer.
"""

import asyncio
import collections
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import standins

PAUSE_S = 0.125
OUTPUT_TOKENS = 2360
TROUBLE_AT_S = (6.0, 13.0, 20.0, 27.0, 34.0)
EXTRA_FOR_S, EXTRA_SHARE = 5.0, 0.03
LAPSE_FOR_S = 4.0
LATE_S = (0.06, 0.25)
FIRST_EVENT_S = 0.3
"""Time for which an engine works on a request before its first event."""
END_AT_S = 41.0
ROUTES = [standins.route("premium", "streaming", "writer")]


class Garbling:
    """How many of the answers may be sent twice now."""

    def __init__(self):
        self.on = False
        self.answers = self.copies = 0

    def start(self):
        self.on = True
        self.answers = self.copies = 0

    def takes_copy(self):
        """Takes one copy if the share of copies stays within the limit."""
        if not self.on or self.copies + 1 > EXTRA_SHARE * self.answers:
            return False
        self.copies += 1
        return True


class Decode(standins.Worker):
    """Refuses lapsed handles; sends a few answers twice."""

    garbling = None
    lapsed = ""
    """Address of the engine whose handles lapse at once."""
    rng = random.Random(1)

    def __init__(self, *args):
        super().__init__(*args)
        self._answering = set()

    def _count(self):
        if self.garbling is not None and self.garbling.on:
            self.garbling.answers += 1

    async def reply(self, writer, *args, **more):
        self._count()
        await super().reply(writer, *args, **more)

    async def run(self, fields, writer):
        source = fields.get("kv-source", "").partition("/")[0]
        if source == self.lapsed:
            await self.refuse_lapsed(fields, writer)
            return
        self.note_run(fields)
        self.active += 1
        try:
            await asyncio.sleep(FIRST_EVENT_S)
            self._count()
            self._answering.add(writer)
            await self.stream(fields, writer)
        finally:
            self._answering.discard(writer)
            self.active -= 1

    async def refuse_lapsed(self, fields, writer):
        request = fields["request-id"]
        self.record.line("refused", worker=self.id, request=request)
        await self.refuse(fields, writer)
        if self.garbling is not None and self.garbling.takes_copy():
            asyncio.get_running_loop().call_later(
                self.rng.uniform(*LATE_S), self._send_again, fields, writer
            )

    def _send_again(self, fields, writer):
        if writer.is_closing() or writer in self._answering:
            return
        request = fields["request-id"]
        self.record.line("second_copy", worker=self.id, request=request)
        head = f"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {request}"
        writer.write(
            f"{head}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
        )


async def send(world, instance, number):
    client = standins.Client(world.record)
    await client.connect(instance.front)
    request = f"r{number}"
    fields = standins.model_fields(request, output=OUTPUT_TOKENS)
    answer = await client.send(request, "/premium/draft", fields)
    client.close()
    return answer


async def make_trouble(world, prefill, decodes):
    garbling = Garbling()
    for each in decodes:
        each.garbling = garbling
    for at_s in TROUBLE_AT_S:
        await asyncio.sleep(max(0.0, at_s - world.record.now()))
        if not standins.trouble():
            continue
        garbling.start()
        world.record.line("extra_copies", share=EXTRA_SHARE)
        await asyncio.sleep(EXTRA_FOR_S - LAPSE_FOR_S)
        for each in decodes:
            each.lapsed = f"{standins.HOST}:{prefill.port}"
        world.record.line("handles_lapse", worker=prefill.id)
        await asyncio.sleep(LAPSE_FOR_S)
        for each in decodes:
            each.lapsed = ""
        garbling.on = False
        world.record.line(
            "end", answers=garbling.answers, copies=garbling.copies
        )


async def scenario(world):
    record = world.record
    prefill = await world.add_worker(
        standins.Worker("p1", "writer", record, "prefill")
    )
    decodes = [
        await world.add_worker(Decode(name, "writer", record, "decode"))
        for name in ("d1", "d2", "d3")
    ]
    for each in decodes:
        each.events = OUTPUT_TOKENS // standins.ENGINE["stride"]
    for name in ("w1", "w2"):
        await world.add_worker(standins.Worker(name, "ledger", record))
    world.store.put("config", "main", standins.configuration(7, ROUTES))
    instance = world.add_instance("edge-1")
    instance.start()
    await instance.until_ready()
    await asyncio.sleep(1.0)
    troubled = world.spawn(make_trouble(world, prefill, decodes))
    tasks = []
    for number in range(10**6):
        if record.now() > END_AT_S:
            break
        tasks.append(world.spawn(send(world, instance, number)))
        await asyncio.sleep(PAUSE_S)
    answers = await asyncio.gather(*tasks)
    await troubled
    runs = collections.Counter(
        request for worker in decodes for request, _ in worker.runs
    )
    broken = 0
    for answer in answers:
        if runs[answer.request] > 1:
            broken += 1
            record.line(
                "ran_twice",
                request=answer.request,
                runs=runs[answer.request],
                status=answer.status,
            )
        elif answer.status in (408, 421, 429, 503) and runs[answer.request]:
            record.line("refused_but_ran", request=answer.request)
    return broken


if __name__ == "__main__":
    standins.main(__file__, scenario)
