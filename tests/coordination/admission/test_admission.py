"""Tests of admission control: limit, queue, load shedding and reserve."""

import dataclasses
import unittest

import trio
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from nose2.tools import params

from catkinpost.coordination.admission.admission import (
    Admission,
    AdmissionPermit,
    RunWindow,
    WorkItem,
)
from catkinpost.protocol.outcome import Failure, Outcome, Reason
from catkinpost.protocol.policy import Mode, ServiceSection
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.duration import MIN_SAMPLES
from tests.clock import TrioDriver, on_mock_clock, wait_all_tasks_blocked

CRITICAL, NORMAL, SHEDDABLE = 0, 1, 2


def make_admission(**options):
    fields = {"owner": "test", "slots": 2, "slow_start": 0, "queue": 2} | options
    return Admission(ServiceSection(**fields), DecisionLog())


def make_item(rank=NORMAL, call_class="lookup", path="/", timeout=10.0):
    return WorkItem(
        rank=rank,
        deadline=trio.current_time() + timeout,
        call_class=call_class,
        path=path,
    )


async def record_durations(admission, call_class, seconds, count=20):
    """Record equal service times of a class."""
    for _ in range(count):
        admission.durations.record_duration(call_class, "/", seconds)


def make_waiting_item(useful_s, rank=SHEDDABLE):
    now = trio.current_time()
    return WorkItem(
        rank=rank,
        deadline=now + 10.0,
        useful_until=now + useful_s,
        call_class="lookup",
        path="/",
    )


class TestLateWakeUp(unittest.TestCase):
    @params(*range(4))
    def test_request_without_time_left_gets_no_slot(self, seed):
        """Guards against a run whose answer nobody waits for any more."""
        on_mock_clock(self.check_slot, seed=seed)()

    async def check_slot(self):
        admission = make_admission(slots=1, queue_wait=9.0)
        permit = await admission.acquire_slot(make_item())
        results = []

        async def enter():
            item = make_item(timeout=3.0)
            results.append(await admission.acquire_slot(item))

        async def end_run():
            await trio.sleep(2.0)
            admission.release_slot(permit, seconds=2.0)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(enter)
            nursery.start_soon(end_run)
            await wait_all_tasks_blocked()
            trio.lowlevel.current_clock().jump(4.0)
        self.assertIsInstance(results[0], Failure)
        self.assertIs(results[0].outcome, Outcome.NOT_RUN)
        self.assertEqual(admission.in_flight, 0)


class TestClassLimit(unittest.TestCase):
    @params((Mode.ON, True), (Mode.OBSERVE, False), (Mode.OFF, False))
    def test_limit_learned_before_acts_only_while_the_mode_is_on(self, mode, refused):
        self.check_mode(mode, refused)

    @on_mock_clock
    async def check_mode(self, mode, refused):
        admission = make_admission(slots=50, class_limiting=Mode.ON)
        admission.class_limiter.get_or_create_state("lookup").limit = 1
        await admission.acquire_slot(make_item(SHEDDABLE))
        section = ServiceSection(owner="test", slots=50, class_limiting=mode)
        admission.update_section(section)
        result = await admission.acquire_slot(make_item(SHEDDABLE))
        self.assertEqual(isinstance(result, Failure), refused)


