"""Tests of the command that runs plays."""

import asyncio
import contextlib
import io
import unittest
from unittest import mock

from catkinpost_standins.plays import command
from catkinpost_standins.plays.fleet import NodeBounds
from catkinpost_standins.plays.table import STOP_PLAYS


class TestRunPlays(unittest.TestCase):
    def test_play_that_does_not_run_is_no_success(self):
        """Guards against a run that holds as its plays did not come about."""
        failing = mock.AsyncMock(side_effect=RuntimeError("the node did not start"))
        plays = [(0, STOP_PLAYS[0])]
        with (
            mock.patch.object(command, "run_play", failing),
            contextlib.redirect_stdout(io.StringIO()) as output,
        ):
            count = asyncio.run(command.run_plays(plays, 1, 1, None, NodeBounds()))
        self.assertEqual(count, 1)
        self.assertIn("1 did not run", output.getvalue())
