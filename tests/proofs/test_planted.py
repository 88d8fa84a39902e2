"""Tests that the history checker catches faults planted in the product."""

import asyncio

import expression
import pytest

from proofs import callers
from seam_model import errors
from seam_node import node
from seam_node.controllers import drain
from seam_node.controllers import mirror
from seam_node.controllers import ownership_check
from seam_node.controllers import registry
from seam_node.filters import deduplicate
from seam_node.filters import stream
from standins import engine_core
from standins import history


def kinds(found):
    return {type(violation) for violation in found}


async def double_arrival(flt, clients):
    answer = callers.Answer(clients.new_id())
    for name in flt.names[:3]:
        clients.open(answer, name)
    await asyncio.sleep(4.0)


async def frozen_holder(flt, clients):
    name, *others = flt.names
    answer = callers.Answer(clients.new_id())
    conn = clients.open(answer, name, max_tokens=400)
    await clients.read(answer, conn, 10)
    conn.close_lost = True
    flt.freeze(name)
    resumed = asyncio.ensure_future(
        clients.generate(others, answer, max_tokens=400)
    )
    await asyncio.sleep(6.0)
    flt.thaw(name)
    await resumed


async def caller_leaves(flt, clients):
    await clients.leave_after(flt.names[0], 5, max_tokens=4000)
    await flt.record_held_memory()


async def holder_dies(flt, clients):
    answer = callers.Answer(clients.new_id())
    conn = clients.open(answer, flt.names[0], max_tokens=4000)
    await clients.read(answer, conn, 5)
    await flt.kill(flt.names[0])
    await flt.record_held_memory(16.0)


async def resumed_elsewhere(flt, clients):
    await clients.generate(flt.names, silent_after=20)


async def instance_leaves(flt, clients):
    flt.leave(flt.names[0])
    await asyncio.sleep(4.0)
    await clients.generate(flt.names[:1])


async def leaves_at_once(flt, clients):
    answer = callers.Answer(clients.new_id())
    clients.open(answer, flt.names[0], max_tokens=400)
    await asyncio.sleep(1.0)
    flt.leave(flt.names[0])
    await flt.kill(flt.names[0])


async def transfers_fail(flt, clients):
    for core in flt.engines.values():
        core.set_faults(fail_transfers=9)
    await clients.generate(flt.names[:1], max_attempts=1)


def returning(value):
    async def answer(*args):
        del args
        return value

    return lambda *args: answer(*args)


def skip_votes(patch):
    patch.setattr(registry._Ballot, "has_quorum", lambda self: True)
    patch.setattr(mirror.Mirror, "_vote", _granted)


def _granted(self, wanted):
    return registry.peers.RegisterAnswer(True, wanted.generation, "", 0, "", "")


def skip_ownership_check(patch):
    patch.setattr(
        ownership_check.MirrorOwnershipCheck, "verify", returning(True)
    )


def skip_cancel(patch):
    patch.setattr(deduplicate.DeduplicateFilter, "_cancel", returning(None))


def skip_sweep(patch):
    patch.setattr(mirror.Mirror, "_sweep", lambda self: None)


def resend_all(patch):
    """Makes engines send a resumed stream from its first event."""
    attach = engine_core.EngineCore._attach

    async def from_start(self, stream_, after_seq):
        del after_seq
        return await attach(self, stream_, 0)

    patch.setattr(engine_core.EngineCore, "_attach", from_start)


def skip_trim(patch):
    resend_all(patch)
    patch.setattr(stream, "trim_chunk", lambda chunk, next_seq: chunk)


def skip_refusal(patch):
    def admit(self):
        self.in_progress += 1
        return expression.Ok(None)

    patch.setattr(drain.DrainController, "admit", admit)


def report_not_run(patch):
    refusal = node.Node._refusal

    def report_not_reached(self, ctx, error):
        ctx.reached_endpoint = False
        return refusal(self, ctx, error)

    patch.setattr(node.Node, "_refusal", report_not_reached)


def no_fault(patch):
    del patch


PLANTED = [
    (skip_votes, double_arrival, history.DuplicateAnswer),
    (skip_ownership_check, frozen_holder, history.DuplicateAnswer),
    (skip_cancel, caller_leaves, history.MemoryLeaked),
    (skip_sweep, holder_dies, history.MemoryLeaked),
    (skip_trim, resumed_elsewhere, history.CorruptAnswer),
    (skip_refusal, instance_leaves, history.AcceptedWhileLeaving),
    (no_fault, leaves_at_once, history.CutOffByStop),
    (report_not_run, transfers_fail, history.RanAfterRefusal),
]


@pytest.mark.parametrize(
    ("plant", "scenario", "kind"),
    PLANTED,
    ids=[f"{p.__name__}-{s.__name__}" for p, s, _ in PLANTED],
)
def test_planted_fault_is_caught(monkeypatch, plant, scenario, kind):
    plant(monkeypatch)
    found, _ = callers.session(1, scenario)
    assert kind in kinds(found)


@pytest.mark.parametrize(
    "scenario",
    [scenario for plant, scenario, _ in PLANTED if plant is not no_fault],
)
def test_nothing_is_caught_without_the_fault(scenario):
    found, _ = callers.session(1, scenario)
    assert not found


def test_engine_that_resends_is_trimmed(monkeypatch):
    resend_all(monkeypatch)
    found, _ = callers.session(1, resumed_elsewhere)
    assert not found


def test_refusal_of_a_full_fleet_is_typed():
    async def scenario(flt, clients):
        answer = callers.Answer(clients.new_id())
        return await clients.generate(
            flt.names, answer, max_attempts=1, model="no-such-model"
        )

    found, answer = callers.session(1, scenario)
    assert not found
    assert isinstance(answer.refusals[0].error, errors.ModelUnknown)