class TestEarlyRefusal(unittest.TestCase):
    """Demand above capacity: requests that would be too late are refused early."""

    @params((Mode.ON, 1), (Mode.OBSERVE, 0), (Mode.OFF, 0))
    def test_hopeless_wait_is_refused_at_once(self, mode, refused):
        self.check_hopeless(mode, refused)

    @on_mock_clock
    async def check_hopeless(self, mode, refused):
        admission = make_admission(slots=2, queue=50, queue_wait=9, early_refusal=mode)
        await record_durations(admission, "lookup", 1.0)
        results = []

        async def enter():
            results.append(await admission.acquire_slot(make_waiting_item(1.2)))

        async with trio.open_nursery() as nursery:
            for _ in range(2):
                await admission.acquire_slot(make_waiting_item(1.2))
            for _ in range(3):
                # The third would wait for 1.5 s.
                nursery.start_soon(enter)
                await wait_all_tasks_blocked()
            self.assertEqual(len(results), refused)
            for failure in results:
                self.assertIs(failure.outcome, Outcome.NOT_RUN)
                self.assertTrue(1.0 <= failure.retry_after <= 2.0)
            nursery.cancel_scope.cancel()

    @on_mock_clock
    async def test_waiters_that_become_hopeless_are_refused_before_their_time(self):
        admission = make_admission(
            slots=1, min_slots=1, queue=50, queue_wait=9, early_refusal=Mode.ON
        )
        await record_durations(admission, "lookup", 1.0)
        results = []

        async def enter(rank):
            item = make_waiting_item(1.5 if rank == SHEDDABLE else 2.5, rank)
            result = await admission.acquire_slot(item)
            results.append((rank, isinstance(result, Failure), trio.current_time()))

        async with trio.open_nursery() as nursery:
            permit = await admission.acquire_slot(make_waiting_item(1.0))
            nursery.start_soon(enter, SHEDDABLE)
            await wait_all_tasks_blocked()
            for _ in range(3):
                nursery.start_soon(enter, CRITICAL)
                await wait_all_tasks_blocked()
            started = trio.current_time()
            admission.release_slot(permit, seconds=1.0)
            await wait_all_tasks_blocked()
            self.assertIn((SHEDDABLE, True, started), results)
            nursery.cancel_scope.cancel()


