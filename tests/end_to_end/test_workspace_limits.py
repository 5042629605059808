"""Limits of workspaces over nodes as real processes, counted at their servers."""

import functools
import math
import signal
import unittest
from bisect import bisect_right
from collections import Counter

import trio
from nose2.tools import params

from catkinpost.protocol.http import HttpRequest, HttpResponse, find_header
from catkinpost_standins.users_platform.demo import CONFIGURATION, HOST, ZONES
from catkinpost_standins.users_platform.fleet import open_platform_fleet

LIMIT_S = 120
SERVICES = ["orders", "sets"] * 3
KEY = "k-one-82m"
RATE, BURST = 20.0, 20.0
# Bound of the platform on the requests that run in any window.
WINDOW_S, OVERSHOOT, SLACK = 5.0, 0.25, 20
ALLOWED = (RATE * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK
# Time in which nodes that have all started together count with a part of a limit.
SETTLING_S = 7.0


def build_configuration(rate=RATE, burst=BURST, version=1):
    tenant = {"name": "lab", "api-keys": [KEY], "rate-per-s": rate, "burst": burst}
    return CONFIGURATION | {"version": version, "tenants": [tenant]}


def on_fleet(test):
    """Run a test on a fleet of six machines whose nodes have settled."""

    @functools.wraps(test)
    def run(self, *args):
        async def main():
            with trio.fail_after(LIMIT_S):
                async with open_platform_fleet(
                    SERVICES, ZONES, build_configuration()
                ) as fleet:
                    await trio.sleep(SETTLING_S)
                    await test(self, fleet, *args)

        trio.run(main)

    return run


class Callers:
    """Callers of one workspace at all machines."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.statuses = Counter()
        self.delays_s = []
        self.number = 0

    async def send_at_rate(self, rate, seconds, *, machines=None):
        """Send requests evenly, each to the next machine, and await all answers."""
        machines = machines or self.fleet.machines
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(round(rate * seconds)):
                await trio.sleep_until(started_at + number / rate)
                nursery.start_soon(self.send, machines[number % len(machines)])

    async def send(self, machine):
        self.number += 1
        attempt = f"a-{self.number}"
        headers = [
            (b"host", HOST.encode()),
            (b"attempt-id", attempt.encode()),
            (b"deadline-remaining", b"2000"),
            (b"authorization", f"Token {KEY}".encode()),
        ]
        request = HttpRequest(b"GET", b"/sets/9", headers)
        answer = await self.fleet.call(machine, request)
        if not isinstance(answer, HttpResponse):
            self.statuses[answer.reason.value] += 1
            return
        self.statuses[answer.status] += 1
        delay = find_header(answer.headers, b"retry-after")
        if answer.status == 429 and delay is not None:
            self.delays_s.append(float(delay))

    def count_most_in_window(self):
        """Return the most requests that began to run within any window."""
        times = sorted(
            run.began_at
            for machine in self.fleet.machines
            for run in machine.server.history
            if run.began_at is not None
        )
        return max(
            (
                bisect_right(times, start + WINDOW_S) - index
                for index, start in enumerate(times)
            ),
            default=0,
        )


class TestLimitOverTheFleet(unittest.TestCase):
    @on_fleet
    async def test_workspace_that_sends_eight_times_its_limit(self, fleet):
        callers = Callers(fleet)
        await callers.send_at_rate(8 * RATE, 8.0)
        self.assertLessEqual(callers.count_most_in_window(), ALLOWED)
        self.assertEqual(set(callers.statuses), {200, 429})
        # What lies inside the limit is served.
        self.assertGreater(callers.statuses[200], 0.9 * (RATE * 8.0 + BURST))
        self.assertEqual(len(callers.delays_s), callers.statuses[429])
        self.assertGreater(min(callers.delays_s), 0)

    @params("all machines", "one machine")
    def test_workspace_inside_its_limit_is_served(self, where):
        self.check_inside(where)

    @on_fleet
    async def check_inside(self, fleet, where):
        machines = fleet.machines if where == "all machines" else fleet.machines[:1]
        callers = Callers(fleet)
        await callers.send_at_rate(RATE / 1.6, 10.0, machines=machines)
        self.assertEqual(callers.statuses, {200: round(RATE / 1.6 * 10.0)})

    @params("kill", "pause", "cut from the store")
    def test_limit_holds_beside(self, trouble):
        self.check_trouble(trouble)

    @on_fleet
    async def check_trouble(self, fleet, trouble):
        callers = Callers(fleet)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(callers.send_at_rate, 8 * RATE, 12.0)
            await trio.sleep(1.0)
            await self.disturb(fleet, trouble)
        self.assertLessEqual(callers.count_most_in_window(), ALLOWED)
        # Half of the machines have the trouble.
        self.assertGreater(callers.statuses[200], 0.3 * RATE * 12.0)

    async def disturb(self, fleet, trouble):
        troubled = fleet.machines[:3]
        if trouble == "cut from the store":
            fleet.store.fault = refuse
            fleet.store.fault_hosts = {machine.host for machine in troubled}
            await trio.sleep(8.0)
            fleet.store.fault = None
        for machine in troubled:
            if trouble == "pause":
                machine.process.send_signal(signal.SIGSTOP)
                await trio.sleep(2.0)
                machine.process.send_signal(signal.SIGCONT)
            elif trouble == "kill":
                machine.process.kill()
                machine.process.wait()
                fleet.start_node(machine)
                await trio.sleep(1.0)

    @on_fleet
    async def test_lower_limit_binds_and_a_higher_one_is_used(self, fleet):
        callers = Callers(fleet)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(callers.send_at_rate, 2 * RATE, 22.0)
            await trio.sleep(1.0)
            fleet.configure(build_configuration(RATE / 4, BURST / 4, version=2))
            # One window after the change is in force everywhere.
            await trio.sleep(3.0 + WINDOW_S)
            served = callers.statuses[200]
            await trio.sleep(WINDOW_S)
            allowed = (RATE / 4 * WINDOW_S + BURST / 4) * (1 + OVERSHOOT) + SLACK
            self.assertLessEqual(callers.statuses[200] - served, math.ceil(allowed))
            fleet.configure(build_configuration(4 * RATE, 4 * BURST, version=3))
            await trio.sleep(3.0)
            refused = callers.statuses[429]
        self.assertEqual(callers.statuses[429], refused)


async def refuse():
    return HttpResponse(503)
