"""Command line sessions against two real instances with fake ports."""

import json

import expression
import pytest
import typer.testing

from seam_ctl import exits
from seam_ctl import main
from seam_model import keys
from seam_model import platform_errors
from seam_model import settings
from tests.seam_node.web import admin_world

NO_PORT = "http://127.0.0.1:9"


@pytest.fixture(scope="module")
def world():
    admin_fleet = admin_world.World()
    admin_fleet.start()
    yield admin_fleet
    admin_fleet.close()


@pytest.fixture
def run(world, monkeypatch):
    def call(*args, who="ana", code=exits.OK, url=None):
        monkeypatch.setenv("SYCAMORESEAM_URL", url or world.urls["e1"])
        monkeypatch.setenv("SYCAMORESEAM_TOKEN", world.tokens.get(who, who))
        runner = typer.testing.CliRunner()
        result = runner.invoke(main.app, [str(arg) for arg in args])
        assert result.exit_code == code, (result.output, result.exception)
        assert world.tokens["ana"] not in result.output
        return result.output

    return call


def test_operator_session(run, tmp_path):
    shown = run("config", "show")
    assert shown.startswith("version = 0\n")
    draft = tmp_path / "draft.toml"
    draft.write_text(shown.replace("width = 8", "width = 5"))
    line = "defaults.entry.width: 8 -> 5"
    assert line in run("config", "check", draft)
    assert line in run("config", "diff", draft)
    assert line in run("config", "apply", draft, "--why", "fewer are enough")
    late = run(
        "config",
        "apply",
        draft,
        "--why",
        "late",
        code=exits.CONFLICT,
        who="ben",
    )
    assert "who=ana" in late
    assert line in late

    bad = tmp_path / "bad.toml"
    bad.write_text(draft.read_text() + "\n[colour]\nwidth = 1\n")
    bad.write_text(bad.read_text().replace("width = 5", "width = -5"))
    problems = run("config", "check", bad, code=exits.INVALID)
    assert "colour" in problems
    assert "defaults.entry.width: '-5' is not allowed" in problems

    add = ("exception", "add", "few", "--workspace", "w", "--set")
    run(*add, "workspace.concurrency=2", "--reason", "", code=exits.INVALID)
    run(
        *add, "workspace.concurrency=two", "--reason", "why", code=exits.INVALID
    )
    run(*add, "workspace.concurrency=2", "--reason", "a small pilot")
    run(*add, "workspace.burst=2", "--reason", "again", code=exits.INVALID)
    listed = json.loads(run("exception", "list", "--json"))
    assert [
        (rule["id"], rule["reason"], rule["who"])
        for rule in listed["exceptions"]
    ] == [("few", "a small pilot", "ana")]
    assert "a small pilot" in run("exception", "list")
    run("exception", "remove", "other", "--why", "gone", code=exits.NOT_FOUND)
    run("exception", "remove", "few", "--why", "the pilot has ended")

    trail = json.loads(run("audit", "--limit", 2, "--json"))
    assert [change["version"] for change in trail["changes"]] == [3, 2]
    assert trail["next_before"] == 2
    assert "fewer are enough" in run("config", "history")
    since = json.loads(run("config", "diff", "--since", 2, "--json"))
    assert [change["version"] for change in since["changes"]] == [3]
    report = json.loads(run("report", "--json"))
    assert report["exceptions"]["exceptions"] == []
    assert sum(len(names) for names in report["versions"].values()) == 2
    assert "e2" in run("status")


