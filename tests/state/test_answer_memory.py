"""Tests of the memory for answers."""

import dataclasses
import unittest

import trio
from nose2.tools import params

from catkinpost.protocol.outcome import Outcome, Reason
from catkinpost.state.answer_memory import FREE_BYTES, STALL_TIMEOUT_S, AnswerMemory
from catkinpost.state.decision_log import DecisionLog
from tests.clock import on_mock_clock

MAX_BYTES = 1_000_000
THIRD = MAX_BYTES // 3


@dataclasses.dataclass(eq=False)
class Reader:
    progressed_at: float = 0.0
    may_give_up: bool = True
    is_given_up: bool = False

    def give_up(self):
        self.is_given_up = self.may_give_up
        return self.may_give_up


class TestAnswerMemory(unittest.TestCase):
    def setUp(self):
        self.memory = AnswerMemory(MAX_BYTES, DecisionLog())
        self.readers = [Reader() for _ in range(5)]

    def hold(self, number, size=THIRD):
        return self.memory.hold(self.readers[number], size)

    def get_given_up(self):
        return [item.is_given_up for item in self.readers]

    @on_mock_clock
    async def test_answer_beyond_the_bound_is_dropped_as_unknown(self):
        """Guards against a process that is killed over its memory."""
        for number in range(3):
            self.assertIsNone(self.hold(number))
        failure = self.hold(3)
        self.assertIs(failure.reason, Reason.ANSWER_MEMORY_FULL)
        self.assertIs(failure.outcome, Outcome.UNKNOWN)
        self.assertEqual(failure.status, 502)
        self.assertLessEqual(self.memory.used_bytes, MAX_BYTES)
        self.assertEqual(self.get_given_up(), [False] * 5)

    @on_mock_clock
    async def test_readers_that_take_nothing_make_room(self):
        for number in range(3):
            self.assertIsNone(self.hold(number))
            await trio.sleep(0.1)
        await trio.sleep(STALL_TIMEOUT_S)
        self.readers[0].progressed_at = trio.current_time()
        self.assertIsNone(self.hold(3))
        # The one that stands still for the longest time goes, and only that one.
        self.assertEqual(self.get_given_up(), [False, True, False, False, False])
        self.assertEqual(self.memory.used_bytes, 3 * THIRD)

    @on_mock_clock
    async def test_reader_that_takes_small_parts_is_not_dropped(self):
        for number in (0, 0, 1):
            self.assertIsNone(self.hold(number))
        await trio.sleep(STALL_TIMEOUT_S + 1)
        self.memory.release(self.readers[0], THIRD)
        self.assertIsNone(self.hold(2))
        self.assertIsNone(self.hold(3))
        self.assertEqual(self.get_given_up(), [False, True, False, False, False])

    @on_mock_clock
    async def test_reader_that_keeps_its_answers_stays_counted(self):
        self.readers[0].may_give_up = False
        self.hold(0, MAX_BYTES)
        await trio.sleep(STALL_TIMEOUT_S + 1)
        self.assertIsNotNone(self.hold(1))
        self.assertEqual(self.memory.used_bytes, MAX_BYTES)

    @params((FREE_BYTES, True), (FREE_BYTES + 1, False))
    def test_answers_within_the_room_of_a_reader_are_not_counted(self, size, is_held):
        self.check_small_answer(size, is_held)

    @on_mock_clock
    async def check_small_answer(self, size, is_held):
        self.hold(0, MAX_BYTES)
        self.assertEqual(self.hold(1, size) is None, is_held)
        self.memory.release(self.readers[1], size)
        self.assertEqual(self.memory.used_bytes, MAX_BYTES)

    @on_mock_clock
    async def test_small_answers_of_one_reader_add_up(self):
        """Guards against many small answers for each of many slow readers."""
        self.hold(0, MAX_BYTES)
        size = FREE_BYTES // 4
        for _ in range(4):
            self.assertIsNone(self.hold(1, size))
        self.assertIsNotNone(self.hold(1, size))
        self.memory.release(self.readers[1], size)
        self.assertIsNone(self.hold(1, size))
        self.memory.release_all(self.readers[1])
        self.assertEqual(self.memory.used_bytes, MAX_BYTES)

    @on_mock_clock
    async def test_only_answer_may_exceed_the_bound(self):
        self.assertIsNone(self.hold(0, 2 * MAX_BYTES))
        self.assertIsNotNone(self.hold(1))
        self.memory.release(self.readers[0], 2 * MAX_BYTES)
        self.assertIsNone(self.hold(1))

    @on_mock_clock
    async def test_bytes_are_released_once(self):
        self.hold(0)
        self.hold(0)
        self.memory.release(self.readers[0], THIRD)
        self.assertEqual(self.memory.used_bytes, THIRD)
        self.memory.release_all(self.readers[0])
        self.memory.release(self.readers[0], THIRD)
        self.memory.release_all(self.readers[0])
        self.assertEqual((self.memory.used_bytes, self.memory.held), (0, {}))
