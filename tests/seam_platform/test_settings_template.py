"""The settings file that the platform renders from our template."""

import pathlib
import re
import tomllib

import orjson
import pytest

from seam_model import forward_settings

TEMPLATE = pathlib.Path("deploy/settings.toml.template")
BOUNDS = {
    "stable_window_ms": 3000,
    "config_apply_ms": 2000,
    "lease_ms": 3000,
    "ttl_max_s": 5,
    "retry_budget_ratio": 0.2,
    "retry_slack": 52,
    "budget_window_s": 10,
    "grace_s": 8,
}
READERS = {
    "stable_window_ms": lambda found: found.store.settle_ms,
    "config_apply_ms": lambda found: found.store.apply_ms,
    "lease_ms": lambda found: found.orders.handover_ms,
    "ttl_max_s": lambda found: found.entry.max_cache_s,
    "retry_budget_ratio": lambda found: found.retries.ratio,
    "retry_slack": lambda found: found.retries.allowance,
    "budget_window_s": lambda found: found.retries.window_s,
    "grace_s": lambda found: found.leaving.grace_s,
}


def render(bounds, **more):
    """Fills the template in as the platform's pages describe it."""
    values = {
        "node_name": "edge-1",
        "zone": "here",
        "ip": "10.0.0.1",
        "internal_ports": [7660, 7675],
        "listen": {
            "front": "10.0.0.1:8144",
            "ready": "10.0.0.1:8140",
            "directory": "10.0.0.1:8143",
        },
        "platform_api": {"address": "10.0.0.9:8142"},
        "limits": {"cpu_share": 0.717, "cores": 3},
        "bounds": bounds,
        **more,
    }

    def value_of(path):
        found = values
        for part in path.split("."):
            if isinstance(found, list):
                found = found[int(part)]
            elif found is not None:
                found = found.get(part)
        return found

    def section(match):
        kept = value_of(match[1]) not in (None, False)
        return match[2] if kept else ""

    def placeholder(match):
        path, _, form = match[1].partition("|")
        found = value_of(path)
        if form == "json":
            return orjson.dumps(found).decode()
        return "" if found is None else str(found)

    text = re.sub(
        r"\{\{#([^}]*)\}\}(.*?)\{\{/\1\}\}", section, TEMPLATE.read_text()
    )
    return re.sub(r"\{\{([^#/][^}]*)\}\}", placeholder, text)


def load(bounds, **more):
    rendered = render(bounds, **more)
    return forward_settings.from_plain(tomllib.loads(rendered))


@pytest.mark.parametrize("interval_ms", [1, 1200, 1250.5])
def test_the_interval_of_announcements_is_taken_as_told(interval_ms):
    found = load(BOUNDS, heartbeat_ms=interval_ms)
    assert found.ok.store.announce_ms == interval_ms


@pytest.mark.parametrize("name", BOUNDS)
def test_each_bound_may_be_a_whole_number_or_a_fraction(name):
    for value in (BOUNDS[name], BOUNDS[name] * 0.6875):
        found = load({**BOUNDS, name: value})
        assert found.is_ok(), found.error.problems
        assert READERS[name](found.ok) == value


@pytest.mark.parametrize("name", BOUNDS)
def test_a_bound_that_is_not_stated_keeps_its_default(name):
    stated = {key: value for key, value in BOUNDS.items() if key != name}
    found = load(stated)
    default = load({}).ok
    assert READERS[name](found.ok) == READERS[name](default)


@pytest.mark.parametrize("name", BOUNDS)
@pytest.mark.parametrize("value", [-1, '"soon"', "true"])
def test_nonsense_is_reported_with_the_name_of_the_setting(name, value):
    found = load({**BOUNDS, name: value})
    assert found.is_error()
    [problem] = found.error.problems
    assert "." in problem.field
    assert "a number" in problem.allowed


def test_callers_are_not_told_to_cache_longer_than_they_may():
    assert load({**BOUNDS, "ttl_max_s": 0.75}).ok.entry.effective_cache_s() == (
        0.75
    )


def test_the_capacity_is_that_of_the_machine():
    assert load(BOUNDS).ok.capacity.cores() == pytest.approx(2.151)
