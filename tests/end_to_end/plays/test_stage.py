"""A few plays of planned work on real nodes."""

import asyncio
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from nose2.tools import params

from catkinpost_standins.plays.fleet import NodeBounds
from catkinpost_standins.plays.stage import SERIES_S, Stage, run_play
from catkinpost_standins.plays.table import STOP_PLAYS, Play

SEED = 1
LIMIT_S = 90.0
LEAST_REQUESTS = 10
SERIES = 40
PLAYS = [
    Play(
        "SIGTERM in series",
        "kept",
        "unsafe",
        "small",
        "small",
        "slow",
        "far",
        "quick",
        "full",
        "heeds readiness",
        "delay",
    ),
    Play(
        "shorter idle time-out",
        "idle",
        "safe",
        "chunked",
        "large",
        "interim",
        "near",
        "slow",
        "free",
        "heeds readiness",
        "delay",
    ),
    Play(
        "SIGTERM with a change",
        "ahead",
        "safe",
        "empty",
        "chunked",
        "resets idle",
        "here",
        "quick",
        "free",
        "goes on",
        "plain",
    ),
    STOP_PLAYS[0],
    Play(
        "successor at once",
        "kept",
        "unsafe",
        "small",
        "chunked",
        "quick",
        "here",
        "quick",
        "free",
        "heeds readiness",
        "delay",
    ),
]


class TestThreeWorks(unittest.TestCase):
    @params(
        # (place of the target, whether it has a node besides the entry's)
        ("here", False),
        ("near", True),
    )
    def test_choice_of_works(self, place, is_apart):
        """A stop of the entry ends what others could do there, so it is the last."""
        series = [asyncio.run(self.choose(place, seed)) for seed in range(SERIES)]
        for works, times in series:
            self.assertEqual(len(set(works)), 3)
            self.assertNotIn("SIGTERM at the entry", works[:-1])
            self.assertTrue(0 <= times[0] <= times[1] <= times[2] <= SERIES_S)
        begun = {work for works, _ in series for work in works}
        self.assertEqual("SIGTERM at the target" in begun, is_apart)
        self.assertEqual(len(begun), 6 if is_apart else 5)
        self.assertEqual(asyncio.run(self.choose(place, 0)), series[0])

    async def choose(self, place, seed):
        play = replace(PLAYS[0], work="three works", place=place)
        stage = Stage(play, seed, 0, Path(), NodeBounds())
        begun, stage.work_at = [], 0.0

        async def note(*work_and_time):
            begun.append(work_and_time)

        stage.run_work = note
        await stage.run_three_works()
        return tuple(zip(*begun, strict=True))


class TestPlays(unittest.TestCase):
    @params(*enumerate(PLAYS))
    def test_planned_work_breaks_no_rule(self, number, play):
        """Guards against faults that stand-ins with the product's own HTTP hide."""
        lines, verdict = asyncio.run(self.run_play(number, play))
        self.assertEqual(lines, [])
        ends = [fate.end for fate in verdict.fates]
        self.assertGreater(ends.count("answered"), LEAST_REQUESTS)

    async def run_play(self, number, play):
        with tempfile.TemporaryDirectory(prefix="catkinpost-") as folder:
            async with asyncio.timeout(LIMIT_S):
                lines, verdict, _ = await run_play(play, SEED, number, Path(folder))
        return lines, verdict
