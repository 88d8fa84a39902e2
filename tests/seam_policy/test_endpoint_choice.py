"""Tests of the choice of an endpoint for a plain call, by simulation."""

from seam_policy import endpoint_choice


def candidate(key, one_way_s=0.0, slots=6, warm_up_s=0.0):
    record = endpoint_choice.EndpointStats(0.03)
    return endpoint_choice.Candidate(key, slots, one_way_s, warm_up_s, record)


def replay(candidates, latency_s, failed, count, now=0.0):
    """Sends calls one by one; returns the number of calls of each endpoint."""
    got = dict.fromkeys((each.key for each in candidates), 0)
    for _ in range(count):
        chosen = endpoint_choice.choose(candidates, now)
        got[chosen.key] += 1
        took_s = latency_s.get(chosen.key, 0.03)
        fails = failed.get(chosen.key, 0.0) > (got[chosen.key] * 0.37) % 1
        chosen.record.add_outcome(took_s, fails, now)
        now += 0.02
    return got


def test_local_data_centre_first():
    near, far = candidate("near"), candidate("far", one_way_s=0.0045)
    assert endpoint_choice.choose([far, near], 0.0) is near


def test_overloaded_endpoint_is_avoided():
    near, far = candidate("near"), candidate("far", one_way_s=0.0045)
    near.record.in_progress = 9
    assert endpoint_choice.choose([far, near], 0.0) is far


def test_slow_endpoint_gets_few_calls():
    every = [candidate("slow"), candidate("a"), candidate("b")]
    got = replay(every, {"slow": 0.3}, {}, 300)
    assert got["slow"] < 30


def test_endpoint_that_fails_half_of_its_calls_gets_few():
    every = [candidate("grey"), candidate("a", 0.0045)]
    got = replay(every, {}, {"grey": 0.5}, 300)
    assert got["grey"] < 100


def test_statistics_decay():
    every = [candidate("healed"), candidate("a", 0.0045)]
    for _ in range(20):
        every[0].record.add_outcome(0.3, True, 0.0)
    assert endpoint_choice.choose(every, 0.0).key == "a"
    assert endpoint_choice.choose(every, 60.0).key == "healed"


def test_no_candidate():
    assert endpoint_choice.choose([], 0.0) is None
