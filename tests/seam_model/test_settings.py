"""Validation of an instance's settings, and of tokens."""

import hypothesis
from hypothesis import strategies

from seam_model import keys
from seam_model import settings

SECRET = "0f" * 32


def good():
    return {
        "instance": {"name": "a1", "data_centre": "east"},
        "platform": {"url": "http://127.0.0.1:9"},
        "peers": {"key": SECRET},
        "workspaces": {"keys": {"k1": SECRET}},
    }


def fields(result):
    return {problem.field for problem in result.error.problems}


def test_defaults_fill_what_the_file_leaves_out():
    node = settings.from_plain(good()).ok
    assert node.listen.peer_port == 8082
    assert node.peer_key() == bytes.fromhex(SECRET)


def test_all_problems_are_listed_at_once_and_secrets_hidden(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text(
        'colour = "red"\n[instance]\nname = "a 1"\n'
        "[listen]\ncallers_port = 70000\nadmin_port = true\n"
        '[platform]\nurl = "ftp://x"\ntimeout_s = nan\n'
        '[peers]\nkey = "secretsecret"\n'
        '[[operators]]\nname = "o"\nrole = "king"\ntoken_hash = "hush"\n'
        "[timing]\nlease_s = 0.1\n"
    )
    error = settings.load(path).error
    assert {problem.field for problem in error.problems} == {
        "colour",
        "instance.name",
        "instance.data_centre",
        "listen.callers_port",
        "listen.admin_port",
        "platform.url",
        "platform.timeout_s",
        "peers.key",
        "workspaces.keys",
        "operators[0].role",
        "operators[0].token_hash",
        "timing.lease_s",
    }
    assert "secretsecret" not in error.describe()
    assert "hush" not in error.describe()


def test_key_file_is_read_and_must_exist(tmp_path):
    plain = good()
    plain["peers"] = {"key_file": str(tmp_path / "key")}
    assert fields(settings.from_plain(plain)) == {"peers.key_file"}
    (tmp_path / "key").write_text("\n")
    assert fields(settings.from_plain(plain)) == {"peers.key_file"}
    (tmp_path / "key").write_text(SECRET + "\n")
    assert settings.from_plain(plain).ok.peer_key() == bytes.fromhex(SECRET)


def test_broken_toml_is_a_typed_error(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text("[instance")
    assert fields(settings.load(path)) == {str(path)}


PLAIN = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(["name", "keys", "key", "x", ""]),
            inner,
            max_size=3,
        )
    ),
    max_leaves=8,
)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.sampled_from([*sorted(good()), "operators", "distances"]),
    PLAIN,
)
def test_any_section_is_taken_or_refused_with_a_list(section, plain):
    result = settings.from_plain({**good(), section: plain})
    if result.is_error():
        assert result.error.problems


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.text(min_size=1), strategies.text())
def test_workspace_token_fits_one_workspace(workspace, other):
    table = {"old": "ab" * 16, "new": SECRET}
    token = keys.make_workspace_token("new", SECRET, workspace)
    assert keys.verify_workspace_token(table, token, workspace)
    assert keys.verify_workspace_token(table, token, other) == (
        other == workspace
    )
    assert not keys.verify_workspace_token({"new": "ab" * 16}, token, workspace)
    assert not keys.verify_workspace_token(table, other, workspace)


def test_operator_token_is_verified_by_its_hash():
    token = keys.generate_operator_token()
    token_hash = keys.hash_operator_token(token)
    assert keys.verify_operator_token(token_hash, token)
    assert not keys.verify_operator_token(token_hash, token + "x")
    assert token not in token_hash
