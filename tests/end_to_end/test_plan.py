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


def make_plan(fleet):
    return Plan(
        fleet=fleet,
        deployment=DEPLOYMENTS["dense"],
        random=random.Random(1),
        prepare=mock.Mock(),
        run_burst=mock.Mock(),
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
        plan = make_plan(fleet)
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


class TestOperator(unittest.TestCase):
    @on_mock_clock
    async def test_probers_ask_for_routes_just_added_or_removed(self):
        """Guards against versions that no request can tell apart."""
        fleet = mock.Mock()
        fleet.store.is_down = False
        plan = make_plan(fleet)
        changed = set()
        for _ in range(30):
            before = {route["name"] for route in plan.configuration["routes"]}
            await plan.change_configuration()
            routes = plan.configuration["routes"]
            names = before.symmetric_difference(route["name"] for route in routes)
            never, *probes = [call.route for call in plan.probes]
            self.assertEqual(never, "never")
            self.assertLessEqual(names, set(probes))
            changed |= names
        self.assertGreater(len(changed), len(probes))

    @on_mock_clock
    async def test_entries_that_were_withdrawn_are_not_written_again(self):
        """Guards against a drain that the plan itself takes back."""
        fleet = mock.Mock()
        for number in range(3):
            machine = mock.Mock()
            machine.server.instance = f"i-{number}"
            machine.server.scope.cancel_called = number == 2
            fleet.machines = [*(fleet.machines if number else []), machine]
        fleet.store.items = {f"servers/i-{number}": {} for number in range(3)}
        plan = make_plan(fleet)
        plan.withdrawn.add("i-1")
        plan.write_again()
        removed = [call.args[0] for call in fleet.store.put.call_args_list]
        self.assertEqual(removed, ["servers/i-1", "servers/i-2"])
        registered = [call.args[0] for call in fleet.register.call_args_list]
        self.assertEqual(registered, fleet.machines[:1])
