"""Tests of the pace of requests under a rate limit."""

import unittest

import trio
from nose2.tools import params

from catkinpost.coordination.admission.rate_limiter import RateLimiter
from catkinpost.protocol.policy import ServiceSection
from catkinpost.state.decision_log import DecisionLog
from tests.clock import on_mock_clock

# Bound of the platform on the requests of any four seconds.
WINDOW_S, FACTOR, EXCESS = 4.0, 1.5, 5


def make_limiter():
    return RateLimiter(ServiceSection(owner="test"), DecisionLog())


class TestRateLimiter(unittest.TestCase):
    @params(0.0, 0.2, 1.0, 7.3, 38.4, 500.0)
    def test_requests_of_a_window(self, rate_limit):
        self.check_window(rate_limit)

    @on_mock_clock
    async def check_window(self, rate_limit):
        limiter = make_limiter()
        limiter.set_limit(rate_limit)
        # An idle time fills the bucket.
        await trio.sleep(60)
        started = 0
        for _ in range(400):
            while limiter.can_start():
                limiter.record_start()
                started += 1
            await trio.sleep(WINDOW_S / 400)
        self.assertLessEqual(started, FACTOR * WINDOW_S * rate_limit + EXCESS)
        self.assertGreaterEqual(started, int(WINDOW_S * rate_limit * 0.95))

    @on_mock_clock
    async def test_window_with_a_restart_of_the_node(self):
        started = 0
        for _ in range(2):
            limiter = make_limiter()
            limiter.set_limit(10.0)
            for _ in range(200):
                while limiter.can_start():
                    limiter.record_start()
                    started += 1
                await trio.sleep(WINDOW_S / 400)
        self.assertLessEqual(started, WINDOW_S * 10 + 1)

    @on_mock_clock
    async def test_limit_that_falls_rises_and_ends(self):
        limiter = make_limiter()
        self.assertTrue(limiter.can_start())
        limiter.set_limit(40.0)
        await trio.sleep(10)
        self.assertEqual(limiter.get_wait(9), 0.0)
        limiter.set_limit(2.0)
        self.assertAlmostEqual(limiter.get_wait(2), 1.0)
        limiter.set_limit(20.0)
        self.assertAlmostEqual(limiter.get_wait(2), 0.1)
        limiter.set_limit(None)
        self.assertEqual(limiter.get_wait(100), 0.0)
        self.assertTrue(limiter.can_start())
