"""Tests of the detection of process pauses."""

import unittest

import trio
from nose2.tools import params

from catkinpost.coordination.pause import MIN_PAUSE_S, PauseWatch
from catkinpost.state.decision_log import DecisionLog
from tests.clock import on_mock_clock


class TestPauseWatch(unittest.TestCase):
    @params(
        # (seconds of the event loop's clock, seconds suspended, pauses)
        (0.25, 0.0, 0),
        (MIN_PAUSE_S + 0.1, 0.0, 1),
        (0.0, MIN_PAUSE_S + 0.1, 1),
        (MIN_PAUSE_S / 2, MIN_PAUSE_S / 2, 1),
        (MIN_PAUSE_S / 2, 0.0, 0),
    )
    def test_gap(self, passed, suspended, pauses):
        self.check_gap(passed, suspended, pauses)

    @on_mock_clock
    async def check_gap(self, passed, suspended, pauses):
        times = [0.0]
        watch = PauseWatch(DecisionLog(), get_suspended_time=lambda: times[0])
        heard = []
        watch.listeners.append(lambda: heard.append(True))
        watch.check_for_pause()
        await trio.sleep(passed)
        times[0] = suspended
        self.assertEqual(watch.check_for_pause(), pauses)
        self.assertEqual(len(heard), pauses)
