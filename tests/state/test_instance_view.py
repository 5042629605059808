"""Tests of the list of instances."""

import json
import unittest

from nose2.tools import params

from catkinpost.state.instance_view import InstanceView, parse_instances

ENTRY = {
    "instance": "orders-1",
    "service": "orders",
    "data_centre": "kurzeme-1",
    "region": "kurzeme",
    "calls": "127.0.0.1:1",
    "peers": "127.0.0.1:2",
    "operators": "127.0.0.1:3",
}


def body(*entries, version=1):
    return json.dumps({"version": version, "instances": list(entries)}).encode()


class TestReadInstances(unittest.TestCase):
    @params(
        {"instance": None},
        {"calls": "nowhere"},
        {"state": "asleep"},
        {"region": "a b"},
        {"peers": 7},
    )
    def test_entry_with_a_hole_is_left_out_and_harms_no_other(self, change):
        bad = ENTRY | {"instance": "orders-2"} | change
        version, instances, errors = parse_instances(body(ENTRY, bad))
        self.assertEqual([item.name for item in instances], ["orders-1"])
        self.assertEqual(len(errors), 1)

    @params(b"", b"{}", b"[1]", b'{"version": -1, "instances": []}', b"\xff")
    def test_unreadable_list_is_none(self, data):
        self.assertIsNone(parse_instances(data))


class TestInstanceView(unittest.TestCase):
    def test_change_names_what_came_and_went(self):
        view = InstanceView()
        other = ENTRY | {"instance": "orders-2"}
        view.apply_list(*parse_instances(body(ENTRY))[:2], 0.0)
        leaving = ENTRY | {"state": "leaving"}
        change = view.apply_list(
            *parse_instances(body(leaving, other, version=2))[:2], 1.0
        )
        self.assertEqual(change.added, ["orders-2"])
        self.assertEqual(change.leaving, ["orders-1"])
        change = view.apply_list(*parse_instances(body(other, version=3))[:2], 2.0)
        self.assertEqual([item.name for item in change.removed], ["orders-1"])

    def test_stale_list_is_ignored(self):
        view = InstanceView()
        view.apply_list(*parse_instances(body(ENTRY, version=5))[:2], 0.0)
        self.assertIsNone(view.apply_list(*parse_instances(body(version=4))[:2], 1.0))
        self.assertIn("orders-1", view.instances)
