"""Tests of uploads that stop before their end while others wait for memory."""

import contextlib
import unittest

import trio
from nose2.tools import params

from catkinpost.protocol.http import HttpLimits, HttpResponse
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.request_memory import RequestMemory
from catkinpost.transport.http_server import HttpServer
from tests.clock import on_mock_clock

HOST = "127.0.0.1"
BODY_BYTES = 60_000
HEAD = b"POST /1 HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % BODY_BYTES
ROOM_FOR_ONE = 100_000
HEAD_TIMEOUT_S = 10.0
TRICKLING = 60
PIECE = b"x" * 1000


async def handle(request):
    return HttpResponse(200, [], b"%d" % len(request.body))


class TestStalledUploads(unittest.TestCase):
    @params(
        # (pieces that an upload sends in 0.2 s each, what another one is told)
        (0, b"200"),
        (10, b"503"),
    )
    def test_stalled_upload_makes_room_for_another(self, pieces, status):
        """Guards against uploads that are refused as others never end."""
        self.check_other(pieces, status)

    @on_mock_clock(io=True)
    async def check_other(self, pieces, status):
        async with trio.open_nursery() as nursery:
            first, second = await self.connect_two(nursery)
            await first.send_all(HEAD + PIECE)
            await trio.sleep(1.0)
            nursery.start_soon(self.send_pieces, first, pieces)
            await trio.sleep(0.1)
            await second.send_all(HEAD + bytes(BODY_BYTES))
            answer = await second.receive_some(1000)
            self.assertTrue(answer.startswith(b"HTTP/1.1 " + status), answer)
            if not pieces:
                refusal = await first.receive_some(1000)
                self.assertTrue(refusal.startswith(b"HTTP/1.1 503"), refusal)
                self.assertIn(b"catkinpost-outcome: not-run", refusal)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_stalled_upload_is_kept_while_there_is_room(self):
        async with trio.open_nursery() as nursery:
            first, _ = await self.connect_two(nursery)
            await first.send_all(HEAD + PIECE)
            await trio.sleep(5.0)
            await first.send_all(bytes(BODY_BYTES - len(PIECE)))
            answer = await first.receive_some(1000)
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_upload_that_waited_for_memory_has_not_stalled(self):
        """Guards against uploads that are dropped as the node let them wait."""
        async with trio.open_nursery() as nursery:
            first, second = await self.connect_two(nursery)
            await first.send_all(HEAD + PIECE)
            nursery.start_soon(self.send_pieces, first, 3)
            await trio.sleep(0.1)
            await second.send_all(HEAD[:-2] + b"expect: 100-continue\r\n\r\n")
            await trio.sleep(0.6)
            third = await trio.open_tcp_stream(HOST, self.port)
            await third.send_all(HEAD + PIECE)
            await first.send_all(bytes(BODY_BYTES - 4 * len(PIECE)))
            self.assertIn(b"100 Continue", await second.receive_some(1000))
            await trio.sleep(0.3)
            await second.send_all(bytes(BODY_BYTES))
            answer = await second.receive_some(1000)
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_uploads_that_trickle_are_closed_in_time(self):
        """Guards against bodies that are held as each of their bytes waits for a turn.

        The clients send in each step of the event loop, so that input is always unread.
        """
        async with trio.open_nursery() as nursery:
            await self.connect_two(nursery, memory_bytes=100 * BODY_BYTES)
            for _ in range(TRICKLING):
                nursery.start_soon(self.trickle)
            while self.server.memory.used_bytes < TRICKLING * BODY_BYTES:
                await trio.lowlevel.checkpoint()
            for _ in range(80):
                trio.lowlevel.current_clock().jump(HEAD_TIMEOUT_S / 10)
                for _ in range(5):
                    await trio.lowlevel.checkpoint()
                self.server.check_connections(trio.current_time())
            for _ in range(20):
                await trio.lowlevel.checkpoint()
            self.assertEqual(self.server.memory.used_bytes, 0)
            nursery.cancel_scope.cancel()

    async def trickle(self):
        stream = await trio.open_tcp_stream(HOST, self.port)
        async with stream:
            await stream.send_all(HEAD)
            with contextlib.suppress(trio.BrokenResourceError):
                while True:
                    await stream.send_all(b"x")
                    await trio.lowlevel.checkpoint()

    async def connect_two(self, nursery, memory_bytes=ROOM_FOR_ONE):
        server = self.server = HttpServer(
            handle,
            limits=HttpLimits(head_timeout=HEAD_TIMEOUT_S),
            report_failure=lambda failure: None,
            memory=RequestMemory(memory_bytes, DecisionLog()),
        )
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        self.port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(server.watch_connections)
        nursery.start_soon(trio.serve_listeners, server.serve_connection, listeners)
        return [await trio.open_tcp_stream(HOST, self.port) for _ in range(2)]

    async def send_pieces(self, stream, count):
        for _ in range(count):
            await stream.send_all(PIECE)
            await trio.sleep(0.2)


if __name__ == "__main__":
    unittest.main()
