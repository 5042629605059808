"""Tests of the relays between machines of a play."""

import asyncio
import errno
import unittest
from unittest import mock

from catkinpost_standins.plays.relay import Link, Relay


class TestRelay(unittest.TestCase):
    def test_reset_before_the_end_is_passed_on(self):
        """Guards against a play that ends as one connection was reset (ENOTCONN)."""
        source, sink = mock.Mock(), mock.Mock()
        sink.write_eof.side_effect = OSError(errno.ENOTCONN, "not connected")
        asyncio.run(self.write_end(source, sink))
        source.transport.abort.assert_called_once_with()

    async def write_end(self, source, sink):
        relay = Relay("127.0.0.1", 1, ("127.0.0.1", 2), Link())
        queue = asyncio.Queue()
        queue.put_nowait((0.0, b""))
        await relay.write(queue, sink, source)
