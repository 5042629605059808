"""Tests of limits of workspaces at a node that follows a store."""

import json
import unittest

import trio
from nose2.tools import params

from catkinpost.coordination.limits.keeper import LimitKeeper
from catkinpost.protocol.message import CreditVerdict
from tests.platform.test_environment import (
    OWN_ADDRESS,
    SETTINGS,
    respond_503,
    with_followed_store,
)
from tests.platform.test_environment_keys import BOUNDS, REVOCATION_S
from tests.platform.test_listing import make_entry
from tests.platform.test_workspace_keys import CONFIG_WITH_KEYS, KEY

SLACK, OVERSHOOT = 30.0, 0.2
LIMIT_SETTINGS = f"""\
{SETTINGS}{BOUNDS}
quota-slack = {SLACK}
quota-overshoot = {OVERSHOOT}
"""
RATE = 60.0


async def publish(setup, rate=RATE, version=7):
    """Publish a limit; the node is its only keeper afterwards, and has settled."""
    tenant = {"name": "lab", "api-keys": [KEY], "rate-per-s": rate, "burst": rate}
    config = CONFIG_WITH_KEYS | {"version": version, "tenants": [tenant]}
    setup.store.put("op/config", json.dumps(config).encode())
    setup.store.put("servers/i-1", make_entry(address=OWN_ADDRESS))
    await trio.sleep(2 * REVOCATION_S)


def decide(setup, share=0):
    keeper: LimitKeeper = setup.node.limits.keeper
    return keeper.decide("lab", share, trio.current_time()).verdict


def is_settled(setup):
    decide(setup)
    return setup.node.limits.keeper.kept["lab", 0].is_settled


class TestLimitsInForce(unittest.TestCase):
    @with_followed_store(settings=LIMIT_SETTINGS)
    async def test_bounds_come_from_the_settings(self, setup):
        bounds = setup.node.limits.keeper.bounds
        self.assertEqual((bounds.slack, bounds.overshoot), (SLACK, OVERSHOOT))
        self.assertLess(bounds.max_age_s, REVOCATION_S)

    @with_followed_store(settings=LIMIT_SETTINGS)
    async def test_node_gives_credit_while_the_store_is_heard(self, setup):
        await publish(setup)
        self.assertIs(decide(setup), CreditVerdict.GRANTED)
        self.assertTrue(is_settled(setup))

    @with_followed_store(settings=LIMIT_SETTINGS)
    async def test_node_that_does_not_hear_the_store_stops_to_count(self, setup):
        """Guards against a keeper that was replaced and does not know it."""
        await publish(setup)
        setup.store.fault = respond_503
        setup.store.cut_connections()
        cut_at = trio.current_time()
        while decide(setup) is not CreditVerdict.OUTDATED:
            await trio.sleep(0.05)
        age_s = setup.node.limits.keeper.bounds.max_age_s
        self.assertLessEqual(trio.current_time() - cut_at, age_s + 0.1)
        setup.store.fault = None
        await trio.sleep(2.0)
        self.assertIs(decide(setup), CreditVerdict.GRANTED)
        self.assertTrue(is_settled(setup))

    @params("same server", "new server")
    def test_entry_that_was_written_anew(self, kind):
        self.check_written_anew(kind)

    @with_followed_store(settings=LIMIT_SETTINGS)
    async def check_written_anew(self, setup, kind):
        """Guards against a second keeper where the entry was away in between."""
        await publish(setup)
        self.assertTrue(is_settled(setup))
        changes = {"born": 99} if kind == "new server" else {}
        setup.store.put("servers/i-1", None)
        setup.store.put("servers/i-1", make_entry(address=OWN_ADDRESS, **changes))
        await trio.sleep(2.0)
        self.assertFalse(is_settled(setup))

    @with_followed_store(settings=LIMIT_SETTINGS)
    async def test_changed_limit_is_in_force_without_new_credit(self, setup):
        await publish(setup)
        while decide(setup) is CreditVerdict.GRANTED:
            pass
        await publish(setup, rate=RATE / 100, version=8)
        bucket = setup.node.limits.keeper.kept["lab", 0].bucket
        decide(setup)
        self.assertAlmostEqual(bucket.rate, RATE / 100 / 6)
