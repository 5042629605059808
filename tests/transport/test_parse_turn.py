"""Tests of the turns at parsing, by the order in which work is done."""

import contextlib
import unittest
from unittest import mock

import trio
from nose2.tools import params

from catkinpost.protocol.http import HttpLimits, HttpResponse
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.request_memory import RequestMemory
from catkinpost.transport import parse_turn
from catkinpost.transport.http_parser import RequestParser
from catkinpost.transport.http_server import HttpServer
from catkinpost.transport.parse_turn import ParseTurns
from tests.clock import on_mock_clock, wait_all_tasks_blocked

HOST = "127.0.0.1"
LIMITS = HttpLimits(max_head_bytes=16_384, max_body_bytes=10_000_000, head_timeout=5.0)
CROWD_SIZE = 60
CHUNKED = b"POST /crumbs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
CRUMBS = CHUNKED + b"1\r\nx\r\n" * 20_000
SHORT_LINES = b"GET /lines HTTP/1.1\r\n" + b"a:\r\n" * 3_000
ORDINARY = b"POST /usual HTTP/1.1\r\nContent-Length: 5\r\n\r\nbirch"
UPLOAD = b"POST /upload HTTP/1.1\r\nContent-Length: 200000\r\n\r\n" + bytes(200_000)
# Steps of the event loop, at most, that an answer takes here.
MAX_STEPS = 12
TURN_BYTES = 4096


class StepCounter(trio.abc.Instrument):
    """Count of the steps of the event loop."""

    steps = 0

    def after_io_wait(self, timeout):
        self.steps += 1


class Setup:
    """Server that notes how many bytes of costly messages were parsed."""

    def __init__(self):
        self.costly_bytes = 0
        self.server = HttpServer(
            self.handle,
            limits=LIMITS,
            report_failure=lambda failure: None,
            memory=RequestMemory(100_000_000, DecisionLog()),
        )

    async def handle(self, request):
        return HttpResponse(200, [], request.target)

    @contextlib.asynccontextmanager
    async def run(self):
        feed = RequestParser.feed

        def note_and_feed(parser, data):
            self.costly_bytes += len(data) if data.count(b"\n") * 8 > len(data) else 0
            return feed(parser, data)

        with mock.patch.object(RequestParser, "feed", note_and_feed):
            async with trio.open_nursery() as self.nursery:
                listeners = await trio.open_tcp_listeners(0, host=HOST)
                self.port = listeners[0].socket.getsockname()[1]
                serve = self.server.serve_connection
                self.nursery.start_soon(trio.serve_listeners, serve, listeners)
                yield self
                self.nursery.cancel_scope.cancel()

    async def connect(self):
        return await trio.open_tcp_stream(HOST, self.port)

    async def send(self, stream, data):
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(data)

    async def start_crowd(self, data):
        """Let clients send, until their first bytes are parsed."""
        streams = [await self.connect() for _ in range(CROWD_SIZE)]
        for stream in streams:
            self.nursery.start_soon(self.send, stream, data)
        with trio.fail_after(10.0):
            while self.costly_bytes < CROWD_SIZE * TURN_BYTES:
                await trio.lowlevel.checkpoint()
        return streams


async def receive(stream):
    try:
        return await stream.receive_some(65536)
    except trio.BrokenResourceError:
        return b"reset"


async def note_status(stream, statuses):
    statuses.append((await receive(stream))[9:12])


class TestParseTurns(unittest.TestCase):
    def setUp(self):
        self.turns = ParseTurns()
        self.taken = []
        self.counter = StepCounter()

    async def take(self, owner, work, scope=None):
        with scope or trio.CancelScope():
            if not self.turns.try_take(owner):
                await self.turns.wait(owner, work)
            self.taken.append((owner, self.counter.steps))

    async def take_all(self, works):
        trio.lowlevel.add_instrument(self.counter)
        async with trio.open_nursery() as nursery:
            for owner, work in enumerate(works):
                nursery.start_soon(self.take, owner, work)

    @on_mock_clock
    async def test_each_step_has_one_turn(self):
        await self.take_all([0] * 20)
        steps = [step for _, step in self.taken]
        self.assertEqual(steps, list(range(steps[0], steps[0] + 20)))

    @on_mock_clock
    async def test_least_work_goes_first_and_equal_work_in_the_order_of_arrival(self):
        self.turns.is_granted = True
        works = [7, 0, 900, 7, 0]
        async with trio.open_nursery() as nursery:
            for owner, work in enumerate(works):
                nursery.start_soon(self.take, owner, work)
                await wait_all_tasks_blocked()
            self.turns.grant_next()
        self.assertEqual([owner for owner, _ in self.taken], [1, 4, 0, 3, 2])

    @on_mock_clock
    async def test_turns_that_nobody_else_wants_take_no_step(self):
        self.assertTrue(self.turns.try_take("one"))
        self.assertTrue(self.turns.try_take("one"))
        self.assertFalse(self.turns.try_take("other"))
        self.turns.release("other")
        self.assertFalse(self.turns.try_take("other"))
        self.turns.release("one")
        self.assertTrue(self.turns.try_take("other"))

    @params(0, 1, 2)
    def test_cancelled_waiter_does_not_keep_others_from_their_turns(self, number):
        @on_mock_clock
        async def test():
            self.turns.try_take("holder")
            scopes = [trio.CancelScope() for _ in range(3)]
            async with trio.open_nursery() as nursery:
                for owner, scope in enumerate(scopes):
                    nursery.start_soon(self.take, owner, 0, scope)
                # One waiter has been given the next turn, and two wait.
                await trio.lowlevel.checkpoint()
                scopes[number].cancel()
            self.assertGreaterEqual(len(self.taken), 2)
            self.assertFalse(self.turns.waiting or self.turns.is_granted)

        test()


