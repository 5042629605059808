"""Tests of the clients of plays."""

import asyncio
import time
import unittest
from unittest import mock

from nose2.tools import params

from catkinpost_standins.plays.client import (
    SPREAD,
    SPREAD_GAP_S,
    Client,
    Connection,
    Sending,
)
from catkinpost_standins.plays.server import build_body

ANSWER_BYTES = 100
QUIET_S = 0.1
# Answers come when all requests of a batch have been sent.
ANSWER_AFTER_S = SPREAD_GAP_S + 0.1


class TestSpread(unittest.TestCase):
    @params(1, 2, 3)
    def test_second_request_follows_apart_while_the_first_waits(self, seed):
        """A request that arrives beside another may be read together with it."""
        fates = asyncio.run(self.send_batch(seed))
        self.assertEqual([fate.end for fate in fates], ["answered"] * SPREAD)
        self.assertEqual([fate.place for fate in fates], list(range(SPREAD)))
        self.assertGreater(fates[1].started_at - fates[0].sent_at, 0.001)
        self.assertLess(fates[1].sent_at, fates[0].ended_at)

    async def send_batch(self, seed):
        listener = await asyncio.start_server(self.serve, "127.0.0.1")
        address = listener.sockets[0].getsockname()
        sending = Sending(
            "spread", "GET", "/", b"", False, "slow", (ANSWER_BYTES,), 3.0
        )
        client = Client(address, sending, f"{seed}", lambda: 5.0, lambda: True)
        async with listener:
            connection = await client.send_batch(None)
            connection.socket.close()
        return client.fates

    async def serve(self, reader, writer):
        attempts, until = [], time.monotonic() + ANSWER_AFTER_S
        for _ in range(SPREAD):
            head = await reader.readuntil(b"\r\n\r\n")
            attempts.append(head.split(b"Attempt-Id: ")[1].split(b"\r\n")[0].decode())
        await asyncio.sleep(until - time.monotonic())
        for attempt in attempts:
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n"
            writer.write(head.encode() + build_body(attempt, ANSWER_BYTES))
        await writer.drain()
        writer.close()


class TestPieces(unittest.TestCase):
    def test_request_counts_as_sent_at_its_last_byte(self):
        """Guards against a loss that is excused as its request was sent later."""
        sends, pauses = asyncio.run(self.send())
        self.assertGreater(sends, 1)
        self.assertEqual(pauses, sends - 1)

    async def send(self):
        sending = Sending("pieces", "GET", "/", b"", False, "quick", (0,), 3.0)
        client = Client(("127.0.0.1", 1), sending, "1", lambda: 5.0, lambda: True)
        connection = mock.AsyncMock(answers=0)
        fate = client.build_fate(connection, 0)
        with mock.patch("asyncio.sleep") as sleep:
            await client.send(connection, fate)
        return connection.send.await_count, sleep.await_count


class TestRest(unittest.TestCase):
    @params(
        # (bytes behind the answer, whether they come late, whether they are noted)
        (b"", False, False),
        (b"HTTP/1.1 200 OK\r\n\r\n", False, True),
        (b"HTTP/1.1 200 OK\r\n\r\n", True, True),
        (b"extra", True, True),
        (b"HTTP/1.1 408 Request Timeout\r\n\r\n", True, False),
    )
    def test_bytes_that_nobody_asked_for_are_noted(self, rest, is_late, expected):
        """Guards against an answer on an idle connection that passes as its end."""
        fate = asyncio.run(self.send(rest, is_late))
        self.assertEqual((fate.end, fate.is_followed), ("answered", expected))

    async def send(self, rest, is_late):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            if is_late:
                await asyncio.sleep(QUIET_S)
            writer.write(rest)
            writer.close()

        sending = Sending("kept", "GET", "/", b"", False, "quick", (0,), 3.0)
        listener = await asyncio.start_server(serve, "127.0.0.1")
        address = listener.sockets[0].getsockname()
        client = Client(address, sending, "1", lambda: 5.0, lambda: True)
        async with listener:
            connection = await client.send_batch(None)
            await asyncio.sleep(2 * QUIET_S)
            client.is_usable(connection)
        return client.fates[0]


class TestNoAnswer(unittest.TestCase):
    def test_only_requests_behind_the_unanswered_one_are_blocked(self):
        """Guards against a request that is held and passes as one that waits behind."""
        fates = asyncio.run(self.send())
        ends = [(fate.end, fate.is_blocked) for fate in fates]
        expected = [("answered", False), ("no answer", False), ("no answer", True)]
        self.assertEqual(ends[:3], expected)

    async def send(self):
        has_ended = asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await reader.read()
            writer.close()
            has_ended.set()

        sending = Sending("ahead", "GET", "/", b"", False, "quick", (0,), QUIET_S)
        listener = await asyncio.start_server(serve, "127.0.0.1")
        address = listener.sockets[0].getsockname()
        client = Client(address, sending, "1", lambda: 5.0, lambda: True)
        async with listener:
            await client.send_batch(None)
            await has_ended.wait()
        return client.fates


class TestMalformed(unittest.TestCase):
    @params(
        "HTTP/2 200 OK\r\nContent-Length: 0\r\n",
        "HTTP/1.1 OK\r\nContent-Length: 0\r\n",
        "HTTP/1.1\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: x\r\n",
        "HTTP/1.1 200 OK\r\n",
    )
    def test_what_is_no_answer_ends_its_request(self, head):
        """Guards against a play that ends without a finding."""
        self.assertEqual(asyncio.run(self.read(head)), "malformed")

    async def read(self, head):
        sending = Sending("kept", "GET", "/", b"", False, "quick", (0,), 3.0)
        client = Client(("127.0.0.1", 1), sending, "1", lambda: 5.0, lambda: True)
        connection = Connection(sending)
        connection.data = f"{head}\r\n".encode()
        fate = client.build_fate(connection, 0)
        await connection.read_answer(fate)
        connection.socket.close()
        return fate.end
