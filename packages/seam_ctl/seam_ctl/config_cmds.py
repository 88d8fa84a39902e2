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
"""Top-level key of a draft file: the version that the draft is based on."""

app = typer.Typer(help="The fleet's configuration.", no_args_is_help=True)
exceptions = typer.Typer(
    help="Exceptions from the defaults, each with a reason.",
    no_args_is_help=True,
)

DraftFile = Annotated[
    pathlib.Path, typer.Argument(help="TOML file, as `config show` prints it.")
]
Why = Annotated[str, typer.Option(help="Reason, for the audit trail.")]
ChangeId = Annotated[
    str, typer.Option(help="Id of an earlier attempt with unknown outcome.")
]


# Configuration


@app.command("show")
def show(ctx: typer.Context, as_json: output.JsonFlag = False) -> None:
    """Prints the configuration in force as TOML, ready to be edited."""
    view = output.call_instance(ctx, lambda c: c.config(), as_json)
    if as_json:
        output.print_json(view)
    else:
        output.print_line(f"{VERSION_KEY} = {view.version}\n\n{view.toml}")


@app.command("check")
def check(
    ctx: typer.Context, file: DraftFile, as_json: output.JsonFlag = False
) -> None:
    """Validates a draft and prints its problems, or its differences."""
    draft, _ = output.unwrap(read_draft(file), as_json)
    answer = output.call_instance(ctx, lambda c: c.check(draft), as_json)
    if as_json:
        output.print_json(answer)
        return
    output.print_line(f"valid; {len(answer.differences)} differences")
    _print_lines(answer.differences)


@app.command("apply")
def apply(
    ctx: typer.Context,
    file: DraftFile,
    why: Why,
    expected: Annotated[
        int,
        typer.Option(help="Expected version; default: the file's `version`."),
    ] = admin.ANY_VERSION,
    change_id: ChangeId = "",
    as_json: output.JsonFlag = False,
) -> None:
    """Makes a draft the next version, unless the version has changed."""
    draft, version = output.unwrap(read_draft(file), as_json)
    if expected != admin.ANY_VERSION:
        version = expected
    if version is None:
        error = errors.BadInput(
            VERSION_KEY, "(missing)", "a version in the file, or --expected"
        )
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
    """Prints the differences of a draft, or the changes since a version."""
    if file is not None:
        check(ctx, file, as_json)
        return
    changes = output.call_instance(
        ctx, lambda c: c.changes_since(since), as_json
    )
    _print_changes(changes, as_json)


@app.command("history")
def history(ctx: typer.Context, as_json: output.JsonFlag = False) -> None:
    """Prints the latest changes, newest first."""
    _print_changes(
        output.call_instance(ctx, lambda c: c.history(), as_json), as_json
    )


def audit(
    ctx: typer.Context,
    before: Annotated[
        int, typer.Option(help="Show only changes before this version.")
    ] = 0,
    limit: Annotated[
        int, typer.Option(help="Maximum number of changes.")
    ] = admin.PAGE_MAX,
    as_json: output.JsonFlag = False,
) -> None:
    """Prints one page of the audit trail of all changes."""
    changes = output.call_instance(
        ctx, lambda c: c.audit(before, limit), as_json
    )
    _print_changes(changes, as_json)
    if changes.next_before and not as_json:
        output.print_line(f"more: audit --before {changes.next_before}")


# Exceptions


@exceptions.command("list")
def list_exceptions(
    ctx: typer.Context, as_json: output.JsonFlag = False
) -> None:
    """Prints every exception with its reason."""
    exception_list = output.call_instance(
        ctx, lambda c: c.exceptions(), as_json
    )
    if as_json:
        output.print_json(exception_list)
    else:
        print_exceptions(exception_list)


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
    """Adds an exception for a scope."""
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


# Parsing input


def read_draft(
    path: pathlib.Path,
) -> expression.Result[tuple[str, int | None], errors.BadInput]:
    """Returns a draft file's TOML without its version, and the version."""
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
    """Returns the settings in texts such as `admission.queue_limit=50`."""
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


# Output


def print_exceptions(exception_list: admin.ExceptionList) -> None:
    """Prints exceptions as a table."""
    output.print_table(
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
            for rule in exception_list.exceptions
        ),
        f"exceptions of version {exception_list.version}",
    )


def change_rows(changes: admin.ChangeList) -> list[tuple[Any, ...]]:
    """Returns one table row for each change."""
    return [
        (c.version, c.when, c.who, c.why, "\n".join(c.what))
        for c in changes.changes
    ]


CHANGE_COLUMNS = ("version", "when", "who", "why", "what")


def _print_changes(changes: admin.ChangeList, as_json: bool) -> None:
    if as_json:
        output.print_json(changes)
    else:
        output.print_table(CHANGE_COLUMNS, change_rows(changes))


def _submit(
    ctx: typer.Context,
    call: Callable[[client.AdminClient], Awaitable[expression.Result]],
    change_id: str,
    as_json: bool,
) -> None:
    """Submits a change and prints it.

    If the outcome is unknown, prints how to find out whether it was accepted.
    """
    try:
        change = output.call_instance(ctx, call, as_json)
    except typer.Exit as exc:
        if exc.exit_code == exits.UNSETTLED:
            text = f"outcome unknown; repeat with --change-id {change_id}"
            typer.echo(text, err=True)
        raise
    _print_change(change, as_json)


def _print_change(change: config.Change, as_json: bool) -> None:
    if as_json:
        output.print_json(change)
        return
    output.print_line(f"accepted as version {change.version}")
    _print_lines(change.what)


def _print_lines(lines: tuple[str, ...]) -> None:
    for line in lines:
        output.print_line(f"  {line}")


def _scope(scope: config.Scope) -> dict[str, str]:
    named = {name: getattr(scope, name) for name in config.SCOPE_FIELDS}
    return {name: value for name, value in named.items() if value}


def _pairs(values: dict[str, Any]) -> str:
    return "\n".join(f"{key}={value}" for key, value in values.items())
