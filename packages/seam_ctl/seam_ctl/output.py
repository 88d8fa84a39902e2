"""Sends a command's request and prints the answer, as tables or JSON."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import os
import sys
from typing import Annotated
from typing import Any
from typing import NoReturn

import attrs
import expression
import rich.console
import rich.markup
import rich.table
import typer

from seam_ctl import client
from seam_ctl import exits
from seam_ctl import profile
from seam_model import admin
from seam_model import codec
from seam_model import errors

PLAIN_WIDTH = 160
"""Width in characters of a table that is not printed to a terminal."""

JsonFlag = Annotated[bool, typer.Option("--json", help="Print JSON.")]


@attrs.frozen
class Options:
    """Global options, which precede the command."""

    url: str = ""
    token: str = attrs.field(default="", repr=False)
    profile: str = ""


def fail(error: errors.SeamError, as_json: bool = False) -> NoReturn:
    """Prints an error and exits with its exit code."""
    if as_json:
        sys.stdout.write(
            codec.to_json(admin.error_to_body(error)).decode() + "\n"
        )
    else:
        typer.echo(error.describe(), err=True)
    raise typer.Exit(exits.code_of(error))


def unwrap(result: expression.Result, as_json: bool = False) -> Any:
    """Returns the value of a success, or prints the error and exits."""
    if result.is_error():
        fail(result.error, as_json)
    return result.ok


def connect(ctx: typer.Context, as_json: bool = False) -> profile.Profile:
    """Returns the address and token to use for this command."""
    given = ctx.obj or Options()
    access_profile = profile.find(
        given.url, given.token, given.profile, os.environ
    )
    return unwrap(access_profile, as_json)


def call_instance(
    ctx: typer.Context,
    call: Callable[[client.AdminClient], Awaitable[expression.Result]],
    as_json: bool = False,
) -> Any:
    """Returns an instance's answer, or prints the error and exits."""
    access_profile = connect(ctx, as_json)

    async def run() -> expression.Result:
        return await call(
            client.AdminClient(access_profile.url, access_profile.token)
        )

    return unwrap(asyncio.run(run()), as_json)


def print_json(value: Any) -> None:
    """Prints an attrs object as JSON."""
    sys.stdout.write(codec.to_json(value).decode() + "\n")


def print_table(
    columns: Iterable[str], rows: Iterable[Iterable[Any]], title: str = ""
) -> None:
    """Prints a table; long cells are wrapped."""
    width = None if sys.stdout.isatty() else PLAIN_WIDTH
    table = rich.table.Table(title=title or None, title_justify="left")
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(rich.markup.escape(str(cell)) for cell in row))
    rich.console.Console(width=width).print(table)


def print_line(text: str) -> None:
    """Prints a line."""
    typer.echo(text)
