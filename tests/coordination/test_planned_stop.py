"""Tests of several nodes of which some stop, and whose servers may leave."""

import random
import unittest

import trio
from nose2.tools import params

from catkinpost.coordination.admission.admission import RunWindow
from catkinpost.protocol.header import OUTCOME_HEADER
from catkinpost.protocol.http import HttpRequest, find_header
from tests.clock import on_mock_clock
from tests.coordination.cluster import SERVICE_S, Cluster

NAMES = ["orders-1", "orders-2", "orders-3"]
ORDERS = 24
LIFETIME_S = 60.0
POLICY = """\
[service orders]
owner = sales
slots = 2
min_slots = 2
slow_start = 0
queue = 20

[class place-order]
owner = sales
service = orders
match = POST /orders
importance = critical
timeout = 5
"""


class Setup:
    """Cluster whose first node gets all orders."""

    def __init__(self, nursery, rng):
        self.nursery = nursery
        self.rng = rng
        self.cluster = Cluster(nursery, NAMES, POLICY, {}, LIFETIME_S)
        self.node = self.cluster.nodes["orders-1"]
        self.outcomes = {}

    async def order(self, root):
        await trio.sleep(self.rng.uniform(0.0, 0.2))
        headers = [(b"host", b"orders")]
        if self.rng.random() < 0.5:
            headers.append((b"idempotency-key", root.encode()))
            headers.append((b"catkinpost-attempt", b"0"))
        request = HttpRequest(b"POST", f"/orders/{root}".encode(), headers)
        response = await self.node.dispatcher.handle(request)
        self.outcomes[root] = find_header(response.headers, OUTCOME_HEADER).decode()

    async def stop(self, name):
        """Stop a node at a random time; the links to it are lost at its end."""
        await trio.sleep(self.rng.uniform(0.0, 0.2))
        node = self.cluster.nodes[name]
        node.start_stop(self.rng.uniform(0.0, 4 * SERVICE_S))
        while trio.current_time() < node.sender.ends_at:
            node.sender.withdraw_late_attempts()
            await trio.sleep(SERVICE_S / 20)
        node.end_stop()
        await trio.sleep(SERVICE_S / 10)
        if node is not self.node:
            self.cluster.crash(name)

    async def leave(self, name):
        """Let the backend server of a node leave at a random time."""
        await trio.sleep(self.rng.uniform(0.0, 0.2))
        node = self.cluster.nodes.get(name)
        if node is None:
            return
        now = trio.current_time()
        window = RunWindow(
            ends_at=now + self.rng.uniform(1, 4) * SERVICE_S,
            last_start_at=now + self.rng.uniform(0, 2) * SERVICE_S,
        )
        node.executor.admission.set_window("drain", window)
        node.leaving = True


class TestPlannedStop(unittest.TestCase):
    @params(
        # (nodes that stop, nodes whose backend server leaves, outcomes)
        (["orders-1"], [], {"done", "not-run", "unknown"}),
        (["orders-2"], [], {"done", "unknown"}),
        (["orders-1", "orders-2"], [], {"done", "not-run", "unknown"}),
        (["orders-1", "orders-2", "orders-3"], [], {"done", "not-run", "unknown"}),
        (["orders-1"], ["orders-1"], {"done", "not-run", "unknown"}),
        (["orders-1"], ["orders-2"], {"done", "not-run", "unknown"}),
        (["orders-2"], ["orders-2", "orders-3"], {"done", "not-run", "unknown"}),
    )
    def test_orders_around_stops_end_with_the_truth(self, stops, leaves, outcomes):
        """Guards against closed connections, and refusals of orders that run."""
        self.check_outcomes(stops, leaves, outcomes)

    @on_mock_clock
    async def check_outcomes(self, stops, leaves, outcomes):
        seen = set()
        for seed in range(30):
            async with trio.open_nursery() as nursery:
                setup = Setup(nursery, random.Random(seed))
                for number in range(ORDERS):
                    nursery.start_soon(setup.order, f"{seed}-{number}")
                for name in stops:
                    nursery.start_soon(setup.stop, name)
                for name in leaves:
                    nursery.start_soon(setup.leave, name)
                await trio.sleep(20 * SERVICE_S)
                self.assertEqual(len(setup.outcomes), ORDERS)
                for root, outcome in setup.outcomes.items():
                    runs = setup.cluster.runs.get(("orders", root), 0)
                    most = 0 if outcome == "not-run" else 1
                    self.assertLessEqual(runs, most, root)
                seen.update(setup.outcomes.values())
                nursery.cancel_scope.cancel()
        self.assertEqual(seen, outcomes)
