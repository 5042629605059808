"""Nodes as real processes on the platform's stand-ins; they wait for events."""

import copy
import functools
import signal
import unittest

import trio
from nose2.tools import params

from catkinpost.platform.names import (
    ATTEMPT_ID,
    CALLING_SERVICE,
    DEADLINE_REMAINING,
    RESPONSE_SIGNATURE,
)
from catkinpost.protocol.http import HttpRequest, HttpResponse, find_header
from catkinpost_standins.users_platform.demo import CONFIGURATION, HOST, ZONES
from catkinpost_standins.users_platform.fleet import open_platform_fleet
from catkinpost_standins.users_platform.server import ChildCall, ServerFault

LIMIT_S = 90
# Bound of the platform on the requests of any window under a rate limit.
WINDOW_S, EXCESS_FACTOR, EXCESS_REQUESTS = 4.0, 1.5, 5
SERVICES = ["orders", "sets", "sets", "offcut-stock"]
ORDER, SHOW = (b"POST", b"/orders/7?a=b"), (b"GET", b"/sets/9")


def on_fleet(test):
    """Run a test on a fleet of four machines."""

    @functools.wraps(test)
    def run(self, *args):
        async def main():
            with trio.fail_after(LIMIT_S):
                async with open_platform_fleet(SERVICES, ZONES, CONFIGURATION) as fleet:
                    await test(self, fleet, *args)

        trio.run(main)

    return run


def make_request(what, attempt, **headers):
    method, path = what
    fields = {"host": HOST, "attempt-id": attempt, "deadline-remaining": "5000"}
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    pairs = [(name.encode(), value.encode()) for name, value in fields.items()]
    return HttpRequest(method, path, pairs, b"body" if method == b"POST" else b"")


