"""Tests of what a process logs at its start and its end."""

import os
import resource
import unittest
from unittest import mock

import msgspec
import trio

from catkinpost.process import MAX_TRACEBACK_CHARACTERS, log_failure, log_start
from catkinpost.protocol.settings import BoundsSection
from tests.log import CapturedLog


class TestLogStart(unittest.TestCase):
    def test_limits_are_told(self):
        bounds = msgspec.structs.replace(
            BoundsSection(), machine_memory_bytes=80_000_000
        )
        limits = {
            resource.RLIMIT_AS: (resource.RLIM_INFINITY, resource.RLIM_INFINITY),
            resource.RLIMIT_NOFILE: (300, 400),
        }
        with (
            mock.patch.object(resource, "getrlimit", limits.__getitem__),
            CapturedLog() as messages,
        ):
            log_start(bounds)
        (line,) = messages
        self.assertEqual(line["pid"], os.getpid())
        self.assertEqual(line["machine_memory_bytes"], 80_000_000)
        self.assertEqual(line["descriptors"], 300)
        self.assertIsNone(line["address_space_bytes"])
        self.assertEqual(line["held_memory_bytes"], bounds.held_memory_bytes)


async def fail():
    async with trio.open_nursery() as nursery:
        for _ in range(100):
            nursery.start_soon(fail_in_task)


async def fail_in_task():
    raise ValueError("a task failed")


class TestLogFailure(unittest.TestCase):
    def test_exception_that_ends_the_process_is_logged(self):
        """Guards against a log that looks like that of a killed process."""
        with (
            CapturedLog() as messages,
            self.assertRaises(ExceptionGroup),
            log_failure(),
        ):
            trio.run(fail)
        line = messages[-1]
        self.assertEqual(line["message_type"], "process: failed")
        self.assertIn("a task failed", line["why"])
        self.assertIn("in fail_in_task", line["traceback"])
        self.assertLessEqual(len(line["traceback"]), MAX_TRACEBACK_CHARACTERS)
