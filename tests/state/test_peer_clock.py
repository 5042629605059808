"""Tests of the bound on the clock of a peer."""

import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from catkinpost.state.peer_clock import MAX_DRIFT, PeerClock

DELAYS = st.floats(0.0, 10.0)
RATES = st.floats(1 - MAX_DRIFT / 2, 1 + MAX_DRIFT / 2)


class TestPeerClock(unittest.TestCase):
    @given(
        st.floats(-1e6, 1e6), RATES, st.lists(st.tuples(DELAYS, DELAYS, DELAYS)), DELAYS
    )
    def test_time_of_a_peer_is_never_taken_for_a_later_one(
        self, offset_s, rate, exchanges, pause_s
    ):
        """The peer's clock has any offset, and its rate differs a little."""

        def show(at):
            return (at + offset_s) * rate

        clock, now = PeerClock(), 0.0
        for pause, way_there, way_back in exchanges:
            now += pause
            asked_at = now
            shown = show(asked_at + way_there)
            now = asked_at + way_there + way_back
            clock.record(asked_at, shown)
        written_at = now + pause_s
        converted = clock.convert(show(written_at), written_at)
        self.assertLessEqual(converted, written_at + 1e-6)

    def test_quick_answer_gives_a_close_bound(self):
        clock = PeerClock()
        self.assertEqual(clock.convert(500.0, 7.0), -math.inf)
        clock.record(10.0, 510.0 + 2.0)
        clock.record(20.0, 520.0 + 0.01)
        clock.record(21.0, 521.0 + 3.0)
        self.assertAlmostEqual(clock.convert(530.0, 30.0), 30.0, delta=0.03)
        self.assertEqual(clock.asked_at, 21.0)
