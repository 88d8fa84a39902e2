"""Which announcements are older than what is remembered."""

import pytest

from seam_policy import announcement_memory

AGE = announcement_memory.Age(started_ms=1000, count=5)
LATER = [(1000, 6), (2000, 1)]
EARLIER = [(1000, 4), (900, 9)]


@pytest.fixture
def memory():
    made = announcement_memory.AnnouncementMemory()
    made.note("e", AGE)
    return made


@pytest.mark.parametrize("later", LATER)
def test_a_later_announcement_is_believed(memory, later):
    age = announcement_memory.Age(*later)
    assert not memory.is_outdated("e", age)
    memory.note_left("e", now=0.0)
    assert not memory.is_outdated("e", age)


@pytest.mark.parametrize("earlier", EARLIER)
def test_an_earlier_announcement_is_outdated(memory, earlier):
    age = announcement_memory.Age(*earlier)
    assert memory.is_outdated("e", age)
    memory.note_left("e", now=0.0)
    assert memory.is_outdated("e", age)


def test_the_same_announcement_is_outdated_once_its_endpoint_left(memory):
    assert not memory.is_outdated("e", AGE)
    memory.note_left("e", now=0.0)
    assert memory.is_outdated("e", AGE)
    memory.note("e", AGE)
    assert not memory.is_outdated("e", AGE)


def test_an_endpoint_that_was_never_seen_is_believed(memory):
    memory.note_left("other", now=0.0)
    assert not memory.is_outdated("other", AGE)


def test_endpoints_that_left_long_ago_are_forgotten(memory):
    memory.note_left("e", now=0.0)
    memory.note("f", AGE)
    memory.note_left("f", now=announcement_memory.REMEMBER_LEFT_S + 1.0)
    assert not memory.is_outdated("e", AGE)
    assert memory.is_outdated("f", AGE)