class TestCostlyMessages(unittest.TestCase):
    """Guards against a node that does not answer beside a crowd of costly messages."""

    def run_with_server(self, test):
        @on_mock_clock(io=True)
        async def run():
            async with Setup().run() as setup:
                await test(setup)

        run()

    @params(
        (CRUMBS, ORDINARY, MAX_STEPS),
        (SHORT_LINES, ORDINARY, MAX_STEPS),
        (CRUMBS, UPLOAD, 2 * MAX_STEPS),
    )
    def test_honest_request_is_answered_before_costly_ones_are_read(
        self, costly, honest, max_turns
    ):
        async def test(setup):
            usual = await setup.connect()
            await setup.start_crowd(costly)
            setup.nursery.start_soon(setup.send, usual, honest)
            self.assertIn(b"200", await receive(usual))
            max_bytes = (CROWD_SIZE + max_turns) * TURN_BYTES
            self.assertLess(setup.costly_bytes, max_bytes)

        self.run_with_server(test)

    @params(CRUMBS + b"0\r\n\r\n", SHORT_LINES + b"\r\n")
    def test_costly_requests_are_answered_in_the_end(self, costly):
        async def test(setup):
            for stream in await setup.start_crowd(costly):
                self.assertIn(b"200", await receive(stream))

        self.run_with_server(test)

    @mock.patch.object(parse_turn, "MAX_WAITING", 10)
    def test_costly_requests_beyond_a_number_are_refused_as_not_run(self):
        async def test(setup):
            server = setup.server
            server.reader.turns.is_granted = True
            upload = await setup.connect()
            setup.nursery.start_soon(setup.send, upload, UPLOAD)
            streams = await setup.start_crowd(CRUMBS + b"0\r\n\r\n")
            statuses = []
            for stream in [upload, *streams]:
                setup.nursery.start_soon(note_status, stream, statuses)
            await trio.sleep(0.5)
            self.assertEqual(statuses, [b"503"] * (len(streams) - 9))
            server.reader.turns.grant_next()
            with trio.fail_after(10.0):
                while len(statuses) <= len(streams):
                    await trio.sleep(0.1)
            self.assertEqual(statuses[-10:], [b"200"] * 10)

        self.run_with_server(test)

    def test_time_of_waiting_is_not_the_callers(self):
        async def test(setup):
            server = setup.server
            server.reader.turns.is_granted = True
            stream = await setup.connect()
            await stream.send_all(UPLOAD[:20_000])
            await trio.sleep(0.1)
            self.assertEqual(len(server.reader.turns.waiting), 1)
            trio.lowlevel.current_clock().jump(2 * LIMITS.head_timeout)
            server.check_connections(trio.current_time())
            server.reader.turns.grant_next()
            await trio.sleep(0.1)
            server.check_connections(trio.current_time())
            await stream.send_all(UPLOAD[20_000:])
            self.assertIn(b"200", await receive(stream))

        self.run_with_server(test)

    @params(
        (SHORT_LINES + b"\r\n", b"200"), (UPLOAD[:30_000], b"503"), (CRUMBS, b"503")
    )
    def test_stop_answers_what_waits_for_a_turn(self, sent, status):
        async def test(setup):
            server = setup.server
            server.reader.turns.is_granted = True
            streams = [await setup.connect() for _ in range(CROWD_SIZE)]
            for stream in streams:
                setup.nursery.start_soon(setup.send, stream, sent)
            await trio.sleep(0.1)
            self.assertEqual(len(server.reader.turns.waiting), CROWD_SIZE)
            server.stop_reading()
            server.reader.turns.grant_next()
            for stream in streams:
                self.assertIn(status, await receive(stream))
                await trio.aclose_forcefully(stream)
            await trio.sleep(0.1)
            self.assertFalse(server.is_busy)

        self.run_with_server(test)

    def test_callers_that_leave_give_up_their_turns(self):
        async def test(setup):
            server = setup.server
            for stream in await setup.start_crowd(CRUMBS):
                await trio.aclose_forcefully(stream)
            with trio.fail_after(10.0):
                while server.connections:
                    await trio.sleep(0.01)
            self.assertFalse(
                server.reader.turns.waiting or server.reader.turns.is_granted
            )
            self.assertIsNone(server.reader.turns.latest)

        self.run_with_server(test)
