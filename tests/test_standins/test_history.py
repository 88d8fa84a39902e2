"""Tests that each rule of the history checker finds a planted violation."""

import attrs
import pytest

from standins import engine_parts
from standins import history


def events(id_, first, last, end=False, at_s=1.0):
    result = [
        history.Event(seq, engine_parts.token_text(id_, seq), at_s + seq / 100)
        for seq in range(first, last + 1)
    ]
    if end:
        result.append(history.Event(last + 1, "", at_s + last))
    return tuple(result)


WHOLE = history.Attempt(
    "r", "a", 0, 9, events=events("r", 1, 4, end=True), done_tokens=4
)
FIRST_HALF = history.Attempt("s", "a", 0, 2, events=events("s", 1, 2))
SECOND_HALF = history.Attempt(
    "s", "b", 3, 9, False, 2, events("s", 3, 4, True, at_s=4.0), 4
)
ORDER = history.Attempt("k", "a", 1, 2, is_order=True)
REFUSED = history.Attempt("n", "a", 1, 2, status=503, ran="no")


def clean():
    return history.History(
        attempts=[WHOLE, FIRST_HALF, SECOND_HALF, ORDER, REFUSED],
        execution_starts=[history.ExecutionStart("S1", "k", 1.5)],
        accepted=[history.ConfigAccepted(2, 10.0)],
        configs_in_force=[
            history.ConfigInForce("a", 1, 0.0),
            history.ConfigInForce("a", 2, 13.9),
        ],
        lifetimes=[
            history.InstanceLifetime("a", 0.0),
            history.InstanceLifetime("b", 0.0, 12.0, 8.0),
        ],
        held=[history.HeldMemory("d", "r", 5.5)],
    )


def test_clean_history_passes():
    assert history.check(clean()) == []


def changed(index, **changes):
    def plant(h):
        h.attempts[index] = attrs.evolve(h.attempts[index], **changes)

    return plant


PLANTED = [
    (history.DuplicateAnswer, lambda h: h.attempts.append(WHOLE)),
    (
        history.DuplicateAnswer,
        changed(1, events=events("s", 1, 2, at_s=40.0)),
    ),
    (history.CorruptAnswer, changed(0, id="other")),
    (history.CorruptAnswer, changed(1, events=events("s", 2, 3))),
    (history.CorruptAnswer, changed(0, done_tokens=3)),
    (
        history.RanAfterRefusal,
        lambda h: h.execution_starts.append(
            history.ExecutionStart("S1", "n", 1.5)
        ),
    ),
    (
        history.OrderRepeated,
        lambda h: h.execution_starts.append(
            history.ExecutionStart("S2", "k", 1.6)
        ),
    ),
    (history.OrderLost, lambda h: h.execution_starts.clear()),
    (
        history.ConfigReverted,
        lambda h: h.configs_in_force.append(
            history.ConfigInForce("a", 1, 20.0)
        ),
    ),
    (
        history.ConfigLate,
        lambda h: h.lifetimes.append(history.InstanceLifetime("c", 1.0)),
    ),
    (
        history.AcceptedWhileLeaving,
        changed(0, instance="b", start_s=11.5, end_s=12),
    ),
    (history.CutOffByStop, changed(2, broken=True)),
    (
        history.MemoryLeaked,
        lambda h: h.held.append(history.HeldMemory("d", "s", 6.5)),
    ),
]


@pytest.mark.parametrize(("violation", "plant"), PLANTED)
def test_planted_violation_is_caught(violation, plant):
    planted = clean()
    plant(planted)
    assert {type(v) for v in history.check(planted)} == {violation}
