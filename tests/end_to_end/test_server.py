"""Tests of the stand-in of a server, without a connection."""

import unittest

import trio

from catkinpost.platform.names import ATTEMPT_ID, DEADLINE_REMAINING, NOT_EXECUTED
from catkinpost.protocol.http import HttpRequest, find_header
from catkinpost_standins.users_platform.server import StandInServer
from tests.clock import on_mock_clock

LONG_MS, SHORT_MS = 1000, 500


class TestStandInServer(unittest.TestCase):
    @on_mock_clock
    async def test_only_a_request_that_has_not_begun_is_refused_at_its_deadline(self):
        """Guards against a soak whose servers promise what is not true."""
        server = StandInServer("i-1", "orders", slots=1, queue=1, seconds=60.0)
        responses = []

        async def send(attempt, deadline_ms):
            headers = [(ATTEMPT_ID, attempt), (DEADLINE_REMAINING, b"%d" % deadline_ms)]
            responses.append(await server.handle(HttpRequest(b"GET", b"/", headers)))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, b"a", LONG_MS)
            await trio.sleep(0.1)
            nursery.start_soon(send, b"b", SHORT_MS)
        self.assertEqual([item.status for item in responses], [503, 504])
        promises = [find_header(item.headers, NOT_EXECUTED) for item in responses]
        self.assertEqual(promises, [b"1", None])
        ends = [(run.end, run.began_at is not None) for run in server.history]
        self.assertEqual(ends, [("deadline", True), ("refused", False)])
