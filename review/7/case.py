"""A stopped instance takes calls while it closes its connections."""

import asyncio
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from common2 import standins as st  # noqa: E402

CONNECTIONS = 160
CALLS_PER_S = 40.0
FROM_S, TO_S = 3.05, 5.0
RESTART_S = 0.5
DEADLINE_MS = 600


async def play(record, folder, processes):
    store = st.Store()
    await store.start()
    routes = [st.route("reserve", "non_idempotent", "ledger", 600, 145)]
    store.put("config", "main", st.configuration(1, routes))
    workers = [st.Worker(store, record, "ledger") for _ in range(4)]
    for each in workers:
        await each.start()
    one, two = instances = [
        st.Instance(f"edge-{n}", store, record, folder) for n in (1, 2)]
    processes += instances
    for each in instances:
        await each.start()
    for each in instances:
        await each.until_ready()
    await asyncio.sleep(2.0)

    # Clients use the fleet for a while and keep their connections.
    kept = []
    while len(kept) < CONNECTIONS:
        group = [await st.Client(record).connect(two.callers)
                 for _ in range(8)]
        for client in group:
            client.send("/reserve/a", body=b"r" * 200, deadline_ms=DEADLINE_MS)
        for client in group:
            got, whole = await client.read()
            if not whole or got.status not in (200, 503):
                raise st.CannotRun("a call before the stop failed")
        kept += group
    await asyncio.sleep(0.5)

    restarter = None
    if not st.NO_TROUBLE:
        one.signal(signal.SIGTERM)
        restarter = asyncio.create_task(restart(one))
    await asyncio.sleep(0.9)
    found = await st.resolve([two, one])
    if found is None or f"{st.HOST}:{two.callers}" not in found[0]:
        raise st.CannotRun("no instance is named")
    record(f"clients are told {found}")
    resolved_at = record.now()
    await asyncio.sleep(0.1)
    if not st.NO_TROUBLE:
        two.signal(signal.SIGTERM)
    stopped_at = record.now()
    # Some clients keep an answer three times as long as it says, and longer if
    # they can't obtain a new one.
    await asyncio.sleep(resolved_at + 3 * found[1] - record.now())
    again = await st.resolve([one, two])
    record(f"clients ask again and are told {again}")
    if again is not None and not st.NO_TROUBLE:
        raise st.CannotRun("the clients were told of another instance")
    await asyncio.sleep(max(0.0, stopped_at + FROM_S - record.now()))

    rng = random.Random(8)
    tasks = []
    while kept and record.now() < stopped_at + TO_S:
        if two.process.returncode is not None:
            break
        client = kept.pop(rng.randrange(len(kept)))
        if client.reader.at_eof() or client.writer.is_closing():
            continue
        tasks.append(asyncio.create_task(call(client, record, workers,
                                              stopped_at)))
        await asyncio.sleep(rng.expovariate(CALLS_PER_S))
    outcomes = await asyncio.gather(*tasks)
    broken = outcomes.count("lost")
    counts = {each: outcomes.count(each) for each in sorted(set(outcomes))}
    record(f"calls sent from {FROM_S} s after SIGTERM on: {counts}")
    if restarter is not None:
        restarter.cancel()
    return broken > 0


async def call(client, record, workers, stopped_at):
    """Returns what became of one call on a kept connection."""
    request_id = client.send("/reserve/b", body=b"r" * 200,
                             deadline_ms=DEADLINE_MS)
    sent_at = record.now()
    got, whole = await client.read(timeout_s=DEADLINE_MS / 1000)
    ended_at = record.now()
    await asyncio.sleep(0.3)
    runs = sum(each.runs.get(request_id, 0) for each in workers)
    if whole:
        return f"answered {got.status}"
    in_time = ended_at - sent_at < DEADLINE_MS / 1000
    record(f"client has no answer for {request_id}, sent "
           f"{sent_at - stopped_at:.3f} s after SIGTERM: closed "
           f"{1000 * (ended_at - sent_at):.1f} ms after sending; runs: {runs}")
    return "lost" if runs and in_time else "closed without a run"


async def restart(instance):
    """Starts a process again a short while after it ended."""
    await instance.process.wait()
    instance.record(f"{instance.name} has ended")
    await asyncio.sleep(RESTART_S)
    await instance.start()


st.run(FOLDER, play)
