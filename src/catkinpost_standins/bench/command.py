"""``catkinpost-bench``: experiments with triggers, variants and a report."""

from pathlib import Path
from typing import Annotated

import msgspec
import trio
import typer

from catkinpost_standins.bench.report import format_table, write_plot
from catkinpost_standins.bench.run import run_variant
from catkinpost_standins.bench.scenario import SCENARIOS, VARIANTS

__all__ = ["main"]

EXIT_USAGE = 2

app = typer.Typer()


@app.command()
def run(
    scenario: Annotated[
        list[str] | None, typer.Option(help="Scenario to run; all when absent.")
    ] = None,
    variant: Annotated[
        list[str] | None, typer.Option(help="Variant to run; those that fit.")
    ] = None,
    length: Annotated[float, typer.Option(help="Seconds of the trigger.")] = 20.0,
    seed: Annotated[int, typer.Option(help="Seed of the callers.")] = 1,
    json_file: Annotated[
        Path | None, typer.Option(help="File for all figures as JSON.")
    ] = None,
    plot: Annotated[
        Path | None, typer.Option(help="PNG file; needs matplotlib.")
    ] = None,
) -> None:
    """Run scenarios in several variants and print the brief's measures."""
    names = scenario or list(SCENARIOS)
    unknown = [name for name in names if name not in SCENARIOS]
    unknown += [name for name in variant or () if name not in VARIANTS]
    if unknown:
        typer.echo(f"unknown: {', '.join(unknown)}", err=True)
        typer.echo(f"scenarios: {', '.join(SCENARIOS)}", err=True)
        typer.echo(f"variants: {', '.join(VARIANTS)}", err=True)
        raise typer.Exit(EXIT_USAGE)
    results = []
    for name in names:
        chosen = SCENARIOS[name]
        for item in variant or chosen.variants:
            typer.echo(f"running {name}, {item}", err=True)
            results.append(trio.run(run_one, chosen, item, length, seed))
    typer.echo(format_table(results))
    if json_file is not None:
        json_file.write_bytes(msgspec.json.format(msgspec.json.encode(results)))
    if plot is not None:
        write_plot(results, plot)


async def run_one(scenario, variant: str, length: float, seed: int):
    return await run_variant(scenario, variant, length=length, seed=seed)


def main() -> None:
    """Run the command."""
    app()
