"""Requests that wait for a place when their instance ends after SIGTERM."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import standins

PREMIUM_CLIENTS = 24
STANDARD_CLIENTS = 16
TERM_AT_S = 12.0
SEND_AFTER_S = (3.2, 3.4, 3.6, 3.8)
STANDARD_TOKENS = 2950
ROUTES = [
    standins.route("premium", "streaming", "writer"),
    standins.route(
        "standard",
        "streaming",
        "writer",
        target_latency_ms=2000,
        priority=2,
        max_attempts=2,
        resumable=True,
    ),
]


async def premium(world, instance, number):
    """Sends one stream after the other, as the counter staff do."""
    for count in range(1000):
        request = f"p{number}-{count}"
        client = standins.Client(world.record)
        await client.connect(instance.front)
        fields = standins.model_fields(request)
        answer = await client.send(request, "/premium/draft", fields)
        client.close()
        if answer.status != 200:
            await asyncio.sleep(float(answer.fields.get("retry-after", "0.5")))


async def standard(world, client, number, delay_s):
    request = f"s{number}"
    await asyncio.sleep(delay_s)
    fields = standins.model_fields(request, output=STANDARD_TOKENS)
    return await client.send(request, "/standard/draft", fields)


async def scenario(world):
    record = world.record
    for name, stage in (
        ("p1", "prefill"),
        ("p2", "prefill"),
        ("d1", "decode"),
        ("d2", "decode"),
    ):
        await world.add_worker(standins.Worker(name, "writer", record, stage))
    config = standins.configuration(7, ROUTES)
    world.store.put("config", "main", config)
    leaving, staying = (world.add_instance(x) for x in ("edge-1", "edge-2"))
    for each in (leaving, staying):
        each.start()
    for each in (leaving, staying):
        await each.until_ready()
    await asyncio.sleep(2.0)
    for number in range(PREMIUM_CLIENTS):
        world.spawn(premium(world, staying, number))
        await asyncio.sleep(0.13)
    await asyncio.sleep(max(0.0, TERM_AT_S - record.now()))
    clients = []
    for _ in range(STANDARD_CLIENTS):
        client = standins.Client(record)
        await client.connect(leaving.front)
        clients.append(client)
    term_at = record.now()
    if standins.trouble():
        leaving.signal(signal.SIGTERM)
    answers = await asyncio.gather(
        *(
            standard(world, client, number, SEND_AFTER_S[number % 4])
            for number, client in enumerate(clients)
        )
    )
    if standins.trouble():
        await leaving.until_ended()
    ran = {request for each in world.workers for request, _ in each.runs}
    return sum(
        is_lost(record, each, each.request in ran, term_at) for each in answers
    )


def is_lost(record, answer, has_run, term_at):
    """Returns whether a request was lost around the planned stop."""
    if answer.complete:
        return False
    waited_s = answer.ended_at - answer.sent_at
    sent_s = answer.sent_at - term_at
    lost = (
        sent_s > 3.0
        if has_run
        else waited_s > standins.BOUNDS["loss_slack_ms"] / 1000
    )
    record.line(
        "lost" if lost else "excused",
        request=answer.request,
        ran=has_run,
        sent_after_term=round(sent_s, 3),
        waited=round(waited_s, 3),
    )
    return lost


if __name__ == "__main__":
    standins.main(__file__, scenario)
