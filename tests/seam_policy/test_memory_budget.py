"""What the memory of an instance leaves for bodies."""

from seam_policy import memory_budget

MB = 1024 * 1024


def make(limit_mb=150, private_mb=48):
    budget = memory_budget.MemoryBudget(limit_mb * MB)
    budget.note_private(private_mb * MB)
    return budget


def test_bodies_get_what_the_process_leaves():
    budget = make()
    assert budget.total_bytes() == int(150 * MB * 0.75) - 48 * MB
    budget.take(10 * MB)
    # Memory that is kept for a body is still free, and one that is there is
    # not counted twice.
    budget.note_private(48 * MB)
    assert budget.total_bytes() == int(150 * MB * 0.75) - 48 * MB
    budget.note_arrived(10 * MB)
    budget.note_private(58 * MB)
    assert budget.total_bytes() == int(150 * MB * 0.75) - 48 * MB


def test_memory_that_grows_elsewhere_is_taken_from_the_bodies():
    budget = make()
    before = budget.total_bytes()
    budget.note_private(68 * MB)
    assert budget.total_bytes() == before - 20 * MB
    budget.note_private(500 * MB)
    assert budget.total_bytes() == 0
    large = memory_budget.SMALL_BYTES + 1
    assert not budget.can_ever_fit(large, large)
    assert not budget.can_ever_fit(1, large)


def test_small_requests_are_served_when_the_process_uses_all_its_memory():
    """Guards against an instance that refuses everything for good."""
    budget = make(128, 110)
    count = 0
    while budget.fits(1000, 1000):
        budget.take(1000)
        count += 1
    assert 1000 <= count <= 2 * MB / 1000


def test_many_large_bodies_leave_room_for_small_ones():
    budget = make()
    count = 0
    while budget.fits(4 * MB, 4 * MB):
        budget.take(4 * MB)
        count += 1
    assert count >= 13
    assert budget.fits(memory_budget.SMALL_BYTES, memory_budget.SMALL_BYTES)
    # A chunk of something large is not small.
    while budget.fits(memory_budget.SMALL_BYTES, 4 * MB):
        budget.take(memory_budget.SMALL_BYTES)
    assert budget.fits(memory_budget.SMALL_BYTES, memory_budget.SMALL_BYTES)
    assert count * 4 * MB + 48 * MB < 150 * MB * 0.75


def test_unmeasured_process_is_not_taken_for_empty():
    budget = memory_budget.MemoryBudget(128 * MB)
    assert budget.total_bytes() < 64 * MB