class TestRunWindow(unittest.TestCase):
    """Runs that must have ended by a time, as their node or server leaves."""

    async def enter(self, admission, results, rank=CRITICAL):
        result = await admission.acquire_slot(make_item(rank))
        results.append((type(result), trio.current_time()))
        if isinstance(result, Failure):
            self.assertIs(result.reason, Reason.LEAVING)
            self.assertIs(result.outcome, Outcome.NOT_RUN)
            self.assertTrue(result.retry_after)

    async def fill(self, nursery, admission, waiters, results):
        """Start one run and let others wait for its slot."""
        permit = await admission.acquire_slot(make_item(CRITICAL))
        for _ in range(waiters):
            nursery.start_soon(self.enter, admission, results)
            await wait_all_tasks_blocked()
        return permit

    @params(Mode.ON, Mode.OBSERVE, Mode.OFF)
    def test_waiters_that_cannot_end_in_time_are_refused_at_once(self, mode):
        self.check_waiters(mode)

    @on_mock_clock
    async def check_waiters(self, mode):
        admission = make_admission(
            slots=1, min_slots=1, queue=50, queue_wait=9, early_refusal=mode
        )
        await record_durations(admission, "lookup", 1.0)
        results = []
        async with trio.open_nursery() as nursery:
            permit = await self.fill(nursery, admission, 5, results)
            start = trio.current_time()
            admission.set_window("test", RunWindow(ends_at=start + 3.5))
            await wait_all_tasks_blocked()
            # The first three waiters end 1, 2 and 3 s from now at the earliest.
            self.assertEqual(results, [(Failure, start)] * 2)
            await trio.sleep(1.0)
            admission.release_slot(permit, seconds=1.0)
            await wait_all_tasks_blocked()
            self.assertEqual(results[2:], [(AdmissionPermit, start + 1.0)])
            nursery.cancel_scope.cancel()

    @params(Mode.ON, Mode.OFF)
    def test_requests_that_run_together_let_as_many_start(self, mode):
        """Regression: the end of one run refused those that others made room for."""
        self.check_round(mode)

    @on_mock_clock
    async def check_round(self, mode):
        admission = make_admission(
            slots=4, min_slots=4, queue=50, queue_wait=9, early_refusal=mode
        )
        await record_durations(admission, "lookup", 1.0)
        results = []
        async with trio.open_nursery() as nursery:
            items = [make_item(CRITICAL) for _ in range(4)]
            permits = [await admission.acquire_slot(item) for item in items]
            for _ in range(4):
                nursery.start_soon(self.enter, admission, results)
            await wait_all_tasks_blocked()
            start = trio.current_time()
            admission.set_window("test", RunWindow(ends_at=start + 2.1))
            await trio.sleep(1.0)
            for permit in permits:
                admission.release_slot(permit, seconds=1.0)
                await trio.sleep(0.01)
            self.assertEqual([kind for kind, _ in results], [AdmissionPermit] * 4)
            nursery.cancel_scope.cancel()

    @params((True, 12, 12), (False, 12, 12), (True, 600, 396), (False, 600, 396))
    def test_short_requests_that_can_end_in_time_are_served(self, before, count, least):
        """Regression: long runs of other classes counted as the wait of short ones."""
        self.check_short(before, count, least)

    @on_mock_clock
    async def check_short(self, window_before, count, least_served):
        admission = make_admission(slots=4, min_slots=4, queue=700, queue_wait=9)
        for _ in range(20):
            admission.durations.record_duration("report", "/", 4.0)
            admission.durations.record_duration("lookup", "/", 0.01)
        served = []

        async def enter():
            permit = await admission.acquire_slot(make_item(CRITICAL))
            if isinstance(permit, AdmissionPermit):
                await trio.sleep(0.01)
                admission.release_slot(permit, seconds=0.01)
                served.append(trio.current_time())

        window = RunWindow(ends_at=trio.current_time() + 1.0)
        async with trio.open_nursery() as nursery:
            if window_before:
                admission.set_window("test", window)
            for _ in range(count):
                nursery.start_soon(enter)
            await wait_all_tasks_blocked()
            admission.set_window("test", window)
        self.assertGreaterEqual(len(served), least_served)
        self.assertLessEqual(len(served), 400)

    @on_mock_clock
    async def test_long_work_does_not_delay_less_important_requests(self):
        """Long work that has no slot lets them pass."""
        admission = make_admission(slots=4, min_slots=4, queue=50, queue_wait=9)
        await record_durations(admission, "lookup", 0.01)
        await record_durations(admission, "report", 4.0, count=5)
        results = []
        async with trio.open_nursery() as nursery:
            for _ in range(4):
                await admission.acquire_slot(make_item(CRITICAL))
            for _ in range(4):
                item = make_item(CRITICAL, "report", timeout=60.0)
                nursery.start_soon(admission.acquire_slot, item)
            await wait_all_tasks_blocked()
            self.assertEqual(admission.queued, 4)
            nursery.start_soon(self.enter, admission, results, NORMAL)
            await wait_all_tasks_blocked()
            ends_at = trio.current_time() + 4.005
            admission.set_window("test", RunWindow(ends_at=ends_at))
            await wait_all_tasks_blocked()
            self.assertEqual((admission.queued, results), (5, []))
            nursery.cancel_scope.cancel()

    @params((1.0, 2.5, 2.0), (None, 9.0, 3.0), (1.0, 1.5, 1.5))
    def test_waiter_is_refused_at_its_latest_start(self, expected_s, last, refused_at):
        self.check_latest_start(expected_s, last, refused_at)

    @on_mock_clock
    async def check_latest_start(self, expected_s, last, refused_at):
        admission = make_admission(slots=1, min_slots=1)
        if expected_s is not None:
            await record_durations(admission, "lookup", expected_s)
        results = []
        async with trio.open_nursery() as nursery:
            await self.fill(nursery, admission, 1, results)
            start = trio.current_time()
            window = RunWindow(ends_at=start + 3.0, last_start_at=start + last)
            admission.set_window("test", window)
            await trio.sleep(9.0)
            self.assertEqual(results, [(Failure, start + refused_at)])

    @params((0.1, 1.5), (0.0, 1.7))
    def test_duration_that_is_learned_late_bounds_waiters(self, gap, refused_at):
        """Regression: waiters kept the bound of an unknown duration."""
        self.check_learned(gap, refused_at)

    @on_mock_clock
    async def check_learned(self, gap_s, refused_at):
        admission = make_admission(slots=2, min_slots=2, queue=50, queue_wait=9)
        await record_durations(admission, "lookup", 1.0, count=MIN_SAMPLES - 1)
        results = []
        async with trio.open_nursery() as nursery:
            permits = [await admission.acquire_slot(make_item()) for _ in range(2)]
            for _ in range(2):
                nursery.start_soon(self.enter, admission, results)
            await wait_all_tasks_blocked()
            start = trio.current_time()
            admission.set_window("test", RunWindow(ends_at=start + 2.5))
            await trio.sleep(gap_s)
            admission.release_slot(permits[0], seconds=1.0)
            await trio.sleep_until(start + 1.7)
            admission.release_slot(permits[1], seconds=1.0)
            await wait_all_tasks_blocked()
            kinds = [kind for kind, _ in results]
            self.assertEqual(kinds, [AdmissionPermit, Failure])
            self.assertAlmostEqual(results[1][1], start + refused_at)

    @params(Mode.ON, Mode.OBSERVE, Mode.OFF)
    def test_new_request_that_cannot_end_in_time_is_refused(self, mode):
        self.check_new(mode)

    @on_mock_clock
    async def check_new(self, mode):
        admission = make_admission(admission=mode)
        await record_durations(admission, "lookup", 1.0)
        results = []
        ends_at = trio.current_time() + 1.5
        admission.set_window("test", RunWindow(ends_at=ends_at))
        await self.enter(admission, results)
        await trio.sleep(0.6)
        await self.enter(admission, results)
        self.assertEqual([kind for kind, _ in results], [AdmissionPermit, Failure])

    @on_mock_clock
    async def test_waiter_goes_on_when_the_window_is_lifted(self):
        admission = make_admission(slots=1, min_slots=1)
        results = []
        async with trio.open_nursery() as nursery:
            permit = await self.fill(nursery, admission, 1, results)
            ends_at = trio.current_time() + 1.0
            admission.set_window("test", RunWindow(ends_at=ends_at))
            admission.set_window("test", None)
            await trio.sleep(2.0)
            admission.release_slot(permit, seconds=None)
            await wait_all_tasks_blocked()
            self.assertEqual([kind for kind, _ in results], [AdmissionPermit])


