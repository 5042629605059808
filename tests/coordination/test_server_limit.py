"""Tests of several nodes whose backend servers name a rate limit or leave."""

import unittest

import trio
from nose2.tools import params

from catkinpost.protocol.header import LEAVING_HEADER, RATE_LIMIT_HEADER
from catkinpost.protocol.http import HttpRequest
from tests.clock import on_mock_clock
from tests.coordination.cluster import Cluster

NAMES = ["orders-1", "orders-2", "orders-3", "certs-1", "certs-2"]
ENTRIES = NAMES[:3]
POLICY = """\
[service orders]
owner = sales
slots = 16

[service certs]
owner = safety
slots = 16
slow_start = 0
queue = 64
queue_wait = 60
early_refusal = on

[class check-certificate]
owner = safety
service = certs
match = GET /certs
repeatable = yes
timeout = 2
retries = 2
moves = 2
"""
# Time for a limit to be learned, and bound on the requests of any window after it.
LEARNING_S = 3.0
WINDOW_S = 4.0
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5
DEMAND_PER_S = 60
DEMAND_S = 12.0
RESTART_S = 0.5
# A restarted node learns a limit from its server's response only after this time.
SILENCE_S = 2.0
DRAIN_S = 2.5


def find_busiest_window(times, start):
    """Return the largest number of times within a window that begins after a start."""
    times = [time for time in times if time >= start]
    return max(
        (sum(time <= other < time + WINDOW_S for other in times) for time in times),
        default=0,
    )


class Demand:
    """Steady requests from several entries to one service."""

    def __init__(self, nursery):
        self.cluster = Cluster(nursery, NAMES, POLICY, {}, 60.0)
        self.statuses = []

    async def call(self, entry, number):
        request = HttpRequest(b"GET", b"/certs/%d" % number, [(b"host", b"certs")])
        response = await self.cluster.nodes[entry].dispatcher.handle(request)
        self.statuses.append(response.status)

    async def run(self, restarting=None):
        """Send requests, and restart a node halfway.

        :param restarting: name of the node, ``None`` for no restart.
        """
        async with trio.open_nursery() as nursery:
            if restarting is not None:
                nursery.start_soon(self.restart, restarting)
            for number in range(int(DEMAND_S * DEMAND_PER_S)):
                entry = ENTRIES[number % len(ENTRIES)]
                nursery.start_soon(self.call, entry, number)
                await trio.sleep(1 / DEMAND_PER_S)

    async def restart(self, name):
        await trio.sleep(DEMAND_S / 2)
        self.cluster.crash(name)
        await trio.sleep(RESTART_S)
        self.cluster.start(name)
        self.cluster.read_lists()
        backend = self.cluster.nodes[name].backend
        backend.stalled = True
        await trio.sleep(SILENCE_S)
        backend.stalled = False


async def send_demand(headers, restarting):
    """Send requests to a service one of whose servers adds headers to its responses.

    :return: times of the requests at that server, and statuses of all responses.
    """
    async with trio.open_nursery() as nursery:
        demand = Demand(nursery)
        demand.cluster.notice_headers["certs-1"] = headers
        await demand.run(restarting)
        nursery.cancel_scope.cancel()
    return demand.cluster.arrivals["certs-1"], demand.statuses


class TestExcessOverNamedRate(unittest.TestCase):
    """Regression: servers got more than twice the rate that they had named."""

    @params(
        # (rate limit of certs-1, whether its node restarts meanwhile)
        (b"10", False),
        (b"10", True),
        (b"2.5", False),
        (b"0", False),
        (b"0", True),
    )
    def test_server_is_sent_no_more_than_the_rate_that_it_names(self, value, restarts):
        self.check_rate(value, restarts)

    @on_mock_clock
    async def check_rate(self, value, restarts):
        start = trio.current_time()
        arrivals, statuses = await send_demand(
            [(RATE_LIMIT_HEADER, value)], "certs-1" if restarts else None
        )
        bound = EXCESS_FACTOR * WINDOW_S * float(value) + EXCESS_REQUESTS
        self.assertLessEqual(find_busiest_window(arrivals, start + LEARNING_S), bound)
        if not restarts:
            # The other server has room for all.
            self.assertEqual(set(statuses), {200})


class TestRequestsToLeavingServer(unittest.TestCase):
    """Regression: servers that had announced that they leave got new requests."""

    @params(False, True)
    def test_leaving_server_is_sent_nothing_more(self, restarts):
        self.check_leaving(restarts)

    @on_mock_clock
    async def check_leaving(self, restarts):
        start = trio.current_time()
        arrivals, _ = await send_demand(
            [(LEAVING_HEADER, b"1")], "certs-1" if restarts else None
        )
        self.assertTrue(arrivals)
        self.assertEqual([time for time in arrivals if time > start + DRAIN_S], [])
