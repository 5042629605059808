"""Tests of running calls at the backend server."""

import unittest

import trio
import trio.testing
from nose2.tools import params

from catkinpost.coordination.admission.admission import Admission, RunWindow
from catkinpost.coordination.admission.crash_guard import CrashGuard
from catkinpost.coordination.admission.executor import Executor
from catkinpost.coordination.admission.fixed_limit import FixedLimits
from catkinpost.coordination.admission.server_monitor import ServerMonitor
from catkinpost.coordination.admission.throttle import Throttle
from catkinpost.coordination.at_most_once.once import OnceGuard, compute_fingerprint
from catkinpost.coordination.routing.dialect import NativeDialect
from catkinpost.coordination.routing.dispatcher import (
    NOT_ARRIVED_REASONS,
    RETRYABLE_REASONS,
)
from catkinpost.protocol.header import PARENT_HEADER
from catkinpost.protocol.http import HttpResponse, find_header
from catkinpost.protocol.message import Answer
from catkinpost.protocol.outcome import Failure, Outcome, Reason
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.policy_store import PolicyStore
from catkinpost.state.running import RunningCalls
from catkinpost.state.server_notice import ServerNotices
from tests.clock import on_mock_clock, wait_all_tasks_blocked
from tests.coordination.at_most_once.test_once import make_call

POLICY = """\
[service orders]
owner = sales
slots = 2
slow_start = 0
{options}

[limit shop]
owner = sales
service = orders
tenant = shop
in_flight = 1
"""
LOST = Failure(reason=Reason.BACKEND_CONNECTION_LOST, outcome=Outcome.UNKNOWN)
LATE = Failure(reason=Reason.DEADLINE_EXCEEDED, outcome=Outcome.UNKNOWN)
NORMAL_RANK, SHEDDABLE_RANK = 1, 2
REFUSED = Failure(reason=Reason.BACKEND_UNREACHABLE)


class FakeClient:
    """Connections to a backend server with a scripted response."""

    def __init__(self):
        self.answer = HttpResponse(200, [], b"ok")
        self.hold = None
        self.requests = []
        self.cancelled = 0
        self.alive = True
        self.idle_closed = 0

    def close_idle_connections(self):
        self.idle_closed += 1

    async def send_request(self, request):
        self.requests.append(request)
        try:
            if self.hold is not None:
                await self.hold.wait()
            await trio.lowlevel.checkpoint()
        except trio.Cancelled:
            self.cancelled += 1
            raise
        return self.answer

    async def connect(self):
        return trio.testing.memory_stream_pair()[0] if self.alive else REFUSED


class Setup:
    """Executor with real dependencies, except for the backend server."""

    def __init__(self, options="", limits=True, dialect=None):
        self.dialect = dialect or NativeDialect()
        self.decisions = DecisionLog()
        self.store = PolicyStore()
        text = POLICY.format(options=options)
        if not limits:
            text = text.partition("[limit")[0]
        self.store.accept_document(1, text, now=0.0, source="test")
        self.client = FakeClient()
        self.leaving = False
        self.throttle = Throttle()
        self.notices = ServerNotices()
        self.crash_guard = CrashGuard(
            instance="orders-1",
            broadcast=lambda message: None,
            decisions=self.decisions,
        )
        admission = Admission(self.store.policy.services["orders"], self.decisions)
        self.executor = Executor(
            service="orders",
            client=self.client,
            admission=admission,
            store=self.store,
            running_calls=RunningCalls(),
            fixed_limits=FixedLimits(self.decisions),
            crash_guard=self.crash_guard,
            monitor=ServerMonitor(
                instance="orders-1",
                notices=self.notices,
                admission=admission,
                dialect=self.dialect,
            ),
            throttle=self.throttle,
            decisions=self.decisions,
            dialect=self.dialect,
            is_leaving=lambda: self.leaving,
        )

    async def run(self, **fields):
        call = make_call("", 0)
        for name, value in fields.items():
            setattr(call, name, value)
        return await self.executor.run(call)


