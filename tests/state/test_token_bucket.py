"""Tests of the token bucket."""

import unittest

from nose2.tools import params

from catkinpost.state.token_bucket import TokenBucket


class TestTokenBucket(unittest.TestCase):
    @params(
        # (tokens at the start, seconds, takes that succeed)
        (0, 0.0, 0),
        (0, 0.05, 0),
        (0, 0.1, 1),
        (0, 0.25, 2),
        (3, 0.0, 3),
        # No more than the bound, however long nothing was taken.
        (0, 60.0, 3),
    )
    def test_takes_after_an_idle_time(self, tokens, seconds, takes):
        bucket = TokenBucket(rate=10, burst=3, tokens=tokens)
        bucket.refill(0.0)
        taken = 0
        while bucket.has_token(seconds):
            bucket.take(seconds)
            taken += 1
        self.assertEqual(taken, takes)

    @params((1, 0.1), (2, 0.2), (5, 0.5))
    def test_wait_for_tokens(self, count, seconds):
        bucket = TokenBucket(rate=10, burst=3, tokens=0)
        bucket.refill(0.0)
        self.assertAlmostEqual(bucket.get_wait(0.0, count=count), seconds)

    def test_lower_rate_takes_excess_tokens_away(self):
        bucket = TokenBucket(rate=10, burst=3, tokens=3)
        bucket.change_rate(rate=1, burst=1, now=0.0)
        self.assertAlmostEqual(bucket.get_wait(0.0, count=2), 1.0)
