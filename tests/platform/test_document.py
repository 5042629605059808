"""Tests of translating the operator's configuration into a policy document."""

import copy
import json
import unittest

from nose2.tools import params

from catkinpost.platform.document import parse_configuration, render_policy
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.protocol.policy import Importance, check_document
from catkinpost.state.policy_store import PolicyStore

__all__ = ["CONFIG"]

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-order",
            "host": "shop.example",
            "prefix": "/place/",
            "kind": "unsafe",
            "timeout-s": 1.2,
            "target-latency-s": 1.5,
            "priority": 0,
            "service": "orders",
            "max-attempts": 2,
        },
        {
            "name": "r-browse",
            "host": "shop.example",
            "prefix": "/place/browse/",
            "kind": "safe",
            "timeout-s": 2,
            "target-latency-s": 1,
            "priority": 5,
            "max-attempts": 3,
            "traffic-split": [
                {"service": "stock", "weight": 90},
                {"service": "orders", "weight": 10},
            ],
        },
    ],
    "services": [
        {"name": "orders", "health-check-path": "/health", "max-connections": 9},
        {"name": "stock", "health-check-path": "/health", "max-connections": 9},
    ],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 67108864,
        "header-timeout-s": 3,
        "idle-timeout-s": 15,
    },
    "base-version": 5,
}


def encode_config(config):
    return json.dumps(config).encode()


def encode_changed_config(*path, value=None):
    """Encode the example configuration with one field replaced, or removed for None."""
    config = copy.deepcopy(CONFIG)
    parent = config
    for key in path[:-1]:
        parent = parent[key]
    if value is None:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    return encode_config(config)


class TestConfiguration(unittest.TestCase):
    def build_policy(self):
        store = PolicyStore()
        text = render_policy(parse_configuration(encode_config(CONFIG)))
        self.assertEqual(check_document(text).problems, [])
        store.accept_document(7, text, now=0.0, source="test")
        return store.policy

    @params(
        ("shop.example", "/place/2f", "r-order"),
        ("shop.example", "/place/browse/2f", "r-browse"),
        ("shop.example", "/place", None),
        ("other.example", "/place/2f", None),
    )
    def test_longest_prefix_of_the_host_chooses_the_class(self, host, path, name):
        self.assertEqual(self.build_policy().find_class_by_host(host, path), name)

    def test_route_becomes_a_class_with_all_that_it_says(self):
        policy = self.build_policy()
        order = policy.classes["r-order"]
        self.assertFalse(order.repeatable)
        self.assertIs(order.importance, Importance.CRITICAL)
        self.assertEqual((order.timeout, order.objective), (1.2, 1.2))
        self.assertEqual(order.retries, 1)
        browse = policy.classes["r-browse"]
        self.assertTrue(browse.repeatable)
        self.assertIs(browse.importance, Importance.SHEDDABLE)
        self.assertEqual(browse.weighted_services, [("stock", 90.0), ("orders", 10.0)])

    def test_limits_bound_what_callers_may_send(self):
        entry = self.build_policy().entries["callers"]
        self.assertEqual(entry.max_head_bytes, 16384)
        self.assertEqual(entry.idle_timeout, 15)

    @params(
        (b"",),
        (b"\xff\xfe",),
        (encode_config(CONFIG)[:100],),
        (b"[]",),
        (encode_changed_config("version"),),
        (encode_changed_config("version", value="7"),),
        (encode_changed_config("routes"),),
        (encode_changed_config("routes", 0, "host"),),
        (encode_changed_config("routes", 0, "prefix", value="place/"),),
        (encode_changed_config("routes", 0, "timeout-s", value=0),),
        (encode_changed_config("routes", 0, "max-attempts", value=0),),
        (encode_changed_config("routes", 0, "service"),),
        (encode_changed_config("routes", 0, "service", value="nobody"),),
        (encode_changed_config("routes", 0, "name", value="two words"),),
        (encode_changed_config("routes", 1, "traffic-split", 0, "weight"),),
    )
    def test_unusable_document_is_a_typed_failure(self, body):
        result = parse_configuration(body)
        self.assertIsInstance(result, Failure)
        self.assertIs(result.reason, Reason.PLATFORM_BAD_DOCUMENT)