class TestRateLimit(unittest.TestCase):
    """Backend server that names the requests per second that it takes."""

    async def enter(self, admission, item, results):
        result = await admission.acquire_slot(item)
        results.append((item.rank, type(result), trio.current_time()))

    @on_mock_clock
    async def test_waiters_start_at_the_rate_the_most_important_first(self):
        admission = make_admission(slots=50, queue=50, queue_wait=9)
        admission.set_rate_limit(2.0)
        start = trio.current_time()
        results = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(admission.run)
            for rank in (SHEDDABLE, NORMAL, CRITICAL):
                nursery.start_soon(self.enter, admission, make_item(rank), results)
                await wait_all_tasks_blocked()
            await trio.sleep(5)
            nursery.cancel_scope.cancel()
        self.assertEqual(
            [(rank, round(time - start, 3)) for rank, _, time in results],
            [(CRITICAL, 0.5), (NORMAL, 1.0), (SHEDDABLE, 1.5)],
        )

    @params((None, 3), (1.0, 3), (8.0, 1))
    def test_change_of_the_limit_reaches_waiters_at_once(self, rate_limit, waiting):
        self.check_change(rate_limit, waiting)

    @on_mock_clock
    async def check_change(self, rate_limit, waiting):
        admission = make_admission(slots=50, queue=50, queue_wait=9)
        admission.set_rate_limit(0.0)
        results = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(admission.run)
            for _ in range(3):
                nursery.start_soon(self.enter, admission, make_item(), results)
            await trio.sleep(0.1)
            self.assertEqual(admission.queued, 3)
            admission.set_rate_limit(rate_limit)
            await trio.sleep(0.3)
            started = 3 if rate_limit is None else 3 - waiting
            self.assertEqual(len(results), started)
            nursery.cancel_scope.cancel()

    @params(
        # (longest wait of the request, waiters before it, reason of the refusal)
        (0.1, 0, None),
        (0.1, 3, Reason.LIMIT_REACHED),
        (None, 3, None),
        (None, 30, Reason.QUEUE_FULL),
    )
    def test_request_that_may_go_elsewhere_does_not_wait_long(
        self, max_wait_s, ahead, reason
    ):
        self.check_wait(max_wait_s, ahead, reason)

    @on_mock_clock
    async def check_wait(self, max_wait_s, ahead, reason):
        admission = make_admission(
            slots=50, queue=50, queue_wait=9, early_refusal=Mode.ON
        )
        admission.set_rate_limit(10.0)
        results = []
        async with trio.open_nursery() as nursery:
            for _ in range(ahead):
                item = make_item(CRITICAL, timeout=60.0)
                nursery.start_soon(admission.acquire_slot, item)
                await wait_all_tasks_blocked()
            item = make_waiting_item(1.5)
            if max_wait_s is not None:
                item = dataclasses.replace(item, max_rate_wait_s=max_wait_s)
            nursery.start_soon(self.enter_and_keep, admission, item, results)
            await wait_all_tasks_blocked()
            refused = [failure.reason for failure in results]
            self.assertEqual(refused, [] if reason is None else [reason])
            for failure in results:
                # The tokens of all that wait before it are due by then.
                self.assertTrue(
                    0.7 * (ahead + 1) / 10 <= failure.retry_after <= 1.3 * ahead / 5
                )
            nursery.cancel_scope.cancel()

    async def enter_and_keep(self, admission, item, results):
        results.append(await admission.acquire_slot(item))

    @params((Mode.ON, 1), (Mode.OBSERVE, 8), (Mode.OFF, 8))
    def test_mode(self, mode, started):
        self.check_mode(mode, started)

    @on_mock_clock
    async def check_mode(self, mode, started):
        admission = make_admission(slots=50, queue=50, rate_limiting=mode)
        admission.set_rate_limit(1.0)
        await trio.sleep(10)
        results = []
        async with trio.open_nursery() as nursery:
            for _ in range(8):
                nursery.start_soon(self.enter, admission, make_item(), results)
            await wait_all_tasks_blocked()
            self.assertEqual(len(results), started)
            nursery.cancel_scope.cancel()
        actions = [item.action for item in admission.decisions.decisions]
        self.assertEqual("hold back" in actions, mode is Mode.OBSERVE)


