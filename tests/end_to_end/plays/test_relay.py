"""Tests of the relays between machines of a play."""

import asyncio
import contextlib
import errno
import time
import unittest
from unittest import mock

from nose2.tools import params

from catkinpost_standins.plays.relay import Link, Relay

HOST = "127.0.0.1"
CUT_S, END_S = 0.3, 0.05


async def echo(reader, writer):
    with contextlib.suppress(ConnectionResetError):
        while data := await reader.read(100):
            writer.write(data)
    writer.close()


async def exchange(connection, data):
    reader, writer = connection
    writer.write(data)
    try:
        return await reader.readexactly(len(data))
    except ConnectionResetError:
        return b"reset"


async def send_in_cut(is_new, resets):
    """Return what a kept or new connection gets in a cut, when, and one behind it."""
    server = await asyncio.start_server(echo, HOST, 0)
    relay = Relay(HOST, 0, server.sockets[0].getsockname(), Link())
    await relay.start()
    address = relay.listener.sockets[0].getsockname()
    connection = await asyncio.open_connection(*address)
    await exchange(connection, b"before")
    relay.cut()
    if is_new:
        connection[1].close()
        connection = await asyncio.open_connection(*address)
    started_at = time.monotonic()
    asyncio.get_running_loop().call_later(CUT_S, lambda: relay.mend(resets=resets))
    within = await exchange(connection, b"within")
    after_s = time.monotonic() - started_at
    connection[1].close()
    connection = await asyncio.open_connection(*address)
    behind = await exchange(connection, b"behind")
    connection[1].close()
    relay.end()
    server.close()
    await asyncio.sleep(END_S)
    return within, after_s, behind


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

    @params(
        # (whether the connection is new, whether the cut ends with resets, answer)
        (False, False, b"within"),
        (True, False, b"within"),
        (False, True, b"reset"),
        (True, True, b"reset"),
    )
    def test_bytes_are_held_until_the_end(self, is_new, resets, expected):
        within, after_s, behind = asyncio.run(send_in_cut(is_new, resets))
        self.assertEqual((within, behind), (expected, b"behind"))
        self.assertGreaterEqual(after_s, 0.9 * CUT_S)
