"""Tests of what the plan of a soak counts as a fault of a process."""

import random
import signal
import unittest
from unittest import mock

from nose2.tools import params

from catkinpost_standins.users_platform.plan import DEPLOYMENTS, Plan
from tests.clock import on_mock_clock


class TestEndOfProcess(unittest.TestCase):
    @params(
        # (status, log, whether the interpreter was set up at SIGHUP, whether it is
        # a fault)
        ("as asked", 0, "", True, False),
        ("SIGTERM before it is set up", -signal.SIGTERM, "", True, False),
        ("SIGTERM", -signal.SIGTERM, "started", True, True),
        ("SIGHUP at its start", -signal.SIGHUP, "", False, False),
        ("SIGHUP before it is set up", -signal.SIGHUP, "", True, True),
        ("SIGHUP", -signal.SIGHUP, "started", False, True),
        ("exception", 1, "", False, True),
    )
    def test_only_ends_that_no_program_can_prevent_are_no_faults(
        self, _name, status, log, has_interpreter, is_fault
    ):
        """Guards against ends of a process that pass as allowed."""
        self.check_end(status, log, has_interpreter, is_fault)

    @on_mock_clock
    async def check_end(self, status, log, has_interpreter, is_fault):
        fleet = mock.Mock()
        fleet.read_log.return_value = log
        fleet.has_interpreter.return_value = has_interpreter
        plan = Plan(
            fleet=fleet,
            deployment=DEPLOYMENTS["dense"],
            random=random.Random(1),
            prepare=mock.Mock(),
            run_burst=mock.Mock(),
        )
        machine = mock.Mock(host="127.0.0.21")
        machine.process.wait.return_value = status
        machine.process.poll.return_value = None
        plan.send_hangup(machine)
        plan.check_end(machine)
        self.assertEqual(len(plan.faults), is_fault)
