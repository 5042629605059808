"""Failure tests with real processes and real signals; they wait for events."""

import functools
import json
import signal
import unittest

import trio
from typer.testing import CliRunner

from catkinpost.command.client import app
from catkinpost.protocol.header import OUTCOME_HEADER, REASON_HEADER
from catkinpost.protocol.http import HttpLimits, HttpRequest, HttpResponse, find_header
from catkinpost.transport.http_client import BackendClient
from catkinpost_standins.backend import BackendSpec, Child, Faults, Route
from catkinpost_standins.fleet import HOST, MemberSpec, open_fleet
from catkinpost_standins.platform import Control
from catkinpost_standins.relay import RelayFaults
from catkinpost_standins.web import get_json

POLICY = """\
[service orders]
owner = sales
slow_start = 0

[service certs]
owner = safety
slow_start = 0

[class place-order]
owner = sales
service = orders
match = POST /orders
importance = critical
timeout = 30
retries = 4

[class show-order]
owner = sales
service = orders
match = GET /orders
repeatable = yes
timeout = 30
retries = 4
"""
RENAMED = "\n[class added]\nowner = sales\nservice = orders\n"
LIMIT_S = 90


def specs():
    orders = BackendSpec(
        service="orders",
        slots=8,
        routes=[
            Route(
                method="POST",
                path="/orders",
                mean_ms=5,
                children=[Child(service="certs", path="/certs")],
            ),
            Route(method="GET", path="/orders", mean_ms=5),
        ],
    )
    certs = BackendSpec(
        service="certs", slots=8, routes=[Route(path="/certs", mean_ms=5)]
    )
    places = {"orders-1": orders, "orders-2": orders, "certs-1": certs}
    return [
        MemberSpec(
            name=name,
            service=spec.service,
            data_centre="kurzeme-1",
            region="kurzeme",
            backend=spec,
        )
        for name, spec in places.items()
    ]


def with_fleet(test=None, *, relay=False):
    """Run a test with a running fleet and a limit against hanging."""
    if test is None:
        return functools.partial(with_fleet, relay=relay)

    @functools.wraps(test)
    def run(self):
        async def main():
            with trio.fail_after(LIMIT_S):
                async with open_fleet(specs(), POLICY, with_relay=relay) as fleet:
                    await test(self, fleet)

        trio.run(main)

    del run.__wrapped__
    return run


async def send(member, method=b"POST", *, key=None, attempt=None, path=b"/orders"):
    headers = [(b"host", b"orders")]
    if key is not None:
        headers.append((b"idempotency-key", key))
    if attempt is not None:
        headers.append((b"catkinpost-attempt", b"%d" % attempt))
    client = BackendClient(HOST, member.calls, limits=HttpLimits())
    try:
        return await client.send_request(HttpRequest(method, path, headers, b"set"))
    finally:
        client.close_idle_connections()


async def send_get(port, path):
    client = BackendClient(HOST, port, limits=HttpLimits())
    try:
        return await client.send_request(
            HttpRequest(b"GET", path, [(b"host", b"node")])
        )
    finally:
        client.close_idle_connections()


async def run_client(*arguments):
    """Run the operators' client in a thread, as it has an event loop of its own."""
    return await trio.to_thread.run_sync(CliRunner().invoke, app, list(arguments))


def outcome_of(response):
    return (find_header(response.headers, OUTCOME_HEADER) or b"").decode()


def reason_of(response):
    return (find_header(response.headers, REASON_HEADER) or b"").decode()


async def until(condition):
    while not await condition():
        await trio.sleep(0.02)


async def set_orders(fleet, faults):
    for member in fleet.of_service("orders"):
        await fleet.set_faults(member, faults)


async def runs_of(fleet, key):
    journals = await fleet.journals()
    return sum(item["runs_by_key"].get(key, 0) for item in journals.values())


async def has_started(fleet, key):
    return await runs_of(fleet, key) > 0


