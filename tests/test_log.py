"""Tests of writing log lines to a pipe."""

import json
import os
import unittest

from catkinpost.log import LogSink

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
