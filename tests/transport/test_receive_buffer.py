"""Tests of what the system holds of input that a node has not read."""

import unittest

import trio

from catkinpost.protocol.http import HttpLimits, HttpResponse
from catkinpost.protocol.settings import Address
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.request_memory import RequestMemory
from catkinpost.transport.acceptor import Acceptor
from catkinpost.transport.http_connection import RECEIVE_BUFFER_BYTES
from catkinpost.transport.http_server import HttpServer
from catkinpost.transport.socket_io import count_unread_bytes
from catkinpost_standins.fleet import free_port
from tests.clock import on_mock_clock

HOST = "127.0.0.1"
BODY_BYTES = 1_000_000
HEAD = b"POST /1 HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % BODY_BYTES


def get_buffer(stream):
    return stream.socket.getsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF)


async def listen(nursery, serve):
    """Accept connections as a node does from callers, and return the port."""
    address = Address(HOST, free_port())
    acceptor = Acceptor(receive_buffer_bytes=RECEIVE_BUFFER_BYTES)
    await nursery.start(acceptor.listen, address, serve, nursery)
    return address.port


class TestReceiveBuffer(unittest.TestCase):
    @on_mock_clock(io=True)
    async def test_unread_input_of_a_connection_is_bounded(self):
        """Guards against megabytes that the system holds for each slow connection."""
        accepted = []

        async def read_once(stream):
            await stream.receive_some(RECEIVE_BUFFER_BYTES)
            accepted.append(stream)
            await trio.sleep_forever()

        async with trio.open_nursery() as nursery:
            port = await listen(nursery, read_once)
            caller = await trio.open_tcp_stream(HOST, port)
            with trio.move_on_after(1.0):
                await caller.send_all(bytes(20 * BODY_BYTES))
            unread = count_unread_bytes(accepted[0])
            self.assertLessEqual(unread, 2 * RECEIVE_BUFFER_BYTES)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_buffer_is_wide_only_while_a_reserved_body_is_due(self):
        """Guards against uploads that the small buffer slows down on long paths."""

        async def handle(request):
            return HttpResponse(200, [], b"%d" % len(request.body))

        server = HttpServer(
            handle,
            limits=HttpLimits(max_body_bytes=2 * BODY_BYTES),
            report_failure=lambda failure: None,
            memory=RequestMemory(4 * BODY_BYTES, DecisionLog()),
        )
        async with trio.open_nursery() as nursery:
            port = await listen(nursery, server.serve_connection)
            caller = await trio.open_tcp_stream(HOST, port)
            await caller.send_all(HEAD + bytes(1000))
            await trio.sleep(0.1)
            [connection] = server.connections
            self.assertGreater(get_buffer(connection.stream), 4 * RECEIVE_BUFFER_BYTES)
            await caller.send_all(bytes(BODY_BYTES - 1000))
            answer = await caller.receive_some(1000)
            self.assertIn(b"%d" % BODY_BYTES, answer)
            self.assertEqual(get_buffer(connection.stream), 2 * RECEIVE_BUFFER_BYTES)
            nursery.cancel_scope.cancel()


if __name__ == "__main__":
    unittest.main()
