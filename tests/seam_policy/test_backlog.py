"""Tests of the estimated queue of a prefill engine."""

import heapq

import hypothesis
from hypothesis import strategies as st
import pytest

from seam_policy import backlog

URGENT, OTHER = 0, 1


def test_urgent_overtakes_queued_but_not_running_prefills():
    queue_model = backlog.Backlog()
    assert queue_model.book(backlog.Booking(b"a", OTHER, 1.0), 10.0) == 0.0
    assert queue_model.book(backlog.Booking(b"b", OTHER, 1.0), 10.2) == (
        pytest.approx(0.8)
    )
    assert queue_model.wait(URGENT, 10.2) == pytest.approx(0.8)
    assert queue_model.wait(OTHER, 10.2) == pytest.approx(1.8)
    queue_model.withdraw(b"b", 10.5)
    assert queue_model.wait(OTHER, 10.5) == pytest.approx(0.5)
    queue_model.withdraw(b"a", 10.5)
    assert queue_model.wait(OTHER, 10.5) == pytest.approx(0.5)
    assert queue_model.wait(OTHER, 12.0) == 0.0


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    st.lists(
        st.tuples(st.integers(0, 30), st.integers(0, 1), st.integers(1, 20)),
        min_size=1,
        max_size=30,
    )
)
def test_urgent_waits_match_a_simulated_queue(jobs):
    """An urgent prefill's wait is exact: no later booking delays it."""
    queue_model = backlog.Backlog()
    now, expected_waits, arrivals = 0, [], []
    for number, (gap, rank, work) in enumerate(jobs):
        now += gap
        booking = backlog.Booking(b"%d" % number, rank, float(work))
        expected_waits.append(queue_model.book(booking, float(now)))
        arrivals.append((now, rank, number, work))
    waits = _simulate(arrivals)
    for _, rank, number, _ in arrivals:
        if rank == URGENT:
            assert expected_waits[number] == pytest.approx(waits[number])
        else:
            assert expected_waits[number] <= waits[number] + 1e-9


def _simulate(arrivals):
    """Serves one prefill at a time, urgent first; returns each one's wait."""
    pending, queue, waits, free_at = list(arrivals), [], {}, 0
    while pending or queue:
        if not queue:
            free_at = max(free_at, pending[0][0])
        while pending and (pending[0][0] < free_at or not queue):
            at, rank, number, work = pending.pop(0)
            heapq.heappush(queue, (rank, number, at, work))
        _, number, at, work = heapq.heappop(queue)
        waits[number] = free_at - at
        free_at += work
    return waits
