"""Tests of several nodes of which the entry of the requests stops."""

import random
import unittest

import trio

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
    """Cluster whose first node gets all orders, and stops."""

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

    async def stop(self):
        await trio.sleep(self.rng.uniform(0.0, 0.2))
        self.node.start_stop(self.rng.uniform(0.0, 4 * SERVICE_S))
        while trio.current_time() < self.node.sender.ends_at:
            self.node.sender.withdraw_late_attempts()
            await trio.sleep(SERVICE_S / 20)
        self.node.end_stop()
        await trio.sleep(SERVICE_S / 10)


class TestPlannedStop(unittest.TestCase):
    @on_mock_clock
    async def test_orders_at_a_stopping_node_end_with_the_truth(self):
        """Guards against closed connections, and refusals of orders that run."""
        seen = set()
        for seed in range(30):
            async with trio.open_nursery() as nursery:
                setup = Setup(nursery, random.Random(seed))
                for number in range(ORDERS):
                    nursery.start_soon(setup.order, f"{seed}-{number}")
                await setup.stop()
                await trio.sleep(10 * SERVICE_S)
                self.assertEqual(len(setup.outcomes), ORDERS)
                for root, outcome in setup.outcomes.items():
                    runs = setup.cluster.runs.get(("orders", root), 0)
                    most = 0 if outcome == "not-run" else 1
                    self.assertLessEqual(runs, most, root)
                seen.update(setup.outcomes.values())
                nursery.cancel_scope.cancel()
        self.assertEqual(seen, {"done", "not-run", "unknown"})