class TestProcesses(unittest.TestCase):
    @with_fleet
    async def test_request_is_served_over_the_whole_chain(self, fleet):
        entry = fleet.members["certs-1"]
        response = await send(entry, key=b"k", attempt=0)
        self.assertEqual((response.status, outcome_of(response)), (200, "done"))
        self.assertEqual(await runs_of(fleet, "k"), 1)
        status = await fleet.status(entry)
        self.assertEqual(status["outcomes"][0]["request_class"], "place-order")

    @with_fleet
    async def test_planned_stop_finishes_the_running_request(self, fleet):
        entry = fleet.members["certs-1"]
        await set_orders(fleet, Faults(frozen=True))
        results = []

        async def order():
            results.append(await send(entry, key=b"slow", attempt=0))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(order)
            await until(lambda: has_started(fleet, "slow"))
            journals = await fleet.journals()
            (name,) = [name for name, item in journals.items() if item["runs_by_key"]]
            leaving = fleet.members[name]
            leaving.node_process.send_signal(signal.SIGTERM)

            async def is_known():
                status = await fleet.status(entry)
                return any(
                    peer["instance"] == name and peer["leaving"]
                    for peer in status["peers"]
                )

            await until(is_known)
            await set_orders(fleet, Faults())
        self.assertEqual((results[0].status, outcome_of(results[0])), (200, "done"))
        for number in range(10):
            response = await send(entry, key=b"new-%d" % number, attempt=0)
            self.assertEqual(outcome_of(response), "done")
        self.assertEqual((await fleet.journals())[name]["runs_by_key"], {"slow": 1})
        self.assertEqual(await trio.to_thread.run_sync(leaving.node_process.wait), 0)

    @with_fleet
    async def test_killed_node_leaves_an_order_unknown_and_never_run_twice(self, fleet):
        entry = fleet.members["certs-1"]
        await set_orders(fleet, Faults(frozen=True))
        results = []

        async def order():
            results.append(await send(entry, key=b"k", attempt=0))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(order)
            await until(lambda: has_started(fleet, "k"))
            journals = await fleet.journals()
            (name,) = [n for n, item in journals.items() if item["runs_by_key"]]
            fleet.members[name].node_process.kill()
        self.assertEqual(outcome_of(results[0]), "unknown")
        await set_orders(fleet, Faults())
        again = await send(entry, key=b"k", attempt=1)
        self.assertEqual(outcome_of(again), "unknown")
        self.assertEqual(await runs_of(fleet, "k"), 1)
        browse = await send(entry, b"GET")
        self.assertEqual(outcome_of(browse), "done")

    @with_fleet
    async def test_stopped_node_does_not_hold_up_the_others(self, fleet):
        entry = fleet.members["certs-1"]
        frozen = fleet.members["orders-1"]

        async def is_connected():
            peers = (await fleet.status(entry))["peers"]
            return any(
                peer["connected"] for peer in peers if peer["instance"] == "orders-1"
            )

        async def is_given_up():
            return not await is_connected()

        await until(is_connected)
        frozen.node_process.send_signal(signal.SIGSTOP)
        for number in range(5):
            response = await send(entry, b"GET")
            self.assertEqual(outcome_of(response), "done", number)
        # Only a pause of some length is one that the node can notice.
        await until(is_given_up)
        frozen.node_process.send_signal(signal.SIGCONT)

        async def has_noticed():
            status = await fleet.status(frozen)
            return status is not None and status["pauses"] > 0

        await until(has_noticed)
        response = await send(frozen, b"GET")
        self.assertEqual(outcome_of(response), "done")

    @with_fleet
    async def test_fleet_serves_and_new_node_learns_while_the_platform_is_stale(
        self, fleet
    ):
        await fleet.publish(POLICY + RENAMED)
        members = list(fleet.members.values())

        async def all_have(version):
            found = [await fleet.status(member) for member in members]
            return all(item and item["policy"]["version"] == version for item in found)

        await until(lambda: all_have(2))
        replaced = fleet.members["orders-1"]
        replaced.node_process.kill()
        await trio.to_thread.run_sync(replaced.node_process.wait)
        await fleet.set_platform(Control(down=True))
        response = await send(fleet.members["certs-1"], b"GET")
        self.assertEqual(outcome_of(response), "done")
        await fleet.set_platform(Control(stale=True))
        fleet.start_node(replaced)
        seen = set()

        async def is_ready():
            status = await fleet.status(replaced)
            if status is None:
                return False
            if status["ready"]:
                seen.add(status["policy"]["version"])
            return status["ready"]

        await until(is_ready)
        self.assertEqual(seen, {2})

    @with_fleet
    async def test_request_that_crashes_backend_servers_is_stopped(self, fleet):
        entry = fleet.members["certs-1"]
        await set_orders(fleet, Faults(crash_path="/orders/bad"))

        crashed = 0
        reasons = []
        for _ in range(6):
            response = await send(entry, b"GET", path=b"/orders/bad")
            reasons.append(reason_of(response))
            crashed = sum(
                member.backend_process.poll() is not None
                for member in fleet.of_service("orders")
            )
            for member in fleet.of_service("orders"):
                if member.backend_process.poll() is not None:
                    fleet.start_backend(member)
                    await until(lambda m=member: get_json(HOST, m.backend, "/health"))
                    await fleet.set_faults(member, Faults(crash_path="/orders/bad"))
            if reasons[-1] == "crash-suspect":
                break
        self.assertEqual(reasons[-1], "crash-suspect")
        self.assertEqual(crashed, 0)
        good = await send(entry, b"GET", path=b"/orders/good")
        self.assertEqual(outcome_of(good), "done")

    @with_fleet(relay=True)
    async def test_silent_link_is_replaced_and_the_order_is_not_repeated(self, fleet):
        entry = fleet.members["certs-1"]
        orders = fleet.of_service("orders")
        await set_orders(fleet, Faults(frozen=True))
        results = []

        async def order():
            results.append(await send(entry, key=b"k", attempt=0))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(order)
            await until(lambda: has_started(fleet, "k"))
            names = [f"{member.spec.name}/peers" for member in orders]
            await fleet.set_relay(RelayFaults(silence=names))
            await set_orders(fleet, Faults())
        self.assertEqual(outcome_of(results[0]), "unknown")

        async def is_answered():
            again = await send(entry, key=b"k", attempt=1)
            return outcome_of(again) == "done" and again.status == 200

        # Links between the orders' own nodes are silent too until they are dropped.
        await until(is_answered)
        self.assertEqual(await runs_of(fleet, "k"), 1)

    @with_fleet(relay=True)
    async def test_cut_off_instance_costs_the_others_nothing(self, fleet):
        await fleet.set_relay(RelayFaults(cut=["orders-1/peers"]))
        entry = fleet.members["certs-1"]
        for number in range(5):
            response = await send(entry, b"GET")
            self.assertEqual(outcome_of(response), "done", number)
        isolated = await send(fleet.members["orders-1"], b"GET")
        self.assertEqual(outcome_of(isolated), "done")

    @with_fleet
    async def test_client_shows_status_decisions_histograms_and_changes(self, fleet):
        entry = fleet.members["certs-1"]
        await send(entry, key=b"k", attempt=0)
        node = ("--node", f"{HOST}:{entry.operators}")
        platform = ("--platform", f"{HOST}:{fleet.platform}")
        status = await run_client("status", *node)
        self.assertIn("certs-1 (certs, kurzeme-1, kurzeme): ready", status.output)
        self.assertIn("place-order", status.output)
        whole = await run_client("status", *platform)
        self.assertIn("newest version in force: 1", whole.output)
        decisions = await run_client("watch", *platform, "--once")
        self.assertIn("policy: bring into force version 1", decisions.output)
        histogram = await run_client("histogram", *node, "--json")
        (report,) = json.loads(histogram.output).values()
        self.assertEqual(report["latencies"][0]["request_class"], "place-order")
        changed = fleet.folder / "policy.ini"
        changed.write_text(POLICY.replace("timeout = 30", "timeout = 20"))
        check = await run_client("check", str(changed), *node)
        self.assertIn("change [class place-order] timeout: 30 -> 20", check.output)
        metrics = await send_get(entry.operators, b"/metrics")
        self.assertIn(b"catkinpost_calls_total{", metrics.body)

    @with_fleet
    async def test_broken_section_is_shown_and_harms_no_other(self, fleet):
        broken = POLICY.replace("importance = critical", "importance = extreme")
        await fleet.publish(broken + RENAMED)
        entry = fleet.members["certs-1"]

        async def has_version():
            status = await fleet.status(entry)
            return status["policy"]["version"] == 2

        await until(has_version)
        response = await send(entry, key=b"k", attempt=0)
        self.assertEqual(outcome_of(response), "done")
        policy = await send_get(entry.operators, b"/policy")
        self.assertIn(b"importance = critical", policy.body)
        self.assertIn(b"[class added]", policy.body)

    @with_fleet
    async def test_unknown_service_and_bad_request_are_answered(self, fleet):
        entry = fleet.members["certs-1"]
        client = BackendClient(HOST, entry.calls, limits=HttpLimits())
        response = await client.send_request(
            HttpRequest(b"GET", b"/", [(b"host", b"nowhere")])
        )
        self.assertIsInstance(response, HttpResponse)
        self.assertEqual(
            (response.status, reason_of(response)), (404, "unknown-service")
        )
