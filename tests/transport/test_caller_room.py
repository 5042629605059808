"""Tests of the room for callers' connections."""

import fcntl
import unittest
from unittest import mock

import trio
from nose2.tools import params

from catkinpost.transport import caller_room
from catkinpost.transport.caller_room import UNCOUNTED_CONNECTIONS, CallerRoom
from catkinpost.transport.http_connection import Phase
from tests.clock import on_mock_clock


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
        # (connections with a request, their phase, bytes that count of each)
        (UNCOUNTED_CONNECTIONS + 1, Phase.READING, 1000),
        (UNCOUNTED_CONNECTIONS, Phase.READING, 0),
        (UNCOUNTED_CONNECTIONS + 1, Phase.IDLE, 0),
    )
    def test_unread_input_of_many_connections_is_held(self, count, phase, expected):
        """Guards against memory of the machine that the account knows nothing of."""
        room = CallerRoom(reserved_descriptors=0, max_connections=None)
        for _ in range(count):
            connection = mock.Mock(phase=phase, has_wide_buffer=False)
            room.connections.add(connection)
        room.connections.add(mock.Mock(phase=phase, has_wide_buffer=True))
        before = room.used_bytes
        with mock.patch.object(caller_room, "count_unread_bytes", return_value=1000):
            room.update_unread_bytes()
        self.assertEqual(room.used_bytes - before, count * expected)
