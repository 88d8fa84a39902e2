"""The commands `config`, `exception` and `audit`."""

from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import tomllib
from typing import Annotated
from typing import Any

import expression
import tomli_w
import typer

from seam_ctl import client
from seam_ctl import exits
from seam_ctl import output
from seam_model import admin
from seam_model import config
from seam_model import errors

VERSION_KEY = "version"
"""Top-level key of a draft file: the version that it started from."""

app = typer.Typer(help="The fleet's configuration.", no_args_is_help=True)
exceptions = typer.Typer(
    help="Exceptions from the defaults, each with a reason.",
    no_args_is_help=True,
)

DraftFile = Annotated[
    pathlib.Path, typer.Argument(help="TOML file, as `config show` writes it.")
]
Why = Annotated[str, typer.Option(help="Why, for the audit trail.")]
ChangeId = Annotated[
    str, typer.Option(help="Id of an earlier try that was not settled.")
]


# Configuration


@app.command("show")
def show(ctx: typer.Context, as_json: output.JsonFlag = False) -> None:
    """Prints the configuration in force as TOML, to be edited."""
    view = output.ask(ctx, lambda c: c.config(), as_json)
    if as_json:
        output.show_json(view)
    else:
        output.say(f"{VERSION_KEY} = {view.version}\n\n{view.toml}")


@app.command("check")
def check(
    ctx: typer.Context, file: DraftFile, as_json: output.JsonFlag = False
) -> None:
    """Checks a draft and prints every problem, or its differences."""
    draft, _ = output.unwrap(read_draft(file), as_json)
    answer = output.ask(ctx, lambda c: c.check(draft), as_json)
    if as_json:
        output.show_json(answer)
        return
    output.say(f"valid; {len(answer.differences)} differences")
    _say_lines(answer.differences)


@app.command("apply")
def apply(
    ctx: typer.Context,
    file: DraftFile,
    why: Why,
    expected: Annotated[
        int,
        typer.Option(help="Version started from; else the file's `version`."),
    ] = admin.ANY_VERSION,
    change_id: ChangeId = "",
    as_json: output.JsonFlag = False,
) -> None:
    """Makes a draft the next version, unless another change came first."""
    draft, version = output.unwrap(read_draft(file), as_json)
    if expected != admin.ANY_VERSION:
        version = expected
    if version is None:
        error = errors.BadInput(VERSION_KEY, "(missing)", "or --expected")
        output.fail(error, as_json)
    change_id = change_id or client.new_change_id()
    _submit(
        ctx,
        lambda c: c.apply(draft, why, version, change_id),
        change_id,
        as_json,
    )


@app.command("diff")
def diff(
    ctx: typer.Context,
    file: Annotated[
        pathlib.Path | None, typer.Argument(help="Draft to compare.")
    ] = None,
    since: Annotated[
        int, typer.Option(help="Show the changes after this version.")
    ] = 0,
    as_json: output.JsonFlag = False,
) -> None:
    """Prints how a draft differs, or what changed since a version."""
    if file is not None:
        check(ctx, file, as_json)
        return
    changes = output.ask(ctx, lambda c: c.changes_since(since), as_json)
    _show_changes(changes, as_json)


@app.command("history")
def history(ctx: typer.Context, as_json: output.JsonFlag = False) -> None:
    """Prints the last changes, newest first."""
    _show_changes(output.ask(ctx, lambda c: c.history(), as_json), as_json)


def audit(
    ctx: typer.Context,
    before: Annotated[
        int, typer.Option(help="Only changes of lower versions.")
    ] = 0,
    limit: Annotated[int, typer.Option(help="Most changes.")] = admin.PAGE_MAX,
    as_json: output.JsonFlag = False,
) -> None:
    """Prints the audit trail of all changes, page by page."""
    changes = output.ask(ctx, lambda c: c.audit(before, limit), as_json)
    _show_changes(changes, as_json)
    if changes.next_before and not as_json:
        output.say(f"more: audit --before {changes.next_before}")


# Exceptions


@exceptions.command("list")
def list_exceptions(
    ctx: typer.Context, as_json: output.JsonFlag = False
) -> None:
    """Prints every exception with its reason."""
    found = output.ask(ctx, lambda c: c.exceptions(), as_json)
    if as_json:
        output.show_json(found)
    else:
        show_exceptions(found)


