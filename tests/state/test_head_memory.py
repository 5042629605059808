"""Tests of the memory for requests of callers, and of the common bound."""

import dataclasses
import unittest
from unittest import mock

from nose2.tools import params

from catkinpost.protocol.outcome import Outcome, Reason
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.head_memory import FREE_BYTES, HeadMemory
from catkinpost.state.memory_account import MemoryAccount
from catkinpost.state.request_memory import RequestMemory
from tests.clock import on_mock_clock

MAX_BYTES = 1_000_000
THIRD = MAX_BYTES // 3


@dataclasses.dataclass(eq=False)
class Holder:
    is_unread: bool = True
    failure: object = None

    def drop_unread(self, failure):
        self.failure = failure


class TestHeadMemory(unittest.TestCase):
    def setUp(self):
        self.memory = HeadMemory(MAX_BYTES, DecisionLog())
        self.holders = [Holder() for _ in range(5)]

    def update(self, number, size=THIRD):
        return self.memory.update(self.holders[number], size)

    def get_dropped(self):
        return [number for number in range(5) if self.holders[number].failure]

    @on_mock_clock
    async def test_equal_request_beyond_the_bound_is_refused(self):
        for number in range(3):
            self.assertIsNone(self.update(number))
        failure = self.update(3)
        self.assertIs(failure.reason, Reason.REQUEST_MEMORY_FULL)
        self.assertIs(failure.outcome, Outcome.NOT_RUN)
        self.assertGreater(failure.retry_after, 0)
        self.assertEqual(self.get_dropped(), [])
        self.assertEqual(self.memory.used_bytes, 3 * THIRD)

    @params(
        # (whether each is incomplete, which are dropped, whether the new one is held)
        ([True, True, True], [1], True),
        ([True, False, True], [0], True),
        ([False, False, False], [], False),
    )
    def test_largest_incomplete_request_makes_room(self, are_unread, dropped, is_held):
        self.check_room(are_unread, dropped, is_held)

    @on_mock_clock
    async def check_room(self, are_unread, dropped, is_held):
        for number, size in enumerate((300_000, 400_000, 250_000)):
            self.holders[number].is_unread = are_unread[number]
            self.assertIsNone(self.update(number, size))
        self.assertEqual(self.update(3, 200_000) is None, is_held)
        self.assertEqual(self.get_dropped(), dropped)
        self.assertLessEqual(self.memory.used_bytes, MAX_BYTES)

    @on_mock_clock
    async def test_request_that_grows_does_not_drop_itself(self):
        self.update(0, 400_000)
        self.update(1, 300_000)
        self.assertIsNotNone(self.update(0, 800_000))
        self.assertEqual(self.get_dropped(), [])
        self.assertEqual(self.memory.sizes[self.holders[0]], 400_000)

    @on_mock_clock
    async def test_each_holder_has_room_of_its_own(self):
        self.holders[0].is_unread = False
        self.update(0, MAX_BYTES)
        self.assertIsNone(self.update(1, FREE_BYTES))
        self.assertIsNotNone(self.update(1, FREE_BYTES + 1))
        self.assertEqual(self.memory.used_bytes, MAX_BYTES)

    @on_mock_clock
    async def test_only_holder_may_exceed_the_bound(self):
        self.holders[0].is_unread = False
        self.assertIsNone(self.update(0, 2 * MAX_BYTES))
        self.assertIsNotNone(self.update(1))
        self.assertIsNone(self.update(0, 100))
        self.memory.remove(self.holders[0])
        self.assertEqual((self.memory.used_bytes, self.memory.sizes), (0, {}))


class TestMemoryAccount(unittest.TestCase):
    """Guards against parts that are full at the same time."""

    @on_mock_clock
    async def test_parts_share_one_bound(self):
        account = MemoryAccount(MAX_BYTES)
        heads = HeadMemory(MAX_BYTES, DecisionLog(), account)
        bodies = RequestMemory(MAX_BYTES, DecisionLog(), account=account)
        connections = mock.Mock(used_bytes=THIRD)
        account.parts += [heads, bodies, connections]
        holders = [Holder(), Holder()]
        self.assertIsNone(heads.update(holders[0], 50_000))
        body = bodies.reserve_now(200_000)
        self.assertIsNotNone(heads.update(holders[1], 600_000))
        self.assertIsNone(bodies.reserve_now(250_000 + THIRD))
        self.assertFalse(body.grow(800_000))
        connections.used_bytes = 0
        self.assertTrue(body.grow(800_000))
        self.assertIsNone(heads.update(holders[1], 100_000))
        self.assertEqual(account.used_bytes, 950_000)


if __name__ == "__main__":
    unittest.main()
