"""Tests of the poll moderator."""

import unittest

from catkinpost.transport.moderation import (
    FULL_DELAY_BUSY_SHARE,
    NO_DELAY_BUSY_SHARE,
    PollModerator,
)

MAX_INTERVAL_S = 0.005


class FakeLoop:
    """Event loop whose iterations have a given duration."""

    def __init__(self) -> None:
        self.now = 0.0
        self.sleeps_s: list[float] = []
        self.moderator = PollModerator(
            MAX_INTERVAL_S, clock=lambda: self.now, sleep=self.sleep
        )

    def sleep(self, seconds: float) -> None:
        self.sleeps_s.append(seconds)
        self.now += seconds

    def run_iteration(
        self, *, idle_s: float, busy_s: float, timeout: float = 1.0
    ) -> float:
        """Run one iteration and return the delay before its poll in seconds."""
        self.sleeps_s.clear()
        self.moderator.before_io_wait(timeout)
        self.now += idle_s
        self.moderator.after_io_wait(timeout)
        self.now += busy_s
        return sum(self.sleeps_s)

    def run_until_settled(self, busy_share: float) -> None:
        for _ in range(20_000):
            self.run_iteration(
                idle_s=0.001 * (1 - busy_share), busy_s=0.001 * busy_share, timeout=0.0
            )


class TestPollModerator(unittest.TestCase):
    def test_interval_follows_the_share_of_work(self):
        middle = (NO_DELAY_BUSY_SHARE + FULL_DELAY_BUSY_SHARE) / 2
        cases = [
            (0.0, 0.0),
            (NO_DELAY_BUSY_SHARE / 2, 0.0),
            (middle, MAX_INTERVAL_S / 2),
            (2 * FULL_DELAY_BUSY_SHARE, MAX_INTERVAL_S),
            (1.0, MAX_INTERVAL_S),
        ]
        for share, wanted in cases:
            with self.subTest(share=share):
                loop = FakeLoop()
                loop.run_until_settled(share)
                self.assertAlmostEqual(
                    loop.moderator.min_interval_s, wanted, delta=2e-4
                )

    def test_wait_before_a_poll(self):
        cases = [
            # (name, idle and busy seconds of the last iteration, timeout, expected)
            ("soon after the last poll", 0.0, 0.001, 1.0, MAX_INTERVAL_S - 0.001),
            ("long after the last poll", 0.0, 0.02, 1.0, 0.0),
            ("a deadline is due sooner", 0.0, 0.001, 0.002, 0.002),
            ("tasks are ready to run", 0.0, 0.001, 0.0, 0.0),
        ]
        for name, idle, busy, timeout, wanted in cases:
            with self.subTest(name):
                loop = FakeLoop()
                loop.run_until_settled(0.9)
                loop.run_iteration(idle_s=idle, busy_s=busy, timeout=0.0)
                slept = loop.run_iteration(idle_s=0.0, busy_s=0.0, timeout=timeout)
                self.assertAlmostEqual(slept, wanted, places=6)

    def test_zero_max_interval_disables_the_delay(self):
        moderator = PollModerator(0.0)
        moderator.busy_share = 1.0
        self.assertEqual(moderator.min_interval_s, 0.0)

    def test_idle_loop_never_waits(self):
        loop = FakeLoop()
        for _ in range(1000):
            self.assertEqual(loop.run_iteration(idle_s=0.0143, busy_s=0.0007), 0.0)

    def test_busy_share_is_weighted_by_time(self):
        loop = FakeLoop()
        for _ in range(2000):
            # Ten short busy iterations and a long idle one: busy for 1 ms of 101 ms.
            for _ in range(10):
                loop.run_iteration(idle_s=0.0, busy_s=0.0001, timeout=0.0)
            loop.run_iteration(idle_s=0.1, busy_s=0.0)
        self.assertLess(loop.moderator.busy_share, NO_DELAY_BUSY_SHARE)
