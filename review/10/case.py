"""Instances that stop together each grant the whole quota of a tenant."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from common2 import standins as st  # noqa: E402

RATE, BURST = 60000, 60000
WINDOW_S, OVERAGE, SLACK = 8.0, 0.1, 120000
BOUND = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
PROMPT, OUTPUT = 5200, 30
TOKEN_S = 0.01
KEPT = 140
"""Kept connections to each instance."""
CALLS_PER_S = 15.0
"""Requests a second to each instance."""
BEFORE_S, AFTER_S = 3.0, 9.0
RESTART_S = 0.5
EXTRA = f"""
[keys]
revoke_ms = 5000
[quotas]
window_s = {WINDOW_S:.0f}
overage = {OVERAGE}
slack = {SLACK}
"""


class Engine(st.Engine):
    """Notes when each run begins."""

    began = []

    async def _stream(self, request_id, tokens, got, writer):
        self.began.append((self.record.now(), PROMPT + tokens))
        self.tenants.add(got.get("tenant-id"))
        await super()._stream(request_id, tokens, got, writer)

    tenants = set()


class Clients:
    """The clients of one instance, and their kept connections."""

    def __init__(self, record, instance):
        self.record, self.instance = record, instance
        self.kept = []
        self.counts = {}
        self.tasks = set()

    async def connect(self):
        for _ in range(KEPT):
            client = st.Client(lambda text: None)
            self.kept.append(await client.connect(self.instance.callers))

    async def flood(self, until):
        while self.record.now() < until:
            if self.kept:
                task = asyncio.create_task(self._call(self.kept.pop(0)))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1 / CALLS_PER_S)

    async def _call(self, client):
        if client.reader.at_eof():
            return
        own = next(st.Client.numbers)
        client.send("/draft/a", body=b"p" * 5000, deadline_ms=14000,
                    Model="m", Key="k-one",
                    Token_Count=f"{PROMPT},{OUTPUT}",
                    Prompt_Prefix=f"5c1e07a2:200,{own:08x}:5000")
        got, whole = await client.read()
        outcome = got.status if whole else "no answer"
        self.counts[outcome] = self.counts.get(outcome, 0) + 1
        if whole and got.get("connection") != "close":
            self.kept.append(client)
        else:
            client.close()


async def play(record, folder, processes):
    store = st.Store()
    await store.start()
    config = st.configuration(1, [
        st.route("draft", "streaming", "writers", 14000, 800,
                 gap_target_ms=300)])
    config["tenants"] = [{
        "name": "one", "api_keys": ["k-one"], "rate_per_s": RATE,
        "burst": BURST, "unit": "tokens", "plain_tokens": 200}]
    store.put("config", "main", config)
    engines = [Engine(store, record, stage, TOKEN_S)
               for stage in ["prefill"] * 4 + ["decode"] * 4]
    for each in engines:
        await each.start()
    instances = [st.Instance(f"edge-{n}", store, record, folder, extra=EXTRA)
                 for n in (1, 2, 3)]
    processes += instances
    for each in instances:
        await each.start()
    for each in instances:
        await each.until_ready()
    await asyncio.sleep(8.0)
    crowds = [Clients(record, each) for each in instances]
    for each in crowds:
        await each.connect()
    until = record.now() + BEFORE_S + AFTER_S
    floods = [asyncio.create_task(each.flood(until)) for each in crowds]
    await asyncio.sleep(BEFORE_S)
    restarters = []
    if not st.NO_TROUBLE:
        for each in instances:
            each.signal(signal.SIGTERM)
            restarters.append(asyncio.create_task(restart(each)))
            await asyncio.sleep(1.0)
        again = await st.resolve(instances)
        record(f"clients ask again and are told {again}")
    await asyncio.gather(*floods)
    for each in restarters:
        each.cancel()
    began = Engine.began
    most, at = max(
        (sum(size for when, size in began if at <= when < at + WINDOW_S), at)
        for at, _ in began)
    for each in crowds:
        record(f"answers of {each.instance.name}: {each.counts}")
    record(f"tenants at the workers: {Engine.tenants}")
    for second in range(int(began[0][0]), int(began[-1][0]) + 1):
        used = sum(size for when, size in began if second <= when < second + 1)
        record(f"tokens run from second {second} on: {used}")
    record(f"most tokens in {WINDOW_S} s: {most}, from {at:.2f} s on; the "
           f"bound is {BOUND:.0f}")
    return most > BOUND


async def restart(instance):
    """Starts a process again a short while after it ended."""
    await instance.process.wait()
    instance.record(f"{instance.name} has ended")
    await asyncio.sleep(RESTART_S)
    await instance.start()


st.run(FOLDER, play)
