"""Tests of the order of waiting requests across several instances."""

from seam_policy import wait_queue


def test_order_is_rank_then_in_time_then_arrival():
    line = wait_queue.WaitQueue()
    other = line.join(2, late=False, now=0.0)
    late = line.join(0, late=True, now=0.1)
    first = line.join(0, late=False, now=0.2)
    second = line.join(0, late=False, now=0.3)
    got = []
    while line.first() is not None:
        got.append(line.first())
        line.leave(got[-1])
    assert got == [first, second, late, other]
    assert len(line) == 0


def test_last_place_goes_to_the_first_request_of_all_instances():
    line = wait_queue.WaitQueue()
    ticket = line.join(0, late=False, now=0.0)
    longer = wait_queue.QueueHead(0, False, 0.5)
    shorter = wait_queue.QueueHead(0, False, 0.05)
    late = wait_queue.QueueHead(0, True, 2.0)
    less_urgent = wait_queue.QueueHead(2, False, 0.5)
    now = 0.1
    assert not wait_queue.may_take_scarce_capacity(ticket, [longer], now)
    assert wait_queue.may_take_scarce_capacity(
        ticket, [shorter, late, less_urgent], now
    )


def test_last_place_is_not_taken_before_the_request_is_announced():
    line = wait_queue.WaitQueue()
    ticket = line.join(0, late=False, now=0.0)
    assert not wait_queue.may_take_scarce_capacity(ticket, [], 0.005)
    assert wait_queue.may_take_scarce_capacity(ticket, [], 0.02)


def test_only_one_of_two_instances_takes_the_last_place():
    lines = [wait_queue.WaitQueue() for _ in range(2)]
    tickets = [
        line.join(0, late=False, now=0.001 * number)
        for number, line in enumerate(lines)
    ]
    now = 0.05
    takes = [
        wait_queue.may_take_scarce_capacity(
            tickets[own], [lines[1 - own].queue_head(now)], now
        )
        for own in range(2)
    ]
    assert takes == [True, False]
