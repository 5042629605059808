"""Tests of the retry allowance."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from catkinpost.state.allowance import Allowance


def spend_chain(allowance, depth, draw):
    """Simulate the calls of a call chain and return the retries consumed."""
    spent = 0
    for _ in range(draw(st.integers(0, 3))):
        child = Allowance(allowance.reserve_for_child())
        while True:
            reserved = child.reserve_for_attempt()
            if depth > 1:
                below = Allowance(reserved)
                spent += spend_chain(below, depth - 1, draw)
                unused = below.remaining
            else:
                unused = reserved
            if draw(st.booleans()):
                # A forged or lost response: it may claim more than was reserved.
                child.release_unused(
                    draw(st.sampled_from([unused, 99, 0, -5])), reserved=unused
                )
            if draw(st.booleans()) or not child.consume_retry():
                break
            spent += 1
        allowance.release_unused(child.remaining, reserved=child.remaining)
    return spent


class TestAllowance(unittest.TestCase):
    @given(total=st.integers(0, 8), data=st.data())
    def test_retries_over_the_whole_chain_never_exceed_the_grant(self, total, data):
        allowance = Allowance(total)
        spent = spend_chain(allowance, 3, data.draw)
        self.assertLessEqual(spent + allowance.remaining, total)

    @given(total=st.integers(0, 20))
    def test_lost_answer_leaves_the_larger_half(self, total):
        allowance = Allowance(total)
        reserved = allowance.reserve_for_attempt()
        self.assertEqual(reserved + allowance.remaining, total)
        self.assertGreaterEqual(allowance.remaining, reserved)

    def test_forged_answer_returns_no_more_than_was_lent(self):
        allowance = Allowance(3)
        reserved = allowance.reserve_for_attempt()
        allowance.release_unused(1000, reserved=reserved)
        self.assertEqual(allowance.remaining, 3)

    def test_empty_allowance_cannot_be_spent(self):
        self.assertFalse(Allowance(0).consume_retry())
