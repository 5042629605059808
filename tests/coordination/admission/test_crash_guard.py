"""Tests of the guard against requests that crash backend servers."""

import unittest

import trio
from nose2.tools import params

from catkinpost.coordination.admission.crash_guard import CrashGuard
from catkinpost.protocol.message import SuspectNotice
from catkinpost.protocol.outcome import Outcome, Reason
from catkinpost.protocol.policy import Mode
from catkinpost.state.decision_log import DecisionLog
from tests.clock import on_mock_clock


class Fleet:
    """Guards of several nodes that receive each other's notices."""

    def __init__(self, count):
        self.guards = [
            CrashGuard(
                instance=f"sets-{number}",
                broadcast=self.broadcast,
                decisions=DecisionLog(),
            )
            for number in range(count)
        ]

    def broadcast(self, message):
        for guard in self.guards:
            guard.apply_notice(message)


async def crash(guard, *fingerprints):
    for fingerprint in fingerprints:
        guard.record_start(fingerprint)
    guard.record_backend_crash()
    for fingerprint in fingerprints:
        guard.record_end(fingerprint, completed=False)
    await trio.sleep(2.0)


class TestCrashGuard(unittest.TestCase):
    @on_mock_clock
    async def test_request_is_stopped_after_two_crashes_anywhere(self):
        one, two, three = Fleet(3).guards
        await crash(one, b"bad")
        self.assertIsNone(two.check_request(b"bad"))
        await crash(two, b"bad")
        failure = three.check_request(b"bad")
        self.assertEqual(failure.reason, Reason.CRASH_SUSPECT)
        self.assertEqual(failure.outcome, Outcome.NOT_RUN)

    @on_mock_clock
    async def test_new_node_receives_the_known_suspects(self):
        one, two, _ = Fleet(3).guards
        await crash(one, b"bad")
        await crash(two, b"bad")
        (fresh,) = Fleet(1).guards
        for notice in one.build_suspect_notices():
            fresh.apply_notice(notice)
        self.assertEqual(fresh.check_request(b"bad").reason, Reason.CRASH_SUSPECT)
        # The same crashes in a second node's notices are not counted again.
        for notice in two.build_suspect_notices():
            fresh.apply_notice(notice)
        self.assertEqual(fresh.suspects.get_crash_count(b"bad"), 2)

    @on_mock_clock
    async def test_request_beside_the_crashing_one_is_released_when_it_completes(self):
        one, two = Fleet(2).guards
        await crash(one, b"bad", b"good")
        self.assertTrue(two.is_suspect(b"good"))
        two.record_start(b"good")
        two.record_end(b"good", completed=True)
        self.assertFalse(one.is_suspect(b"good"))
        self.assertTrue(one.is_suspect(b"bad"))

    @on_mock_clock
    async def test_known_suspect_takes_the_blame_alone(self):
        one, two = Fleet(2).guards
        await crash(one, b"bad")
        await crash(two, b"bad", b"beside")
        self.assertFalse(two.is_suspect(b"beside"))

    @on_mock_clock
    async def test_repeated_and_reordered_notices_change_nothing(self):
        guard = Fleet(1).guards[0]
        for crashes in (1, 1, 1):
            guard.apply_notice(SuspectNotice(b"bad", crashes, "sets-9"))
        self.assertIsNone(guard.check_request(b"bad"))

    @on_mock_clock
    async def test_lost_connections_of_one_crash_count_once(self):
        guard = Fleet(1).guards[0]
        guard.record_start(b"bad")
        guard.record_backend_crash()
        guard.record_backend_crash()
        self.assertEqual(guard.suspects.get_crash_count(b"bad"), 1)

    @params(Mode.OFF, Mode.OBSERVE)
    def test_mode_that_does_not_act_stops_nothing(self, mode):
        self.check_mode(mode)

    @on_mock_clock
    async def check_mode(self, mode):
        guard = Fleet(1).guards[0]
        guard.mode = mode
        for _ in range(4):
            await crash(guard, b"bad")
        self.assertIsNone(guard.check_request(b"bad"))
        self.assertFalse(guard.is_suspect(b"bad"))