class TestWholePath(unittest.TestCase):
    @on_fleet
    async def test_answer_comes_unchanged_from_another_machine(self, fleet):
        caller = fleet.of_service("offcut-stock")[0]
        request = make_request(ORDER, "order-1", calling_service="forged")
        answer = await fleet.call(caller, request)
        self.assertEqual((answer.status, answer.body), (200, b"POST body "))
        self.assertEqual(find_header(answer.headers, ATTEMPT_ID), b"order-1")
        self.assertEqual(
            find_header(answer.headers, RESPONSE_SIGNATURE), b"sig.order-1"
        )
        server = fleet.of_service("orders")[0].server
        self.assertEqual(server.runs, {b"order-1": 1})
        self.assertEqual(server.callers, {b"offcut-stock"})

    @on_fleet
    async def test_child_calls_of_a_server(self, fleet):
        stock = fleet.of_service("offcut-stock")[0]
        stock.server.children = [ChildCall(host=HOST, path="/sets/1")] * 3
        caller = fleet.of_service("orders")[0]
        answer = await fleet.call(caller, make_request((b"GET", b"/stock/1"), "b-1"))
        self.assertEqual(answer.status, 200)
        runs = [item.server.runs.total() for item in fleet.of_service("sets")]
        self.assertEqual(sum(runs), 3)

    @params(
        # (fault, request, status, servers that get it)
        (ServerFault.SHED, SHOW, 503, 0),
        (ServerFault.SHED, ORDER, 503, 0),
        # The own answer may still follow one that names another attempt.
        (ServerFault.OTHER_ID, ORDER, 504, 1),
        (ServerFault.UNSIGNED, ORDER, 502, 1),
        (ServerFault.ENCODED, ORDER, 502, 1),
        (ServerFault.UNPROMISED_503, ORDER, 502, 1),
        (ServerFault.UNPROMISED_503, SHOW, 502, 2),
        (ServerFault.STATUS_000, ORDER, 502, 1),
        (ServerFault.STATUS_000, SHOW, 502, 2),
        (ServerFault.STATUS_150, SHOW, 502, 2),
        (ServerFault.STATUS_600, ORDER, 502, 1),
        (ServerFault.STATUS_600, SHOW, 502, 2),
    )
    def test_fault_of_servers(self, fault, what, status, runs):
        self.check_fault(fault, what, status, runs)

    @on_fleet
    async def check_fault(self, fleet, fault, what, status, runs):
        for machine in fleet.machines:
            machine.server.fault = fault
        caller = fleet.of_service("offcut-stock")[0]
        answer = await fleet.call(caller, make_request(what, "f-1"))
        self.assertEqual(answer.status, status)
        self.assertIsNone(find_header(answer.headers, RESPONSE_SIGNATURE))
        total = sum(item.server.runs[b"f-1"] for item in fleet.machines)
        self.assertEqual(total, runs)
        if status == 503:
            self.assertGreater(float(find_header(answer.headers, b"retry-after")), 0)

    @on_fleet
    async def test_unknown_route_and_changed_configuration(self, fleet):
        caller = fleet.of_service("orders")[0]
        request = make_request((b"GET", b"/new/1"), "n-1")
        self.assertEqual((await fleet.call(caller, request)).status, 404)
        changed = copy.deepcopy(CONFIGURATION) | {"version": 5}
        route = changed["routes"][2] | {"name": "new", "prefix": "/new/"}
        changed["routes"].append(route)
        fleet.configure(changed)
        while (await fleet.call(caller, request)).status != 200:
            await trio.sleep(0.05)

    @on_fleet
    async def test_caller_that_leaves_ends_the_work_of_its_server(self, fleet):
        server = fleet.of_service("orders")[0].server
        server.seconds = 60.0
        caller = fleet.of_service("sets")[0]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.call, caller, make_request(ORDER, "gone-1"))
            while not server.running:
                await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        while not server.cancelled:
            await trio.sleep(0.01)
        self.assertEqual(server.runs, {b"gone-1": 1})

    @on_fleet
    async def test_planned_stop_answers_what_it_has_read(self, fleet):
        server = fleet.of_service("orders")[0].server
        server.seconds = 0.5
        entry = fleet.of_service("sets")[0]
        answers = []

        async def order(number):
            answers.append(
                await fleet.call(entry, make_request(ORDER, f"stop-{number}"))
            )

        async with trio.open_nursery() as nursery:
            for number in range(8):
                nursery.start_soon(order, number)
            while server.running < 8:
                await trio.sleep(0.01)
            entry.process.send_signal(signal.SIGTERM)
        self.assertEqual([item.status for item in answers], [200] * 8)
        while entry.process.poll() is None:
            await trio.sleep(0.05)
        self.assertEqual(entry.process.returncode, 0)
        self.assertTrue(all(count == 1 for count in server.runs.values()))

    @on_fleet
    async def test_requests_that_keep_coming_do_not_outlast_a_stop(self, fleet):
        """Callers go on though the node is not ready: each is answered, or not read."""
        server = fleet.of_service("orders")[0].server
        server.seconds = 0.3
        entry = fleet.of_service("sets")[0]
        ends = []

        async def order(number):
            attempt = f"late-{number}"
            answer = await fleet.call(entry, make_request(ORDER, attempt))
            status = answer.status if isinstance(answer, HttpResponse) else None
            ends.append((status, attempt.encode()))

        async with trio.open_nursery() as nursery:
            entry.process.send_signal(signal.SIGTERM)
            number = 0
            while entry.process.poll() is None:
                number += 1
                nursery.start_soon(order, number)
                await trio.sleep(0.02)
        self.assertEqual(entry.process.returncode, 0)
        # Those that come after the notice are refused, and the last ones not read.
        runs = {(status, server.runs[name]) for status, name in ends}
        self.assertEqual(runs - {(None, 0)}, {(200, 1), (503, 0)})

    @on_fleet
    async def test_draining_server_gets_no_new_request(self, fleet):
        leaving, staying = fleet.of_service("sets")
        fleet.register(leaving, "draining")
        caller = fleet.of_service("orders")[0]
        number = 0
        before = -1
        while before != leaving.server.runs.total():
            # The list has arrived once fifty calls in a row went elsewhere.
            before = leaving.server.runs.total()
            for _ in range(50):
                number += 1
                answer = await fleet.call(caller, make_request(SHOW, f"d-{number}"))
                self.assertIsInstance(answer, HttpResponse)
        self.assertGreater(staying.server.runs.total(), 0)
        self.assertIn(b"orders", staying.server.callers)
        self.assertIsNotNone(find_header(answer.headers, ATTEMPT_ID))

    @on_fleet
    async def test_rate_that_a_server_names_is_kept_over_a_restart(self, fleet):
        limited, other = fleet.of_service("sets")
        limited.server.rate_limit = 2.0
        caller = self.find_caller_beside(fleet, limited)
        await self.call_until_run(fleet, caller, limited.server)
        started_at = trio.current_time()
        await self.call_many(fleet, caller, "before")
        await self.restart(fleet, limited)
        await self.call_many(fleet, caller, "after")
        span_s = max(WINDOW_S, trio.current_time() - started_at)
        allowed = EXCESS_FACTOR * span_s * limited.server.rate_limit + EXCESS_REQUESTS
        self.assertLessEqual(limited.server.runs.total(), allowed)
        self.assertGreater(other.server.runs.total(), 100)

    @on_fleet
    async def test_server_that_announces_its_leaving_gets_nothing_more(self, fleet):
        """The list goes on to call it ready, and its node restarts."""
        leaving, _ = fleet.of_service("sets")
        leaving.server.leaving = True
        caller = self.find_caller_beside(fleet, leaving)
        await self.call_until_run(fleet, caller, leaving.server)
        await self.call_many(fleet, caller, "before")
        await self.restart(fleet, leaving)
        await self.call_many(fleet, caller, "after")
        self.assertEqual(leaving.server.runs.total(), 0)

    def find_caller_beside(self, fleet, machine):
        """Return a machine of another service in the same data centre."""
        return next(
            item
            for item in fleet.machines
            if item.zone == machine.zone
            and item.server.service != machine.server.service
        )

    async def call_until_run(self, fleet, caller, server):
        """Call until a server has answered, and forget its runs."""
        number = 0
        while not server.runs.total():
            number += 1
            await fleet.call(caller, make_request(SHOW, f"first-{number}"))
        server.runs.clear()

    async def call_many(self, fleet, caller, name):
        for number in range(100):
            answer = await fleet.call(caller, make_request(SHOW, f"{name}-{number}"))
            self.assertEqual(answer.status, 200)

    async def restart(self, fleet, machine):
        """Kill a node without notice, and wait until it is ready again."""
        machine.process.send_signal(signal.SIGKILL)
        machine.process.wait()
        fleet.start_node(machine)
        await fleet.wait_ready(machine)

    @on_fleet
    async def test_deadline_is_handed_on_without_being_raised(self, fleet):
        seen = []
        server = fleet.of_service("orders")[0].server
        handle = server.handle

        async def spy(request):
            seen.append(int(find_header(request.headers, DEADLINE_REMAINING)))
            seen.append(find_header(request.headers, CALLING_SERVICE))
            return await handle(request)

        server.server.handler = spy
        caller = fleet.of_service("sets")[0]
        request = make_request(ORDER, "t-1", deadline_remaining="400")
        await fleet.call(caller, request)
        self.assertTrue(0 < seen[0] <= 400, seen)
        self.assertEqual(seen[1], b"sets")
