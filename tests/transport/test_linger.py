"""Tests of the graceful close of a connection."""

import errno
import fcntl
import unittest
from unittest import mock

import trio

from catkinpost.transport import linger
from catkinpost.transport.linger import Linger, has_data_in_flight
from tests.clock import on_mock_clock
from tests.log import CapturedLog

NO_QUEUE = OSError(errno.ENOTTY, "no such request")


class TestLinger(unittest.TestCase):
    @on_mock_clock(io=True)
    async def test_unknown_size_of_the_send_queue_is_logged_once(self):
        """Guards against a process that ends within a stop by an exception."""
        near, far = map(trio.SocketStream, trio.socket.socketpair())
        linger.log_unknown_size.cache_clear()
        with (
            mock.patch.object(fcntl, "ioctl", side_effect=NO_QUEUE),
            CapturedLog() as messages,
        ):
            self.assertTrue(has_data_in_flight(near.socket))
            self.assertFalse(Linger(near).is_pending)
        self.assertEqual([item["why"] for item in messages], ["no such request"])
        await near.aclose()
        self.assertFalse(has_data_in_flight(near.socket))
        await far.aclose()
