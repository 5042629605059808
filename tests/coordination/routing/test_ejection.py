"""Tests of outlier ejection, trials and return."""

import unittest

import trio
from nose2.tools import params

from tests.clock import on_mock_clock
from tests.coordination.routing.test_router import PLACES, SAME_CENTRE, Setup


class TestEjector(unittest.TestCase):
    @on_mock_clock
    async def test_failing_instance_is_ejected_tried_and_returned(self):
        setup = Setup(SAME_CENTRE, "ejection_share = 0.5")
        await setup.run({}, 40, failure={"near-1"})
        self.assertGreater(setup.stats.get_or_create("near-1").ejections, 0)
        got = await setup.run({}, 100, failure={"near-1"})
        self.assertNotIn("near-1", got)
        await trio.sleep(40)
        await setup.run({}, 60)
        actions = [item.action for item in setup.decisions.decisions]
        self.assertIn("eject", actions)
        self.assertIn("return", actions)
        got = await setup.run({}, 100)
        self.assertGreater(got["near-1"], 20)

    @on_mock_clock
    async def test_instance_is_ejected_when_it_stays_slow_but_not_for_a_moment(self):
        setup = Setup(SAME_CENTRE, "ejection_share = 0.5")
        await setup.run({}, 40)
        stat = setup.stats.get_or_create("near-1")
        for checks in (1, 2, 3):
            stat.slowness, stat.updated_at = 10.0, trio.current_time()
            setup.ejector.check_service("sets")
            self.assertEqual(stat.ejections, int(checks == 3))

    @on_mock_clock
    async def test_failed_trial_keeps_an_instance_out(self):
        setup = Setup(SAME_CENTRE, "ejection_share = 0.5")
        await setup.run({}, 40, failure={"near-1"})
        await trio.sleep(5)
        await setup.run({}, 40, failure={"near-1"})
        actions = [item.action for item in setup.decisions.decisions]
        self.assertIn("keep out", actions)

    @on_mock_clock
    async def test_trial_uses_repeatable_calls_only(self):
        setup = Setup(SAME_CENTRE, "ejection_share = 0.5")
        await setup.run({}, 40, failure={"near-1"})
        await trio.sleep(5)
        setup.ejector.check_service("sets")
        got = await setup.run({}, 30, repeatable=False)
        self.assertNotIn("near-1", got)

    @on_mock_clock
    async def test_no_more_than_the_allowed_share_is_ejected(self):
        setup = Setup(options="ejection_share = 0.34")
        await setup.run({}, 300, failure=set(PLACES))
        out = [stat for stat in setup.stats.stats.values() if stat.ejections]
        self.assertLessEqual(len(out), 1)

    @params("ejection = observe", "ejection = off", "freeze = yes")
    def test_switch_ejects_nothing(self, options):
        self.check_switch(options)

    @on_mock_clock
    async def check_switch(self, options):
        setup = Setup(SAME_CENTRE, options + "\nejection_share = 0.5")
        await setup.run({}, 60, failure={"near-1"})
        self.assertEqual(setup.stats.get_or_create("near-1").ejections, 0)
