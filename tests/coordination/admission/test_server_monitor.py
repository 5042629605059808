"""Tests of what a node learns from the notices of its backend server."""

import unittest

from nose2.tools import params

from catkinpost.coordination.admission.server_monitor import ServerMonitor
from catkinpost.platform.dialect import PlatformDialect
from catkinpost.protocol.http import HttpResponse
from catkinpost.protocol.message import ServerNotice
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.state.server_notice import ServerNotices
from tests.clock import on_mock_clock
from tests.coordination.admission.test_admission import make_admission
from tests.coordination.at_most_once.test_once import make_call

LIMIT, LEAVING = b"server-limit", b"server-leaving"
SHED = Failure(reason=Reason.BACKEND_SHED)
REPLACED = Failure(reason=Reason.BACKEND_REPLACED)
BAD_ANSWER = Failure(reason=Reason.BACKEND_BAD_ANSWER)


class TestServerMonitor(unittest.TestCase):
    @params(
        # (headers, refusal that the response stands for, rate limit, leaving)
        ([(LIMIT, b"38.4")], None, 38.4, False),
        ([(LIMIT, b"0")], None, 0.0, False),
        ([(LIMIT, b"2"), (LEAVING, b"1")], None, 2.0, True),
        ([(LIMIT, b"2")], SHED, 2.0, False),
        ([], None, None, False),
        ([], SHED, None, False),
        # Kept from the response before.
        ([(LIMIT, b"2")], REPLACED, 7.0, False),
        ([(LEAVING, b"1")], BAD_ANSWER, 7.0, False),
        ([(LIMIT, b"many")], None, 7.0, False),
        ([(LIMIT, b"-1")], None, 7.0, False),
        ([(LIMIT, b"nan")], None, 7.0, False),
        ([(LIMIT, b"1e9")], None, 7.0, False),
        ([(LIMIT, b"")], None, 7.0, False),
    )
    def test_notice_in_a_response(self, headers, refusal, rate_limit, leaving):
        self.check_notice(headers, refusal, rate_limit, leaving)

    @on_mock_clock
    async def check_notice(self, headers, refusal, rate_limit, leaving):
        left = []
        monitor = ServerMonitor(
            instance="orders-1",
            notices=ServerNotices(),
            admission=make_admission(),
            dialect=PlatformDialect(lambda: "stock"),
            on_leaving=lambda: left.append(True),
        )
        call = make_call("", 0)
        monitor.record_response(call, HttpResponse(200, [(LIMIT, b"7")]), None)
        monitor.record_response(call, HttpResponse(200, headers), refusal)
        notice = ServerNotice(call.incarnation, rate_limit, leaving)
        self.assertEqual(monitor.get_notice(), notice)
        self.assertEqual(bool(left), leaving)

    @on_mock_clock
    async def test_limit_is_applied_though_an_older_notice_was_recorded_since(self):
        """The end of a local call records the notice that its load had."""
        notices, admission = ServerNotices(), make_admission()
        monitor = ServerMonitor(
            instance="orders-1",
            notices=notices,
            admission=admission,
            dialect=PlatformDialect(lambda: "stock"),
        )
        call = make_call("", 0)
        limited = HttpResponse(200, [(LIMIT, b"7")])
        monitor.record_response(call, limited, None)
        reported = monitor.get_notice()
        monitor.record_response(call, HttpResponse(200), None)
        notices.record("orders-1", reported)
        monitor.record_response(call, limited, None)
        self.assertEqual(admission.rate_limiter.rate_limit, 7.0)
