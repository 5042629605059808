"""Tests of the detection of process pauses."""

import time
import unittest
from unittest import mock

import trio
from nose2.tools import params

from catkinpost.coordination.pause import (
    CHECK_INTERVAL_S,
    MIN_PAUSE_S,
    PauseWatch,
    SuspendAwareClock,
)
from catkinpost.process import run_process
from catkinpost.state.decision_log import DecisionLog
from tests.clock import on_mock_clock, wait_all_tasks_blocked


class TestPauseWatch(unittest.TestCase):
    @params(
        # (seconds awake, seconds suspended, pauses)
        (0.25, 0.0, 0),
        (MIN_PAUSE_S + 0.1, 0.0, 1),
        (0.0, MIN_PAUSE_S + 0.1, 1),
        (MIN_PAUSE_S / 2, MIN_PAUSE_S / 2, 1),
        (MIN_PAUSE_S / 2, 0.0, 0),
    )
    def test_gap(self, awake, suspended, pauses):
        self.check_gap(awake, suspended, pauses)

    @on_mock_clock
    async def check_gap(self, awake, suspended, pauses):
        times = [0.0]
        watch = PauseWatch(DecisionLog(), get_suspended_time=lambda: times[0])
        heard = []
        watch.listeners.append(lambda: heard.append(True))
        connection = mock.Mock()
        watch.check_for_pause()
        await trio.sleep(awake + suspended)
        times[0] = suspended
        with watch.watch_input(connection):
            self.assertEqual(watch.check_for_pause(), pauses)
        self.assertEqual(len(heard), pauses)
        expected = [mock.call(suspended)] * pauses
        self.assertEqual(connection.distrust.call_args_list, expected)

    @params(
        # (seconds without a check, seconds until the signal is handled, and until the
        # event loop comes to it, earliest)
        (0.25, 0.0, 0.0, 0.25),
        (0.25, 0.0, 0.2, 0.25),
        (0.6, 0.0, 0.0, 0.0),
        (0.6, 0.0, 0.4, 0.0),
        (MIN_PAUSE_S + 2.0, 0.0, 0.0, 0.0),
        (MIN_PAUSE_S + 2.0, 0.1, 0.0, 0.0),
        (MIN_PAUSE_S + 2.0, 0.1, 0.4, 0.0),
        (MIN_PAUSE_S + 2.0, 0.3, 0.0, MIN_PAUSE_S + 2.3),
    )
    def test_earliest_time_of_a_signal(self, gap_s, delay_s, loop_delay_s, earliest):
        self.check_earliest_signal(gap_s, delay_s, loop_delay_s, earliest)

    @on_mock_clock
    async def check_earliest_signal(self, gap_s, delay_s, loop_delay_s, earliest):
        watch = PauseWatch(DecisionLog(), get_suspended_time=lambda: 0.0)
        started_at = trio.current_time()
        watch.check_for_pause()
        await trio.sleep(gap_s)
        if delay_s:
            watch.check_for_pause()
            await trio.sleep(delay_s)
        handled_at = trio.current_time()
        if loop_delay_s:
            watch.check_for_pause()
            await trio.sleep(loop_delay_s)
        signalled_s = watch.find_earliest_signal(handled_at) - started_at
        self.assertAlmostEqual(signalled_s, earliest)

    @on_mock_clock
    async def test_late_checks_are_measured(self):
        watch = PauseWatch(DecisionLog(), get_suspended_time=lambda: 0.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch.run)
            await trio.sleep(10 * CHECK_INTERVAL_S)
            self.assertAlmostEqual(watch.most_late_s, 0.0)
            await wait_all_tasks_blocked()
            trio.lowlevel.current_clock().jump(CHECK_INTERVAL_S + 0.3)
            await trio.sleep(10 * CHECK_INTERVAL_S)
            self.assertAlmostEqual(watch.most_late_s, 0.3)
            nursery.cancel_scope.cancel()


class TestClock(unittest.TestCase):
    @params(0.0, 30.0)
    def test_deadline_expires_on_a_machine_that_was_suspended(self, suspended):
        """Guards against work that is started with more time than its caller has."""
        clock = SuspendAwareClock()
        read_clock = time.clock_gettime
        started_at = clock.current_time()

        def read_later(kind):
            return read_clock(kind) + suspended * (kind == time.CLOCK_BOOTTIME)

        with mock.patch("time.clock_gettime", read_later):
            passed_s = clock.current_time() - started_at
            left_s = clock.deadline_to_sleep_time(started_at + 60.0)
        self.assertAlmostEqual(passed_s, suspended, delta=1.0)
        self.assertAlmostEqual(left_s, 60.0 - suspended, delta=1.0)

    def test_process_runs_on_this_clock(self):
        with mock.patch("trio.run") as run, mock.patch("catkinpost.process.gc"):
            run_process(mock.Mock(), poll_interval=0.0)
        self.assertIsInstance(run.call_args.kwargs["clock"], SuspendAwareClock)
