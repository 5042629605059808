"""Tests of finding one request in the logs of several nodes."""

import json
import tempfile
import unittest
from pathlib import Path

from nose2.tools import params
from typer.testing import CliRunner

from catkinpost.command.client import app
from catkinpost.command.explanation import find_request_lines


def make_line(time, kind, request, prefix="", **fields):
    fields |= {"timestamp": time, "message_type": kind, "request": request}
    return f"{prefix}{json.dumps(fields)}\n"


ATTEMPT = {"instance": "10.1.0.3", "result": "leaving", "seconds": 0.02}
ENTRY = make_line(
    12.5, "entry: failed", "a-1", detail="peer-silent: no answer", attempts=[ATTEMPT]
)
TARGET = make_line(12.25, "target: refused", "a-1", prefix="node-2 ", queued=9)
OTHER = make_line(12.0, "entry: late", "a-2", detail="of a-1 nothing")


class TestExplanation(unittest.TestCase):
    def test_lines_of_a_request_in_order_of_time(self):
        found = find_request_lines([ENTRY, OTHER, TARGET], "a-1")
        self.assertEqual(
            [item.kind for item in found], ["target: refused", "entry: failed"]
        )
        self.assertEqual(found[0].prefix, "node-2")
        self.assertEqual(found[0].fields["queued"], 9)

    @params("", "no JSON a-1", "{a-1", '{"request": ["a-1"]}', '["a-1"]')
    def test_other_lines_are_skipped(self, line):
        self.assertEqual(find_request_lines([line], "a-1"), [])

    def test_command_reads_files_and_standard_input(self):
        with tempfile.TemporaryDirectory() as folder:
            first, second = Path(folder) / "1.log", Path(folder) / "2.log"
            first.write_text(ENTRY + OTHER)
            second.write_text(TARGET)
            files = CliRunner().invoke(app, ["explain", "a-1", str(first), str(second)])
        piped = CliRunner().invoke(app, ["explain", "a-1"], input=ENTRY + TARGET)
        for result in (files, piped):
            self.assertEqual(result.exit_code, 0, result.output)
            self.assertIn("peer-silent: no answer", result.output)
            self.assertIn("attempt 1: instance 10.1.0.3, result leaving", result.output)

    def test_unknown_request_and_unreadable_file(self):
        unknown = CliRunner().invoke(app, ["explain", "a-3"], input=ENTRY)
        self.assertEqual(unknown.exit_code, 1)
        missing = CliRunner().invoke(app, ["explain", "a-1", "no-such.log"])
        self.assertEqual(missing.exit_code, 2)
