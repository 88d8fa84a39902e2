"""Validation of the settings of an instance that forwards by routes."""

import attrs

from seam_model import forward_settings

PLAIN = {
    "instance": {"name": "one", "data_centre": "here"},
    "listen": {
        "callers": "10.0.0.1:80",
        "ready": "10.0.0.1:81",
        "entry": "10.0.0.1:82",
        "metrics": "10.0.0.1:83",
        "peers": "10.0.0.1:84",
    },
    "store": {"address": "10.0.0.9:90"},
}


def test_defaults_fill_what_is_not_given():
    found = forward_settings.from_plain(PLAIN).ok
    assert found.retries.window_s == 10.0
    assert found.one_way_s("here") == 0.0
    assert found.one_way_s("there") == 0.004


def test_every_problem_is_listed():
    plain = {
        **PLAIN,
        "listen": {**PLAIN["listen"], "callers": "nowhere", "ready": 5},
        "retries": {"ratio": 7},
        "odd": 1,
    }
    error = forward_settings.from_plain(plain).error
    fields = {problem.field for problem in error.problems}
    assert {"listen.callers", "listen.ready", "retries.ratio"} <= fields
    assert any("odd" in field for field in fields)


def test_unreadable_file(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text("= not TOML")
    assert forward_settings.load(path).is_error()
    assert forward_settings.load(tmp_path / "missing").is_error()


def test_settings_can_be_compared():
    one = forward_settings.from_plain(PLAIN).ok
    assert attrs.evolve(one) == one
