"""Tests of the notices of backend servers about themselves."""

import unittest

from nose2.tools import params

from catkinpost.protocol.message import ServerNotice
from catkinpost.protocol.settings import Address
from catkinpost.state.instance_view import Instance, InstanceState
from catkinpost.state.server_notice import ServerNotices

ADDRESS = Address("127.0.0.1", 1)


def make_instance(incarnation, state=InstanceState.LIVE):
    return Instance(
        name="sets-1",
        service="sets",
        data_centre="kurzeme-1",
        region="kurzeme",
        calls=ADDRESS,
        peers=ADDRESS,
        operators=ADDRESS,
        state=state,
        incarnation=incarnation,
    )


class TestServerNotices(unittest.TestCase):
    def test_notice_holds_for_one_incarnation(self):
        notices = ServerNotices()
        notice = ServerNotice("i-1#1", 4.0)
        self.assertTrue(notices.record("sets-1", notice))
        self.assertFalse(notices.record("sets-1", notice))
        self.assertEqual(notices.get("sets-1", "i-1#1"), notice)
        self.assertIsNone(notices.get("sets-1", "i-1#2"))

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
        self.assertIs(notices.is_leaving(make_instance(listed, state)), wanted)