class TestAdmission(unittest.TestCase):
    @on_mock_clock
    async def test_request_waits_for_a_slot(self):
        admission = make_admission(slots=1, min_slots=1)
        first = await admission.acquire_slot(make_item())
        results = []

        async def enter():
            results.append(await admission.acquire_slot(make_item()))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(enter)
            await wait_all_tasks_blocked()
            self.assertEqual((admission.in_flight, admission.queued), (1, 1))
            admission.release_slot(first, seconds=0.1)
        self.assertIsInstance(results[0], AdmissionPermit)
        self.assertEqual((admission.in_flight, admission.queued), (1, 0))

    @on_mock_clock
    async def test_wait_is_bounded(self):
        admission = make_admission(slots=1, min_slots=1, queue_wait=0.5)
        await admission.acquire_slot(make_item())
        started = trio.current_time()
        refusal = await admission.acquire_slot(make_item())
        self.assertEqual(refusal.reason, Reason.QUEUE_TIMEOUT)
        self.assertEqual(refusal.outcome, Outcome.NOT_RUN)
        self.assertIsNotNone(refusal.retry_after)
        self.assertAlmostEqual(trio.current_time() - started, 0.5)
        self.assertEqual(admission.queued, 0)

    @on_mock_clock
    async def test_critical_request_waits_for_as_long_as_its_answer_is_of_use(self):
        admission = make_admission(slots=1, min_slots=1, queue_wait=0.5)
        await record_durations(admission, "lookup", 2.0)
        await admission.acquire_slot(make_item())
        started = trio.current_time()
        refusal = await admission.acquire_slot(make_item(CRITICAL, timeout=10.0))
        self.assertEqual(refusal.reason, Reason.QUEUE_TIMEOUT)
        self.assertAlmostEqual(trio.current_time() - started, 9.0)

    @on_mock_clock
    async def test_more_important_request_takes_the_place_of_a_waiting_one(self):
        admission = make_admission(slots=1, min_slots=1, queue=1)
        running = await admission.acquire_slot(make_item())
        results = {}

        async def enter(name, rank):
            results[name] = await admission.acquire_slot(make_item(rank))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(enter, "browse", SHEDDABLE)
            await wait_all_tasks_blocked()
            nursery.start_soon(enter, "order", CRITICAL)
            await wait_all_tasks_blocked()
            admission.release_slot(running, seconds=0.1)
        self.assertEqual(results["browse"].reason, Reason.PREEMPTED)
        self.assertIsInstance(results["order"], AdmissionPermit)

    @on_mock_clock
    async def test_least_important_waiter_makes_room(self):
        admission = make_admission(slots=1, min_slots=1, queue=2)
        await admission.acquire_slot(make_item())
        results = {}

        async def enter(name, rank):
            results[name] = await admission.acquire_slot(make_item(rank))

        async with trio.open_nursery() as nursery:
            for name, rank in (("lookup", NORMAL), ("browse", SHEDDABLE)):
                nursery.start_soon(enter, name, rank)
                await wait_all_tasks_blocked()
            nursery.start_soon(enter, "order", CRITICAL)
            await wait_all_tasks_blocked()
            self.assertEqual(list(results), ["browse"])
            nursery.cancel_scope.cancel()

    @on_mock_clock
    async def test_slot_given_to_a_waiter_that_is_leaving_is_not_lost(self):
        admission = make_admission(slots=1, min_slots=1)
        running = await admission.acquire_slot(make_item())
        scope = trio.CancelScope()

        async def enter():
            with scope:
                await admission.acquire_slot(make_item())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(enter)
            await wait_all_tasks_blocked()
            scope.cancel()
            admission.release_slot(running, seconds=0.1)
        self.assertEqual((admission.in_flight, admission.queued), (0, 0))

    @on_mock_clock
    async def test_less_important_newcomer_is_refused_when_the_queue_is_full(self):
        admission = make_admission(slots=1, min_slots=1, queue=1)
        await admission.acquire_slot(make_item())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(admission.acquire_slot, make_item(CRITICAL))
            await wait_all_tasks_blocked()
            refusal = await admission.acquire_slot(make_item(SHEDDABLE))
            self.assertEqual(refusal.reason, Reason.QUEUE_FULL)
            nursery.cancel_scope.cancel()

    @on_mock_clock
    async def test_request_without_enough_time_left_is_refused_at_once(self):
        admission = make_admission()
        await record_durations(admission, "lookup", 4.0)
        refusal = await admission.acquire_slot(make_item(timeout=1.0))
        self.assertEqual(refusal.reason, Reason.DEADLINE_EXCEEDED)

    @on_mock_clock
    async def test_waiter_that_leaves_frees_its_place(self):
        admission = make_admission(slots=1, min_slots=1)
        running = await admission.acquire_slot(make_item())
        with trio.move_on_after(0.1):
            await admission.acquire_slot(make_item())
        self.assertEqual(admission.queued, 0)
        admission.release_slot(running, seconds=0.1)
        self.assertEqual(admission.in_flight, 0)

    @on_mock_clock
    async def test_long_work_leaves_slots_for_short_work(self):
        admission = make_admission(slots=4, queue=10, reserve_share=0.25)
        await record_durations(admission, "short", 0.01, count=50)
        await record_durations(admission, "long", 1.0, count=10)
        async with trio.open_nursery() as nursery:
            for _ in range(6):
                nursery.start_soon(admission.acquire_slot, make_item(call_class="long"))
            await wait_all_tasks_blocked()
            self.assertEqual((admission.in_flight, admission.queued), (3, 3))
            short = await admission.acquire_slot(make_item(call_class="short"))
            self.assertIsInstance(short, AdmissionPermit)
            nursery.cancel_scope.cancel()

    @on_mock_clock
    async def test_observed_reserve_holds_nothing_back_and_logs(self):
        admission = make_admission(slots=4, queue=10, reserve=Mode.OBSERVE)
        await record_durations(admission, "short", 0.01, count=50)
        await record_durations(admission, "long", 1.0, count=10)
        for _ in range(4):
            await admission.acquire_slot(make_item(call_class="long"))
        self.assertEqual(admission.in_flight, 4)
        modes = {
            item.mode
            for item in admission.decisions.decisions
            if item.mechanism == "reserve"
        }
        self.assertEqual(modes, {Mode.OBSERVE})

    @on_mock_clock
    async def test_short_work_does_not_starve_long_work(self):
        admission = make_admission(slots=1, min_slots=1, queue=10)
        await record_durations(admission, "short", 0.01, count=50)
        await record_durations(admission, "long", 1.0, count=10)
        running = await admission.acquire_slot(make_item(call_class="short"))
        results = []

        async def enter(call_class):
            results.append(
                await admission.acquire_slot(make_item(call_class=call_class))
            )

        async with trio.open_nursery() as nursery:
            for call_class in ("short", "short", "long"):
                nursery.start_soon(enter, call_class)
                await wait_all_tasks_blocked()
            admission.release_slot(running, seconds=0.01)
            await wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()
        self.assertEqual(results[0].item.call_class, "long")

    @params(Mode.OFF, Mode.OBSERVE)
    def test_mode_that_does_not_act_admits_everything(self, mode):
        self.check_mode(mode)

    @on_mock_clock
    async def check_mode(self, mode):
        admission = make_admission(slots=1, min_slots=1, queue=0, admission=mode)
        results = [await admission.acquire_slot(make_item()) for _ in range(5)]
        self.assertTrue(all(isinstance(item, AdmissionPermit) for item in results))
        logged = bool(admission.decisions.decisions)
        self.assertEqual(logged, mode is Mode.OBSERVE)

    @on_mock_clock
    async def test_newest_waiter_goes_first_when_the_queue_does_not_drain(self):
        admission = make_admission(slots=1, min_slots=1, queue=5, queue_wait=1.0)
        running = await admission.acquire_slot(make_item())
        results = {}

        async def enter(name):
            results[name] = await admission.acquire_slot(make_item())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(enter, "old")
            await trio.sleep(0.8)
            nursery.start_soon(enter, "new")
            await wait_all_tasks_blocked()
            admission.release_slot(running, seconds=0.8)
            await wait_all_tasks_blocked()
        self.assertIsInstance(results["new"], AdmissionPermit)
        self.assertIsInstance(results["old"], Failure)


