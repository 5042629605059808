"""A few plays of planned work on real nodes."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from nose2.tools import params

from catkinpost_standins.plays.stage import run_play
from catkinpost_standins.plays.table import STOP_PLAYS, Play

SEED = 1
LIMIT_S = 90.0
LEAST_REQUESTS = 10
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
