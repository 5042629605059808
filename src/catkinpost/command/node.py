"""``catkinpost-node``: the process beside one backend server."""

import sys
from functools import partial
from pathlib import Path
from typing import Annotated

import typer

from catkinpost.log import start_log
from catkinpost.native import NativeEnvironment
from catkinpost.node import Node
from catkinpost.process import log_failure, log_start, run_process
from catkinpost.protocol.settings import NodeSettings, parse_settings

__all__ = ["main"]

EXIT_BAD_SETTINGS = 2

app = typer.Typer(add_completion=True)


@app.command()
def run(
    settings_file: Annotated[
        Path, typer.Argument(help="INI file with this node's settings.")
    ],
    check: Annotated[bool, typer.Option(help="Check the settings and stop.")] = False,
) -> None:
    """Run the node beside one backend server."""
    try:
        text = settings_file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        typer.echo(f"{settings_file}: {error}", err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS) from error
    settings = parse_settings(text)
    if isinstance(settings, list):
        for problem in settings:
            typer.echo(problem.format(str(settings_file)), err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS)
    if check:
        typer.echo(f"{settings_file}: the settings are valid")
        return
    start_log(sys.stderr.fileno())
    log_start(settings.bounds)
    with log_failure():
        run_process(
            partial(run_node, settings), poll_interval=settings.bounds.poll_interval
        )


async def run_node(settings: NodeSettings) -> None:
    await Node(settings, NativeEnvironment()).run()


def main() -> None:
    """Run the command."""
    app()
