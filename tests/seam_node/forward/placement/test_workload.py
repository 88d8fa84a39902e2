"""Tests of the load that is pooled over instances."""

from seam_model import forward_settings
from seam_node.forward.placement import workload

EXPECTED = forward_settings.WorkloadSettings(5000.0, 4000.0, 1200.0, 50_000.0)


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def make(clock=None):
    return workload.WorkloadEstimate(EXPECTED, clock or Clock())


def record(load, count):
    for _ in range(count):
        load.record_arrival(3000, 1000.0)
        load.record_output_rate(300, 1.0)
        load.record_prefill_rate(30_000.0)


def test_the_expected_load_is_used_until_requests_come():
    load = make()
    assert load.current().prompt_tokens == 5000.0
    assert not load.is_known()


def test_a_few_requests_tell_the_load():
    load = make()
    record(load, workload.MIN_SAMPLES - 1)
    assert not load.is_known()
    record(load, 1)
    current = load.current()
    assert load.is_known()
    assert abs(current.prompt_tokens - 3000) < 300
    assert abs(current.output_tokens_s - 300) < 60
    assert abs(current.prefill_tokens_s - 30_000) < 3000


def test_one_of_many_instances_learns_from_the_others():
    """Guards against a fleet whose instances each see too few requests."""
    clock = Clock()
    load = make(clock)
    for number in range(workload.MIN_SAMPLES):
        other = make(clock)
        record(other, 1)
        load.merge(f"i-{number}", other.own())
    assert load.is_known()
    assert abs(load.current().prompt_tokens - 3000) < 300


def test_figures_of_silent_instances_are_dropped():
    clock = Clock()
    load, other = make(clock), make(clock)
    record(other, 50)
    load.merge("two", other.own())
    clock.now = workload.KEEP_PEER_S + 1.0
    assert load.current().prompt_tokens == 5000.0
