"""One entry that can't be read takes all instances beyond their memory."""

import asyncio
import json
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from common2 import standins as st  # noqa: E402

MEMORY_MB = 150
VALUE_BYTES = 1048576
ENTRY_BYTES = 1045000
LASTS_S = 15.0
RESTART_S = 0.5
CALL_EVERY_S = 0.1


async def play(record, folder, processes):
    store = st.Store()
    await store.start()
    routes = [st.route("lookup", "idempotent", "ledger", 600, 145)]
    store.put("config", "main", st.configuration(1, routes))
    workers = [st.Worker(store, record, "ledger") for _ in range(2)]
    for each in workers:
        await each.start()
    instances = [st.Instance(f"edge-{n}", store, record, folder, MEMORY_MB)
                 for n in (1, 2, 3)]
    processes += instances
    for each in instances:
        await each.start()
    for each in instances:
        await each.until_ready()
    await asyncio.sleep(3.0)
    ends = {each.name: 0 for each in instances}
    peaks = {each.name: 0.0 for each in instances}
    platform = [asyncio.create_task(keep(each, ends, peaks))
                for each in instances]
    await asyncio.sleep(2.0)
    record(f"largest private memory so far, MB: {peaks}")

    # Another writer's entry: its `version` is a long text that ends with half of
    # a character, which is JSON but no text. All else is that of a worker.
    spec = dict(store.kinds["servers"][workers[0].name]["spec"])
    text = "x" * (ENTRY_BYTES if not st.NO_TROUBLE else 10) + "\ud83d"
    store.put("servers", "i-ffff", {**spec, "version": text})
    item = json.dumps(store.kinds["servers"]["i-ffff"])
    record(f"an entry of {len(item)} bytes comes; value_bytes is {VALUE_BYTES}")
    outcomes = []
    until = record.now() + LASTS_S
    while record.now() < until:
        outcomes += await asyncio.gather(*(
            call(record, each) for each in instances))
        await asyncio.sleep(CALL_EVERY_S)
    for each in platform:
        each.cancel()
    record(f"largest private memory, MB: {peaks}")
    record(f"processes ended, by instance: {ends}")
    record(f"calls: {({o: outcomes.count(o) for o in sorted(set(outcomes))})}")
    # Fault: on a tenth of the machines in use (two at least) processes end by
    # themselves three times.
    return sum(count >= 3 for count in ends.values()) >= 2


async def keep(instance, ends, peaks):
    """The platform: kills what exceeds its memory, and starts it again."""
    while True:
        used_mb = instance.memory_mb()
        peaks[instance.name] = max(peaks[instance.name], round(used_mb, 1))
        if used_mb > MEMORY_MB and instance.process.returncode is None:
            instance.record(f"{instance.name} has {used_mb:.1f} MB of private "
                            f"memory, its limit is {MEMORY_MB} MB")
            instance.signal(signal.SIGKILL)
        if instance.process.returncode is not None:
            ends[instance.name] += 1
            instance.record(f"{instance.name} has ended")
            await asyncio.sleep(RESTART_S)
            await instance.start()
        await asyncio.sleep(0.004)


async def call(record, instance):
    client = st.Client(lambda text: None)
    try:
        await client.connect(instance.callers)
    except OSError:
        return "no connection"
    client.send("/lookup/a", "GET")
    got, whole = await client.read(timeout_s=0.6)
    client.close()
    return f"{got.status}" if whole else "no answer"


st.run(FOLDER, play)
