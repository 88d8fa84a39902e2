"""Tests of the order of waiting requests."""

from seam_policy import place_queue


def test_order_is_rank_then_in_time_then_arrival():
    queue = place_queue.PlaceQueue()
    other = queue.join(2, late=False, arrived_at=0.0)
    late = queue.join(0, late=True, arrived_at=0.1)
    second = queue.join(0, late=False, arrived_at=0.3)
    first = queue.join(0, late=False, arrived_at=0.2)
    assert list(queue) == [first, second, late, other]
    queue.leave(second)
    assert len(queue) == 3


def test_a_request_that_became_late_goes_behind_those_in_time():
    queue = place_queue.PlaceQueue()
    first = queue.join(0, late=False, arrived_at=0.0)
    second = queue.join(0, late=False, arrived_at=0.5)
    late = queue.make_late(first)
    assert list(queue) == [second, late]


def test_a_request_is_late_once_its_first_event_would_be():
    limits = place_queue.Limits(arrived_at=10.0, target_s=1.0, patience_s=4.0)
    assert limits.can_be_in_time(10.0, prefill_s=0.5)
    assert limits.can_be_in_time(10.4, prefill_s=0.5)
    assert not limits.can_be_in_time(10.5, prefill_s=0.5)
    assert limits.time_left_s(10.5, prefill_s=0.5) > 2.0
    assert limits.time_left_s(13.5, prefill_s=0.5) < 0.0


def test_a_late_request_is_refused_once_it_is_hopeless():
    assert place_queue.refuse_at_once(0, 0.1, time_left_s=0.0)
    assert place_queue.refuse_at_once(30, 0.1, time_left_s=2.0)
    assert not place_queue.refuse_at_once(10, 0.1, time_left_s=2.0)
