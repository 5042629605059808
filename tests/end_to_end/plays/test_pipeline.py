"""Tests of clients that go on sending behind unread answers."""

import asyncio
import time
import unittest

from nose2.tools import params

from catkinpost_standins.plays.client import READERS, Sending
from catkinpost_standins.plays.pipeline import (
    MOST_UNANSWERED,
    Pipeline,
    PipelineClient,
)
from catkinpost_standins.plays.server import Behaviour, build_body, choose_size
from catkinpost_standins.plays.verdict import LOSS_SLACK_S

SMALL_BYTES, LARGE_BYTES = 300, 60_000
SIZES = (300, 5_000, 60_000, 300_000)
SEND_S = 4.0
ALL = 99
QUIET_S = 0.7


class Longest:
    """Choices of a client that takes the longest time each."""

    def uniform(self, _low, high):
        return high


class Script:
    """Server of one connection.

    :param awaited: requests that it reads before it answers.
    :param answered: answers that it sends then.
    :param closing: number of the answer that announces the close.
    :param stays: whether it goes on reading behind its answers.
    :ivar unasked: input while it waited for no request.
    :ivar ended: set at the end.
    """

    def __init__(self, awaited, answered, closing=ALL, *, size, stays=False, wait_s=0):
        self.awaited, self.answered, self.closing = awaited, answered, closing
        self.size, self.stays, self.wait_s = size, stays, wait_s
        self.unasked = b""
        self.ended = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            await self.answer(reader, writer)
        except ConnectionError:
            # The client has dropped the connection.
            pass
        finally:
            writer.close()
            self.ended.set()

    async def answer(self, reader, writer):
        attempts = []
        for _ in range(self.awaited):
            head = await reader.readuntil(b"\r\n\r\n")
            attempts.append(head.split(b"Attempt-Id: ")[1].split(b"\r\n")[0].decode())
        try:
            async with asyncio.timeout(self.wait_s):
                self.unasked = await reader.read(1)
        except TimeoutError:
            pass
        for number, attempt in enumerate(attempts[: self.answered], start=1):
            close = "Connection: close\r\n" if number == self.closing else ""
            head = f"HTTP/1.1 200 OK\r\n{close}Content-Length: {self.size}\r\n\r\n"
            writer.write(head.encode() + build_body(attempt, self.size))
        await writer.drain()
        while self.stays and await reader.read(1):
            pass


async def play(script, reader):
    """Return the requests of one connection, as its client saw them."""
    listener = await asyncio.start_server(script.serve, "127.0.0.1")
    address = listener.sockets[0].getsockname()
    sending = Sending("pipeline", "GET", "/", b"", False, reader, (script.size,), 6.0)
    client = PipelineClient(address, sending, "1", lambda: 5.0, lambda: True)
    client.random = Longest()
    # A request behind the last one that is awaited would be discarded unread.
    until = time.monotonic() + (SEND_S if script.awaited > 1 else 0)
    async with listener:
        await Pipeline(client, until).run()
        await script.ended.wait()
    return client.fates


class TestPipeline(unittest.TestCase):
    @params(
        # (reader, ends of the requests)
        ("trickle", ["answered"] * 4),
        ("late", ["answered"] * 2 + ["dropped"] * 4),
    )
    def test_only_a_late_reader_drops_answers_at_a_reset(self, reader, ends):
        """Four small answers have arrived when the connection is closed."""
        fates = asyncio.run(play(Script(4, 4, size=SMALL_BYTES), reader))
        self.assertEqual([fate.end for fate in fates], ends)

    @params(
        # (reader, ends of the requests)
        ("trickle", ["answered", "answered", "closed"]),
        ("late", ["answered", "answered", "closed", "closed"]),
    )
    def test_requests_are_sent_until_the_close_is_read(self, reader, ends):
        """The announcement arrives with the answer before, which one reads later."""
        script = Script(3, 2, closing=2, size=SMALL_BYTES, stays=True)
        fates = asyncio.run(play(script, reader))
        self.assertEqual([fate.end for fate in fates], ends)
        self.assertEqual([fate.place for fate in fates[:3]], [0, 1, 2])

    @params("trickle", "late")
    def test_number_of_unanswered_requests_is_bounded(self, reader):
        most = MOST_UNANSWERED
        script = Script(
            most, most, closing=most, size=SMALL_BYTES, stays=True, wait_s=QUIET_S
        )
        fates = asyncio.run(play(script, reader))
        self.assertEqual(script.unasked, b"")
        self.assertEqual([fate.place for fate in fates][:most], list(range(most)))
        self.assertEqual([fate.end for fate in fates][:most], ["answered"] * most)

    def test_end_is_timed_by_the_system_and_not_by_the_pause(self):
        fates = asyncio.run(play(Script(1, 0, size=SMALL_BYTES), "late"))
        self.assertEqual([fate.end for fate in fates], ["closed"])
        self.assertLess(fates[0].ended_at - fates[0].sent_at, LOSS_SLACK_S)

    def test_pace_of_trickle(self):
        script = Script(1, 1, closing=1, size=LARGE_BYTES, stays=True)
        fate = asyncio.run(play(script, "trickle"))[0]
        self.assertTrue(fate.is_whole_body)
        least_s = 0.9 * LARGE_BYTES / READERS["trickle"].bytes_per_s
        self.assertGreater(fate.ended_at - fate.sent_at, least_s)


class TestMixedAnswers(unittest.TestCase):
    def test_sizes_and_times_of_attempts(self):
        """Client and server must know the same size, and each play all sizes."""
        behaviour = Behaviour("mixed", "mixed", SIZES, 0.0, 1)
        attempts = [f"{number:016x}" for number in range(200)]
        self.assertEqual({choose_size(item, SIZES) for item in attempts}, set(SIZES))
        times = [behaviour.choose_seconds(item) for item in attempts]
        self.assertEqual(times, [behaviour.choose_seconds(item) for item in attempts])
        self.assertGreaterEqual(min(times), 0.045)
        self.assertLessEqual(sorted(times)[len(times) // 2], 0.3)
        self.assertTrue(0.3 < max(times) <= 2.1)
