"""Tests of the room for callers' connections."""

import fcntl
import unittest
from unittest import mock

import trio

from catkinpost.transport.caller_room import CallerRoom
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
