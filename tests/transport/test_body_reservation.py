"""Tests of uploads that share the memory of a node, on real connections."""

import contextlib
import unittest

import trio
from nose2.tools import params

from catkinpost.protocol.http import HttpLimits, HttpResponse
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.request_memory import MAX_WAIT_S, RequestMemory
from catkinpost.transport.http_server import HttpServer
from tests.clock import on_mock_clock

HOST = "127.0.0.1"
MAX_BYTES = 4_000_000
UPLOAD_BYTES = 2_000_000
LIMITS = HttpLimits(max_body_bytes=MAX_BYTES, head_timeout=2.0, idle_timeout=600.0)
USUAL = b"POST /usual HTTP/1.1\r\nContent-Length: 5\r\n\r\nbirch"
CHUNK = b"10000\r\n" + bytes(0x10000) + b"\r\n"
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"


class Setup:
    """Server whose large requests end when they are released."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.failures = []
        self.statuses = []
        self.handled_bytes = 0
        self.release = trio.Event()
        self.memory = RequestMemory(MAX_BYTES, DecisionLog())
        self.server = HttpServer(
            self.handle,
            limits=LIMITS,
            report_failure=self.failures.append,
            memory=self.memory,
        )

    async def handle(self, request):
        self.handled_bytes += len(request.body)
        if request.target != b"/usual":
            await self.release.wait()
        return HttpResponse(200)

    async def start(self):
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        self.nursery.start_soon(self.server.watch_connections)
        serve = self.server.serve_connection
        self.nursery.start_soon(trio.serve_listeners, serve, listeners)
        self.port = listeners[0].socket.getsockname()[1]

    async def connect(self):
        return await trio.open_tcp_stream(HOST, self.port)

    async def send(self, data):
        """Send a request on a connection of its own and record its status."""
        stream = await self.connect()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_all, stream, data)
            answer = await receive(stream)
            self.statuses.append(int(answer[9:12] or 0))
            nursery.cancel_scope.cancel()
        await trio.aclose_forcefully(stream)


async def send_all(stream, data):
    # A refused request is not read to its end.
    with contextlib.suppress(trio.BrokenResourceError):
        await stream.send_all(data)


async def receive(stream):
    try:
        return await stream.receive_some(4096)
    except trio.BrokenResourceError:
        return b""


def build_upload(size):
    return b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % size + bytes(size)


def build_chunked_upload(size):
    return CHUNKED_HEAD + CHUNK * (size // 0x10000 + 1) + b"0\r\n\r\n"


class TestMemory(unittest.TestCase):
    @on_mock_clock(io=True)
    async def test_uploads_beyond_the_memory_are_refused_and_usual_requests_pass(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            await setup.start()
            for _ in range(3):
                nursery.start_soon(setup.send, build_upload(UPLOAD_BYTES))
            await trio.sleep(MAX_WAIT_S / 2)
            self.assertEqual(setup.handled_bytes, UPLOAD_BYTES)
            usual = await setup.connect()
            await usual.send_all(USUAL)
            with trio.fail_after(MAX_WAIT_S / 4):
                self.assertIn(b" 200 ", await receive(usual))
            await trio.sleep(MAX_WAIT_S)
            reasons = [item.reason.value for item in setup.failures]
            self.assertEqual(reasons, ["request-memory-full"] * 2)
            self.assertLessEqual(setup.memory.used_bytes, MAX_BYTES)
            setup.release.set()
            await trio.sleep(0.2)
            self.assertIn(200, setup.statuses)
            self.assertEqual(setup.memory.used_bytes, 0)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_upload_that_waits_is_read_once_memory_is_free(self):
        """Guards against a caller that is blamed for the wait of the node."""
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            await setup.start()
            nursery.start_soon(setup.send, build_upload(UPLOAD_BYTES))
            await trio.sleep(0.2)
            stream = await setup.connect()
            data = build_upload(UPLOAD_BYTES)
            await stream.send_all(data[:100])
            await trio.sleep(MAX_WAIT_S * 0.9)
            self.assertEqual(len(setup.memory.waiters), 1)
            setup.release.set()
            await trio.sleep(LIMITS.head_timeout - MAX_WAIT_S / 2)
            await stream.send_all(data[100:])
            self.assertIn(b" 200 ", await receive(stream))
            self.assertEqual(setup.failures, [])
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_half_read_uploads_do_not_wait_for_each_other(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            setup.release.set()
            await setup.start()
            data = build_chunked_upload(3_000_000)
            for _ in range(4):
                nursery.start_soon(setup.send, data)
            await trio.sleep(2 * MAX_WAIT_S)
            self.assertIn(200, setup.statuses)
            self.assertEqual(len(setup.statuses), 4)
            self.assertEqual(setup.memory.used_bytes, 0)
            nursery.cancel_scope.cancel()

    @params(
        build_upload(UPLOAD_BYTES)[:-1],
        build_chunked_upload(UPLOAD_BYTES)[:-1],
        build_upload(UPLOAD_BYTES),
        build_upload(UPLOAD_BYTES) + USUAL,
    )
    @on_mock_clock(io=True)
    async def test_memory_returns_after_a_disconnect(self, data):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            await setup.start()
            stream = await setup.connect()
            await stream.send_all(data)
            await trio.sleep(0.1)
            self.assertGreaterEqual(setup.memory.used_bytes, UPLOAD_BYTES)
            await trio.aclose_forcefully(stream)
            await trio.sleep(1)
            self.assertEqual(setup.memory.used_bytes, 0)
            nursery.cancel_scope.cancel()

    @params("slow sender", "stop")
    @on_mock_clock(io=True)
    async def test_memory_returns_after_another_end(self, end):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            await setup.start()
            stream = await setup.connect()
            data = build_upload(UPLOAD_BYTES)
            await stream.send_all(data[:-1])
            await trio.sleep(0.1)
            self.assertEqual(setup.memory.used_bytes, UPLOAD_BYTES)
            if end == "slow sender":
                await trio.sleep(2 * LIMITS.head_timeout)
            else:
                setup.server.stop_reading()
            await trio.sleep(0.5)
            self.assertEqual(setup.memory.used_bytes, 0)
            nursery.cancel_scope.cancel()

    @params((MAX_BYTES, b" 503 "), (MAX_BYTES + 1, b" 413 "))
    @on_mock_clock(io=True)
    async def test_body_that_can_never_fit_is_refused_at_its_head(self, size, status):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            await setup.start()
            stream = await setup.connect()
            await stream.send_all(build_upload(size)[:100])
            with trio.fail_after(MAX_WAIT_S / 2):
                self.assertIn(status, await receive(stream))
            nursery.cancel_scope.cancel()
