"""Tests of the adaptive concurrency limit."""

import unittest

from nose2.tools import params

from catkinpost.coordination.admission.limiter import ConcurrencyLimiter
from catkinpost.protocol.policy import Mode, ServiceSection
from catkinpost.state.decision_log import DecisionLog
from tests.clock import on_mock_clock

BASE_S = 0.01


def make_limiter(**options):
    fields = {"owner": "test", "slots": 40, "slow_start": 0} | options
    return ConcurrencyLimiter(ServiceSection(**fields), DecisionLog())


class FakeBackend:
    """Service time as a function of concurrency.

    :param capacity: concurrency above which requests queue in the backend server.
    :param factor: factor of the service time at every concurrency.
    """

    def __init__(self, capacity, factor=1.0):
        self.capacity = capacity
        self.factor = factor

    def get_service_time_s(self, in_flight):
        return BASE_S * self.factor * max(1.0, in_flight / self.capacity)


def simulate_load(limiter, backend, seconds, start=0.0, share=1.0):
    """Simulate a load that uses a share of the limit for some seconds."""
    now = start
    while now < start + seconds:
        in_flight = max(1, int(limiter.get_limit() * share))
        service_time_s = backend.get_service_time_s(in_flight)
        limiter.record_service_time("lookup", service_time_s, in_flight, now)
        now += service_time_s / in_flight
    return now


class TestConcurrencyLimiter(unittest.TestCase):
    @on_mock_clock
    async def test_limit_falls_when_the_backend_server_queues_inside(self):
        limiter = make_limiter()
        now = simulate_load(limiter, FakeBackend(10), 2.0, share=0.2)
        simulate_load(limiter, FakeBackend(10), 20.0, now)
        self.assertLess(limiter.limit, 30)
        self.assertGreaterEqual(limiter.limit, 10)

    @on_mock_clock
    async def test_limit_is_kept_when_slowness_does_not_depend_on_it(self):
        limiter = make_limiter()
        now = simulate_load(limiter, FakeBackend(100), 2.0, share=0.2)
        now = simulate_load(limiter, FakeBackend(100, factor=10), 60.0, now)
        self.assertGreaterEqual(limiter.limit, 32)

    @on_mock_clock
    async def test_limit_climbs_back_after_the_slowness_has_passed(self):
        limiter = make_limiter()
        now = simulate_load(limiter, FakeBackend(100), 2.0, share=0.2)
        now = simulate_load(limiter, FakeBackend(8, factor=5), 20.0, now)
        self.assertLess(limiter.limit, 40)
        now = simulate_load(limiter, FakeBackend(100), 15.0, now)
        self.assertEqual(limiter.limit, 40)

    @on_mock_clock
    async def test_new_backend_server_gets_its_share_step_by_step(self):
        limiter = make_limiter(slow_start=10.0)
        limits = [limiter.limit]
        now = 0.0
        for _ in range(20):
            now = simulate_load(limiter, FakeBackend(100), 1.0, now)
            limits.append(limiter.limit)
        self.assertEqual(limits[0], 10)
        self.assertEqual(limits[-1], 40)
        self.assertEqual(limits, sorted(limits))

    @params(
        {"admission": Mode.OBSERVE},
        {"freeze": True},
        {"admission": Mode.OFF},
    )
    def test_switch_keeps_the_limit(self, options):
        self.check_switch(options)

    @on_mock_clock
    async def check_switch(self, options):
        limiter = make_limiter(**options)
        now = simulate_load(limiter, FakeBackend(100), 2.0, share=0.2)
        simulate_load(limiter, FakeBackend(5), 20.0, now)
        self.assertEqual(limiter.get_limit(), 40)

    @on_mock_clock
    async def test_policy_change_keeps_the_limit_within_its_bounds(self):
        limiter = make_limiter()
        limiter.update_section(ServiceSection(owner="test", slots=8))
        self.assertEqual(limiter.limit, 8)