class TestExecutor(unittest.TestCase):
    @on_mock_clock
    async def test_backend_server_gets_parent_and_time_left(self):
        setup = Setup()
        answer = await setup.run(budget_us=3_000_000)
        headers = setup.client.requests[0].headers
        self.assertIsInstance(answer, Answer)
        # The rest is for the answer.
        self.assertEqual(find_header(headers, b"catkinpost-timeout-ms"), b"2980")
        self.assertTrue(find_header(headers, PARENT_HEADER))
        self.assertEqual(setup.executor.running_calls.calls, set())
        self.assertEqual(setup.executor.running_calls.calls_by_token, {})

    @on_mock_clock
    async def test_leaving_instance_takes_no_new_call(self):
        setup = Setup()
        setup.leaving = True
        refusal = await setup.run()
        self.assertEqual(refusal.reason, Reason.LEAVING)
        self.assertEqual(refusal.outcome, Outcome.NOT_RUN)
        self.assertEqual(setup.client.requests, [])

    @on_mock_clock
    async def test_crash_suspect_that_waited_is_not_sent_to_a_server_that_left(self):
        setup = Setup(limits=False)
        setup.client.hold = trio.Event()
        setup.crash_guard.is_suspect = lambda fingerprint: True
        results = []

        async def run():
            results.append(await setup.run())

        async with trio.open_nursery() as nursery:
            for _ in range(2):
                nursery.start_soon(run)
                await wait_all_tasks_blocked()
            window = RunWindow(ends_at=trio.current_time() + 1.0)
            setup.executor.admission.set_window("test", window)
            await trio.sleep(1.5)
            self.assertEqual([result.reason for result in results], [Reason.LEAVING])
            setup.client.hold.set()
            await wait_all_tasks_blocked()
            self.assertEqual(len(setup.client.requests), 1)
            self.assertIsInstance(results[1], Answer)

    @params(
        # (ending, whether the call has a key)
        ("withdrawal", False),
        ("withdrawal", True),
        ("window", False),
        ("window", True),
    )
    def test_crash_suspect_that_waits_is_refused_at_once(self, ending, has_key):
        """Otherwise it counts as possibly run when its node or caller's node ends."""
        self.check_suspect(ending, has_key)

    @on_mock_clock
    async def check_suspect(self, ending, has_key):
        setup = Setup(limits=False)
        setup.client.hold = trio.Event()
        setup.crash_guard.is_suspect = lambda fingerprint: True
        key = "orders/shop/k" if has_key else ""
        calls = [make_call(key and f"{key}{n}", 0, b"%d" % n) for n in range(2)]
        results = {}

        async def run(number):
            results[number] = await setup.executor.run(calls[number])

        async with trio.open_nursery() as nursery:
            setup.executor.once_guard = OnceGuard(
                holder="orders-1#1",
                lifetime_s=60.0,
                replicas=None,
                run_call=setup.executor.run_unguarded,
                spawn=nursery.start_soon,
                decisions=setup.decisions,
            )
            for number in range(2):
                nursery.start_soon(run, number)
                await wait_all_tasks_blocked()
            if ending == "withdrawal":
                setup.executor.withdraw(calls[1])
            else:
                window = RunWindow(ends_at=trio.current_time())
                setup.executor.admission.set_window("test", window)
            await wait_all_tasks_blocked()
            self.assertEqual(list(results), [1])
            self.assertIs(results[1].reason, Reason.LEAVING)
            self.assertIs(results[1].outcome, Outcome.NOT_RUN)
            setup.client.hold.set()
            await wait_all_tasks_blocked()
            self.assertIsInstance(results[0], Answer)
            self.assertEqual(len(setup.client.requests), 1)
            self.assertEqual(setup.crash_guard.suspect_limiter.borrowed_tokens, 0)
            self.assertEqual(setup.executor.admission.bounded_waits, {})

    @params(("orders/shop/k-1", 0), ("", 0))
    def test_withdrawn_call_is_refused_unless_it_was_handed_over(self, key, attempt):
        """The caller's node may send it elsewhere after a refusal."""
        self.check_withdrawal(key, attempt)

    @on_mock_clock
    async def check_withdrawal(self, key, attempt):
        setup = Setup("min_slots = 1", limits=False)
        setup.client.hold = trio.Event()
        calls = [make_call(key and f"{key}{n}", attempt, b"%d" % n) for n in range(4)]
        results = {}

        async def run(number):
            results[number] = await setup.executor.run(calls[number])

        async with trio.open_nursery() as nursery:
            setup.executor.once_guard = OnceGuard(
                holder="orders-1#1",
                lifetime_s=60.0,
                replicas=None,
                run_call=setup.executor.run_unguarded,
                spawn=nursery.start_soon,
                decisions=setup.decisions,
            )
            # Two calls run, one waits for a slot and one for its turn as a suspect.
            for number in range(3):
                nursery.start_soon(run, number)
                await wait_all_tasks_blocked()
            suspect = compute_fingerprint(calls[3])
            setup.crash_guard.is_suspect = suspect.__eq__
            await setup.crash_guard.suspect_limiter.acquire()
            nursery.start_soon(run, 3)
            await wait_all_tasks_blocked()
            setup.executor.withdraw(calls[3])
            setup.crash_guard.suspect_limiter.release()
            setup.executor.withdraw(calls[0])
            setup.executor.withdraw(calls[2])
            await wait_all_tasks_blocked()
            self.assertEqual(sorted(results), [2, 3])
            for refusal in results.values():
                self.assertIs(refusal.outcome, Outcome.NOT_RUN)
                self.assertIs(refusal.reason, Reason.LEAVING)
            setup.client.hold.set()
            await wait_all_tasks_blocked()
            self.assertIsInstance(results[0], Answer)
            self.assertIsInstance(results[1], Answer)
            self.assertEqual(len(setup.client.requests), 2)
            self.assertEqual(setup.executor.calls, {})

    @on_mock_clock
    async def test_calls_that_share_a_withdrawn_run_may_be_moved(self):
        setup = Setup("min_slots = 1", limits=False)
        setup.client.hold = trio.Event()
        results = []

        async def run(call):
            results.append(await setup.executor.run(call))

        async with trio.open_nursery() as nursery:
            setup.executor.once_guard = OnceGuard(
                holder="orders-1#1",
                lifetime_s=60.0,
                replicas=None,
                run_call=setup.executor.run_unguarded,
                spawn=nursery.start_soon,
                decisions=setup.decisions,
            )
            keys = ("orders/shop/1", "orders/shop/2", "orders/shop/3", "orders/shop/3")
            calls = [make_call(key, 0, b"x") for key in keys]
            for call in calls:
                nursery.start_soon(run, call)
                await wait_all_tasks_blocked()
            setup.executor.withdraw(calls[2])
            await wait_all_tasks_blocked()
            self.assertEqual(len(results), 2)
            for refusal in results:
                self.assertIs(refusal.outcome, Outcome.NOT_RUN)
                self.assertIn(refusal.reason, NOT_ARRIVED_REASONS)
                self.assertIn(refusal.reason, RETRYABLE_REASONS)
            setup.client.hold.set()
            await wait_all_tasks_blocked()
            self.assertEqual(len(setup.client.requests), 2)

    @on_mock_clock
    async def test_withdrawal_after_the_end_of_a_call_hits_no_other_call(self):
        """Another call may get the address of one that has ended."""
        setup = Setup(limits=False)
        for number in range(50):
            call = make_call("", 0, b"%d" % number)
            self.assertIsInstance(await setup.executor.run(call), Answer)
            setup.executor.withdraw(call)
            del call
        self.assertEqual(setup.executor.calls, {})

    @on_mock_clock
    async def test_fault_of_the_node_is_an_unknown_outcome(self):
        setup = Setup()
        setup.client.send_request = None
        refusal = await setup.run()
        self.assertEqual(refusal.reason, Reason.INTERNAL_ERROR)
        self.assertEqual(refusal.outcome, Outcome.UNKNOWN)
        self.assertEqual(setup.executor.admission.in_flight, 0)
        self.assertEqual(setup.executor.running_calls.calls, set())
        self.assertEqual(setup.executor.running_calls.calls_by_token, {})

    @on_mock_clock
    async def test_call_for_another_service_is_refused(self):
        refusal = await Setup().run(service="sets")
        self.assertEqual(refusal.reason, Reason.UNKNOWN_SERVICE)

    @on_mock_clock
    async def test_overdue_call_is_cancelled_at_the_backend_server(self):
        setup = Setup()
        setup.client.hold = trio.Event()
        refusal = await setup.run(budget_us=500_000)
        self.assertEqual(refusal.reason, Reason.DEADLINE_EXCEEDED)
        self.assertEqual(refusal.outcome, Outcome.UNKNOWN)
        self.assertEqual(setup.client.cancelled, 1)
        self.assertEqual(setup.executor.admission.in_flight, 0)

    @params(
        # (milliseconds left to the caller, share of the server's time, outcome)
        (500, 1.0, Outcome.DONE),
        (500, 1.03, Outcome.DONE),
        (500, 1.05, Outcome.UNKNOWN),
        (15, 1.0, Outcome.NOT_RUN),
    )
    def test_answer_at_the_end_of_the_servers_time_is_passed_on(self, *case):
        """Guards against a timeout in place of an answer, as both end at one time, and
        against work that is begun with no time left.
        """
        self.check_answer_at_end(*case)

    @on_mock_clock
    async def check_answer_at_end(self, budget_ms, share, outcome):
        setup = Setup(limits=False)

        async def answer_late(request):
            setup.client.requests.append(request)
            left_ms = int(find_header(request.headers, b"catkinpost-timeout-ms"))
            await trio.sleep(share * left_ms / 1000)
            return HttpResponse(504, [], b"late")

        setup.client.send_request = answer_late
        result = await setup.run(budget_us=budget_ms * 1000)
        self.assertEqual(getattr(result, "outcome", Outcome.DONE), outcome)
        is_run = outcome is not Outcome.NOT_RUN
        self.assertEqual(len(setup.client.requests), int(is_run))

    @on_mock_clock
    async def test_run_whose_caller_has_left_still_counts_for_a_planned_stop(self):
        """Regression: a graceful shutdown aborted an order whose caller had left."""
        setup = Setup(limits=False)
        setup.client.hold = trio.Event()
        async with trio.open_nursery() as nursery:
            setup.executor.once_guard = OnceGuard(
                holder="orders-1#a",
                lifetime_s=60.0,
                replicas=None,
                run_call=setup.executor.run_unguarded,
                spawn=nursery.start_soon,
                decisions=setup.decisions,
            )
            with trio.move_on_after(0.1):
                await setup.run(key="orders/shop/k")
            self.assertEqual(setup.executor.active_calls, 1)
            setup.client.hold.set()
            await wait_all_tasks_blocked()
            self.assertEqual(setup.executor.active_calls, 0)

    @on_mock_clock
    async def test_idle_connections_are_given_up_after_a_long_silence(self):
        setup = Setup(limits=False)
        for _ in range(20):
            setup.executor.admission.durations.record_duration(
                "place-order", "/orders", 0.01
            )
        setup.client.hold = trio.Event()
        await setup.run(budget_us=40_000)
        self.assertEqual(setup.client.idle_closed, 0)
        await setup.run(budget_us=400_000)
        self.assertEqual(setup.client.idle_closed, 1)

    @on_mock_clock
    async def test_team_limit_bounds_a_tenant(self):
        setup = Setup()
        setup.client.hold = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(setup.run)
            await wait_all_tasks_blocked()
            refusal = await setup.run()
            self.assertEqual(refusal.reason, Reason.LIMIT_REACHED)
            setup.client.hold.set()
        self.assertIsInstance(await setup.run(), Answer)

    @params(
        ("sheds_before_running = yes", Reason.BACKEND_SHED),
        ("sheds_before_running = no", None),
    )
    def test_shed_answer_counts_as_not_run_only_by_contract(self, option, reason):
        self.check_shed(option, reason)

    @on_mock_clock
    async def check_shed(self, option, reason):
        setup = Setup(option)
        setup.client.answer = HttpResponse(503, [(b"catkinpost-outcome", b"not-run")])
        result = await setup.run()
        self.assertEqual(getattr(result, "reason", None), reason)

    @params((False, 1), (True, 1))
    def test_crash_makes_the_running_requests_suspects(self, alive, crashes):
        self.check_crash(alive, crashes)

    @on_mock_clock
    async def check_crash(self, alive, crashes):
        setup = Setup(limits=False)
        setup.client.answer = LOST
        setup.client.alive = alive
        refusal = await setup.run()
        self.assertEqual(refusal.outcome, Outcome.UNKNOWN)
        (counts,) = setup.crash_guard.suspects.counts.values()
        self.assertEqual(counts, {"orders-1": crashes})

    @on_mock_clock
    async def test_one_lost_connection_beside_running_ones_is_no_crash(self):
        setup = Setup(limits=False)
        setup.client.hold = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(setup.run)
            await wait_all_tasks_blocked()
            setup.client.hold, held = None, setup.client.hold
            setup.client.answer = LOST
            await setup.run()
            self.assertEqual(setup.crash_guard.suspects.counts, {})
            held.set()

    @on_mock_clock
    async def test_crashing_request_is_stopped_and_others_go_on(self):
        setup = Setup(limits=False)
        setup.client.answer = LOST
        for _ in range(2):
            await setup.run(body=b"bad")
            await trio.sleep(2)
        refusal = await setup.run(body=b"bad")
        self.assertEqual(refusal.reason, Reason.CRASH_SUSPECT)
        self.assertEqual(len(setup.client.requests), 2)
        setup.client.answer = HttpResponse(200, [], b"ok")
        self.assertIsInstance(await setup.run(body=b"good"), Answer)

    @on_mock_clock
    async def test_suspects_run_one_at_a_time(self):
        setup = Setup(limits=False)
        setup.client.answer = LOST
        async with trio.open_nursery() as nursery:
            for body in (b"one", b"two"):
                nursery.start_soon(run_body, setup, body)
        setup.client.hold = trio.Event()
        async with trio.open_nursery() as nursery:
            for body in (b"one", b"two"):
                nursery.start_soon(run_body, setup, body)
            await trio.sleep(0.5)
            self.assertEqual(setup.executor.admission.in_flight, 1)
            setup.client.hold.set()

    @on_mock_clock
    async def test_call_whose_children_are_refused_is_refused_before_it_runs(self):
        setup = Setup(limits=False)
        for _ in range(200):
            setup.throttle.record_request("sets", 0, accepted=False)
        reasons = []
        for _ in range(50):
            for _ in range(30):
                setup.executor.dependencies.record_run("place-order", {"sets"})
            reasons.append(getattr(await setup.run(), "reason", None))
        self.assertIn(Reason.DOWNSTREAM_OVERLOADED, reasons)
        self.assertLess(len(setup.client.requests), 20)

    @params(
        # (result of a run, rank that the target refuses, whether overload is the cause)
        (HttpResponse(200), NORMAL_RANK, False),
        (HttpResponse(404), NORMAL_RANK, False),
        (HttpResponse(500), NORMAL_RANK, True),
        (HttpResponse(500), SHEDDABLE_RANK, False),
        (HttpResponse(500), None, False),
        (LOST, NORMAL_RANK, False),
        (LATE, None, True),
        (None, NORMAL_RANK, False),
    )
    def test_failure_under_load(self, result, rank, wanted):
        self.check_failure_under_load(result, rank, wanted)

    @on_mock_clock
    async def check_failure_under_load(self, result, rank, wanted):
        setup = Setup(limits=False)
        for _ in range(5):
            setup.throttle.record_request("sets", SHEDDABLE_RANK, accepted=True)
            if rank is not None:
                setup.throttle.record_request("sets", rank, accepted=False)
        self.assertIs(setup.executor.is_overload_failure(result), wanted)


async def run_body(setup, body):
    await setup.run(body=body)
