"""Tests of the stand-in of a server."""

import unittest
from unittest import mock

import trio
from nose2.tools import params

from catkinpost.platform.names import (
    ATTEMPT_ID,
    DEADLINE_REMAINING,
    EXPECTED_INSTANCE,
    NOT_EXECUTED,
)
from catkinpost.protocol.http import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    find_header,
)
from catkinpost.transport.http_client import BackendClient
from catkinpost_standins.fleet import free_port
from catkinpost_standins.users_platform import server as server_module
from catkinpost_standins.users_platform.server import StandInServer, Trouble
from tests.clock import on_mock_clock

LONG_MS, SHORT_MS = 1000, 500
HOST = "127.0.0.1"
LIMIT_S = 30.0


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

    @on_mock_clock
    async def test_refused_requests_reach_it_unless_they_are_for_another(self):
        """Guards against a drain that seems kept as its server refuses the rest."""
        server = StandInServer("i-1", "orders", slots=0)
        for attempt, expected in ((b"a", b"i-1"), (b"b", b"i-2")):
            headers = [(ATTEMPT_ID, attempt), (EXPECTED_INSTANCE, expected)]
            await server.handle(HttpRequest(b"GET", b"/", headers))
        self.assertEqual([attempt for attempt, _ in server.arrivals], [b"a"])
        runs = [(run.attempt, run.end, run.began_at) for run in server.history]
        self.assertEqual(runs, [(b"a", "refused", None), (b"b", "refused", None)])

    @params(
        # (expected instance, slots, status)
        ("i-2", 1, 421),
        ("i-1", 0, 503),
    )
    def test_refused_request_has_reached_the_server(self, expected, slots, status):
        """Guards against a verdict that takes it for one that was not passed on."""
        self.check_refusal(expected, slots, status)

    @on_mock_clock
    async def check_refusal(self, expected, slots, status):
        server = StandInServer("i-1", "orders", slots=slots)
        headers = [(ATTEMPT_ID, b"a"), (EXPECTED_INSTANCE, expected.encode())]
        response = await server.handle(HttpRequest(b"GET", b"/", headers))
        self.assertEqual(response.status, status)
        ends = [(run.attempt, run.end, run.began_at) for run in server.history]
        self.assertEqual(ends, [(b"a", "refused", None)])

    @params(
        (Trouble.NONE, "done", True),
        (Trouble.TRUNCATES, "broken off", False),
        (Trouble.RESETS, "broken off", False),
        (Trouble.NO_LENGTH, "done", True),
        (Trouble.REPEATS, "done", True),
        (Trouble.CLOSES, "done", True),
    )
    def test_trouble_on_a_connection(self, trouble, end, is_answered):
        """Guards against a verdict that excuses what the server did not break off."""
        with mock.patch.object(server_module, "TROUBLE_SHARE", 1.0):
            run, answer = trio.run(self.send, trouble)
        self.assertEqual(run.end, end)
        self.assertEqual(isinstance(answer, HttpResponse), is_answered)

    async def send(self, trouble):
        server = StandInServer("i-1", "orders", answer_bytes=1000)
        server.server.trouble = trouble
        port = free_port()
        async with trio.open_nursery() as nursery:
            await server.serve(nursery, HOST, port)
            limits = HttpLimits(unsized_answers=True)
            client = BackendClient(HOST, port, limits=limits)
            headers = [(b"host", b"h"), (ATTEMPT_ID, b"a")]
            with trio.fail_after(LIMIT_S):
                answer = await client.send_request(
                    HttpRequest(b"POST", b"/", headers, b"x")
                )
            nursery.cancel_scope.cancel()
        return server.history[0], answer
