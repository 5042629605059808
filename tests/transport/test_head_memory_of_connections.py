"""Tests of what the requests of callers make the HTTP server hold."""

import contextlib
import gc
import re
import unittest

import trio
from nose2.tools import params

from catkinpost.protocol.http import HttpLimits, HttpRequest, HttpResponse
from catkinpost.protocol.outcome import Reason
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.head_memory import FREE_BYTES, HeadMemory
from catkinpost.transport.http_connection import Connection
from catkinpost.transport.http_parser import RequestParser
from catkinpost.transport.http_server import HttpServer
from tests.clock import on_mock_clock

HOST = "127.0.0.1"
HEAD_BYTES = 16_384
LIMITS = HttpLimits(max_head_bytes=HEAD_BYTES, max_body_bytes=10_000_000)
START = b"GET /1 HTTP/1.1\r\n"
MANY_LINES = START + b"a:\r\n" * 4000
FEWER_LINES = START + b"a:\r\n" * 1000
ORDINARY = START + b"host: shop.example\r\n" * 20 + b"\r\n"
UPGRADE = b"connection: upgrade\r\nupgrade: h2c\r\n\r\n"
# Memory of some 0.78 MB for each head of 4,000 lines.
ROOM_FOR_TWO = 1_600_000


class Setup:
    """Server whose handler answers once it is released."""

    def __init__(self, max_bytes=ROOM_FOR_TWO):
        self.failures = []
        self.memory = HeadMemory(max_bytes, DecisionLog())
        self.release = trio.Event()
        self.server = HttpServer(
            self.handle,
            limits=LIMITS,
            report_failure=self.failures.append,
            head_memory=self.memory,
        )

    async def handle(self, request):
        if request.target != b"/1" or len(request.headers) > 100:
            await self.release.wait()
        return HttpResponse(200, [], b"%d" % len(request.headers))

    async def start(self, nursery):
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        self.port = listeners[0].socket.getsockname()[1]
        serve = trio.serve_listeners
        nursery.start_soon(serve, self.server.serve_connection, listeners)
        nursery.start_soon(self.server.watch_connections)

    async def send(self, data):
        stream = await trio.open_tcp_stream(HOST, self.port)
        await stream.send_all(data)
        await trio.sleep(0.1)
        return stream

    async def ask(self, data):
        stream = await self.send(data)
        return await read_some(stream)


async def read_some(stream):
    with trio.move_on_after(1.0):
        return await stream.receive_some(65536)
    return None


def with_server(test):
    """Run a test on a running server."""

    @on_mock_clock(io=True)
    async def run(self, *args):
        setup = Setup()
        async with trio.open_nursery() as nursery:
            await setup.start(nursery)
            await test(self, setup, *args)
            nursery.cancel_scope.cancel()

    return run


