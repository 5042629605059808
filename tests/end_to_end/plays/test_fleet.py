"""Tests of what a play counts as a fault of a process."""

import signal
import unittest
from pathlib import Path
from unittest import mock

from nose2.tools import params

from catkinpost_standins.plays.fleet import Machine


class TestMachine(unittest.TestCase):
    @params(
        # (status, whether it was sent SIGTERM, whether it is a fault)
        (None, False, False),
        (0, True, False),
        (0, False, True),
        (1, True, True),
        (-signal.SIGTERM, True, False),
        (-signal.SIGKILL, False, True),
    )
    def test_end_by_itself_is_a_fault(self, status, is_stopped, is_fault):
        """Guards against processes that end in order when nobody asked them to."""
        machine = Machine(0, "127.0.0.1", mock.Mock(), "r", Path(), 1)
        process = mock.Mock()
        process.poll.return_value = status
        machine.stopped = {process} if is_stopped else set()
        machine.check_exit(process, (-signal.SIGTERM,))
        self.assertEqual(bool(machine.ends), is_fault)
