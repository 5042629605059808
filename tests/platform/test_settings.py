"""Tests of parsing the platform's settings."""

import unittest

from nose2.tools import params

from catkinpost.platform.settings import (
    PROCESS_BYTES,
    WAITING_CONNECTION_BYTES,
    parse_platform_settings,
)
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.protocol.settings import FULL_CONNECTION_BYTES

__all__ = ["SETTINGS"]

SETTINGS = """\
[self]
node-name = "sidecar-a-1"
role = "node"
ip-address = "127.0.0.1"
zone = "kurzeme-a"
region = "kurzeme"
application-address = "127.0.0.1:8301"
service = "orders"
a-new-field = [1, 2]

[network]
internal-port-range = [7620, 7635]
seeds = []

[network.listen-addresses]
inbound = "127.0.0.1:8300"
outbound = "127.0.0.1:8304"
ready = "127.0.0.1:8302"

[network.zones]
kurzeme-a = "kurzeme"
latgale-a = "latgale"

[platform]
heartbeat-interval-s = 1.5

[platform.platform]
address = "127.0.0.1:8309"
history-s = 20

[terms.bounds]
grace-period-s = 6
retry-budget-ratio = 0.2
budget-window-s = 10
budget-extra-retries = 49
"""


class TestSettings(unittest.TestCase):
    def test_node_gets_its_own_form(self):
        settings = parse_platform_settings(SETTINGS)
        node = settings.node
        self.assertEqual(node.node.instance, "127.0.0.1")
        self.assertEqual(node.node.service, "orders")
        self.assertEqual(node.listen.calls, "127.0.0.1:8304")
        self.assertEqual(node.listen.peers, "127.0.0.1:7620")
        self.assertEqual(node.backend.address, "127.0.0.1:8301")
        self.assertEqual(node.platform.address, "127.0.0.1:8309")
        self.assertEqual(settings.readiness_address, "127.0.0.1:8302")
        self.assertEqual(settings.regions["latgale-a"], "latgale")

    def test_own_bounds_stay_within_those_of_the_platform(self):
        bounds = parse_platform_settings(SETTINGS).node.bounds
        self.assertLess(bounds.stop_timeout, 6)
        self.assertEqual(bounds.server_drain, 2.5)
        self.assertLess(bounds.repeat_extra, 49)

    @params((300, 100_000_000, 50_000_000), (None, 83_886_080, 41_943_040))
    def test_bodies_get_a_share_of_the_memory(
        self, memory_mb, request_bytes, answer_bytes
    ):
        limits = f"[self.limits]\nmemory-mb = {memory_mb}\n" if memory_mb else ""
        bounds = parse_platform_settings(SETTINGS + limits).node.bounds
        self.assertEqual(bounds.request_memory_bytes, request_bytes)
        self.assertEqual(bounds.answer_memory_bytes, answer_bytes)
        largest_bytes = bounds.request_memory_bytes * 7 / 8
        self.assertLessEqual(bounds.max_body_bytes, largest_bytes)

    @params((300, 3700), (200, 2200), (80, 400), (None, None))
    def test_connections_fit_beside_the_process_and_answers(self, memory_mb, least):
        """Guards against machines that end a node for the number of its callers."""
        limits = f"[self.limits]\nmemory-mb = {memory_mb}\n" if memory_mb else ""
        bounds = parse_platform_settings(SETTINGS + limits).node.bounds
        if memory_mb is None:
            self.assertIsNone(bounds.max_connections)
            return
        self.assertGreaterEqual(bounds.max_connections, least)
        all_bytes = PROCESS_BYTES + bounds.answer_memory_bytes
        all_bytes += bounds.max_connections * FULL_CONNECTION_BYTES
        all_bytes += bounds.accept_backlog * WAITING_CONNECTION_BYTES
        self.assertLessEqual(all_bytes, bounds.machine_memory_bytes)

    @params((80.5, 80_500_000), (None, None))
    def test_memory_of_the_machine_is_told_to_the_node(self, memory_mb, machine_bytes):
        limits = f"[self.limits]\nmemory-mb = {memory_mb}\n" if memory_mb else ""
        bounds = parse_platform_settings(SETTINGS + limits).node.bounds
        self.assertEqual(bounds.machine_memory_bytes, machine_bytes)

    @params((80, 10_000_000), (None, 31_457_280))
    def test_heads_get_a_share_of_the_memory(self, memory_mb, head_bytes):
        limits = f"[self.limits]\nmemory-mb = {memory_mb}\n" if memory_mb else ""
        bounds = parse_platform_settings(SETTINGS + limits).node.bounds
        self.assertEqual(bounds.head_memory_bytes, head_bytes)

    def test_repeats_at_the_end_of_a_chain_stay_within_the_ratio(self):
        ratio = parse_platform_settings(SETTINGS).node.bounds.repeat_ratio
        arrivals = 1.0
        for _ in range(4):
            arrivals *= 1 + ratio
        self.assertLessEqual(round(arrivals - 1, 9), 0.2)

    @params(
        ('node-name = "sidecar-a-1"\n', ""),
        ('inbound = "127.0.0.1:8300"', 'inbound = ""'),
        ("history-s = 20", 'history-s = ""'),
        ("seeds = []", 'seeds = ""'),
        ('role = "node"', "role = []"),
    )
    def test_value_that_is_not_used_may_be_empty(self, usual, other):
        """Guards against a process that ends at each start, as nothing else is read."""
        self.assertIn(usual, SETTINGS)
        settings = parse_platform_settings(SETTINGS.replace(usual, other))
        self.assertEqual(settings.node, parse_platform_settings(SETTINGS).node)

    @params(
        ("[self]", "[self"),
        ('ip-address = "127.0.0.1"\n', ""),
        ('"127.0.0.1:8301"', '"nowhere"'),
        ("[7620, 7635]", "[7620]"),
        ("[7620, 7635]", "[7620, 7620]"),
        ("grace-period-s = 6", 'grace-period-s = "long"'),
    )
    def test_file_that_can_not_be_used_is_a_typed_failure(self, good, bad):
        self.assertIn(good, SETTINGS)
        result = parse_platform_settings(SETTINGS.replace(good, bad))
        self.assertIsInstance(result, Failure)
        self.assertIs(result.reason, Reason.BAD_SETTINGS)
        self.assertTrue(result.detail)
