"""Tests of the list of servers."""

import json
import unittest

from nose2.tools import params

from catkinpost.platform.listing import (
    LEASE_MARGIN_S,
    REAPPEARANCE_TIMEOUT_S,
    ServerList,
    parse_server_entry,
)
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.state.instance_view import InstanceState

__all__ = ["ENTRY", "make_entry"]

ENTRY = {
    "service": "orders",
    "address": "10.1.0.3:8760",
    "zone": "kurzeme-a",
    "version": "v1",
    "slots": 152,
    "state": "ready",
    "sequence": 4,
    "cold-remaining-s": 1.5,
    "born": 1000,
}


def make_entry(**fields):
    return json.dumps(
        ENTRY | {name.replace("_", "-"): value for name, value in fields.items()}
    ).encode()


class TestServerList(unittest.TestCase):
    def setUp(self):
        self.servers = ServerList(peer_port=7620, regions={"kurzeme-a": "kurzeme"})

    def put_entry(self, identity, now=0.0, recovered_at=None, **fields):
        server = parse_server_entry(make_entry(**fields))
        self.servers.accept_entry(identity, server, now, recovered_at=recovered_at)

    def list_incarnations(self):
        return [item.incarnation for item in self.servers.build_instances()]

    def test_entry_becomes_an_instance_beside_its_node(self):
        self.put_entry("i-1", now=10.0)
        (item,) = self.servers.build_instances()
        self.assertEqual(item.name, "10.1.0.3")
        self.assertEqual(str(item.peers), "10.1.0.3:7620")
        self.assertEqual((item.data_centre, item.region), ("kurzeme-a", "kurzeme"))
        self.assertEqual((item.slots, item.cold_until), (152, 11.5))
        self.assertIs(item.state, InstanceState.LIVE)
        self.assertIsNone(item.leaving_since)

    def test_draining_server_is_a_leaving_instance(self):
        self.put_entry("i-1", now=10.0, state="draining")
        (item,) = self.servers.build_instances()
        self.assertIs(item.state, InstanceState.LEAVING)
        self.assertEqual(item.leaving_since, 10.0)

    def test_entry_of_an_unknown_service_does_not_hide_a_server(self):
        self.put_entry("i-1", born=1000)
        self.put_entry("other-writer", born=2000, service="none-of-ours")
        (item,) = self.servers.build_instances({"orders"})
        self.assertEqual((item.service, item.incarnation), ("orders", "i-1#1000"))

    @params((1000, 2000, "i-2#2000"), (2000, 1000, "i-1#2000"), (1, 1, "i-2#1"))
    def test_newest_server_of_a_machine_counts(self, first, second, expected):
        self.put_entry("i-1", now=1.0, born=first)
        self.put_entry("i-2", now=2.0, born=second)
        self.assertEqual(self.list_incarnations(), [expected])

    def test_server_that_starts_again_under_its_identity_is_another(self):
        self.put_entry("i-1", born=1)
        before = self.list_incarnations()
        self.put_entry("i-1", born=2)
        self.assertNotEqual(self.list_incarnations(), before)

    def test_removed_entry_is_gone_at_once(self):
        self.put_entry("i-1")
        self.servers.remove_entry("i-1", 5.0, recovered_at=None)
        self.assertEqual(self.list_incarnations(), [])

    def test_entry_that_lapsed_in_an_outage_holds_until_servers_could_return(self):
        self.put_entry("i-1")
        self.servers.remove_entry("i-1", 5.0, recovered_at=5.0)
        self.assertEqual(len(self.list_incarnations()), 1)
        self.assertFalse(
            self.servers.drop_expired_entries(5.0 + REAPPEARANCE_TIMEOUT_S - 0.1)
        )
        self.assertTrue(self.servers.drop_expired_entries(5.0 + REAPPEARANCE_TIMEOUT_S))
        self.assertEqual(self.list_incarnations(), [])

    def test_lapsed_server_that_returns_stays(self):
        self.put_entry("i-1")
        self.servers.remove_entry("i-1", 5.0, recovered_at=5.0)
        self.put_entry("i-1", now=6.0)
        self.assertFalse(self.servers.drop_expired_entries(9.0))
        self.assertEqual(len(self.list_incarnations()), 1)

    @params(
        # (entry listed after a restore, expected)
        ({"sequence": 4}, []),
        ({"sequence": 3}, []),
        ({"sequence": 5}, ["i-1#1000"]),
        ({"sequence": 0, "born": 2000}, ["i-1#2000"]),
        ({"sequence": 9, "born": 500}, []),
    )
    def test_restored_entry_of_a_server_that_left_is_not_used(self, fields, expected):
        self.put_entry("i-1")
        self.servers.remove_entry("i-1", 5.0, recovered_at=None)
        self.put_entry("i-1", now=8.0, recovered_at=8.0, **fields)
        self.assertEqual(self.list_incarnations(), expected)

    def test_restored_entry_that_lapses_is_forgotten(self):
        self.put_entry("i-1")
        self.servers.remove_entry("i-1", 5.0, recovered_at=None)
        self.put_entry("i-1", now=8.0, recovered_at=8.0)
        self.servers.remove_entry("i-1", 12.0, recovered_at=8.0)
        self.assertFalse(self.servers.use_held_entries(20.0))
        self.assertEqual(self.list_incarnations(), [])

    def test_restored_entry_that_outlasts_its_lease_is_used(self):
        self.put_entry("i-1")
        self.servers.remove_entry("i-1", 5.0, recovered_at=None)
        self.put_entry("i-1", now=8.0, recovered_at=8.0)
        self.assertFalse(self.servers.use_held_entries(8.0 + self.servers.lease_s))
        self.assertTrue(
            self.servers.use_held_entries(8.0 + self.servers.lease_s + LEASE_MARGIN_S)
        )
        self.assertEqual(self.list_incarnations(), ["i-1#1000"])

    def test_entry_listed_again_long_after_an_outage_is_used(self):
        self.put_entry("i-1")
        self.servers.remove_entry("i-1", 15.0, recovered_at=5.0)
        self.put_entry("i-1", now=16.0, recovered_at=5.0)
        self.assertEqual(len(self.list_incarnations()), 1)

    def test_removal_long_after_an_outage_is_no_lapse(self):
        self.put_entry("i-1")
        self.servers.remove_entry("i-1", 9.0, recovered_at=5.0)
        self.assertEqual(self.list_incarnations(), [])

    @params(
        (b"",),
        (b"\x00\xff",),
        (make_entry()[:30],),
        (b"{}",),
        (make_entry(state="resting"),),
        (make_entry(service=3),),
        (make_entry(service=""),),
        (make_entry(address="somewhere"),),
        (make_entry(slots="many"),),
        (make_entry(slots=0),),
        (make_entry(born=1.5),),
        (make_entry(sequence="first"),),
    )
    def test_entry_by_another_writer_is_a_typed_failure(self, value):
        result = parse_server_entry(value)
        self.assertIsInstance(result, Failure)
        self.assertIs(result.reason, Reason.PLATFORM_BAD_DOCUMENT)
