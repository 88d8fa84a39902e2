"""A prompt that waits for a slow prefill goes on at an engine that left."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import standins

PAUSE_S = 0.2
SLOW_AT_S, SLOW_FOR_S, SLOW_X = (8.0, 22.0, 36.0), 6.5, 4
PREFILL_TOKENS_S = 55555.6
DRAIN_AT_S = (12.0, 12.9, 26.0, 26.9, 40.0, 40.9)
"""Two of the four engines are replaced each time."""
END_AT_S = 44.0
STARTED_S = 0.25
"""Time from the start of a new engine to the report of the old one."""
LINGER_S = 1.5
ROUTES = [standins.route("premium", "streaming", "writer")]


class Slow(standins.Worker):
    """Works four times as long for a while."""

    slow = False

    async def prefill(self, fields, writer):
        factor = SLOW_X if self.slow and standins.trouble() else 1
        self.prefill_tokens_s = PREFILL_TOKENS_S / factor
        await super().prefill(fields, writer)


async def send(world, instance, number):
    client = standins.Client(world.record)
    await client.connect(instance.front)
    request = f"r{number}"
    fields = standins.model_fields(request)
    answer = await client.send(request, "/premium/draft", fields)
    client.close()
    return answer


async def traffic(world, instances):
    tasks = []
    for number in range(10**6):
        if world.record.now() > END_AT_S:
            break
        instance = instances[number % len(instances)]
        tasks.append(world.spawn(send(world, instance, number)))
        await asyncio.sleep(PAUSE_S)
    return await asyncio.gather(*tasks)


async def slow_down(world, worker):
    for at_s in SLOW_AT_S:
        await asyncio.sleep(max(0.0, at_s - world.record.now()))
        worker.slow = True
        world.record.line("slow", worker=worker.id)
        await asyncio.sleep(SLOW_FOR_S)
        worker.slow = False
        world.record.line("fast", worker=worker.id)


async def replace(world, worker, replacement, at_s):
    """Starts a new engine and lets an old one leave."""
    await asyncio.sleep(max(0.0, at_s - STARTED_S - world.record.now()))
    await world.add_worker(replacement)
    await asyncio.sleep(max(0.0, at_s - world.record.now()))
    drained_at = world.drain(worker)
    await asyncio.sleep(standins.BOUNDS["drain_ms"] / 1000 + LINGER_S)
    await worker.close()
    world.store.remove("servers", worker.id)
    world.record.line("gone", worker=worker.id)
    return drained_at


async def scenario(world):
    record = world.record
    prefill = await world.add_worker(Slow("p1", "writer", record, "prefill"))
    decodes = [
        standins.Worker(f"d{n}", "writer", record, "decode")
        for n in range(1, 10)
    ]
    for each in decodes[:3]:
        await world.add_worker(each)
    for n in range(1, 5):
        await world.add_worker(standins.Worker(f"w{n}", "ledger", record))
    world.store.put("config", "main", standins.configuration(7, ROUTES))
    instances = [world.add_instance(f"edge-{n}") for n in (1, 2)]
    for each in instances:
        each.start()
    for each in instances:
        await each.until_ready()
    await asyncio.sleep(1.0)
    sent = world.spawn(traffic(world, instances))
    slowed = world.spawn(slow_down(world, prefill))
    drained = await asyncio.gather(
        *(
            replace(world, decodes[number], decodes[number + 3], at_s)
            for number, at_s in enumerate(DRAIN_AT_S)
        )
    )
    await slowed
    answers = await sent
    broken = 0
    bound_s = standins.BOUNDS["drain_ms"] / 1000
    by_request = {each.request: each for each in answers}
    for worker, drained_at in zip(decodes, drained, strict=False):
        for request, at in worker.arrivals:
            if at - drained_at > bound_s:
                broken += 1
                record.line(
                    "late_arrival",
                    worker=worker.id,
                    request=request,
                    after_report=round(at - drained_at, 3),
                    complete=by_request[request].complete,
                )
    return broken


if __name__ == "__main__":
    standins.main(__file__, scenario)
