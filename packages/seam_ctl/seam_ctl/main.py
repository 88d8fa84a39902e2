"""Entry point of `sycamoreseam`, the operators' command line."""

from typing import Annotated

import typer

from seam_ctl import config_cmds
from seam_ctl import fleet_cmds
from seam_ctl import key_cmds
from seam_ctl import output
from seam_ctl import profile

app = typer.Typer(
    help="Operates a fleet of sycamoreseam instances.",
    no_args_is_help=True,
    pretty_exceptions_show_locals=False,
)
app.add_typer(config_cmds.app, name="config")
app.add_typer(config_cmds.exceptions, name="exception")
app.add_typer(key_cmds.settings, name="settings")
app.add_typer(key_cmds.app, name="key")
app.command("audit")(config_cmds.audit)
app.command("status")(fleet_cmds.status)
app.command("drain")(fleet_cmds.drain)
app.command("explain")(fleet_cmds.explain)
app.command("report")(fleet_cmds.report)


@app.callback()
def options(
    ctx: typer.Context,
    url: Annotated[
        str,
        typer.Option(
            help="Admin addresses, separated by commas; "
            f"{profile.URL_VARIABLE}."
        ),
    ] = "",
    token: Annotated[
        str, typer.Option(help=f"Prefer {profile.TOKEN_VARIABLE}.")
    ] = "",
    profile_file: Annotated[
        str,
        typer.Option(
            "--profile", help=f"TOML file; {profile.PROFILE_VARIABLE}."
        ),
    ] = "",
) -> None:
    """Stores the global options, which precede the command."""
    ctx.obj = output.Options(url, token, profile_file)


def main() -> None:
    """Runs the command line."""
    app()


if __name__ == "__main__":
    main()
