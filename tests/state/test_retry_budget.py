"""Tests of the bound on repeated requests."""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from nose2.tools import params

from catkinpost.state.retry_budget import RetryBound, RetryBudget

NODES = 4
BOUND = RetryBound(ratio=0.1, window_s=10.0, extra=8.0)


class TestRetryBudget(unittest.TestCase):
    @params((0, 2), (10, 3), (100, 12))
    def test_share_grows_with_the_requests_seen(self, requests, expected):
        budget = RetryBudget(BOUND)
        budget.node_count = NODES
        for _ in range(requests):
            budget.record_request("orders", 1.0)
        self.assertEqual(
            sum(budget.acquire_repeat("orders", 2.0) for _ in range(50)), expected
        )

    def test_services_have_shares_of_their_own(self):
        budget = RetryBudget(BOUND)
        budget.node_count = NODES
        self.assertEqual(sum(budget.acquire_repeat("orders", 0.0) for _ in range(9)), 2)
        self.assertTrue(budget.acquire_repeat("sets", 0.0))

    def test_share_comes_back_with_the_window(self):
        budget = RetryBudget(BOUND)
        budget.node_count = NODES
        self.assertEqual(sum(budget.acquire_repeat("orders", 0.0) for _ in range(9)), 2)
        self.assertFalse(budget.acquire_repeat("orders", 10.0))
        self.assertTrue(budget.acquire_repeat("orders", 10.1))

    def test_reserved_repeat_is_kept_until_it_is_released(self):
        budget = RetryBudget(BOUND)
        budget.node_count = NODES
        for _ in range(2):
            self.assertTrue(budget.reserve_repeat("orders", "first", 0.0))
        self.assertTrue(budget.reserve_repeat("orders", "second", 0.0))
        self.assertFalse(budget.reserve_repeat("orders", "third", 11.0))
        self.assertFalse(budget.acquire_repeat("orders", 11.0))
        budget.release_repeat("orders", "first")
        self.assertTrue(budget.acquire_repeat("orders", 11.0))
        self.assertTrue(budget.acquire_repeat("orders", 11.0, holder="second"))
        self.assertFalse(budget.acquire_repeat("orders", 21.0))

    def test_reserved_repeat_is_checked_again(self):
        """Guards against repeats that requests of an earlier window allowed."""
        budget = RetryBudget(RetryBound(ratio=0.1, window_s=10.0, extra=0.0))
        for _ in range(10):
            budget.record_request("orders", 0.0)
        self.assertTrue(budget.reserve_repeat("orders", "first", 9.0))
        self.assertFalse(budget.acquire_repeat("orders", 11.0, holder="first"))

    def test_without_a_bound_all_is_allowed(self):
        budget = RetryBudget()
        self.assertTrue(all(budget.acquire_repeat("orders", 0.0) for _ in range(1000)))


class BudgetMachine(RuleBasedStateMachine):
    """Nodes with uneven load and restarts, checked against the bound of their sum."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.requests = []
        self.repeats = []
        self.restarts = []
        self.nodes = [self.make() for _ in range(NODES)]

    def make(self):
        budget = RetryBudget(BOUND)
        budget.node_count = NODES
        return budget

    @rule(node=st.integers(0, NODES - 1), count=st.integers(1, 60))
    def send(self, node, count):
        for _ in range(count):
            self.nodes[node].record_request("orders", self.now)
            self.requests.append(self.now)

    @rule(node=st.integers(0, NODES - 1), count=st.integers(1, 60))
    def repeat(self, node, count):
        for _ in range(count):
            if self.nodes[node].acquire_repeat("orders", self.now):
                self.repeats.append(self.now)

    @rule(node=st.integers(0, NODES - 1), holder=st.integers(0, 5))
    def reserve(self, node, holder):
        self.nodes[node].reserve_repeat("orders", holder, self.now)

    @rule(node=st.integers(0, NODES - 1), holder=st.integers(0, 5))
    def repeat_reserved(self, node, holder):
        if self.nodes[node].acquire_repeat("orders", self.now, holder):
            self.repeats.append(self.now)

    @rule(seconds=st.floats(0.1, 12.0))
    def wait(self, seconds):
        self.now += seconds

    @rule(node=st.integers(0, NODES - 1))
    def restart(self, node):
        self.nodes[node] = self.make()
        self.restarts.append(self.now)

    @invariant()
    def sum_is_within_the_bound(self):
        """Check the sum of repeats; each restart may add one node's part again.

        The requests of a repeat's own window allow it, so that the repeats of one
        window depend on the requests of two windows.
        """
        repeats = self.recent(self.repeats, BOUND.window_s)
        requests = self.recent(self.requests, 2 * BOUND.window_s)
        restarts = self.recent(self.restarts, BOUND.window_s)
        part = BOUND.extra / NODES
        assert repeats <= BOUND.ratio * requests + BOUND.extra + restarts * (
            part + BOUND.ratio * requests
        )

    def recent(self, times, window):
        return sum(self.now - at <= window for at in times)


TestBudgetMachine = BudgetMachine.TestCase
