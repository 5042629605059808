"""Tests of the HTTP server, on real connections."""

import contextlib
import dataclasses
import functools
import math
import random
import re
import socket
import struct
import unittest
from unittest import mock

import trio
from nose2.tools import params

from catkinpost.protocol.http import HttpLimits, HttpResponse, compute_head_bytes
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.state.answer_memory import STALL_TIMEOUT_S, AnswerMemory
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.request_memory import RequestMemory
from catkinpost.transport import caller_room, http_server
from catkinpost.transport.acceptor import Acceptor
from catkinpost.transport.caller_room import MIN_IDLE_S, MIN_UNREAD_S
from catkinpost.transport.http_client import BackendClient
from catkinpost.transport.http_connection import Phase
from catkinpost.transport.http_server import HttpServer
from catkinpost.transport.linger import LINGER_TIMEOUT_S
from tests.clock import on_mock_clock, wait_all_tasks_blocked
from tests.shortage import descriptors_left, no_free_descriptors

LIMITS = HttpLimits(
    max_head_bytes=512,
    max_body_bytes=64,
    head_timeout=2.0,
    idle_timeout=4.0,
    stall_timeout=0.0,
)
HOST = "127.0.0.1"
SENT_BEFORE_END = [
    b"GET /1 HTTP/1.1\r\n\r\n",
    b"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n",
    b"GET /1 HTTP/1.1\r\nConnection: close\r\n\r\n",
    b"GET /1 HTTP/1.1\r\n\r\nGET /2 HT",
    b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nslow",
    b"",
]
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
# Fits into the send buffer of the server, but not into the receive buffer of a caller.
SLOWLY_READ_BODY = b"x" * 16_000
SMALL_RECEIVE_BUFFER_BYTES = 4096
# Exceeds the socket buffers, so that it is sent only while the caller reads.
LARGE_BODY = b"x" * 1_000_000
LARGE_ANSWER_BYTES = len(LARGE_BODY) + compute_head_bytes([])
WAITING_REQUEST = (
    b"POST /wait HTTP/1.1\r\nContent-Length: 80000\r\n\r\n" + b"x" * 80_000
)
REAL_TIME_LIMIT_S = 30.0
PACED_BODY = b"x" * 400_000
PACED_READ_GAP_S = 0.1
CLOSING_REQUEST = b"GET /1 HTTP/1.1\r\nConnection: close\r\n\r\n"
KEPT_REQUEST = b"GET /1 HTTP/1.1\r\n\r\n"
LATER_REQUESTS = b"GET /2 HTTP/1.1\r\n\r\n" * 2


class ServerSetup:
    """HTTP server whose handler echoes the path and the body."""

    def __init__(self):
        self.reported_failures = []
        self.cancelled_count = 0
        self.release = None
        self.server = HttpServer(
            self.handle, limits=LIMITS, report_failure=self.reported_failures.append
        )

    async def handle(self, request):
        try:
            if self.release is not None:
                await self.release.wait()
        except trio.Cancelled:
            self.cancelled_count += 1
            raise
        return HttpResponse(200, [], request.target + b" " + request.body)

    async def start(self, nursery):
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        nursery.start_soon(self.server.watch_connections)
        serve = self.server.serve_connection
        self.acceptor = Acceptor()
        self.acceptor.gate = self.server.gate
        nursery.start_soon(self.acceptor.run, serve, listeners, nursery)
        self.port = listeners[0].socket.getsockname()[1]

    async def connect(self):
        return await trio.open_tcp_stream(HOST, self.port)


def on_real_clock(test):
    """Run a test in real time, as the kernel paces the delivery to a slow reader."""

    @functools.wraps(test)
    def run(*args):
        async def main():
            with trio.fail_after(REAL_TIME_LIMIT_S):
                await test(*args)

        trio.run(main)

    return run


def respond_with(body):
    """Return a handler that answers each request with one body."""

    async def handle(request):
        return HttpResponse(200, [], body)

    return handle


async def wait_for_phase(setup, phase):
    with trio.fail_after(1.0):
        while [item.phase for item in setup.server.connections] != [phase]:
            await trio.lowlevel.checkpoint()


async def receive_up_to(stream, data, size):
    while len(data) < size and (piece := await stream.receive_some(65536)):
        data += piece


async def read_all(stream):
    data = b""
    while True:
        piece = await stream.receive_some(65536)
        if not piece:
            return data
        data += piece


async def receive_or_nothing(stream):
    try:
        return await stream.receive_some(65536)
    except trio.BrokenResourceError:
        # The server has closed the connection with the request unread.
        return b""


async def connect_slow_reader(setup):
    connection = trio.socket.socket()
    size = SMALL_RECEIVE_BUFFER_BYTES
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
    await connection.connect((HOST, setup.port))
    return trio.SocketStream(connection)


async def read_slowly(stream):
    data = b""
    while piece := await stream.receive_some(SMALL_RECEIVE_BUFFER_BYTES):
        data += piece
        await trio.sleep(0.001)
    return data


def split_answers(data):
    """Split received bytes into answers that begin with their status."""
    return re.split(rb"HTTP/1\.1 (?=\d)", data)[1:]


def send_now(stream, data):
    """Send in the current step of the event loop."""
    stream.socket._sock.send(data)


def expire_connections(server):
    """Let more than the idle time-out pass, in which callers take and send nothing."""
    passed_s = LIMITS.idle_timeout + 1.0
    server.check_connections(trio.current_time())
    server.resumed_at -= passed_s
    for connection in server.connections:
        connection.phase_started_at -= passed_s
        connection.taken_at -= passed_s
    server.check_connections(trio.current_time())


def stop_reading(server):
    server.stop_reading()


def close_by_itself(server):
    """Leave the close to the last response."""


async def wait_steps(rng, most):
    for _ in range(rng.randrange(most)):
        await trio.sleep(0)


async def respond_after_steps(rng, request):
    await wait_steps(rng, 20)
    return HttpResponse(200, [], request.target)


async def check_at_every_step(server):
    while True:
        server.check_connections(trio.current_time())
        await trio.sleep(0)


async def call_and_end(setup, rng):
    """Open connections, send on them, and end each one at a random step."""
    for _ in range(40):
        stream = await setup.connect()
        await stream.send_all(rng.choice(SENT_BEFORE_END))
        await wait_steps(rng, 25)
        if rng.random() < 0.7:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        await trio.aclose_forcefully(stream)