@exceptions.command("add")
def add(
    ctx: typer.Context,
    rule_id: Annotated[str, typer.Argument(metavar="ID")],
    reason: Annotated[str, typer.Option(help="Why the exception exists.")],
    settings: Annotated[
        list[str], typer.Option("--set", help="KEY=VALUE, as in TOML.")
    ],
    workspace: Annotated[str, typer.Option()] = "",
    data_centre: Annotated[str, typer.Option()] = "",
    model: Annotated[str, typer.Option()] = "",
    engine: Annotated[str, typer.Option()] = "",
    rank: Annotated[str, typer.Option(help="urgent or other")] = "",
    expected: Annotated[
        int, typer.Option(help="Version started from.")
    ] = admin.ANY_VERSION,
    change_id: ChangeId = "",
    as_json: output.JsonFlag = False,
) -> None:
    """Adds an exception for everything that the scope names."""
    values = output.unwrap(parse_settings(settings), as_json)
    scope = config.Scope(
        workspace=workspace,
        engine=engine,
        model=model,
        data_centre=data_centre,
        rank=rank,
    )
    change_id = change_id or client.new_change_id()
    body = admin.ExceptionRequest(
        rule_id, scope, values, reason, change_id, expected
    )
    _submit(ctx, lambda c: c.add_exception(body), change_id, as_json)


@exceptions.command("remove")
def remove(
    ctx: typer.Context,
    rule_id: Annotated[str, typer.Argument(metavar="ID")],
    why: Why,
    expected: Annotated[
        int, typer.Option(help="Version started from.")
    ] = admin.ANY_VERSION,
    change_id: ChangeId = "",
    as_json: output.JsonFlag = False,
) -> None:
    """Removes an exception."""
    change_id = change_id or client.new_change_id()
    body = admin.RemoveRequest(why, change_id, expected)
    _submit(
        ctx, lambda c: c.remove_exception(rule_id, body), change_id, as_json
    )


# Reading what people write


def read_draft(
    path: pathlib.Path,
) -> expression.Result[tuple[str, int | None], errors.BadInput]:
    """Returns a draft file's TOML without the version, and the version."""
    try:
        plain = tomllib.loads(path.read_text("utf-8"))
    except (OSError, ValueError) as exc:
        error = errors.BadInput(str(path), str(exc), "a readable TOML file")
        return expression.Error(error)
    version = plain.pop(VERSION_KEY, None)
    if version is not None and type(version) is not int:
        error = errors.BadInput(VERSION_KEY, repr(version), "a whole number")
        return expression.Error(error)
    return expression.Ok((tomli_w.dumps(plain), version))


def parse_settings(
    texts: list[str],
) -> expression.Result[dict[str, Any], errors.BadInput]:
    """Returns the values of texts like `admission.queue_limit=50`."""
    values: dict[str, Any] = {}
    for text in texts:
        key, mark, value = text.partition("=")
        try:
            parsed = tomllib.loads(f"value = {value}")
        except tomllib.TOMLDecodeError:
            parsed = {}
        if not mark or not key.strip() or parsed.keys() != {"value"}:
            allowed = "KEY=VALUE with a number, true or false"
            return expression.Error(errors.BadInput("--set", text, allowed))
        values[key.strip()] = parsed["value"]
    return expression.Ok(values)


# Showing


def show_exceptions(found: admin.ExceptionList) -> None:
    """Prints exceptions as a table."""
    output.table(
        ("id", "scope", "settings", "reason", "who", "when"),
        (
            (
                rule.id,
                _pairs(_scope(rule.scope)),
                _pairs(rule.settings),
                rule.reason,
                rule.who,
                rule.when,
            )
            for rule in found.exceptions
        ),
        f"exceptions of version {found.version}",
    )


def change_rows(changes: admin.ChangeList) -> list[tuple[Any, ...]]:
    """Returns one row of a table for each change."""
    return [
        (c.version, c.when, c.who, c.why, "\n".join(c.what))
        for c in changes.changes
    ]


CHANGE_COLUMNS = ("version", "when", "who", "why", "what")


def _show_changes(changes: admin.ChangeList, as_json: bool) -> None:
    if as_json:
        output.show_json(changes)
    else:
        output.table(CHANGE_COLUMNS, change_rows(changes))


def _submit(
    ctx: typer.Context,
    call: Callable[[client.AdminClient], Awaitable[expression.Result]],
    change_id: str,
    as_json: bool,
) -> None:
    """Makes a change and shows it, or says how to settle whether it was."""
    try:
        change = output.ask(ctx, call, as_json)
    except typer.Exit as exc:
        if exc.exit_code == exits.UNSETTLED:
            text = f"to settle it, repeat with --change-id {change_id}"
            typer.echo(text, err=True)
        raise
    _show_change(change, as_json)


def _show_change(change: config.Change, as_json: bool) -> None:
    if as_json:
        output.show_json(change)
        return
    output.say(f"accepted as version {change.version}")
    _say_lines(change.what)


def _say_lines(lines: tuple[str, ...]) -> None:
    for line in lines:
        output.say(f"  {line}")


def _scope(scope: config.Scope) -> dict[str, str]:
    named = {name: getattr(scope, name) for name in config.SCOPE_FIELDS}
    return {name: value for name, value in named.items() if value}


def _pairs(values: dict[str, Any]) -> str:
    return "\n".join(f"{key}={value}" for key, value in values.items())
