"""Tests of the memory for requests."""

import unittest

import trio
from nose2.tools import params

from catkinpost.protocol.outcome import Failure, Outcome, Reason
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.request_memory import (
    LARGE_BODY_BYTES,
    MAX_WAIT_S,
    RequestMemory,
    Reservation,
)
from tests.clock import on_mock_clock, wait_all_tasks_blocked

MAX_BYTES = 64 * LARGE_BODY_BYTES
LARGEST = MAX_BYTES - MAX_BYTES // 8


class TestRequestMemory(unittest.TestCase):
    def setUp(self):
        self.memory = RequestMemory(MAX_BYTES, DecisionLog())
        self.results = []

    async def reserve(self, size):
        self.results.append(await self.memory.reserve(size))

    @on_mock_clock
    async def test_large_bodies_wait_in_order_and_get_their_turn(self):
        async with trio.open_nursery() as nursery:
            first = await self.memory.reserve(LARGEST)
            for size in (LARGEST - 1, 2 * LARGE_BODY_BYTES):
                nursery.start_soon(self.reserve, size)
                await wait_all_tasks_blocked()
            self.assertEqual(self.results, [])
            first.release()
            await wait_all_tasks_blocked()
            self.assertEqual([item.size for item in self.results], [LARGEST - 1])
            self.results[0].release()
        self.assertEqual(self.results[1].size, 2 * LARGE_BODY_BYTES)

    @on_mock_clock
    async def test_other_bodies_pass_waiting_large_ones(self):
        async with trio.open_nursery() as nursery:
            await self.memory.reserve(LARGEST)
            nursery.start_soon(self.reserve, LARGEST)
            await wait_all_tasks_blocked()
            for _ in range(8):
                self.assertIsNotNone(self.memory.reserve_now(LARGE_BODY_BYTES))
            nursery.cancel_scope.cancel()

    @on_mock_clock
    async def test_wait_is_bounded_and_the_refusal_promises_no_run(self):
        await self.memory.reserve(LARGEST)
        started_at = trio.current_time()
        result = await self.memory.reserve(LARGEST)
        self.assertEqual(trio.current_time() - started_at, MAX_WAIT_S)
        self.assertEqual(result.reason, Reason.REQUEST_MEMORY_FULL)
        self.assertEqual(result.outcome, Outcome.NOT_RUN)
        self.assertEqual(result.status, 503)
        self.assertGreater(result.retry_after, 0)
        self.assertEqual(self.memory.used_bytes, LARGEST)
        self.assertEqual(self.memory.decisions.decisions[0].mechanism, "memory")

    @on_mock_clock
    async def test_body_that_can_never_fit_fails_at_once(self):
        result = await self.memory.reserve(LARGEST + 1)
        self.assertEqual(result.reason, Reason.REQUEST_MEMORY_FULL)
        self.assertEqual(result.outcome, Outcome.NOT_RUN)
        self.assertEqual(result.status, 503)
        self.assertIsNone(result.retry_after)
        self.assertEqual(trio.current_time(), 0)

    @params(
        # (allowed size, largest reserved size)
        (0, LARGEST),
        (LARGEST - 1, LARGEST),
        (LARGEST + 1, LARGEST + 1),
        (MAX_BYTES, MAX_BYTES),
        (2 * MAX_BYTES, MAX_BYTES),
    )
    @on_mock_clock
    async def test_share_of_the_others_keeps_out_no_allowed_body(self, allowed, size):
        """Guards against a 413 for a body that the settings allow."""
        memory = RequestMemory(MAX_BYTES, DecisionLog(), largest_bytes=allowed)
        self.assertIsNone(memory.reserve_now(size + 1))
        self.assertEqual((await memory.reserve(size)).size, size)

    @params(False, True)
    @on_mock_clock
    async def test_cancelled_wait_keeps_no_memory(self, is_granted_meanwhile):
        first = await self.memory.reserve(LARGEST)
        async with trio.open_nursery() as nursery:
            for size in (LARGEST, 2 * LARGE_BODY_BYTES):
                nursery.start_soon(self.reserve, size)
                await wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()
            if is_granted_meanwhile:
                first.release()
        first.release()
        self.assertEqual(self.results, [])
        self.assertEqual(self.memory.used_bytes, 0)
        self.assertFalse(self.memory.waiters)

    @on_mock_clock
    async def test_end_of_a_wait_lets_the_next_large_body_in(self):
        first = await self.memory.reserve(LARGEST - 2 * LARGE_BODY_BYTES)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.reserve, LARGEST)
            await wait_all_tasks_blocked()
            await trio.sleep(MAX_WAIT_S / 2)
            nursery.start_soon(self.reserve, 2 * LARGE_BODY_BYTES)
        kinds = {type(item) for item in self.results}
        self.assertEqual(kinds, {Failure, Reservation})
        first.release()

    def test_growing_body_is_bounded_and_released_once(self):
        growing = self.memory.reserve_now(LARGE_BODY_BYTES)
        other = self.memory.reserve_now(LARGEST // 2)
        self.assertTrue(growing.grow(LARGEST // 2))
        self.assertFalse(growing.grow(LARGEST // 2 + 1))
        for reservation in (growing, other, growing):
            reservation.release()
        self.assertEqual(self.memory.used_bytes, 0)
