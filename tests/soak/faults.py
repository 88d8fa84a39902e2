"""Faults of the soak, drawn from a seed; they come in series and overlap."""

import asyncio
import itertools
import signal

DOWN_S = 0.4
STOPPED_S = 1.5
STOP_GAPS_S = (0.0, 0.3, 1.0)
LARGE_BYTES = 1_000_000
LARGE_TEXTS = {
    "half of a character": b'"' + b"x" * LARGE_BYTES + b'\\ud83d"',
    "no UTF-8": b'"' + b"\xff" * LARGE_BYTES + b'"',
    "escapes": b'"' + b"\\n" * (LARGE_BYTES // 2) + b'\\ud83d"',
    "lists": b"[" + b"[]," * (LARGE_BYTES // 3) + b"NaN]",
    "deep": b"[" * (LARGE_BYTES // 2) + b"]" * (LARGE_BYTES // 2),
}
"""Specs that no decoder takes, by what is wrong with them."""
UNPROVED_S = (6.0, 8.0)
"""Time in which the proof of a configuration gets too old."""
LEASE_LOST_S = (13.0, 16.0)
"""Time in which another instance takes the lease for orders over."""
PAUSED_S = (0.02, 0.6)
AWAY_S = 1.2
COPY_AGE_S = 2.0
MOOD_S = 1.2
MOODS = ("refuse", "cut", "twice", "unframed")
SIGN_S = 4.0
LIMIT = 2.0
LIMITED_S = 5.0
_numbers = itertools.count(1)


async def restart(fleet, rng, counts):
    """Stops an instance as planned and starts it again."""
    await fleet.restart(rng.choice(fleet.members), signal.SIGTERM)
    counts["planned stop"] += 1


async def stop_all(fleet, rng, counts):
    """Stops all instances as planned, together or shortly one after another."""
    gap_s = rng.choice(STOP_GAPS_S)
    stops = []
    for member in rng.sample(fleet.members, len(fleet.members)):
        stops.append(
            asyncio.ensure_future(fleet.restart(member, signal.SIGTERM))
        )
        await asyncio.sleep(gap_s)
    await asyncio.gather(*stops)
    counts[f"all stopped, {gap_s} s apart"] += 1


async def large_entry(fleet, rng, counts):
    """Has another writer's entry come that is large and can't be read."""
    del rng
    number = next(_numbers)
    name = f"other-writer-{number}"
    what, text = sorted(LARGE_TEXTS.items())[number % len(LARGE_TEXTS)]
    fleet.store.put_raw("servers", name, text)
    await asyncio.sleep(AWAY_S)
    fleet.store.remove("servers", name)
    counts[f"large entry: {what}"] += 1


async def kill(fleet, rng, counts):
    """Kills an instance and starts it again."""
    await fleet.restart(rng.choice(fleet.members), signal.SIGKILL)
    counts["kill"] += 1


async def freeze(fleet, rng, counts):
    """Stops an instance by a signal for a while."""
    await _stop(rng.choice(fleet.members), STOPPED_S)
    counts["freeze"] += 1


async def pause(fleet, rng, counts):
    """Stops an instance by a signal for a moment, between any two calls."""
    await _stop(rng.choice(fleet.members), rng.uniform(*PAUSED_S))
    counts["pause"] += 1


async def freeze_member(fleet, member, rng, counts):
    """Stops one instance for so long that others act for it."""
    del fleet
    await _stop(member, rng.uniform(*LEASE_LOST_S))
    counts["long freeze"] += 1


async def end_member(fleet, member, rng, counts):
    """Ends one instance, as planned or not, and starts it again."""
    number = rng.choice((signal.SIGTERM, signal.SIGKILL))
    await fleet.restart(member, number, rng.uniform(*LEASE_LOST_S))
    counts[f"end by {number.name}"] += 1


async def store_away(fleet, rng, counts):
    """Lets the store refuse all calls, or leave them unanswered."""
    if rng.random() < 0.5:
        fleet.store.status = 503
    else:
        fleet.store.silent = True
    await asyncio.sleep(AWAY_S)
    fleet.store.status, fleet.store.silent = 0, False
    counts["store away"] += 1


async def cut_off(fleet, rng, counts):
    """Cuts some or all instances off from the store, whose state goes on."""
    names = sorted(fleet.servers)
    await cut_off_members(
        fleet, rng.sample(names, rng.randint(1, len(names))), rng, counts
    )


async def cut_off_members(fleet, names, rng, counts):
    """Cuts instances off from the store so long that no proof is left."""
    cut = [fleet.servers[name] for name in names]
    is_silent = rng.random() < 0.5
    for server in cut:
        server.status, server.silent = (0, True) if is_silent else (503, False)
    await asyncio.sleep(rng.uniform(*UNPROVED_S))
    for server in cut:
        server.status, server.silent = 0, False
    counts[f"{len(cut)} cut off from the store"] += 1


async def freeze_past_proof(fleet, rng, counts):
    """Stops an instance for so long that its proof is too old."""
    await _stop(rng.choice(fleet.members), rng.uniform(*UNPROVED_S))
    counts["freeze past the proof"] += 1


async def store_forgets(fleet, rng, counts):
    """Drops the store's history."""
    del rng
    fleet.store.compact()
    counts["history dropped"] += 1


async def store_restored(fleet, rng, counts):
    """Has the store come back from a copy, at times without an outage."""
    copy = fleet.store.copy()
    fleet.configure()
    await asyncio.sleep(rng.uniform(0.0, COPY_AGE_S))
    is_away = rng.random() < 0.5
    if is_away:
        fleet.store.status = 503
        await asyncio.sleep(rng.uniform(0.1, AWAY_S))
    fleet.restore_store(copy)
    if is_away:
        fleet.store.status = 0
    counts["store restored"] += 1


async def moody(fleet, rng, counts):
    """Has an endpoint answer badly for a while."""
    backend = rng.choice(fleet.backends)
    backend.mood = mood = rng.choice(MOODS)
    await asyncio.sleep(MOOD_S)
    backend.mood = ""
    counts[f"endpoint: {mood}"] += 1


async def ask_for_pause(fleet, rng, counts):
    """Has an endpoint turn requests away and ask for a pause."""
    backend = rng.choice(fleet.backends)
    backend.mood = "pause"
    await asyncio.sleep(MOOD_S)
    backend.mood = ""
    counts["endpoint pauses"] += 1


async def say_leaving(fleet, rng, counts):
    """Has an endpoint say that it leaves, while the store does not."""
    await fleet.leave_by_sign(rng.choice(fleet.backends), SIGN_S)
    counts["endpoint leaves by sign"] += 1


async def replace(fleet, rng, counts):
    """Has an endpoint leave as planned, and another one take its place."""
    await fleet.replace_backend(rng.choice(fleet.backends))
    counts["endpoint replaced"] += 1


async def _stop(member, stopped_s):
    if not member.accepting:
        return
    process = member.process
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(stopped_s)
    if process.returncode is None:
        process.send_signal(signal.SIGCONT)


RESTORED = (store_restored, store_restored, restart, freeze, kill, replace)
PLANNED = (restart, replace, store_forgets)
SIGNS = (ask_for_pause, ask_for_pause, say_leaving, store_away, replace)
STOPS = (pause, pause, pause, pause, freeze, restart, kill)
KEYS = (
    restart,
    kill,
    freeze,
    store_away,
    store_forgets,
    store_restored,
    cut_off,
    freeze_past_proof,
)
QUOTAS = (restart, restart, freeze, freeze, kill, pause, stop_all)
STOPS_OF_ALL = (stop_all,)
LARGE_ENTRIES = (large_entry, large_entry, restart, kill, store_forgets)
ALL = (restart, kill, freeze, store_away, store_forgets, moody, moody, replace)
