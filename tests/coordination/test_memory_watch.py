"""Tests of the log of a node's memory."""

import contextlib
import dataclasses
import os
import unittest
from unittest import mock

import msgspec
import trio
from nose2.tools import params

from catkinpost.coordination.memory_watch import (
    MemoryReader,
    MemoryWatch,
    PassedShares,
    read_peak_memory,
)
from catkinpost.native import NativeEnvironment
from catkinpost.node import Node
from catkinpost.protocol.settings import parse_settings
from catkinpost.transport.http_connection import Phase
from tests.clock import on_mock_clock
from tests.log import CapturedLog
from tests.protocol.test_settings import GOOD

LIMIT_BYTES = 100_000_000
MEGABYTE = 1_000_000


class TestPassedShares(unittest.TestCase):
    @params(
        # (memory in MB at each quarter of a second, shares due for the log)
        ([40, 49, 50, 60, 74], [0.5]),
        ([40, 55, 80, 95], [0.5, 0.75, 0.9]),
        ([95], [0.9]),
        ([50, 49, 50, 46, 50], [0.5]),
        ([50, 30, 30, 30, 30, 50], [0.5, 0.5]),
        ([50, 30, 50, 50, 50], [0.5, 0.5]),
        ([95, 30, 76, 76, 76], [0.9, 0.75]),
        ([95, 30] * 40, [0.9] * 20),
    )
    def test_share_is_due_once_until_memory_falls_below_it(self, sizes_mb, due):
        shares = PassedShares(LIMIT_BYTES)
        found = [
            shares.update(size_mb * MEGABYTE, number / 4)
            for number, size_mb in enumerate(sizes_mb)
        ]
        self.assertEqual([share for share in found if share is not None], due)


class TestMemoryReader(unittest.TestCase):
    def test_memory_of_the_process_is_read(self):
        reader = MemoryReader()
        self.addCleanup(reader.close)
        before = reader.read_resident()
        block = b"x" * (50 * MEGABYTE)
        self.assertGreater(reader.read_resident() - before, 0.8 * len(block))
        del block
        self.assertGreater(read_peak_memory() - before, 40 * MEGABYTE)

    @params("missing", "refused", "unknown form")
    def test_peak_takes_the_place_of_what_can_not_be_read(self, kind):
        path = "/proc/self/no-such-file" if kind == "missing" else os.devnull
        refusal = mock.patch.object(os, "pread", side_effect=PermissionError)
        with (
            refusal if kind == "refused" else contextlib.nullcontext(),
            CapturedLog() as messages,
        ):
            reader = MemoryReader(path)
            sizes = [reader.read_resident() for _ in range(3)]
        self.assertIsNone(reader.descriptor)
        self.assertGreater(min(sizes), MEGABYTE)
        self.assertEqual(sizes, sorted(sizes))
        (message,) = messages
        self.assertEqual(message["message_type"], "memory: only the peak is known")


class TestMemoryWatch(unittest.TestCase):
    def setUp(self):
        settings = parse_settings(GOOD)
        bounds = msgspec.structs.replace(
            settings.bounds, machine_memory_bytes=LIMIT_BYTES
        )
        self.node = Node(
            dataclasses.replace(settings, bounds=bounds), NativeEnvironment()
        )
        self.reader = mock.Mock()
        self.set_resident(10)
        self.watch = MemoryWatch(self.node, open_reader=lambda: self.reader)

    def set_resident(self, size_mb):
        self.reader.read_resident.return_value = size_mb * MEGABYTE

    def add_callers(self, count, unread_bytes):
        """Add callers, and return the function that counts their unread bytes."""
        server = self.node.http_server
        server.connections.update(mock.Mock(phase=Phase.READING) for _ in range(count))
        server.count_unread_bytes = mock.Mock(return_value=unread_bytes)
        return server.count_unread_bytes

    @contextlib.asynccontextmanager
    async def run_watch(self):
        with CapturedLog() as messages:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.watch.run)
                yield messages
                nursery.cancel_scope.cancel()
        self.reader.close.assert_called_once_with()

    @on_mock_clock
    async def test_line_tells_what_the_node_holds(self):
        self.node.request_memory.used_bytes = 3 * MEGABYTE
        self.node.answer_memory.used_bytes = 2 * MEGABYTE
        self.node.executor.active_calls = 7
        self.add_callers(2, 1000)
        async with self.run_watch() as messages:
            await trio.sleep(10)
            self.assertEqual(messages, [])
            self.set_resident(51)
            await trio.sleep(10)
        (line,) = messages
        self.assertEqual(line["message_type"], "memory: share passed")
        self.assertEqual((line["share"], line["limit_bytes"]), (0.5, LIMIT_BYTES))
        self.assertEqual(line["resident_bytes"], 51 * MEGABYTE)
        self.assertEqual((line["unread_bytes"], line["running"]), (1000, 7))
        self.assertEqual(line["request_bytes"], 3 * MEGABYTE)
        self.assertEqual(line["answer_bytes"], 2 * MEGABYTE)
        held_bytes = line["request_bytes"] + line["connection_bytes"]
        self.assertEqual(line["held_bytes"], held_bytes)
        self.assertEqual(line["connections"], {"reading": 2})

    @params(
        # (resident MB, unread bytes, shares that are logged, most counts in a minute)
        (10, 19_000_000, [], 0),
        (40, 19_000_000, [0.5], 65),
        (40, 5_000_000, [], 65),
        (40, None, [], 65),
    )
    def test_unread_bytes_count_where_they_may_matter(self, *case):
        """Guards against a system call for each connection at each check."""
        self.check_unread_bytes(*case)

    @on_mock_clock
    async def check_unread_bytes(self, resident_mb, unread_bytes, shares, most_counts):
        count = self.add_callers(300, unread_bytes)
        self.set_resident(resident_mb)
        async with self.run_watch() as messages:
            await trio.sleep(60)
        self.assertEqual([line["share"] for line in messages], shares)
        self.assertLessEqual(count.call_count, most_counts)

    @on_mock_clock
    async def test_machine_of_unknown_memory_is_not_watched(self):
        node = Node(parse_settings(GOOD), NativeEnvironment())
        with trio.fail_after(1):
            await MemoryWatch(node, open_reader=mock.Mock(side_effect=OSError)).run()