class TestHttpServer(unittest.TestCase):
    @on_mock_clock(io=True)
    async def test_each_request_gets_its_own_answer_in_order(self):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            await setup.start(nursery)
            stream = await setup.connect()
            await stream.send_all(
                b"GET /1 HTTP/1.1\r\n\r\nPOST /2 HTTP/1.1\r\nContent-Length: 1\r\n\r\nx"
                b"GET /3 HTTP/1.1\r\nConnection: close\r\n\r\n"
            )
            data = await read_all(stream)
            bodies = [part.split(b"\r\n")[0] for part in data.split(b"\r\n\r\n")[1:]]
            self.assertEqual(
                [body.partition(b"HTTP")[0] for body in bodies],
                [b"/1 ", b"/2 x", b"/3 "],
            )
            nursery.cancel_scope.cancel()

    @params(
        (b"nonsense\r\n\r\n", 400),
        (b"GET /" + b"x" * 600 + b" HTTP/1.1\r\n\r\n", 431),
        (b"POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n" + b"x" * 65, 413),
        (b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nslow", 408),
        (b"GET / HT", 408),
    )
    def test_bad_request_is_answered_reported_and_closed(self, data, status):
        self.check_bad_request(data, status)

    @on_mock_clock(io=True)
    async def check_bad_request(self, data, status):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            await setup.start(nursery)
            stream = await setup.connect()
            await stream.send_all(data)
            answer = await read_all(stream)
            self.assertTrue(answer.startswith(b"HTTP/1.1 %d" % status), answer)
            self.assertIn(b"catkinpost-outcome: not-run", answer)
            self.assertEqual(len(setup.reported_failures), 1)
            nursery.cancel_scope.cancel()

    @params(
        # (request, max_body_bytes, max_head_bytes, status)
        (b"POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n" + b"x" * 65, 65, 512, 200),
        (b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n123456789", 8, 512, 413),
        (b"GET /" + b"x" * 600 + b" HTTP/1.1\r\n\r\n", 64, 700, 200),
        (b"GET /" + b"x" * 200 + b" HTTP/1.1\r\n\r\n", 64, 100, 431),
    )
    def test_kept_connection_keeps_no_earlier_limits(
        self, data, max_body_bytes, max_head_bytes, status
    ):
        self.check_changed_limits(data, max_body_bytes, max_head_bytes, status)

    @on_mock_clock(io=True)
    async def check_changed_limits(self, data, max_body_bytes, max_head_bytes, status):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            await setup.start(nursery)
            stream = await setup.connect()
            # The last byte of this request arrives together with the next request.
            await stream.send_all(b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab")
            await trio.sleep(0.2)
            setup.server.limits = dataclasses.replace(
                LIMITS, max_body_bytes=max_body_bytes, max_head_bytes=max_head_bytes
            )
            await stream.send_all(b"c" + data)
            answers = b""
            while answers.count(b"HTTP/1.1 ") < 2:
                answers += await stream.receive_some(65536)
            statuses = [part[:3] for part in answers.split(b"HTTP/1.1 ")[1:]]
            self.assertEqual(statuses, [b"200", b"%d" % status])
            nursery.cancel_scope.cancel()

    @params(
        # (time-out when the request begins, soon after it, whether it is kept)
        (2.0, 0.5, True),
        (0.5, 2.0, True),
        (0.5, 0.5, False),
    )
    def test_shorter_head_timeout_spares_an_upload_that_has_begun(self, *case):
        """Guards against uploads refused in time, as the settings were changed."""
        self.check_changed_head_timeout(*case)

    @on_mock_clock(io=True)
    async def check_changed_head_timeout(self, earlier_s, later_s, is_kept):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            setup.server.limits = dataclasses.replace(LIMITS, head_timeout=earlier_s)
            await setup.start(nursery)
            stream = await setup.connect()
            await stream.send_all(KEPT_REQUEST)
            self.assertIn(b"200", await stream.receive_some(1000))
            await stream.send_all(b"POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nha")
            await trio.sleep(0.1)
            setup.server.limits = dataclasses.replace(LIMITS, head_timeout=later_s)
            await trio.sleep(1.0)
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(b"lf")
            answer = await stream.receive_some(1000)
            self.assertEqual(int(answer.split()[1]), 200 if is_kept else 408)
            # A request that begins later has the current time-out only.
            if is_kept and later_s < earlier_s:
                await stream.send_all(b"GET / HT")
                await trio.sleep(later_s + 0.5)
                self.assertIn(b"408", await stream.receive_some(1000))
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_slow_drip_does_not_extend_the_time_for_a_message(self):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            await setup.start(nursery)
            stream = await setup.connect()
            started = trio.current_time()
            await stream.send_all(b"POST / HTTP/1.1\r\nContent-Length: 50\r\n\r\n")
            with trio.move_on_after(60):
                while setup.server.connections:
                    await stream.send_all(b"x")
                    await trio.sleep(1.0)
            self.assertLess(trio.current_time() - started, 10)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_request_that_offers_an_upgrade_is_answered_once(self):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            await setup.start(nursery)
            stream = await setup.connect()
            await stream.send_all(
                b"GET /1 HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
            )
            self.assertIn(b"/1", await stream.receive_some(65536))
            await stream.send_all(CLOSING_REQUEST.replace(b"/1 ", b"/2 "))
            data = await read_all(stream)
            self.assertEqual(data.count(b"HTTP/1.1 200"), 1)
            self.assertIn(b"/2", data)
            self.assertEqual(setup.reported_failures, [])
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_idle_connection_is_closed(self):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            await setup.start(nursery)
            stream = await setup.connect()
            self.assertEqual(await read_all(stream), b"")
            self.assertEqual(setup.reported_failures, [])
            await trio.sleep(0.1)
            # Nothing was on its way, so the descriptor is free at once.
            self.assertFalse(setup.server.lingers)
            nursery.cancel_scope.cancel()

    @params(
        # (idle time-out when the last answer came, and soon after it)
        (4.0, 1.0),
        (1.0, 4.0),
    )
    def test_idle_connection_is_kept_for_as_long_as_its_caller_was_told(
        self, earlier_s, later_s
    ):
        """Guards against a shorter time-out that closes under a caller's request."""
        self.check_changed_idle_timeout(earlier_s, later_s)

    @on_mock_clock(io=True)
    async def check_changed_idle_timeout(self, earlier_s, later_s):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            await setup.start(nursery)
            unused, used = await setup.connect(), await setup.connect()
            for idle_s in (earlier_s, later_s):
                limits = dataclasses.replace(LIMITS, idle_timeout=idle_s)
                setup.server.limits = limits
                if idle_s == earlier_s:
                    await used.send_all(KEPT_REQUEST)
                    self.assertIn(b"200", await used.receive_some(1000))
            await trio.sleep(0.8 * max(earlier_s, later_s))
            await used.send_all(KEPT_REQUEST)
            self.assertIn(b"200", await receive_or_nothing(used))
            # Told of the later time-out by this answer.
            await trio.sleep(later_s + 0.5)
            self.assertEqual(await receive_or_nothing(used), b"")
            self.assertEqual(await receive_or_nothing(unused), b"")
            nursery.cancel_scope.cancel()

    @params(
        # (seconds until the answer is read, and from then to the next request, whether
        # that is answered)
        (0.0, 0.8, True),
        (0.8, 0.8, True),
        (0.8, 1.2, False),
    )
    def test_idle_timeout_counts_from_when_the_answer_was_taken(self, *case):
        """Guards against a close under the next request of a slow caller.

        :param case: times as shares of the idle time-out.
        """
        self.check_idle_after_slow_read(*case)

    @on_mock_clock(io=True)
    async def check_idle_after_slow_read(self, read_after, sent_after, is_kept):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            setup.server.handler = respond_with(SLOWLY_READ_BODY)
            await setup.start(nursery)
            stream = await connect_slow_reader(setup)
            await stream.send_all(KEPT_REQUEST)
            await trio.sleep(read_after * LIMITS.idle_timeout)
            data = b""
            while not data.endswith(SLOWLY_READ_BODY):
                data += await stream.receive_some(65536)
            await trio.sleep(sent_after * LIMITS.idle_timeout)
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(KEPT_REQUEST)
            answer = await receive_or_nothing(stream)
            self.assertEqual(answer[:12], b"HTTP/1.1 200" if is_kept else b"")
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_request_that_arrives_when_its_connection_expires_is_whole(self):
        """Guards against a request that is started and then cut by the idle timeout.

        The request arrives in the same step of the event loop in which the connection
        is found overdue: the cancellation is delivered after the request was started.
        """
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            started = []

            async def handle(request):
                started.append(request.target)
                await trio.sleep(0.1)
                return HttpResponse(200, [], request.target)

            setup.server.handler = handle
            await setup.start(nursery)
            streams = [await setup.connect() for _ in range(20)]
            await trio.sleep(0.5)
            for connection in setup.server.connections:
                connection.phase_started_at -= LIMITS.idle_timeout
            for number, stream in enumerate(streams):
                stream.socket._sock.send(b"GET /%d HTTP/1.1\r\n\r\n" % number)
            await trio.lowlevel.checkpoint()
            setup.server.check_connections(trio.current_time())
            answered = []
            for number, stream in enumerate(streams):
                with trio.move_on_after(1.0):
                    if b"HTTP/1.1 200" in await receive_or_nothing(stream):
                        answered.append(b"/%d" % number)
            self.assertEqual(sorted(answered), sorted(started))
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_rest_of_a_request_that_arrived_in_a_pause_is_in_time(self):
        """Guards against requests refused as slow, as the process did not run."""
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            await setup.start(nursery)
            stream = await setup.connect()
            await stream.send_all(b"POST /1 HTTP/1.1\r\nContent-Length: 4\r\n\r\nha")
            await trio.sleep(0.1)
            (connection,) = setup.server.connections
            self.assertIs(connection.phase, Phase.READING)
            send_now(stream, b"lf")
            trio.lowlevel.current_clock().jump(LIMITS.head_timeout + 1.0)
            setup.server.check_connections(trio.current_time())
            self.assertTrue(
                (await stream.receive_some(100)).startswith(b"HTTP/1.1 200")
            )
            nursery.cancel_scope.cancel()

    @params(
        # (first request, close of the connection, whether later requests arrive before
        # it, targets that run, requests that are refused)
        (CLOSING_REQUEST, close_by_itself, False, [b"/1"], 0),
        (KEPT_REQUEST, stop_reading, False, [b"/1"], 0),
        (KEPT_REQUEST, expire_connections, False, [b"/1"], 0),
        (KEPT_REQUEST, stop_reading, True, [b"/1"], 1),
        (KEPT_REQUEST, expire_connections, True, [b"/1", b"/2", b"/2"], 0),
    )
    def test_answer_on_its_way_survives_unread_input(
        self, request, close, before, targets, refused
    ):
        """Guards against answers cut by a reset, and requests read but not answered."""
        self.check_answer_on_its_way(request, close, before, targets, refused)

    @on_real_clock
    async def check_answer_on_its_way(self, request, close, before, targets, refused):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            started = []

            async def handle(request):
                started.append(request.target)
                if request_is_last:
                    send_now(stream, LATER_REQUESTS)
                return HttpResponse(200, [], SLOWLY_READ_BODY)

            request_is_last = request is CLOSING_REQUEST
            setup.server.handler = handle
            await setup.start(nursery)
            stream = await connect_slow_reader(setup)
            await stream.send_all(request)
            await trio.sleep(0.1)
            if not request_is_last:
                self.assertFalse(setup.server.is_busy)
                # No task reads these before the close is decided.
                if before:
                    send_now(stream, LATER_REQUESTS)
                close(setup.server)
                if not before:
                    send_now(stream, LATER_REQUESTS)
            answers = split_answers(await read_slowly(stream))
            bodies = [part.partition(b"\r\n\r\n")[2] for part in answers]
            served = len(targets)
            self.assertEqual(bodies[:served], [SLOWLY_READ_BODY] * served)
            self.assertEqual(started, targets)
            self.assertEqual(len(answers), served + refused)
            for refusal in answers[served:]:
                self.assertTrue(refusal.startswith(b"503"), refusal)
                self.assertIn(b"catkinpost-outcome: not-run", refusal)
                self.assertIn(b"connection: close", refusal)
            nursery.cancel_scope.cancel()

    @params(
        # (request that has arrived, whether memory is bounded, statuses)
        (KEPT_REQUEST, False, [200]),
        (KEPT_REQUEST + b"GET /2 HT", False, [200]),
        (b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nall", True, [200]),
        (b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf", True, [503]),
        (b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf", False, []),
        (b"nonsense\r\n\r\n", False, [400]),
        (b"GET /half", False, []),
    )
    def test_request_that_arrives_when_reading_stops(self, sent, has_memory, statuses):
        self.check_arrival_at_stop(sent, has_memory, statuses)

    @on_mock_clock(io=True)
    async def check_arrival_at_stop(self, sent, has_memory, statuses):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            if has_memory:
                setup.server.memory = RequestMemory(100_000, DecisionLog())
            await setup.start(nursery)
            stream = await setup.connect()
            await trio.sleep(0.5)
            send_now(stream, sent)
            setup.server.stop_reading()
            # The process must not end before the request is answered.
            self.assertTrue(setup.server.is_busy)
            answers = split_answers(await read_all(stream))
            self.assertEqual([int(answer[:3]) for answer in answers], statuses)
            self.assertEqual(
                sum(b"connection: close" in answer for answer in answers), len(statuses)
            )
            await trio.sleep(0.5)
            self.assertFalse(setup.server.is_busy)
            nursery.cancel_scope.cancel()

    @params(
        (KEPT_REQUEST, [200]), (b"nonsense\r\n\r\n", [400]), (b"GET /", []), (b"", [])
    )
    def test_request_that_waits_to_be_accepted_when_reading_stops(self, sent, statuses):
        """Guards against a reset of connections that the kernel has completed."""
        self.check_wait_to_be_accepted(sent, statuses)

    @on_mock_clock(io=True)
    async def check_wait_to_be_accepted(self, sent, statuses):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            await setup.start(nursery)
            await trio.sleep(0.5)
            # No task runs until the stop.
            callers = [socket.create_connection((HOST, setup.port)) for _ in range(9)]
            for caller in callers:
                caller.send(sent)
            await setup.acceptor.stop()
            setup.server.stop_reading()
            self.assertTrue(setup.server.is_busy)
            for caller in callers:
                caller.setblocking(False)
                stream = trio.SocketStream(trio.socket.from_stdlib_socket(caller))
                answers = split_answers(await read_all(stream))
                self.assertEqual([int(answer[:3]) for answer in answers], statuses)
                await stream.aclose()
            await trio.sleep(0.5)
            self.assertFalse(setup.server.is_busy)
            nursery.cancel_scope.cancel()

    @params(
        # (request that comes late, whether memory is bounded)
        (KEPT_REQUEST, False),
        (KEPT_REQUEST * 3, False),
        (b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nall", True),
        (b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf", True),
        (b"HEAD / HTTP/1.1\r\n\r\n", False),
    )
    def test_late_request_is_refused_and_not_handled(self, sent, has_memory):
        self.check_refusal(sent, has_memory)

    @on_mock_clock(io=True)
    async def check_refusal(self, sent, has_memory):
        handled = []

        async def handle(request):
            handled.append(request)
            return HttpResponse(200)

        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            server = setup.server
            server.handler = handle
            if has_memory:
                server.memory = RequestMemory(100_000, DecisionLog())
            await setup.start(nursery)
            stream = await setup.connect()
            await trio.sleep(0.5)
            server.refuse_requests()
            send_now(stream, sent)
            for _ in range(20):
                # Callers that never stop must not count as work that is waited for.
                self.assertFalse(server.is_handling)
                await trio.sleep(0)
            answer = await read_all(stream)
            self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)
            self.assertIn(b"connection: close", answer)
            self.assertIn(b"retry-after", answer)
            self.assertIn(b"catkinpost-outcome: not-run", answer)
            self.assertEqual(len(split_answers(answer)), 1)
            self.assertEqual((handled, server.refused_requests), ([], 1))
            if has_memory:
                self.assertEqual(server.memory.used_bytes, 0)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_late_request_behind_one_at_work_waits_for_its_turn(self):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            setup.release = trio.Event()
            await setup.start(nursery)
            stream = await setup.connect()
            await stream.send_all(KEPT_REQUEST)
            await trio.sleep(0.5)
            setup.server.refuse_requests()
            await stream.send_all(LATER_REQUESTS)
            await trio.sleep(0.5)
            self.assertTrue(setup.server.is_handling)
            setup.release.set()
            data = await read_all(stream)
            statuses = [int(answer[:3]) for answer in split_answers(data)]
            self.assertEqual(statuses, [200, 503])
            self.assertLess(data.index(b"503"), data.index(b"connection: close"))
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_refusal_survives_a_body_that_is_still_arriving(self):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            await setup.start(nursery)
            stream = await setup.connect()
            await stream.send_all(b"POST / HTTP/1.1\r\nContent-Length: 99999\r\n\r\n")
            for _ in range(20):
                await stream.send_all(b"x" * 1000)
                await trio.sleep(0.05)
            answer = await read_all(stream)
            self.assertTrue(answer.startswith(b"HTTP/1.1 413"), answer)
            self.assertEqual(len(setup.reported_failures), 1)
            nursery.cancel_scope.cancel()

    @params(b"", b"GET /2 HTTP/1.1\r\n\r\n")
    def test_caller_that_never_closes_is_closed(self, sent):
        self.check_caller_that_never_closes(sent)

    @on_mock_clock(io=True)
    async def check_caller_that_never_closes(self, sent):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            await setup.start(nursery)
            stream = await setup.connect()
            await stream.send_all(CLOSING_REQUEST)
            data = await read_all(stream)
            await stream.send_all(sent)
            await trio.sleep(0.2)
            self.assertEqual(data.count(b"HTTP/1.1 200"), 1)
            self.assertEqual(len(setup.server.lingers), 1)
            self.assertFalse(setup.server.is_busy)
            await trio.sleep(LINGER_TIMEOUT_S)
            self.assertFalse(setup.server.lingers)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_room_is_made_by_connections_on_which_nothing_is_due(self):
        """Guards against callers that nobody answers, as descriptors have run out."""
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            setup.release = trio.Event()
            await setup.start(nursery)
            idle = await setup.connect()
            await trio.sleep(0.1)
            later = await setup.connect()
            busy = await setup.connect()
            await busy.send_all(KEPT_REQUEST)
            await trio.sleep(1.0)
            new = await setup.connect()
            await trio.sleep(0.1)
            with mock.patch.object(caller_room, "MAX_CLOSED_AT_ONCE", 1):
                self.assertEqual(setup.server.make_room(), 1)
                self.assertEqual(await read_all(idle), b"")
                self.assertEqual(setup.server.make_room(), 1)
                self.assertEqual(await read_all(later), b"")
                self.assertEqual(setup.server.make_room(), 0)
            setup.release.set()
            await new.send_all(CLOSING_REQUEST)
            await read_all(new)
            # An answered connection awaits the close of its caller.
            self.assertEqual(len(setup.server.lingers), 1)
            self.assertEqual(setup.server.make_room(), 1)
            await trio.sleep(0.1)
            self.assertEqual(len(setup.server.lingers), 0)
            self.assertTrue((await busy.receive_some(100)).startswith(b"HTTP/1.1 200"))
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_room_is_made_by_the_callers_that_had_most_time_to_close(self):
        """Guards against answers cut by a reset, as all callers are closed for one."""
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            await setup.start(nursery)
            callers = [await setup.connect() for _ in range(3)]
            for caller in callers:
                await caller.send_all(CLOSING_REQUEST)
                await trio.sleep(0.1)
            expected = sorted(item.begun_at for item in setup.server.lingers)[1:]
            with mock.patch.object(caller_room, "MAX_CLOSED_AT_ONCE", 1):
                self.assertEqual(setup.server.make_room(), 1)
            await trio.sleep(0.1)
            kept = sorted(item.begun_at for item in setup.server.lingers)
            self.assertEqual(kept, expected)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_room_is_made_by_requests_that_do_not_come(self):
        """Guards against callers that nobody answers beside unfinished requests."""
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            await setup.start(nursery)
            setup.server.memory = RequestMemory(100_000, DecisionLog())
            setup.server.limits = dataclasses.replace(LIMITS, max_body_bytes=80_000)
            slow, recent = await setup.connect(), await setup.connect()
            uploading = await setup.connect()
            await uploading.send_all(WAITING_REQUEST[:-1])
            await slow.send_all(KEPT_REQUEST[:-2])
            await trio.sleep(MIN_UNREAD_S + 0.1)
            await recent.send_all(KEPT_REQUEST[:-2])
            await trio.sleep(0.1)
            self.assertEqual(setup.server.make_room(), 1)
            self.assertEqual(setup.server.make_room(), 0)
            refusal = await read_all(slow)
            self.assertTrue(refusal.startswith(b"HTTP/1.1 503"), refusal)
            self.assertIn(b"catkinpost-outcome: not-run", refusal)
            await recent.send_all(b"\r\n")
            await uploading.send_all(b"x")
            for stream in (recent, uploading):
                answer = await stream.receive_some(100)
                self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_room_is_made_by_callers_that_take_nothing(self):
        """Guards against callers that nobody answers beside unread answers."""
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            setup.server.handler = respond_with(LARGE_BODY)
            await setup.start(nursery)
            stalled = await connect_slow_reader(setup)
            reading = await connect_slow_reader(setup)
            for stream in (stalled, reading):
                await stream.send_all(CLOSING_REQUEST)
            # The system may take some more meanwhile.
            await trio.sleep(2 * STALL_TIMEOUT_S)
            data = b""
            while len(data) < len(LARGE_BODY) / 2:
                data += await reading.receive_some(65536)
            await trio.sleep(0.1)
            self.assertEqual(setup.server.make_room(), 1)
            self.assertEqual(setup.server.make_room(), 0)
            self.assertTrue((data + await read_all(reading)).endswith(LARGE_BODY))
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_number_of_connections_may_be_bounded(self):
        """Guards against probes that nobody answers beside idle connections."""
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            setup.server.gate.max_connections = 4
            await setup.start(nursery)
            setup.acceptor.make_room = setup.server.make_room
            idle = [await setup.connect() for _ in range(20)]
            stream = await setup.connect()
            await stream.send_all(CLOSING_REQUEST)
            answer = await read_all(stream)
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
            self.assertLessEqual(setup.server.count_connections(), 4)
            self.assertEqual(await read_all(idle[0]), b"")
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_idle_connections_leave_descriptors_for_the_backend_server(self):
        """Guards against refusals as idle callers hold all descriptors."""
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            setup.release = trio.Event()
            await setup.start(nursery)
            client = BackendClient(HOST, setup.port, limits=LIMITS)
            idle = [await setup.connect() for _ in range(20)]
            busy = await setup.connect()
            await busy.send_all(KEPT_REQUEST)
            await trio.sleep(0.1)
            with no_free_descriptors():
                self.assertIsInstance(await client.connect(), Failure)
                await trio.sleep(0.5)
                connected = await client.connect()
            self.assertNotIsInstance(connected, Failure)
            await trio.aclose_forcefully(connected)
            self.assertEqual(await read_all(idle[0]), b"")
            setup.release.set()
            self.assertTrue((await busy.receive_some(100)).startswith(b"HTTP/1.1 200"))
            nursery.cancel_scope.cancel()

    @params(
        # (seconds of a run, whether each caller is served)
        (30.0, False),
        (0.02, True),
    )
    def test_callers_beyond_the_descriptors_are_answered(self, run_s, are_served):
        """Guards against callers that nobody answers as work holds all descriptors."""
        self.check_callers_beyond(run_s, are_served)

    @on_mock_clock(io=True)
    async def check_callers_beyond(self, run_s, are_served):
        setup, answers, handled = ServerSetup(), [], []

        async def handle(request):
            handled.append(request)
            await trio.sleep(run_s)
            return HttpResponse(200, [], b"served")

        async def call(stream):
            await stream.socket.connect((HOST, setup.port))
            await stream.send_all(KEPT_REQUEST)
            answers.append(await stream.receive_some(1000))
            if b"connection: close" in answers[-1]:
                await stream.aclose()

        async with trio.open_nursery() as nursery:
            setup.server.handler = handle
            await setup.start(nursery)
            client = BackendClient(HOST, setup.port, limits=LIMITS)
            streams = [trio.SocketStream(trio.socket.socket()) for _ in range(60)]
            with descriptors_left(48):
                for stream in streams:
                    nursery.start_soon(call, stream)
                await trio.sleep(1.0)
                connected = await client.connect()
                self.assertNotIsInstance(connected, Failure)
                await trio.aclose_forcefully(connected)
                await trio.sleep(max(1.0, run_s))
            self.assertEqual(len(answers), 60)
            refused = [item for item in answers if item.startswith(b"HTTP/1.1 503")]
            for answer in refused:
                self.assertIn(b"connection: close", answer)
                self.assertIn(b"retry-after", answer)
            if are_served:
                self.assertEqual(refused, [])
            else:
                self.assertEqual(len(refused), 60 - len(handled))
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_callers_that_wait_for_room_are_refused_at_a_stop(self):
        """Guards against requests that are reset unread as the listener closes."""
        setup, answers = ServerSetup(), []
        setup.release = trio.Event()

        async def call(stream):
            await stream.socket.connect((HOST, setup.port))
            await stream.send_all(KEPT_REQUEST)
            answers.append(await stream.receive_some(1000))
            await stream.aclose()

        async with trio.open_nursery() as nursery:
            await setup.start(nursery)
            streams = [trio.SocketStream(trio.socket.socket()) for _ in range(40)]
            with descriptors_left(48):
                for stream in streams:
                    nursery.start_soon(call, stream)
                await trio.sleep(0.1)
                self.assertTrue(setup.server.gate.is_short)
                setup.server.refuse_requests()
                await setup.acceptor.stop()
                setup.server.stop_reading()
                await trio.sleep(1.0)
            refused = len(answers)
            setup.release.set()
            await trio.sleep(1.0)
            self.assertEqual(len(answers), 40)
            self.assertGreater(refused, 0)
            for answer in answers:
                self.assertIn(b"connection: close", answer)
            nursery.cancel_scope.cancel()

    @params(
        # (request, seconds for which its caller takes nothing, whether it gets all)
        (KEPT_REQUEST, 3.0, True),
        (KEPT_REQUEST, 6.0, False),
        (CLOSING_REQUEST, 3.0, True),
        (CLOSING_REQUEST, 6.0, False),
    )
    def test_answer_outlasts_a_short_idle_timeout(self, request, seconds, is_whole):
        """Guards against an answer cut while its caller reads small ones before it."""
        self.check_stalled_answer(request, seconds, is_whole)

    @on_mock_clock(io=True)
    async def check_stalled_answer(self, request, seconds, is_whole):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            setup.server.limits = dataclasses.replace(
                LIMITS, idle_timeout=1.0, stall_timeout=4.0
            )
            setup.server.handler = respond_with(LARGE_BODY)
            await setup.start(nursery)
            stream = await connect_slow_reader(setup)
            await stream.send_all(request)
            await trio.sleep(seconds)
            data = bytearray()
            with contextlib.suppress(trio.BrokenResourceError):
                await receive_up_to(stream, data, math.inf)
            self.assertEqual(data.endswith(LARGE_BODY), is_whole)
            nursery.cancel_scope.cancel()

    @params(
        # (request, bytes that the caller takes a second, whether it gets all of them)
        (KEPT_REQUEST, 100_000, True),
        (KEPT_REQUEST, 0, False),
        (CLOSING_REQUEST, 100_000, True),
        (CLOSING_REQUEST, 0, False),
    )
    def test_answer_that_makes_progress_outlasts_the_idle_timeout(
        self, request, step, is_whole
    ):
        """Guards against answers that are cut while a slow caller reads them."""
        self.check_slow_answer(request, step, is_whole)

    @on_mock_clock(io=True)
    async def check_slow_answer(self, request, step, is_whole):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            body = LARGE_BODY * 4
            setup.server.handler = respond_with(body)
            await setup.start(nursery)
            stream = await connect_slow_reader(setup)
            await stream.send_all(request)
            data = bytearray()
            with contextlib.suppress(trio.BrokenResourceError):
                for _ in range(int(2 * LIMITS.idle_timeout) + 1):
                    await trio.sleep(1.0)
                    await receive_up_to(stream, data, len(data) + step)
                await receive_up_to(stream, data, math.inf)
            self.assertIs(data.endswith(body), is_whole)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_answer_being_taken_outlasts_a_pause_of_the_process(self):
        """Guards against a pause that counts as one of the slow caller."""
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            body = LARGE_BODY * 4
            setup.server.handler = respond_with(body)
            await setup.start(nursery)
            stream = await connect_slow_reader(setup)
            await trio.sleep(1.0)
            await stream.send_all(KEPT_REQUEST)
            await wait_for_phase(setup, Phase.SENDING)
            data = bytearray()
            trio.lowlevel.current_clock().jump(3 * LIMITS.idle_timeout)
            # The check comes before the task that sends can go on.
            setup.server.check_connections(trio.current_time())
            with contextlib.suppress(trio.BrokenResourceError):
                await receive_up_to(stream, data, len(body) + 1)
            self.assertTrue(data.endswith(body))
            nursery.cancel_scope.cancel()

    @params((4.0, 1.0), (1.0, 4.0))
    def test_answer_being_taken_outlasts_a_changed_idle_timeout(
        self, earlier_s, later_s
    ):
        """Guards against a configuration that cuts the answers of slow callers."""
        self.check_slow_answer_in_change(earlier_s, later_s)

    @on_mock_clock(io=True)
    async def check_slow_answer_in_change(self, earlier_s, later_s):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            body = LARGE_BODY * 4
            setup.server.handler = respond_with(body)
            limits = dataclasses.replace(LIMITS, idle_timeout=earlier_s)
            setup.server.limits = limits
            await setup.start(nursery)
            stream = await connect_slow_reader(setup)
            await stream.send_all(KEPT_REQUEST)
            await trio.sleep(0.5)
            setup.server.limits = dataclasses.replace(limits, idle_timeout=later_s)
            await trio.sleep(0.5 * max(earlier_s, later_s))
            data = bytearray()
            with contextlib.suppress(trio.BrokenResourceError):
                await receive_up_to(stream, data, len(body) + 1)
            self.assertTrue(data.endswith(body))
            nursery.cancel_scope.cancel()

    @params(stop_reading, close_by_itself)
    def test_server_is_busy_until_its_caller_has_the_answer(self, close):
        self.check_busy_until_delivered(close)

    @on_real_clock
    async def check_busy_until_delivered(self, close):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            started = trio.Event()

            async def handle(request):
                started.set()
                return HttpResponse(200, [], SLOWLY_READ_BODY)

            setup.server.handler = handle
            await setup.start(nursery)
            stream = await connect_slow_reader(setup)
            is_kept = close is stop_reading
            await stream.send_all(KEPT_REQUEST if is_kept else CLOSING_REQUEST)
            await started.wait()
            await trio.sleep(0.1)
            close(setup.server)
            self.assertTrue(setup.server.is_busy)
            await trio.sleep(1.0)
            self.assertTrue(setup.server.is_busy)
            data = await read_slowly(stream)
            self.assertTrue(data.endswith(SLOWLY_READ_BODY))
            with trio.fail_after(LINGER_TIMEOUT_S / 2):
                while setup.server.is_busy:
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_request_is_cancelled_when_its_caller_leaves(self):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            setup.release = trio.Event()
            await setup.start(nursery)
            stream = await setup.connect()
            await stream.send_all(b"GET / HTTP/1.1\r\n\r\n")
            await trio.sleep(1.0)
            await stream.aclose()
            await trio.sleep(1.0)
            self.assertEqual(setup.cancelled_count, 1)
            self.assertFalse(setup.server.connections)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_check_while_a_broken_connection_is_being_closed(self):
        """Guards against a process that ends because a check meets a closed socket."""
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            setup.release = trio.Event()
            await setup.start(nursery)
            stream = await setup.connect()
            await stream.send_all(b"GET / HTTP/1.1\r\n\r\n")
            while not setup.server.is_busy:
                await trio.sleep(0)
            (connection,) = setup.server.connections
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            await trio.aclose_forcefully(stream)
            setup.release.set()
            while connection.stream.socket.fileno() >= 0:
                await trio.sleep(0)
            setup.server.check_connections(trio.current_time())
            self.assertEqual(setup.server.connections, set())
            nursery.cancel_scope.cancel()

    @params(*range(6))
    def test_connections_that_end_at_random_meet_a_check_at_every_step(self, seed):
        self.check_random_ends(random.Random(seed))

    @on_mock_clock(io=True)
    async def check_random_ends(self, rng):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            setup.server.handler = functools.partial(respond_after_steps, rng)
            await setup.start(nursery)
            nursery.start_soon(check_at_every_step, setup.server)
            async with trio.open_nursery() as callers:
                for _ in range(8):
                    callers.start_soon(call_and_end, setup, rng)
            while setup.server.connections:
                await trio.sleep(0)
            self.assertEqual(setup.reported_failures, [])
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_leaving_server_answers_and_then_closes(self):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            setup.server.leaving = True
            await setup.start(nursery)
            stream = await setup.connect()
            await stream.send_all(b"GET /last HTTP/1.1\r\n\r\n")
            answer = await read_all(stream)
            self.assertIn(b"/last", answer)
            self.assertIn(b"connection: close", answer)
            nursery.cancel_scope.cancel()

    @params(
        stop_reading,
        expire_connections,
        HttpServer.make_room,
    )
    def test_idle_connection_is_closed_in_the_step_that_decides_it(self, close):
        """Guards against a request that arrives before the task of the close runs."""
        self.check_close_in_step(close)

    @on_mock_clock(io=True)
    async def check_close_in_step(self, close):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            await setup.start(nursery)
            caller = await setup.connect()
            await trio.sleep(MIN_IDLE_S + 0.1)
            await wait_all_tasks_blocked()
            close(setup.server)
            self.assertTrue(caller.socket.is_readable())
            self.assertEqual(await caller.receive_some(1), b"")
            nursery.cancel_scope.cancel()

    @params(
        # (bytes sent before stop_reading, expected response bodies)
        (b"", []),
        (b"GET /half HTTP/1.1\r\n", []),
        (b"GET /1 HTTP/1.1\r\n\r\n", [b"/1 "]),
        (b"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n", [b"/1 ", b"/2 "]),
    )
    def test_request_after_stop_reading_does_not_run(self, sent, expected_bodies):
        self.check_stop_reading(sent, expected_bodies)

    @on_mock_clock(io=True)
    async def test_connection_accepted_as_reading_stops_is_not_read(self):
        setup = ServerSetup()
        ours, theirs = (trio.SocketStream(end) for end in trio.socket.socketpair())
        await theirs.send_all(b"GET /crossing HTTP/1.1\r\n\r\n")
        async with trio.open_nursery() as nursery:
            # Accepted, but its task has not run yet.
            nursery.start_soon(setup.server.serve_connection, ours)
            setup.server.stop_reading()
        self.assertNotIn(b"/crossing", await receive_or_nothing(theirs))

    @on_mock_clock(io=True)
    async def check_stop_reading(self, sent, expected_bodies):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            setup.release = trio.Event()
            await setup.start(nursery)
            stream = await setup.connect()
            await stream.send_all(sent)
            await trio.sleep(0.5)
            setup.server.stop_reading()
            if expected_bodies:
                # Later requests are neither read nor run.
                await stream.send_all(b"GET /later HTTP/1.1\r\n\r\n")
                await trio.sleep(0.5)
            setup.release.set()
            data = await read_all(stream)
            for number, body in enumerate(expected_bodies, start=1):
                self.assertIn(body, data.split(b"\r\n\r\n")[number])
            self.assertEqual(data.count(b"HTTP/1.1 200"), len(expected_bodies))
            await trio.sleep(0.5)
            self.assertFalse(setup.server.is_busy)
            nursery.cancel_scope.cancel()

    @params(
        # (bytes sent before stop_reading, target of the answer being sent, answers)
        (KEPT_REQUEST, b"/1", 1),
        (KEPT_REQUEST + b"GET /2 HT", b"/1", 1),
        (KEPT_REQUEST + LATER_REQUESTS, b"/1", 3),
        (LATER_REQUESTS + KEPT_REQUEST, b"/1", 3),
    )
    def test_kept_connection_is_closed_behind_the_answer_being_sent(
        self, sent, large_target, answer_count
    ):
        self.check_stop_while_sending(sent, large_target, answer_count)

    @on_mock_clock(io=True)
    async def check_stop_while_sending(self, sent, large_target, answer_count):
        setup = ServerSetup()
        ours, theirs = (trio.SocketStream(end) for end in trio.socket.socketpair())

        async def handle(request):
            is_large = request.target == large_target
            return HttpResponse(200, [], LARGE_BODY if is_large else b"small")

        setup.server.handler = handle
        async with trio.open_nursery() as nursery:
            nursery.start_soon(setup.server.watch_connections)
            nursery.start_soon(setup.server.serve_connection, ours)
            await theirs.send_all(sent)
            await trio.sleep(0.5)
            setup.server.stop_reading()
            data = b""
            while LARGE_BODY not in data:
                data += await theirs.receive_some(len(LARGE_BODY))
            await theirs.send_all(b"GET /later HTTP/1.1\r\n\r\n")
            with trio.fail_after(0.5):
                data += await read_all(theirs)
            self.assertEqual(data.count(b"HTTP/1.1 200"), answer_count)
            await trio.sleep(0.1)
            self.assertFalse(setup.server.is_busy)
            nursery.cancel_scope.cancel()

    @params(
        # (earlier requests on the connection, seconds until they are answered)
        (0, 0.0),
        (1, 0.0),
        (1, 0.4),
        (1, 0.9),
        (2, 0.9),
    )
    def test_request_that_waits_for_memory_as_reading_stops_is_refused(
        self, earlier_count, answer_s
    ):
        self.check_memory_wait_at_stop(earlier_count, answer_s)

    @on_mock_clock(io=True)
    async def check_memory_wait_at_stop(self, earlier_count, answer_s):
        handled = []

        async def handle(request):
            handled.append(request.target)
            await trio.sleep(answer_s)
            return HttpResponse(200, [], b"")

        memory = RequestMemory(100_000, DecisionLog())
        server = HttpServer(
            handle, limits=HttpLimits(), report_failure=[].append, memory=memory
        )
        held = memory.reserve_now(90_000)
        ours, theirs = (trio.SocketStream(end) for end in trio.socket.socketpair())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.watch_connections)
            nursery.start_soon(server.serve_connection, ours)
            await theirs.send_all(KEPT_REQUEST * earlier_count + WAITING_REQUEST)
            # The notice of a stop comes before the end of reading.
            await trio.sleep(0.2)
            server.leaving = True
            await trio.sleep(0.4)
            server.stop_reading()
            with trio.fail_after(0.5):
                data = await read_all(theirs)
            await theirs.aclose()
            nursery.cancel_scope.cancel()
        self.assertEqual(handled, [b"/1"] * earlier_count)
        answers = data.split(b"HTTP/1.1 ")[1:]
        statuses = [answer[:3] for answer in answers]
        self.assertEqual(statuses, [b"200"] * earlier_count + [b"503"])
        self.assertIn(b"catkinpost-outcome: not-run", answers[-1])
        self.assertEqual(data.count(b"connection: close"), 1)
        held.release()
        self.assertEqual((memory.used_bytes, len(memory.waiters)), (0, 0))

    @on_mock_clock(io=True)
    async def test_server_is_busy_until_the_answer_is_sent(self):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            setup.release = trio.Event()
            await setup.start(nursery)
            stream = await setup.connect()
            await stream.send_all(b"GET /")
            await trio.sleep(0.5)
            self.assertTrue(setup.server.is_busy)
            await stream.send_all(b"x HTTP/1.1\r\n\r\n")
            await trio.sleep(0.5)
            self.assertTrue(setup.server.is_busy)
            setup.release.set()
            await stream.receive_some(1000)
            await trio.sleep(0.5)
            self.assertFalse(setup.server.is_busy)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_expected_continue_is_sent(self):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            await setup.start(nursery)
            stream = await setup.connect()
            await stream.send_all(
                b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n"
            )
            self.assertIn(b"100 Continue", await stream.receive_some(100))
            await stream.send_all(b"x")
            self.assertIn(b"200 OK", await stream.receive_some(1000))
            nursery.cancel_scope.cancel()

    @params(
        # (earlier requests, bytes of each of their answers, whether the server leaves)
        (1, 1, False),
        (1, len(LARGE_BODY), False),
        (3, len(LARGE_BODY), False),
        (http_server.MAX_PIPELINED_REQUESTS + 1, 1, False),
        (1, 1, True),
    )
    def test_expected_continue_is_sent_behind_earlier_answers(self, *case):
        """Guards against callers that wait with a body until they are refused as slow,
        and against interim responses inside or ahead of earlier answers.
        """
        self.check_continue_behind(*case)

    @on_mock_clock(io=True)
    async def check_continue_behind(self, count, size, leaving):
        release = trio.Event()

        async def handle(request):
            await release.wait()
            return HttpResponse(200, [], b"x" * size)

        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            setup.server.handler = handle
            await setup.start(nursery)
            stream = await connect_slow_reader(setup)
            head = (
                b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n"
            )
            await stream.send_all(KEPT_REQUEST * count + head)
            with trio.move_on_after(0.5):
                self.fail(await stream.receive_some(1))
            setup.server.leaving = leaving
            release.set()
            data = b""
            with trio.move_on_after(LIMITS.head_timeout / 2):
                while piece := await stream.receive_some(65536):
                    data += piece
            *answers, last = split_answers(data)
            if leaving:
                self.assertIn(b"connection: close", last)
            else:
                self.assertEqual(last, b"100 Continue\r\n\r\n")
                self.assertEqual([item[:3] for item in answers], [b"200"] * count)
                await stream.send_all(b"x")
                self.assertIn(b"200 OK", await stream.receive_some(1000))
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_requests_behind_each_other_run_side_by_side(self):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            setup.release = trio.Event()
            running = []
            handle = setup.handle

            async def count(request):
                running.append(request.target)
                return await handle(request)

            setup.server.handler = count
            await setup.start(nursery)
            stream = await setup.connect()
            await stream.send_all(b"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n")
            await trio.sleep(0.5)
            self.assertEqual(sorted(running), [b"/1", b"/2"])
            setup.release.set()
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_answer_that_is_ready_early_waits_for_its_turn(self):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()

            async def slow_first(request):
                await trio.sleep(5.0 if request.target == b"/slow" else 0)
                return HttpResponse(200, [], request.target)

            setup.server.handler = slow_first
            await setup.start(nursery)
            stream = await setup.connect()
            await stream.send_all(
                b"GET /slow HTTP/1.1\r\n\r\n"
                b"GET /fast HTTP/1.1\r\nConnection: close\r\n\r\n"
            )
            data = await read_all(stream)
            self.assertLess(data.index(b"/slow"), data.index(b"/fast"))
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_caller_that_leaves_behind_several_requests_cancels_them_all(self):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            setup.release = trio.Event()
            await setup.start(nursery)
            stream = await setup.connect()
            await stream.send_all(b"GET /1 HTTP/1.1\r\n\r\n" * 3)
            await trio.sleep(0.2)
            await stream.aclose()
            await trio.sleep(0.2)
            self.assertEqual(setup.cancelled_count, 3)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_leaving_server_closes_behind_the_last_answer_only(self):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            setup.release = trio.Event()
            await setup.start(nursery)
            stream = await setup.connect()
            await stream.send_all(b"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n")
            await trio.sleep(0.2)
            setup.server.leaving = True
            setup.release.set()
            data = await read_all(stream)
            self.assertEqual(data.count(b"HTTP/1.1 200"), 2)
            self.assertEqual(data.count(b"connection: close"), 1)
            self.assertLess(data.index(b"/1"), data.index(b"connection: close"))
            nursery.cancel_scope.cancel()

    @params(
        # (answer before the stop, whether it is sent by then, answers, refused)
        (b"small", False, 1, 0),
        (LARGE_BODY, True, 2, 1),
        (SLOWLY_READ_BODY, True, 2, 1),
    )
    def test_leaving_server_begins_nothing_behind_an_answer_to_be_taken(
        self, body, is_sent, answers, refused
    ):
        """Guards against runs whose answers a slow caller can't take before the end."""
        self.check_request_behind_answer(body, is_sent, answers, refused)

    @on_real_clock
    async def check_request_behind_answer(self, body, is_sent, answers, refused):
        begun = []
        first_begun, release = trio.Event(), trio.Event()

        async def handle(request):
            begun.append(request.target)
            first_begun.set()
            await release.wait()
            return HttpResponse(200, [], body)

        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            setup.server.handler = handle
            await setup.start(nursery)
            stream = await connect_slow_reader(setup)
            await stream.send_all(KEPT_REQUEST)
            await first_begun.wait()
            if is_sent:
                release.set()
                await trio.sleep(0.1)
            setup.server.leaving = True
            await stream.send_all(LATER_REQUESTS)
            await trio.sleep(2 * http_server.CONNECTION_CHECK_INTERVAL_S)
            release.set()
            data = await read_slowly(stream)
            self.assertEqual(begun, [b"/1"])
            statuses = [int(answer[:3]) for answer in split_answers(data)]
            self.assertEqual(statuses, [200, 503][:answers])
            self.assertEqual(data.count(body), 1)
            self.assertEqual(data.count(b"connection: close"), 1)
            self.assertIn(b"connection: close", split_answers(data)[-1])
            self.assertEqual(setup.server.refused_requests, refused)
            nursery.cancel_scope.cancel()

    @params(
        # (seconds left in which callers may take their answers, status)
        (1.0, 503),
        (1000.0, 200),
    )
    def test_leaving_server_refuses_what_a_slow_caller_would_not_get_whole(self, *case):
        """Guards against an answer that is cut at the end of a stop, although earlier
        answers on its connection show how long its caller takes.
        """
        self.check_slow_caller(*case)

    @on_mock_clock(io=True)
    async def check_slow_caller(self, left_s, status):
        answer_times = []

        async def handle(request):
            answer_times.append(request.answer_by)
            return HttpResponse(200, [], PACED_BODY)

        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            setup.server.handler = handle
            await setup.start(nursery)
            stream = await connect_slow_reader(setup)
            await stream.send_all(KEPT_REQUEST)
            data = b""
            while not data.endswith(PACED_BODY):
                data += await stream.receive_some(65536)
                await trio.sleep(PACED_READ_GAP_S)
            setup.server.leaving = True
            setup.server.deliver_by = trio.current_time() + left_s
            await stream.send_all(KEPT_REQUEST)
            answer = await read_all(stream)
            self.assertEqual(int(answer.split()[1]), status)
            self.assertIn(b"connection: close", answer)
            self.assertEqual(setup.server.refused_requests, int(status == 503))
            self.assertEqual(answer_times.pop(0), math.inf)
            for answer_by in answer_times:
                delivery_s = setup.server.deliver_by - answer_by
                self.assertGreater(delivery_s, 1.0)
            self.assertEqual(len(answer_times), int(status == 200))
            nursery.cancel_scope.cancel()

    @on_real_clock
    async def test_nothing_begins_behind_an_answer_that_its_caller_does_not_take(self):
        """Guards against runs ahead of a slow caller, lost when its connection ends."""
        begun = []

        async def handle(request):
            begun.append(request)
            return HttpResponse(200, [], LARGE_BODY)

        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            setup.server.handler = handle
            await setup.start(nursery)
            stream = await connect_slow_reader(setup)
            await stream.send_all(KEPT_REQUEST)
            await trio.sleep(2 * http_server.CONNECTION_CHECK_INTERVAL_S)
            await stream.send_all(LATER_REQUESTS + CLOSING_REQUEST)
            await trio.sleep(2 * http_server.CONNECTION_CHECK_INTERVAL_S)
            self.assertEqual([request.target for request in begun], [b"/1"])
            data = await read_slowly(stream)
            self.assertEqual(data.count(LARGE_BODY), 4)
            self.assertEqual(begun[0].waited_s, 0.0)
            for request in begun[1:]:
                self.assertGreater(
                    request.waited_s, http_server.CONNECTION_CHECK_INTERVAL_S
                )
            nursery.cancel_scope.cancel()

    @params("stop", "caller closes")
    def test_request_that_waits_for_its_caller_does_not_run(self, end):
        self.check_end_of_waiting_request(end)

    @on_real_clock
    async def check_end_of_waiting_request(self, end):
        begun = []

        async def handle(request):
            begun.append(request.target)
            return HttpResponse(200, [], LARGE_BODY)

        memory = RequestMemory(1_000_000, DecisionLog())
        server = HttpServer(
            handle, limits=HttpLimits(), report_failure=[].append, memory=memory
        )
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            setup.server = server
            await setup.start(nursery)
            stream = await connect_slow_reader(setup)
            await stream.send_all(KEPT_REQUEST)
            await trio.sleep(2 * http_server.CONNECTION_CHECK_INTERVAL_S)
            await stream.send_all(WAITING_REQUEST + KEPT_REQUEST)
            await trio.sleep(2 * http_server.CONNECTION_CHECK_INTERVAL_S)
            self.assertGreater(memory.used_bytes, 0)
            if end == "stop":
                server.leaving = True
                answers = split_answers(await read_slowly(stream))
                statuses = [int(answer[:3]) for answer in answers]
                self.assertEqual(statuses, [200, 503])
                self.assertIn(b"catkinpost-outcome: not-run", answers[-1])
                self.assertIn(b"connection: close", answers[-1])
                self.assertEqual(server.unbegun_requests, 1)
            await stream.aclose()
            with trio.fail_after(1.0):
                while server.connections or server.lingers:
                    await trio.sleep(0.01)
            self.assertEqual((begun, memory.used_bytes), ([b"/1"], 0))
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_close_is_announced_before_a_request_that_waits_for_memory(self):
        """Guards against requests dropped behind an answer that announces no close."""
        memory = RequestMemory(100_000, DecisionLog())
        release = trio.Event()

        async def handle(request):
            await release.wait()
            return HttpResponse(200, [], b"")

        server = HttpServer(
            handle, limits=HttpLimits(), report_failure=[].append, memory=memory
        )
        held = memory.reserve_now(90_000)
        ours, theirs = (trio.SocketStream(end) for end in trio.socket.socketpair())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.watch_connections)
            nursery.start_soon(server.serve_connection, ours)
            await theirs.send_all(KEPT_REQUEST)
            await wait_all_tasks_blocked()
            server.leaving = True
            await theirs.send_all(KEPT_REQUEST + WAITING_REQUEST)
            await trio.sleep(0.5)
            release.set()
            with trio.fail_after(0.5):
                data = await read_all(theirs)
            await theirs.aclose()
            nursery.cancel_scope.cancel()
        self.assertEqual(data.count(b"HTTP/1.1 "), 1)
        self.assertEqual(data.count(b"connection: close"), 1)
        self.assertEqual(server.unbegun_requests, 1)
        held.release()
        self.assertEqual((memory.used_bytes, len(memory.waiters)), (0, 0))

    @on_mock_clock(io=True)
    async def test_leaving_server_serves_callers_that_have_their_answers(self):
        async with trio.open_nursery() as nursery:
            setup = ServerSetup()
            await setup.start(nursery)
            stream = await setup.connect()
            await stream.send_all(KEPT_REQUEST)
            self.assertIn(b"200", await stream.receive_some(1000))
            setup.server.leaving = True
            await stream.send_all(KEPT_REQUEST)
            self.assertIn(b"HTTP/1.1 200", await read_all(stream))
            nursery.cancel_scope.cancel()


class TestAnswerMemory(unittest.TestCase):
    """Guards against a process that is killed over answers that callers don't read."""

    async def start(self, nursery, count):
        """Return callers that have asked for one large answer each, and read nothing.

        :param count: number of answers of which the server may hold all.
        """
        setup = ServerSetup()
        self.memory = AnswerMemory(count * LARGE_ANSWER_BYTES, DecisionLog())
        setup.server.answer_memory = self.memory
        setup.server.handler = self.handle
        await setup.start(nursery)
        self.setup = setup
        streams = []
        for _ in range(count):
            streams.append(await self.call())
        return streams

    async def handle(self, request):
        return HttpResponse(200, [], LARGE_BODY)

    async def call(self):
        stream = await connect_slow_reader(self.setup)
        await stream.send_all(CLOSING_REQUEST)
        await trio.sleep(0.1)
        return stream

    @on_mock_clock(io=True)
    async def test_answer_beyond_the_bound_is_replaced(self):
        async with trio.open_nursery() as nursery:
            streams = await self.start(nursery, 3)
            late = await self.call()
            answer = await read_all(late)
            self.assertTrue(answer.startswith(b"HTTP/1.1 502"), answer)
            self.assertIn(b"catkinpost-outcome: unknown", answer)
            reasons = [failure.reason for failure in self.setup.reported_failures]
            self.assertEqual(reasons, [Reason.ANSWER_MEMORY_FULL])
            for stream in streams:
                self.assertTrue((await read_all(stream)).endswith(LARGE_BODY))
            self.assertEqual(self.memory.used_bytes, 0)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_callers_that_take_nothing_are_closed_for_others(self):
        async with trio.open_nursery() as nursery:
            stalled, reading, *_ = await self.start(nursery, 3)
            await trio.sleep(STALL_TIMEOUT_S)
            data = b""
            while len(data) < len(LARGE_BODY) / 2:
                data += await reading.receive_some(65536)
            late = await self.call()
            self.assertTrue((await read_all(late)).endswith(LARGE_BODY))
            self.assertTrue((data + await read_all(reading)).endswith(LARGE_BODY))
            self.assertLess(len(await read_all(stalled)), len(LARGE_BODY))
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_answers_of_a_caller_that_is_closed_are_freed_at_once(self):
        """Guards against answers that are held uncounted until it closes its side."""
        async with trio.open_nursery() as nursery:
            await self.start(nursery, 0)
            self.memory.max_bytes = 4 * LARGE_ANSWER_BYTES
            stalled = await connect_slow_reader(self.setup)
            await stalled.send_all(KEPT_REQUEST * 4)
            await trio.sleep(2 * STALL_TIMEOUT_S)
            (connection,) = self.setup.server.connections
            self.assertEqual(len(connection.exchanges), 4)
            await self.call()
            self.assertEqual(len(self.setup.server.lingers), 1)
            self.assertFalse(connection.exchanges)
            self.assertEqual(self.memory.used_bytes, LARGE_ANSWER_BYTES)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_answer_behind_one_at_work_is_not_stalled_by_its_caller(self):
        """Guards against a run that is broken off, as if its caller took nothing."""
        async with trio.open_nursery() as nursery:
            await self.start(nursery, 0)
            self.memory.max_bytes = LARGE_ANSWER_BYTES
            release = trio.Event()

            async def handle(request):
                if request.target == b"/slow":
                    await release.wait()
                    return HttpResponse(200)
                return HttpResponse(200, [], LARGE_BODY)

            self.setup.server.handler = handle
            waiting = await connect_slow_reader(self.setup)
            await waiting.send_all(b"GET /slow HTTP/1.1\r\n\r\n" + CLOSING_REQUEST)
            await trio.sleep(STALL_TIMEOUT_S + 1.0)
            late = [await self.call()]
            release.set()
            await trio.sleep(0.1)
            late.append(await self.call())
            data = await read_all(waiting)
            self.assertEqual(data.count(b"HTTP/1.1 200"), 2)
            self.assertTrue(data.endswith(LARGE_BODY))
            for stream in late:
                self.assertIn(b"HTTP/1.1 502", await stream.receive_some(100))
            nursery.cancel_scope.cancel()

    @params("disconnect", "reset", "stop")
    def test_bytes_are_released_when_a_connection_ends(self, end):
        self.check_release(end)

    @on_mock_clock(io=True)
    async def check_release(self, end):
        async with trio.open_nursery() as nursery:
            (stream,) = await self.start(nursery, 1)
            self.assertEqual(self.memory.used_bytes, LARGE_ANSWER_BYTES)
            if end == "reset":
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            if end == "stop":
                for connection in self.setup.server.connections:
                    connection.scope.cancel()
            else:
                await trio.aclose_forcefully(stream)
            await trio.sleep(0.5)
            self.assertEqual((self.memory.used_bytes, self.memory.held), (0, {}))
            nursery.cancel_scope.cancel()
