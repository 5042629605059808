"""Tests of the log lines of single requests."""

import unittest

import trio

from catkinpost.state.request_log import RequestLog
from tests.clock import on_mock_clock
from tests.log import CapturedLog


class TestRequestLog(unittest.TestCase):
    @on_mock_clock
    async def test_lines_are_bounded_and_those_left_out_counted(self):
        log = RequestLog(lines_per_s=10, burst_lines=5)
        written = sum(log.acquire_line() for _ in range(100))
        self.assertEqual((written, log.left_out), (5, 95))
        await trio.sleep(1)
        self.assertTrue(log.acquire_line())
        with CapturedLog() as messages:
            log.add("entry: failed", "a-1", detail="why")
            log.add("entry: failed", "a-2", detail="why")
        self.assertEqual([item["left_out"] for item in messages], [95, 0])
        self.assertEqual([item["request"] for item in messages], ["a-1", "a-2"])
