"""The commands `settings` and `key`; they work without an instance."""

import json
import pathlib
from typing import Annotated

import tomli_w
import typer

from seam_ctl import output
from seam_model import errors
from seam_model import keys
from seam_model import settings as node_settings

settings = typer.Typer(help="Settings files.", no_args_is_help=True)
app = typer.Typer(help="Generates keys and tokens.", no_args_is_help=True)

SettingsFile = Annotated[
    pathlib.Path, typer.Argument(help="Settings file of an instance.")
]


@settings.command("check")
def check_settings(
    file: SettingsFile, as_json: output.JsonFlag = False
) -> None:
    """Validates a settings file and prints every problem."""
    output.unwrap(node_settings.load(file), as_json)
    output.print_line('{"valid":true}' if as_json else "settings: ok")


@app.command("secret")
def secret() -> None:
    """Prints a new secret for `peers.key` or `workspaces.keys`."""
    output.print_line(keys.generate_secret())


@app.command("workspace")
def workspace(
    name: Annotated[str, typer.Argument(help="Name of the workspace.")],
    file: Annotated[
        pathlib.Path,
        typer.Option("--settings", help="Settings file with the secrets."),
    ],
    key_id: Annotated[str, typer.Option(help="Id of the signing secret.")],
) -> None:
    """Prints the token with which callers authenticate for a workspace."""
    loaded = output.unwrap(node_settings.load(file))
    secrets = loaded.workspaces.keys
    if key_id not in secrets:
        known = ", ".join(sorted(secrets))
        output.fail(errors.BadInput("--key-id", key_id, known))
    output.print_line(keys.make_workspace_token(key_id, secrets[key_id], name))


@app.command("operator")
def operator(
    name: Annotated[str, typer.Argument(help="Name of the operator.")],
    role: Annotated[node_settings.OperatorRole, typer.Option()],
    as_json: output.JsonFlag = False,
) -> None:
    """Prints a new operator token and its entry for the settings file."""
    token = keys.generate_operator_token()
    entry = {
        "name": name,
        "role": role.value,
        "token_hash": keys.hash_operator_token(token),
    }
    if as_json:
        output.print_line(json.dumps({"token": token, "entry": entry}))
        return
    output.print_line(f"# token, shown once: {token}")
    output.print_line(
        tomli_w.dumps({"operators": [entry]}, multiline_strings=False)
    )
