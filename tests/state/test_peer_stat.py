"""Tests of the observations of an instance."""

import unittest

from nose2.tools import params

from catkinpost.state.peer_stat import SLOWNESS_HALF_LIFE_S, PeerStat


class TestSlowness(unittest.TestCase):
    def test_one_long_request_among_many_is_no_slow_instance(self):
        """Three in a hundred requests take seven times as long or longer."""
        stat = PeerStat()
        for ratio in [1.0] * 10 + [15.0]:
            stat.record_response(ratio, 0.0)
        self.assertLess(stat.get_slowness(0.0), 2.0)

    @params(5.0, 0.3)
    def test_instance_that_is_slow_or_fast_shows_within_some_answers(self, factor):
        stat = PeerStat()
        for _ in range(15):
            stat.record_response(factor, 0.0)
        self.assertAlmostEqual(stat.get_slowness(0.0) / factor, 1.0, delta=0.1)

    def test_old_observations_lose_weight(self):
        stat = PeerStat()
        for _ in range(30):
            stat.record_response(16.0, 0.0)
        halved = stat.get_slowness(SLOWNESS_HALF_LIFE_S)
        self.assertAlmostEqual(halved, 4.0, delta=0.1)
        self.assertLess(stat.get_slowness(10 * SLOWNESS_HALF_LIFE_S), 1.1)

    @params((1, 14.0, 2.0), (2, 14.0, 3.0), (4, 14.0, 7.1), (9, 14.0, 7.1))
    def test_few_unanswered_calls_say_less(self, count, age, max_lateness):
        stat = PeerStat()
        for number in range(count):
            stat.outstanding[number] = (0.0, 1.0)
        lateness = stat.get_lateness(age)
        self.assertTrue(1.0 < lateness <= max_lateness, lateness)

    def test_frozen_instance_shows_by_a_single_call_in_the_end(self):
        stat = PeerStat()
        stat.outstanding[1] = (0.0, 0.01)
        self.assertGreater(stat.get_lateness(2.0), 3.0)
