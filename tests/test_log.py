"""Tests of writing log lines to a pipe."""

import contextlib
import errno
import io
import json
import logging
import os
import sys
import unittest
import warnings
from unittest import mock

import eliot
import trio

from catkinpost.log import LogSink, start_log
from tests.clock import on_mock_clock
from tests.log import CapturedLog

LINE = '{"message_type":"node: started"}\n'


class TestLogSink(unittest.TestCase):
    def setUp(self):
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.sink = LogSink(writer, max_unread_bytes=1000)

    def read_lines(self):
        os.set_blocking(self.reader, False)
        parts = []
        try:
            while True:
                parts.append(os.read(self.reader, 65536))
                self.sink.flush()
        except BlockingIOError:
            return b"".join(parts).decode().splitlines()

    def test_lines_arrive_whole_and_in_order(self):
        for number in range(10):
            self.sink.write(json.dumps({"number": number}) + "\n")
        numbers = [json.loads(line)["number"] for line in self.read_lines()]
        self.assertEqual(numbers, list(range(10)))

    def test_pipe_that_nobody_reads_does_not_block(self):
        """Lines beyond what the pipe and the sink hold are dropped and counted."""
        count = 20_000
        for _ in range(count):
            self.sink.write(LINE)
        self.assertLessEqual(len(self.sink.unread), 1000)
        dropped = self.sink.dropped_lines
        self.assertGreater(dropped, 0)
        lines = self.read_lines()
        self.assertEqual(len(lines) + dropped, count)
        self.sink.write(LINE)
        note, line = self.read_lines()
        self.assertEqual(json.loads(note)["count"], dropped)
        self.assertEqual(line + "\n", LINE)

    def test_reader_that_is_gone_does_not_end_the_node(self):
        other, writer = os.pipe()
        sink = LogSink(writer)
        os.close(other)
        sink.write(LINE)
        os.close(writer)


class ShortListener(trio.abc.Listener):
    """Listener that never has a descriptor for its connections."""

    async def accept(self):
        await trio.lowlevel.checkpoint()
        raise OSError(errno.EMFILE, "no descriptor is left")

    async def aclose(self):
        await trio.lowlevel.checkpoint()


class TestStartLog(unittest.TestCase):
    @on_mock_clock
    async def test_shortage_of_descriptors_writes_nothing_to_standard_error(self):
        """Guards against a node that waits for the reader of its standard error."""
        errors = io.StringIO()
        with (
            mock.patch.object(logging.getLogger(), "handlers", []),
            mock.patch.object(eliot, "to_file"),
            contextlib.redirect_stderr(errors),
            CapturedLog() as messages,
        ):
            start_log(1)
            with trio.move_on_after(1.0):
                await trio.serve_listeners(None, [ShortListener()])
        self.assertEqual(errors.getvalue(), "")
        texts = [item.get("message", "") for item in messages]
        self.assertTrue(any("EMFILE" in text for text in texts), texts)

    def test_what_nobody_can_catch_is_logged(self):
        """Guards against a node that waits for the reader of its standard error."""
        errors = io.StringIO()
        with (
            mock.patch.object(logging.getLogger(), "handlers", []),
            mock.patch.object(sys, "unraisablehook"),
            mock.patch.object(eliot, "to_file"),
            warnings.catch_warnings(),
            contextlib.redirect_stderr(errors),
            CapturedLog() as messages,
        ):
            start_log(1)
            self.addCleanup(logging.captureWarnings, False)
            warnings.simplefilter("always")
            warnings.warn("a warning", stacklevel=1)
            Unraisable()
        self.assertEqual(errors.getvalue(), "")
        text = repr(messages)
        self.assertIn("a warning", text)
        self.assertIn("an exception", text)


class Unraisable:
    def __del__(self):
        raise ValueError("an exception")
