"""Tests of the graceful close of a connection."""

import errno
import fcntl
import unittest
from unittest import mock

import trio
from nose2.tools import params

from catkinpost.transport import linger
from catkinpost.transport.linger import Linger, has_data_in_flight
from tests.clock import on_mock_clock, wait_all_tasks_blocked
from tests.log import CapturedLog

NO_QUEUE = OSError(errno.ENOTTY, "no such request")


class TestLinger(unittest.TestCase):
    @params(
        # (whether the close is announced, bytes on their way at the close, expected)
        (True, b"", True),
        (False, b"answer", True),
        (False, b"", False),
    )
    def test_caller_that_may_not_have_read_its_answer_is_awaited(
        self, is_announced, sent, expected
    ):
        self.check_awaited(is_announced, sent, expected)

    @on_mock_clock(io=True)
    async def check_awaited(self, is_announced, sent, expected):
        near, far = map(trio.SocketStream, trio.socket.socketpair())
        await near.send_all(sent)
        near_end = Linger(near, is_announced=is_announced)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(near_end.run, 10.0)
            await wait_all_tasks_blocked()
            await far.receive_some(1000)
            self.assertEqual(near_end.awaits_caller, expected)
            await far.aclose()
        self.assertFalse(near_end.awaits_caller)
        await near.aclose()

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
