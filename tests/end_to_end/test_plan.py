"""Tests of what the plan of a soak counts as a fault of a process."""

import random
import signal
import unittest
from unittest import mock

from nose2.tools import params

from catkinpost_standins.users_platform.plan import DEPLOYMENTS, Plan
from tests.clock import on_mock_clock

# Ends of processes that were not sent SIGTERM.
UNASKED_ENDS = (
    "by itself",
    "by itself before it is set up",
    "SIGTERM of another",
    "SIGHUP alone at its start",
)


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
        ("by itself", 0, "started", True, True),
        ("by itself before it is set up", 0, "", False, True),
        ("SIGTERM of another", -signal.SIGTERM, "", False, True),
        ("SIGHUP alone at its start", -signal.SIGHUP, "", False, False),
    )
    def test_only_ends_that_no_program_can_prevent_are_no_faults(
        self, name, status, log, has_interpreter, is_fault
    ):
        """Guards against ends of a process that pass as allowed."""
        is_stopped = name not in UNASKED_ENDS
        self.check_end(status, log, has_interpreter, is_stopped, is_fault)

    @on_mock_clock
    async def check_end(self, status, log, has_interpreter, is_stopped, is_fault):
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
        if is_stopped:
            plan.stopped.add(machine.process)
        machine.process.poll.return_value = status
        fleet.machines = [machine]
        plan.check_processes()
        self.assertEqual(len(plan.faults), is_fault)