def test_exit_code_of_each_error(run, world):
    url = world.urls["e1"]
    run("status", who="op.stranger", code=exits.DENIED)
    remove = ("exception", "remove", "x", "--why", "gone")
    run(*remove, who="vic", code=exits.DENIED)
    run("status", url=NO_PORT, code=exits.UNREACHABLE)
    status = json.loads(run("status", "--json", url=f"{NO_PORT},{url}"))
    assert status["asked"] == "e1"
    run("explain", "not-an-id", code=exits.INVALID)
    missing = "01912345-0000-7000-8000-000000000000"
    run("explain", missing, code=exits.NOT_FOUND)
    run("drain", "e9", "--why", "no such", code=exits.NOT_FOUND)
    run("drain", "e1", code=exits.USAGE)
    failure = json.loads(
        run("explain", missing, "--json", code=exits.NOT_FOUND)
    )
    assert failure["error"] == "not_found"


def test_generated_keys_and_tokens_are_valid_in_settings(run, tmp_path):
    secret = run("key", "secret").strip()
    operator_key = json.loads(
        run("key", "operator", "eva", "--role", "viewer", "--json")
    )
    file = tmp_path / "node.toml"
    file.write_text(
        '[instance]\nname = "n"\ndata_centre = "d"\n'
        f'[platform]\nurl = "http://127.0.0.1:1"\n[peers]\nkey = "{secret}"\n'
        f'[workspaces.keys]\nold = "{secret}"\nnew = "{secret}"\n'
        f'[[operators]]\nname = "eva"\nrole = "viewer"\n'
        f'token_hash = "{operator_key["entry"]["token_hash"]}"\n'
    )
    assert "ok" in run("settings", "check", file)
    loaded = settings.load(file).ok
    token_hash = loaded.operators[0].token_hash
    assert keys.verify_operator_token(token_hash, operator_key["token"])
    sign = ("key", "workspace", "w", "--settings", file, "--key-id")
    token = run(*sign, "new").strip()
    assert keys.verify_workspace_token(loaded.workspaces.keys, token, "w")
    run(*sign, "older", code=exits.INVALID)
    file.write_text(file.read_text().replace(secret, "short"))
    problems = run("settings", "check", file, code=exits.INVALID)
    assert {"peers.key", "workspaces.keys.old"} <= {
        line.split(":")[0].strip() for line in problems.splitlines()
    }
    assert "short" not in problems


def test_profile_file_gives_address_and_token(world, monkeypatch, tmp_path):
    for name in ("SYCAMORESEAM_URL", "SYCAMORESEAM_TOKEN"):
        monkeypatch.delenv(name, raising=False)
    monkeypatch.setenv("HOME", str(tmp_path))
    runner = typer.testing.CliRunner()
    assert runner.invoke(main.app, ["status"]).exit_code == exits.INVALID
    token = tmp_path / "token"
    token.write_text(world.tokens["vic"] + "\n")
    file = tmp_path / "profile.toml"
    file.write_text(f'url = "{world.urls["e2"]}"\ntoken_file = "{token}"\n')
    monkeypatch.setenv("SYCAMORESEAM_PROFILE", str(file))
    result = runner.invoke(main.app, ["status", "--json"])
    assert json.loads(result.output)["asked"] == "e2"


def test_repeated_change_id_returns_the_accepted_change(
    run, world, monkeypatch
):
    """The answer to a change is lost after the change was accepted."""
    controller = world.nodes["e1"].config
    real = controller.apply

    async def apply_and_lose_answer(*args):
        assert (await real(*args)).is_ok()
        return expression.Error(platform_errors.PlatformAmbiguous("apply"))

    add = ("exception", "add", "late", "--workspace", "w")
    add += ("--set", "workspace.burst=3", "--reason", "a lost answer")
    monkeypatch.setattr(controller, "apply", apply_and_lose_answer)
    printed = run(*add, code=exits.UNSETTLED)
    monkeypatch.setattr(controller, "apply", real)
    change_id = printed.split("--change-id ")[1].split()[0]
    version = json.loads(run("config", "show", "--json"))["version"]
    done = json.loads(run(*add, "--change-id", change_id, "--json"))
    assert (done["version"], done["change_id"]) == (version, change_id)
    run(*add, code=exits.INVALID)
    run("exception", "remove", "late", "--why", "the test is over")
