"""Short soaks of a small fleet of real nodes under planned work."""

import unittest
from collections import Counter

import trio
from nose2.tools import params

from catkinpost_standins.users_platform.fleet import open_platform_fleet
from catkinpost_standins.users_platform.plan import DEPLOYMENTS, build_configuration
from catkinpost_standins.users_platform.soak import ZONES, Soak

TRAFFIC_S = 20.0
LIMIT_S = 120.0
LEAST_REQUESTS = 300


class TestSoak(unittest.TestCase):
    @params(("skaida", 1), ("umuhora", 1), ("dense", 1))
    def test_planned_work_breaks_no_rule(self, name, seed):
        """Guards against requests lost, run twice or refused untruly around stops."""
        deployment = DEPLOYMENTS[name]
        verdict, soak = trio.run(self.run_soak, deployment, seed)
        found = verdict.find() + soak.commitments.find()
        findings = [item.describe(soak.start) for item in found]
        self.assertEqual(findings, [])
        self.assertEqual(soak.plan.faults, [])
        # The soak shows something only if its plan and its traffic took place.
        kinds = Counter(item.kind for item in soak.plan.disruptions)
        for kind in ("stop", "hup", "store"):
            self.assertGreater(kinds[kind], 0)
        self.assertGreater(verdict.count()["answered 200"], LEAST_REQUESTS)

    async def run_soak(self, deployment, seed):
        services = list(deployment.services) * 2
        configuration = build_configuration(deployment)
        with trio.fail_after(LIMIT_S):
            async with open_platform_fleet(services, ZONES, configuration) as fleet:
                soak = Soak(fleet, deployment, seed, TRAFFIC_S)
                return await soak.run(), soak
