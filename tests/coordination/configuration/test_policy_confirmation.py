"""Tests of the age of the policy, and of the wait for peers at the start."""

import math
import unittest

import trio
from nose2.tools import params

from catkinpost.coordination.configuration.policy_confirmation import (
    PEER_WAIT_S,
    PolicyConfirmation,
)
from catkinpost.coordination.configuration.policy_exchange import PolicyExchange
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.instance_view import InstanceView
from catkinpost.state.policy_age import PolicyAge
from catkinpost.state.policy_store import PolicyStore
from tests.clock import on_mock_clock
from tests.coordination.at_most_once.test_once import make_instance


class Setup:
    def __init__(self, *names):
        self.store = PolicyStore()
        self.store.accept_document(5, "", now=0.0, source="test")
        self.view = InstanceView()
        self.view.apply_list(1, [make_instance(name) for name in names], 0.0)
        self.age = PolicyAge()
        self.exchange = PolicyExchange(
            store=self.store,
            broadcast=lambda message: None,
            on_policy_changed=lambda: None,
            decisions=DecisionLog(),
        )
        self.confirmation = PolicyConfirmation(
            exchange=self.exchange, view=self.view, instance="own", age=self.age
        )

    def is_confirmed(self):
        self.confirmation.confirm(trio.current_time())
        return self.age.confirmed_at > -math.inf


class TestPolicyConfirmation(unittest.TestCase):
    @on_mock_clock
    async def test_time_of_the_confirmation_never_goes_back(self):
        setup = Setup("own")
        for at in (3.0, 1.0, 2.0):
            setup.confirmation.confirm(at)
        self.assertEqual(setup.age.get_age(4.0), 1.0)

    @params(({}, False), ({"a": 5}, True), ({"a": 4}, True), ({"a": 6}, False))
    def test_start_beside_a_platform_that_may_have_lost_the_newest_policy(
        self, versions, is_confirmed
    ):
        self.check_start(versions, is_confirmed)

    @on_mock_clock
    async def check_start(self, versions, is_confirmed):
        setup = Setup("own", "a", "b")
        setup.exchange.peer_versions.update(versions | {"not-listed": 9})
        self.assertEqual(setup.is_confirmed(), is_confirmed)
        await trio.sleep(PEER_WAIT_S - 0.1)
        self.assertEqual(setup.is_confirmed(), is_confirmed)
        await trio.sleep(0.1)
        self.assertTrue(setup.is_confirmed())

    @on_mock_clock
    async def test_newer_policy_of_a_peer_is_waited_for(self):
        setup = Setup("own", "a")
        setup.exchange.peer_versions["a"] = 6
        self.assertFalse(setup.is_confirmed())
        setup.store.accept_document(6, "", now=0.0, source="test")
        self.assertTrue(setup.is_confirmed())

    @on_mock_clock
    async def test_lone_node_waits_for_nobody(self):
        self.assertTrue(Setup("own").is_confirmed())

    @params(({"service orders": 4}, True), ({"workspace lab": 4}, False))
    def test_broken_workspace_confirms_nothing(self, broken, is_confirmed):
        """Its last good form has keys that may have been withdrawn."""
        self.check_broken(broken, is_confirmed)

    @on_mock_clock
    async def check_broken(self, broken, is_confirmed):
        setup = Setup("own")
        setup.store.broken = broken
        self.assertEqual(setup.is_confirmed(), is_confirmed)
        setup.store.broken = {}
        self.assertTrue(setup.is_confirmed())
