"""Tests of the notices of backend servers about themselves."""

import dataclasses
import unittest

from nose2.tools import params

from catkinpost.protocol.message import ServerNotice
from catkinpost.state.instance_view import InstanceState
from catkinpost.state.server_notice import ServerNotices
from tests.coordination.at_most_once.test_once import make_instance


class TestServerNotices(unittest.TestCase):
    def test_notice_holds_for_one_incarnation(self):
        notices = ServerNotices()
        notice = ServerNotice("i-1#1", 4.0)
        self.assertTrue(notices.record("sets-1", notice))
        self.assertFalse(notices.record("sets-1", notice))
        self.assertEqual(notices.get("sets-1", "i-1#1"), notice)
        self.assertIsNone(notices.get("sets-1", "i-1#2"))

    def test_late_notice_of_a_predecessor_does_not_count(self):
        """Guards against requests to a server whose announced leaving is forgotten."""
        notices = ServerNotices()
        notices.record_listed("sets-1", "i-1#1")
        notices.record_listed("sets-1", "i-1#2")
        left = ServerNotice("i-1#2", 3.0, True)
        self.assertTrue(notices.record("sets-1", left))
        self.assertFalse(notices.record("sets-1", ServerNotice("i-1#1", 9.0)))
        self.assertEqual(notices.get("sets-1", "i-1#2"), left)

    @params(
        # (notices of the server, listed incarnation and state, whether it leaves)
        ([], "i-1#1", InstanceState.LIVE, False),
        ([], "i-1#1", InstanceState.LEAVING, True),
        ([ServerNotice("i-1#1", None, True)], "i-1#1", InstanceState.LIVE, True),
        ([ServerNotice("i-1#1", None, True)], "i-1#2", InstanceState.LIVE, False),
        (
            [ServerNotice("i-1#1", None, True), ServerNotice("i-1#1", 3.0)],
            "i-1#1",
            InstanceState.LIVE,
            True,
        ),
        (
            [ServerNotice("i-1#1", None, True), ServerNotice("i-1#2")],
            "i-1#2",
            InstanceState.LIVE,
            False,
        ),
    )
    def test_leaving_lasts_until_another_incarnation(self, said, listed, state, wanted):
        notices = ServerNotices()
        for notice in said:
            notices.record("sets-1", notice)
        instance = dataclasses.replace(
            make_instance("sets-1", state), incarnation=listed
        )
        self.assertIs(notices.is_leaving(instance), wanted)
