"""``catkinpost-plays``: planned work in each pair of circumstances, on real nodes."""

import asyncio
import contextlib
import os
import shutil
import tempfile
from collections import Counter
from pathlib import Path
from typing import Annotated

import typer

from catkinpost_standins.plays.fleet import NodeBounds
from catkinpost_standins.plays.stage import run_play
from catkinpost_standins.plays.table import Play, build_plays, list_pairs

__all__ = ["main"]


async def run_plays(
    plays: list[tuple[int, Play]],
    seed: int,
    jobs: int,
    keep: Path | None,
    bounds: NodeBounds,
) -> int:
    """Run plays, some at a time, and return how many broke a rule or did not run."""
    slots = asyncio.Semaphore(jobs)
    totals, excused, failures = Counter(), Counter(), Counter()
    pairs = set()
    broken = 0
    lags = [0.0]

    async def run(number: int, play: Play) -> None:
        nonlocal broken
        async with slots:
            with tempfile.TemporaryDirectory(prefix="catkinpost-") as name:
                folder = Path(name)
                try:
                    lines, verdict, lag_s = await run_play(
                        play, seed, number, folder, bounds
                    )
                except Exception as error:
                    # One play that does not come about must not end the others.
                    print(f"play {number} FAILED TO RUN: {error!r}", flush=True)
                    totals["not run"] += 1
                    return
                lags.append(lag_s)
                pairs.update(list_pairs(play))
                totals.update(fate.end for fate in verdict.fates)
                totals.update(f"{fate.status}" for fate in verdict.fates if fate.status)
                excused.update(verdict.excused)
                failures.update(verdict.failures)
                state = f"{len(lines)} findings" if lines else "held"
                print(
                    f"play {number}: {state}, {len(verdict.fates)} requests,"
                    f" late by {lag_s:.3f} s: {play.describe()}",
                    *lines,
                    sep="\n    ",
                    flush=True,
                )
                if lines:
                    broken += 1
                    if keep is not None:
                        shutil.copytree(folder, keep / str(number), dirs_exist_ok=True)

    await asyncio.gather(*[run(number, play) for number, play in plays])
    every = {pair for play in build_plays() for pair in list_pairs(play)}
    print(f"requests by end: {dict(totals)}")
    print(f"excused ends: {dict(excused)}")
    print(f"own failures: {dict(failures)}")
    print(f"pairs reached: {len(pairs)} of {len(every)}")
    print(f"late by {max(lags):.3f} s at the most")
    print(
        f"{broken} of {len(plays)} plays broke a rule, {totals['not run']} did not run"
    )
    return broken + totals["not run"]


app = typer.Typer(add_completion=False)


@app.command()
def run(
    seed: Annotated[int, typer.Option(help="Source of all choices.")] = 1,
    jobs: Annotated[int, typer.Option(help="Plays at a time.")] = 4,
    only: Annotated[str, typer.Option(help="Numbers of plays, as 3,7,12.")] = "",
    work: Annotated[str, typer.Option(help="Planned work of all plays.")] = "",
    keep: Annotated[
        Path | None, typer.Option(help="Folder for the logs of broken plays.")
    ] = None,
    descriptors: Annotated[
        int | None, typer.Option(help="Descriptors of each node.")
    ] = None,
    cores: Annotated[
        str, typer.Option(help="Cores of the nodes, as 6,7; this process gets others.")
    ] = "",
) -> None:
    """Run the table of plays."""
    plays = list(enumerate(build_plays()))
    if only:
        chosen = {int(item) for item in only.split(",")}
        plays = [item for item in plays if item[0] in chosen]
    if work:
        plays = [item for item in plays if item[1].work == work]
    node_cores = frozenset(int(item) for item in cores.split(",") if item)
    if node_cores:
        os.sched_setaffinity(0, os.sched_getaffinity(0) - node_cores)
    bounds = NodeBounds(descriptors, node_cores)
    with contextlib.suppress(KeyboardInterrupt):
        broken = asyncio.run(run_plays(plays, seed, jobs, keep, bounds))
        raise typer.Exit(1 if broken else 0)


def main() -> None:
    """Run the command."""
    app()
