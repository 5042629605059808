"""Tests of the table of plays."""

import itertools
import unittest

from catkinpost_standins.plays.table import (
    CROWD_PLAYS,
    FACTORS,
    OUTLASTING_PLAYS,
    PIPELINE_PLAYS,
    STOP_PLAYS,
    TRICKLE_PLAYS,
    build_plays,
    list_pairs,
)


class TestTable(unittest.TestCase):
    def test_each_pair_of_values_occurs(self):
        reached = {pair for play in build_plays() for pair in list_pairs(play)}
        expected = {
            ((first, one), (second, other))
            for first, second in itertools.combinations(FACTORS, 2)
            for one in FACTORS[first]
            for other in FACTORS[second]
        }
        self.assertEqual(reached, expected)

    def test_fixed_rows_are_played(self):
        fixed = [
            *STOP_PLAYS,
            *PIPELINE_PLAYS,
            *TRICKLE_PLAYS,
            *OUTLASTING_PLAYS,
            *CROWD_PLAYS,
        ]
        self.assertEqual(build_plays()[-len(fixed) :], fixed)
