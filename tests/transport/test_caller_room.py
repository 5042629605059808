"""Tests of the room for callers' connections."""

import fcntl
import unittest
from unittest import mock

import trio
from nose2.tools import params

from catkinpost.protocol.http import HttpLimits
from catkinpost.transport import caller_room
from catkinpost.transport.caller_room import (
    MIN_UNREAD_S,
    SHORTAGE_FAILURE,
    UNCOUNTED_CONNECTIONS,
    CallerRoom,
)
from catkinpost.transport.http_connection import Connection, Phase
from catkinpost.transport.http_parser import RequestParser
from tests.clock import on_mock_clock

CHUNKED_HEAD = b"POST /1 HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"


class TestCallerRoom(unittest.TestCase):
    @on_mock_clock(io=True)
    async def test_bytes_that_were_not_read_are_counted(self):
        room = CallerRoom(reserved_descriptors=0, max_connections=None)
        ends = [trio.socket.socketpair() for _ in range(3)]
        served, closing, closed = (trio.SocketStream(near) for near, _ in ends)
        room.connections.update(mock.Mock(stream=item) for item in (served, closed))
        room.lingers.add(mock.Mock(stream=closing))
        for (_, far), size in zip(ends, (10, 200, 3000), strict=True):
            await far.send(b"x" * size)
        closed.socket.close()
        self.assertEqual(room.count_unread_bytes(), 210)
        with mock.patch.object(fcntl, "ioctl", side_effect=OSError):
            self.assertIsNone(room.count_unread_bytes())
        for pair in ends:
            for socket in pair:
                socket.close()

    @params(
        # (connections, their phase, wait for memory, bytes that count of each)
        (UNCOUNTED_CONNECTIONS + 1, Phase.READING, None, 1000),
        (UNCOUNTED_CONNECTIONS, Phase.READING, None, 0),
        (UNCOUNTED_CONNECTIONS + 1, Phase.IDLE, None, 0),
        (UNCOUNTED_CONNECTIONS + 1, Phase.IDLE, trio.CancelScope(), 1000),
    )
    def test_unread_input_of_many_connections_is_held(
        self, count, phase, memory_wait, expected
    ):
        """Guards against memory of the machine that the account knows nothing of."""
        room = CallerRoom(reserved_descriptors=0, max_connections=None)
        for _ in range(count):
            connection = mock.Mock(phase=phase, memory_wait=memory_wait)
            connection.has_wide_buffer = False
            room.connections.add(connection)
        room.connections.add(mock.Mock(phase=phase, has_wide_buffer=True))
        before = room.used_bytes
        with mock.patch.object(caller_room, "count_unread_bytes", return_value=1000):
            room.update_unread_bytes()
        self.assertEqual(room.used_bytes - before, count * expected)

    @params(
        # (seconds since the close, whether input comes, unsent bytes, closed)
        (0.1, False, 0, 1),
        (0.1, True, 0, 0),
        (2 * MIN_UNREAD_S, True, 0, 1),
        (2 * MIN_UNREAD_S, True, 1, 0),
    )
    def test_room_is_made_by_callers_that_send_behind_their_refusal(self, *case):
        """Guards against callers that wait for seconds beside a crowd that is refused.

        A crowd that goes on sending fills the node with connections to be closed.
        """
        self.check_linger(*case)

    @on_mock_clock()
    async def check_linger(self, elapsed_s, has_input, unsent_bytes, closed):
        room = CallerRoom(reserved_descriptors=0, max_connections=None)
        linger = mock.Mock(
            begun_at=trio.current_time() - elapsed_s,
            is_pending=has_input or unsent_bytes > 0,
            unsent_bytes=unsent_bytes,
        )
        room.lingers.add(linger)
        self.assertEqual(room.make_room(), closed)

    @on_mock_clock()
    async def test_room_is_made_by_requests_that_cost_most_to_parse(self):
        """Guards against callers that wait for seconds beside a crowd of tiny chunks.

        Its input waits for turns, so that it neither ends nor stops coming.
        """
        room = CallerRoom(reserved_descriptors=0, max_connections=None)
        bodies = [b"1\r\nx\r\n" * 3000, b"1\r\nx\r\n" * 1000]
        bodies.append(b"bb8\r\n" + b"x" * 3000 + b"\r\n")
        for body in bodies:
            stream = mock.Mock()
            stream.socket.fileno.return_value = 1
            connection = Connection(stream, RequestParser(HttpLimits()))
            connection.parser.feed(CHUNKED_HEAD + body)
            connection.enter_phase(Phase.READING)
            room.connections.add(connection)
        await trio.sleep(2 * MIN_UNREAD_S)
        refusals = []
        with mock.patch.object(caller_room, "MAX_CLOSED_AT_ONCE", 1):
            while room.make_room():
                [closing] = [item for item in room.connections if item.closing]
                refusals.append(closing.refusal)
                room.connections.remove(closing)
        self.assertEqual(refusals, [SHORTAGE_FAILURE] * 2)
        [kept] = room.connections
        self.assertEqual(kept.parser.body_bytes, 3000)