class AdmissionMachine(RuleBasedStateMachine):
    """Arrivals, ends, cancellations and policy changes of requests in any order."""

    ranks = st.sampled_from([CRITICAL, NORMAL, SHEDDABLE])
    classes = st.sampled_from(["short", "long"])

    def __init__(self):
        super().__init__()
        self.driver = TrioDriver()
        self.running = []
        self.scopes = []
        self.shed = []
        self.driver.run(self.open)

    async def open(self):
        self.admission = make_admission(slots=3, queue=3, queue_wait=0.5)
        await record_durations(self.admission, "short", 0.01, count=50)
        await record_durations(self.admission, "long", 1.0, count=10)

    def teardown(self):
        self.driver.stop()

    async def enter(self, item):
        with trio.CancelScope() as scope:
            self.scopes.append(scope)
            result = await self.admission.acquire_slot(item)
            if isinstance(result, AdmissionPermit):
                self.running.append(result)
            elif result.reason in (Reason.QUEUE_FULL, Reason.PREEMPTED):
                self.shed.append((item.rank, self.get_waiting_ranks()))

    def get_waiting_ranks(self):
        return [
            waiter.item.rank
            for queue in self.admission.waiters.queues.values()
            for waiter in queue
        ]

    @rule(rank=ranks, call_class=classes)
    def arrive(self, rank, call_class):
        async def start():
            item = make_item(rank, call_class)
            self.driver.nursery.start_soon(self.enter, item)

        self.driver.run(start)

    @rule(index=st.integers(0, 10))
    def end(self, index):
        async def leave():
            if self.running:
                permit = self.running.pop(index % len(self.running))
                self.admission.release_slot(permit, seconds=None)

        self.driver.run(leave)

    @rule(index=st.integers(0, 10))
    def caller_leaves(self, index):
        async def cancel():
            if self.scopes:
                self.scopes.pop(index % len(self.scopes)).cancel()

        self.driver.run(cancel)

    @rule(seconds=st.sampled_from([0.1, 0.3, 0.6]))
    def advance(self, seconds):
        self.driver.advance(seconds)

    @rule(slots=st.integers(2, 4), queue=st.integers(0, 4))
    def change_policy(self, slots, queue):
        async def change():
            fields = {"owner": "test", "slow_start": 0, "queue_wait": 0.5}
            section = ServiceSection(slots=slots, queue=queue, **fields)
            self.admission.update_section(section)

        self.driver.run(change)

    @invariant()
    def counts_agree(self):
        admission = self.admission
        assert admission.in_flight == len(self.running)
        assert admission.long_in_flight == sum(item.is_long for item in self.running)
        waiting = sum(len(queue) for queue in admission.waiters.queues.values())
        assert admission.queued == waiting

    @invariant()
    def no_slot_is_idle_while_admissible_work_waits(self):
        admission = self.admission
        for (_, is_long), queue in admission.waiters.queues.items():
            assert not (queue and admission.has_free_slot(is_long))

    @invariant()
    def nothing_less_important_was_kept_when_shedding(self):
        for rank, waiting in self.shed:
            assert all(kept <= rank for kept in waiting)
        self.shed.clear()


TestAdmissionMachine = AdmissionMachine.TestCase