@contextlib.contextmanager
def without_collector():
    """Run without the collector of cycles, as a node mostly does."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def count_objects(*types):
    return sum(type(item) in types for item in gc.get_objects())


class TestHeldHeads(unittest.TestCase):
    """Guards against a process that is killed over heads of very many lines."""

    @with_server
    async def test_single_largest_head_is_served(self, setup):
        setup.memory.max_bytes = 100_000
        setup.release.set()
        answer = await setup.ask(MANY_LINES + b"\r\n")
        self.assertTrue(answer.endswith(b"4000"), answer)
        self.assertEqual(setup.memory.used_bytes, 0)

    @with_server
    async def test_head_beyond_the_bound_is_refused_as_not_run(self, setup):
        held = [await setup.send(MANY_LINES + b"\r\n") for _ in range(2)]
        answer = await setup.ask(MANY_LINES + b"\r\n")
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)
        self.assertIn(b"retry-after: ", answer)
        self.assertIn(b"connection: close", answer)
        reasons = [item.reason for item in setup.failures]
        self.assertEqual(reasons, [Reason.REQUEST_MEMORY_FULL])
        self.assertLessEqual(setup.memory.used_bytes, ROOM_FOR_TWO)
        # An ordinary request needs no room of others.
        self.assertTrue((await setup.ask(ORDINARY)).endswith(b"20"))
        setup.release.set()
        for stream in held:
            self.assertTrue((await read_some(stream)).endswith(b"4000"))
        self.assertEqual(setup.memory.used_bytes, 0)

    @with_server
    async def test_largest_unfinished_head_makes_room_for_a_smaller_one(self, setup):
        setup.release.set()
        first = await setup.send(MANY_LINES)
        second = await setup.send(MANY_LINES + b"b: c\r\n")
        answer = await setup.ask(FEWER_LINES + b"\r\n")
        self.assertTrue(answer.endswith(b"1000"), answer)
        refusal = await read_some(second)
        self.assertTrue(refusal.startswith(b"HTTP/1.1 503"), refusal)
        await first.send_all(b"\r\n")
        self.assertTrue((await read_some(first)).endswith(b"4000"))
        self.assertEqual(setup.memory.used_bytes, 0)

    @with_server
    async def test_unfinished_head_does_not_make_room_for_a_larger_one(self, setup):
        first = await setup.send(FEWER_LINES)
        larger = [await setup.send(MANY_LINES) for _ in range(2)]
        self.assertTrue((await read_some(larger[1])).startswith(b"HTTP/1.1 503"))
        self.assertIsNone(await read_some(first))

    @with_server
    async def test_pipelined_requests_without_room_count_as_not_read(self, setup):
        """What was read before goes on, and its answer comes first."""
        stream = await setup.send(b"GET /slow HTTP/1.1\r\n\r\n")
        held = [await setup.send(MANY_LINES + b"\r\n") for _ in range(2)]
        await stream.send_all((MANY_LINES + b"\r\n") * 2)
        await trio.sleep(0.5)
        setup.release.set()
        answer = await read_some(stream)
        self.assertEqual(re.findall(rb"HTTP/1.1 (\d+)", answer), [b"200", b"503"])
        for other in held:
            self.assertTrue((await read_some(other)).endswith(b"4000"))

    @with_server
    async def test_idle_connection_holds_nothing_of_its_last_request(self, setup):
        setup.release.set()
        stream = await setup.send(MANY_LINES + b"\r\n")
        await read_some(stream)
        (connection,) = setup.server.connections
        self.assertEqual(connection.held_bytes, 0)
        self.assertEqual(connection.parser.headers, [])

    @params(
        # (what callers send before they close)
        ("unfinished head", MANY_LINES),
        ("answered request", MANY_LINES + b"\r\n"),
        ("request at work", b"POST /2 HTTP/1.1\r\ncontent-length: 0\r\n\r\n"),
        ("unfinished body", b"POST /1 HTTP/1.1\r\ncontent-length: 9\r\n\r\n"),
        ("pipelined requests", ORDINARY * 40),
        ("malformed request", MANY_LINES + b"b c\r\n\r\n"),
        (
            "offered upgrade",
            ORDINARY[:-2] + b"connection: upgrade\r\nupgrade: h2c\r\n\r\n",
        ),
    )
    def test_closed_connection_is_freed_without_the_collector(self, name, data):
        """Guards against memory that grows with each round of such callers."""
        self.check_closed(data)

    @with_server
    async def check_closed(self, setup, data):
        if b"/2" not in data:
            setup.release.set()
        types = (Connection, RequestParser, HttpRequest)
        for _ in range(2):
            stream = await setup.send(data)
            await stream.aclose()
            await trio.sleep(1.0)
        with without_collector():
            before = count_objects(*types)
            for _ in range(5):
                stream = await setup.send(data)
                await stream.aclose()
                del stream
                await trio.sleep(1.0)
            self.assertEqual(setup.server.connections, set())
            self.assertLessEqual(count_objects(*types), before)

    @with_server
    async def test_slow_pieces_are_counted_as_they_come(self, setup):
        stream = await setup.send(START)
        (connection,) = setup.server.connections
        self.assertLess(connection.held_bytes, FREE_BYTES)
        await stream.send_all(b"a:\r\n" * 2000)
        await trio.sleep(0.1)
        self.assertEqual(setup.memory.used_bytes, connection.held_bytes)
        self.assertGreater(setup.memory.used_bytes, 2000 * 100)


class TestLegalSize(unittest.TestCase):
    @params((4000, None), (4100, Reason.HEAD_TOO_LARGE))
    def test_lines_count_with_their_framing(self, count, reason):
        """Guards against heads above the limit that come in one piece."""
        parser = RequestParser(LIMITS)
        failure = parser.feed(START + b"a:\r\n" * count + b"\r\n")
        self.assertEqual(failure and failure.reason, reason)
