"""Tests of role changes and model loads."""

from seam_policy import roles

SHORT = roles.RoleDemand("m", prefill_use=0.2, decode_use=0.95)
EVEN = roles.RoleDemand("m", prefill_use=0.7, decode_use=0.7)
ENGINES = [
    roles.EngineView("d0", roles.Role.DECODE, ("m",)),
    roles.EngineView("p0", roles.Role.PREFILL, ("m",), running=3),
    roles.EngineView("p1", roles.Role.PREFILL, ("m",), running=1),
    roles.EngineView("p2", roles.Role.PREFILL, ("m",), pinned=True),
    roles.EngineView("p3", roles.Role.PREFILL, ("m",), leaving=True),
]


def test_persistent_shortage_moves_the_least_busy_engine():
    planner = roles.RolePlanner(roles.RoleSettings())
    assert planner.plan(ENGINES, [SHORT], 0.0) == []
    assert planner.plan(ENGINES, [SHORT], 29.0) == []
    assert planner.plan(ENGINES, [SHORT], 31.0) == [
        roles.ChangeRole("p1", "m", roles.Role.DECODE)
    ]


def test_flapping_demand_changes_nothing():
    planner = roles.RolePlanner(roles.RoleSettings())
    back = roles.RoleDemand("m", prefill_use=0.95, decode_use=0.2)
    for step in range(200):
        demand = (SHORT, EVEN, back)[step // 2 % 3]
        assert planner.plan(ENGINES, [demand], step * 10.0) == []


def test_changed_engine_keeps_its_role_for_the_dwell_time():
    planner = roles.RolePlanner(roles.RoleSettings())
    changed_at = []
    for second in range(0, 400, 5):
        for change in planner.plan(ENGINES[:3], [SHORT], float(second)):
            changed_at.append((change.engine, second))
    times = dict(changed_at[:2])
    assert [engine for engine, _ in changed_at[:2]] == ["p1", "p0"]
    assert times["p0"] - times["p1"] >= 60
    assert all(at - times["p1"] >= 300 for _, at in changed_at[2:])


def test_last_engine_of_a_pool_is_kept():
    planner = roles.RolePlanner(roles.RoleSettings())
    for second in range(0, 400, 5):
        assert planner.plan(ENGINES[:2], [SHORT], float(second)) == []


def test_loads_respect_the_rate_of_the_weight_store():
    planner = roles.LoadPlanner(bytes_s=1e9, concurrent=2)
    requests = [
        roles.LoadRequest(f"e{number}", "m", 10_000_000_000, rank=1)
        for number in range(3)
    ]
    requests.append(roles.LoadRequest("e9", "n", 10_000_000_000, rank=0))
    started = {}
    for second in range(40):
        for load in planner.plan(requests, float(second)):
            started[load.engine] = second
            requests = [each for each in requests if each.engine != load.engine]
        if second == 25:
            planner.record_load_ended("e9", "n")
    assert started == {"e9": 0, "e0": 10, "e1": 26}
