"""Tests of the decision log, metrics, durations, throttle and hedging."""

import unittest

import trio

from catkinpost.coordination.admission.throttle import MAX_REFUSED_SHARE, Throttle
from catkinpost.coordination.operation.operator_api import build_histogram
from catkinpost.coordination.routing.hedge import MAX_TOKENS, TOKENS_PER_CALL, Hedging
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.state.decision_log import MAX_DECISIONS, DecisionLog
from catkinpost.state.duration import DurationModel
from catkinpost.state.key_record import KeyRecordTable
from catkinpost.state.metric import MAX_SERIES, Metrics
from tests.clock import on_mock_clock


class TestDecisionLog(unittest.TestCase):
    @on_mock_clock
    async def test_repeated_decisions_are_counted_and_not_kept(self):
        log = DecisionLog()
        for _ in range(5):
            log.add("limit", "refuse", "shop", reason="full")
        await trio.sleep(2)
        log.add("limit", "refuse", "shop", reason="full")
        self.assertEqual([item.repeated for item in log.decisions], [0, 4])

    @on_mock_clock
    async def test_log_is_bounded(self):
        log = DecisionLog()
        for number in range(MAX_DECISIONS + 50):
            log.add("limit", "refuse", str(number), reason="full")
        self.assertEqual(len(log.decisions), MAX_DECISIONS)

    @on_mock_clock
    async def test_waiting_reader_gets_the_next_decision(self):
        log = DecisionLog()
        found = []

        async def wait():
            found.extend(await log.wait_for_decisions_after(0, 30.0))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait)
            await trio.sleep(5)
            log.add("limit", "refuse", "shop", reason="full")
        self.assertEqual([item.sequence for item in found], [1])
        self.assertEqual(await log.wait_for_decisions_after(1, 3.0), [])


class TestMetrics(unittest.TestCase):
    def test_histogram_is_kept_for_each_class_and_tenant(self):
        metrics = Metrics()
        for milliseconds in range(1, 101):
            metrics.record_call(
                "s", "c", "t", seconds=milliseconds / 1000, failure=None
            )
        metrics.record_call(
            "s", "c", "u", seconds=1.0, failure=Failure(reason=Reason.QUEUE_FULL)
        )
        (row,) = build_histogram(metrics).latencies
        self.assertEqual((row.tenant, row.count), ("t", 100))
        self.assertAlmostEqual(row.percentiles_ms["p50"], 50, delta=1)

    def test_number_of_series_is_bounded(self):
        metrics = Metrics()
        for number in range(MAX_SERIES * 2):
            metrics.record_call("s", "c", str(number), seconds=0.1, failure=None)
        self.assertLessEqual(len(metrics.series), MAX_SERIES + 1)


class TestDurationModel(unittest.TestCase):
    def test_long_requests_are_told_within_a_class_by_path(self):
        model = DurationModel()
        for _ in range(50):
            model.record_duration("lookup", "/small", 0.01)
        for _ in range(10):
            model.record_duration("lookup", "/all", 1.0)
        self.assertTrue(model.is_long("lookup", "/all"))
        self.assertFalse(model.is_long("lookup", "/small"))
        self.assertFalse(model.is_long("other", "/"))


class TestThrottle(unittest.TestCase):
    @on_mock_clock
    async def test_nothing_is_refused_while_the_target_accepts(self):
        throttle = Throttle()
        for _ in range(200):
            throttle.record_request("sets", 2, accepted=True)
        self.assertEqual(throttle.get_refusal_probability("sets", 2), 0.0)

    @on_mock_clock
    async def test_refusals_concern_their_own_rank_and_some_calls_always_probe(self):
        throttle = Throttle()
        for _ in range(500):
            throttle.record_request("sets", 2, accepted=False)
        self.assertEqual(throttle.get_refusal_probability("sets", 2), MAX_REFUSED_SHARE)
        self.assertEqual(throttle.get_refusal_probability("sets", 0), 0.0)

    @on_mock_clock
    async def test_refusals_are_forgotten_soon(self):
        throttle = Throttle()
        for _ in range(100):
            throttle.record_request("sets", 2, accepted=False)
        await trio.sleep(5.0)
        self.assertLess(throttle.get_refusal_probability("sets", 2), 0.2)

    @on_mock_clock
    async def test_looking_ahead_counts_nothing(self):
        """Regression: looking ahead counted requests and throttled for ever."""
        throttle = Throttle()
        for _ in range(100):
            throttle.record_request("sets", 2, accepted=True)
            throttle.draw_refusal("sets", 2)
        self.assertEqual(throttle.get_refusal_probability("sets", 2), 0.0)


class TestHedging(unittest.TestCase):
    def test_delay_is_near_the_95th_percentile(self):
        hedging = Hedging()
        self.assertIsNone(hedging.get_delay("lookup", 0.01))
        for number in range(4000):
            hedging.record_response_time("lookup", 0.1 if number % 20 == 0 else 0.01)
        self.assertLess(0.009, hedging.get_delay("lookup", 1.0))
        self.assertLess(hedging.get_delay("lookup", 1.0), 0.11)

    def test_delay_is_bounded_while_many_calls_are_slow(self):
        hedging = Hedging()
        for _ in range(100):
            hedging.record_response_time("lookup", 0.3)
        self.assertAlmostEqual(hedging.get_delay("lookup", 0.03), 0.09)

    def test_hedges_are_a_small_share_of_calls(self):
        hedging = Hedging()
        spent = 0
        for _ in range(1000):
            hedging.record_response_time("lookup", 0.01)
            spent += hedging.acquire_token()
        self.assertLessEqual(spent, 1000 * TOKENS_PER_CALL + MAX_TOKENS)


class TestKeyRecords(unittest.TestCase):
    @on_mock_clock
    async def test_key_is_forgotten_after_its_lifetime_but_not_while_it_runs(self):
        records = KeyRecordTable(10.0)
        records.record_fence("fenced", "other#1")
        running = records.record_run("running", "me#1", b"f")
        await trio.sleep(11)
        self.assertIsNone(records.find("fenced"))
        self.assertIs(records.find("running"), running)
