"""A few plays of planned work on real nodes."""

import asyncio
import tempfile
import time
import unittest
from dataclasses import replace
from itertools import permutations
from pathlib import Path
from signal import SIGCONT, SIGSTOP
from unittest import mock

from nose2.tools import params

from catkinpost_standins.plays.fleet import NodeBounds
from catkinpost_standins.plays.stage import SERIES_S, Stage, run_play
from catkinpost_standins.plays.table import STOP_PLAYS, Play

SEED = 1
LIMIT_S = 90.0
LEAST_REQUESTS = 10
SERIES, SHORTEST_S = 40, 0.5
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


def build_stage(work, place, seed):
    play = replace(PLAYS[0], work=work, place=place)
    return Stage(play, seed, 0, Path(), NodeBounds())


class TestDisruption(unittest.TestCase):
    @params(
        # (work, place of the target, prefixes of the routes to the disrupted machine)
        ("peer held still", "here", ()),
        ("peer held still", "near", ("/play/",)),
        ("link cut", "here", ()),
        ("link cut", "far", ("/play/",)),
    )
    def test_disruption_is_noted_for_the_verdict(self, work, place, prefixes):
        stage = build_stage(work, place, SEED)
        stage.stop = mock.AsyncMock()
        stage.peer.process = mock.Mock()
        machines = permutations(stage.fleet.machines, 2)
        stage.fleet.ways_between = {pair: mock.Mock() for pair in machines}
        started_at = time.monotonic()
        asyncio.run(stage.disrupted[work]())
        noted = stage.disruptions[0]
        self.assertEqual(noted.server, stage.peer.server.identity)
        self.assertNotEqual(stage.sound_service, stage.peer.server.service)
        self.assertIsNot(stage.peer, stage.entry)
        self.assertEqual(noted.prefixes, prefixes)
        self.assertLessEqual(started_at, noted.started_at)
        self.assertGreaterEqual(noted.ended_at - noted.started_at, 0.9 * SHORTEST_S)
        signals = [call.args[0] for call in stage.peer.process.send_signal.mock_calls]
        is_held = work == "peer held still"
        self.assertEqual(signals, [SIGSTOP, SIGCONT] if is_held else [])
        ways = stage.fleet.ways_between
        met = {pair for pair, way in ways.items() if way.cut.called and way.mend.called}
        self.assertEqual(bool(met), not is_held)
        self.assertTrue(all(set(pair) == {stage.entry, stage.peer} for pair in met))


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
        stage = build_stage("three works", place, seed)
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
