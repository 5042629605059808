"""Tests of the dispatch of requests to instances."""

import functools
import math
import unittest

import trio
from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from catkinpost.coordination.access.authenticator import Authenticator
from catkinpost.coordination.admission.throttle import Throttle
from catkinpost.coordination.routing.attempt import AttemptSender
from catkinpost.coordination.routing.dispatcher import Dispatcher
from catkinpost.coordination.routing.ejection import Ejector
from catkinpost.coordination.routing.entry import get_node_retries
from catkinpost.coordination.routing.hedge import Hedging
from catkinpost.coordination.routing.region_budget import RegionBudget
from catkinpost.coordination.routing.router import NodeLocation, Router
from catkinpost.protocol.credential import compute_key_digest
from catkinpost.protocol.http import HttpRequest, find_header
from catkinpost.protocol.message import Answer, Load, Refusal
from catkinpost.protocol.outcome import Failure, Outcome, Reason
from catkinpost.protocol.policy import IMPORTANCE_RANK, Importance
from catkinpost.state.allowance import Allowance
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.instance_view import InstanceView
from catkinpost.state.metric import Metrics
from catkinpost.state.peer_stat import PeerStats
from catkinpost.state.policy_age import PolicyAge
from catkinpost.state.policy_store import PolicyStore
from catkinpost.state.retry_budget import RetryBound, RetryBudget
from catkinpost.state.running import RunningCalls
from catkinpost.state.server_notice import ServerNotices
from tests.clock import on_mock_clock, wait_all_tasks_blocked
from tests.coordination.at_most_once.test_once import make_instance
from tests.log import CapturedLog

RETRIES = 3
NODE_RETRIES = get_node_retries(RETRIES)
CALL_TIMEOUT_S = 5
POLICY = f"""\
[service orders]
owner = sales

[class place-order]
owner = sales
service = orders
match = POST /orders
importance = critical
retries = {RETRIES}
timeout = {CALL_TIMEOUT_S}

[class show-order]
owner = sales
service = orders
match = GET /orders
importance = normal
repeatable = yes
retries = {RETRIES}
timeout = {CALL_TIMEOUT_S}
"""


def refusal(reason, outcome, **fields):
    return Refusal(0, reason, outcome, "", None, 0, Load(), **fields)


NOT_RUN, UNKNOWN = Outcome.NOT_RUN, Outcome.UNKNOWN
# Fault: whether the backend server runs the call, and the result of the attempt.
FAULTS = {
    "answered": (True, lambda: Answer(0, 200, [], b"", 0, Load())),
    "queue full": (False, lambda: refusal(Reason.QUEUE_FULL, NOT_RUN)),
    "preempted": (False, lambda: refusal(Reason.PREEMPTED, NOT_RUN)),
    "leaving": (False, lambda: refusal(Reason.LEAVING, NOT_RUN)),
    "backend refused": (False, lambda: refusal(Reason.BACKEND_UNREACHABLE, NOT_RUN)),
    "no link": (False, lambda: Failure(reason=Reason.PEER_UNREACHABLE)),
    "link lost before": (
        False,
        lambda: Failure(reason=Reason.PEER_CONNECTION_LOST, outcome=UNKNOWN),
    ),
    "link garbled": (
        False,
        lambda: Failure(reason=Reason.PEER_BAD_MESSAGE, outcome=UNKNOWN),
    ),
    "link lost after": (
        True,
        lambda: Failure(reason=Reason.PEER_CONNECTION_LOST, outcome=UNKNOWN),
    ),
    "backend crashed": (
        True,
        lambda: refusal(Reason.BACKEND_CONNECTION_LOST, UNKNOWN),
    ),
    "answer cut": (True, lambda: refusal(Reason.BACKEND_BAD_ANSWER, UNKNOWN)),
    "silent before": (False, lambda: None),
    "silent after": (True, lambda: None),
}


class FakeLinks:
    """Links on which each attempt gets the next of the scripted faults."""

    def __init__(self, faults):
        self.faults = list(faults)
        self.runs = 0
        self.attempts = 0
        self.withdrawn = 0
        self.granted = []
        self.useful_us = []
        self.asked_to_refuse = 0

    def get_or_open_link(self, instance):
        return self

    async def send_request(self, call, pending):
        self.attempts += 1
        self.last_pending = pending
        self.granted.append(call.allowance)
        self.useful_us.append(call.useful_us)
        fault = self.faults.pop(0) if self.faults else "answered"
        ran, result = FAULTS[fault]
        self.runs += ran
        if fault != "no link":
            pending.cancel = self.withdraw
            pending.withdraw = functools.partial(self.refuse_waiting, pending)
            pending.sent = True
        result = result()
        if result is None:
            return
        if isinstance(result, Answer):
            result.body = call.body
        if not isinstance(result, Failure):
            result.allowance = call.allowance
        pending.resolve(result)

    def withdraw(self):
        self.withdrawn += 1

    def refuse_waiting(self, pending):
        self.asked_to_refuse += 1
        pending.resolve(refusal(Reason.LEAVING, NOT_RUN))


class Setup:
    """Dispatcher with real parts and fake links."""

    def __init__(self, nursery, faults):
        self.decisions = DecisionLog()
        self.store = PolicyStore()
        self.store.accept_document(1, POLICY, now=0.0, source="test")
        self.view = InstanceView()
        self.view.apply_list(1, [make_instance(f"orders-{n}") for n in range(9)], 0.0)
        self.stats = PeerStats()
        self.running = RunningCalls()
        self.links = FakeLinks(faults)
        self.throttle = Throttle()
        self.notices = ServerNotices()
        ejector = Ejector(
            view=self.view,
            stats=self.stats,
            store=self.store,
            decisions=self.decisions,
        )
        budget = RegionBudget(
            region="kurzeme",
            store=self.store,
            count_nodes=lambda: 1,
            decisions=self.decisions,
        )
        metrics = Metrics()
        self.sender = AttemptSender(
            instance="sets-1",
            store=self.store,
            router=Router(
                location=NodeLocation(
                    instance="sets-1", data_centre="kurzeme-1", region="kurzeme"
                ),
                view=self.view,
                stats=self.stats,
                notices=self.notices,
                store=self.store,
                ejector=ejector,
                budget=budget,
            ),
            links=self.links,
            executor=None,
            notices=self.notices,
            throttle=self.throttle,
            hedging=Hedging(),
            metrics=metrics,
            decisions=self.decisions,
            spawn=nursery.start_soon,
        )
        self.policy_age = PolicyAge()
        self.authenticator = Authenticator(store=self.store, age=self.policy_age)
        self.dispatcher = Dispatcher(
            store=self.store,
            is_ready=lambda: True,
            running=self.running,
            sender=self.sender,
            authenticator=self.authenticator,
            throttle=self.throttle,
            metrics=metrics,
            decisions=self.decisions,
        )

    async def send(self, method=b"POST", body=b"one", answer_by=math.inf, **headers):
        pairs = [(b"host", b"orders")]
        for name, value in headers.items():
            pairs.append((name.replace("_", "-").encode(), str(value).encode()))
        request = HttpRequest(method, b"/orders", pairs, body)
        request.answer_by = answer_by
        return await self.dispatcher.handle(request)


def outcome_of(response):
    return Outcome(find_header(response.headers, b"catkinpost-outcome").decode())


def reason_of(response):
    return find_header(response.headers, b"catkinpost-reason").decode()


class TestRequestLines(unittest.TestCase):
    @params(
        # (faults, kind of line, ends of the attempts)
        ([], None, []),
        (["leaving"] * 3, "entry: refused", ["leaving"] * 3),
        (["backend crashed"], "entry: failed", ["backend-connection-lost"]),
        (["leaving", "silent after"], "entry: failed", ["leaving", "withdrawn"]),
    )
    def test_line_of_a_request_that_ends_badly(self, faults, kind, ends):
        self.check_line(faults, kind, ends)

    @on_mock_clock
    async def check_line(self, faults, kind, ends):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, faults)
            with CapturedLog() as messages:
                await setup.send(idempotency_key="k-1", catkinpost_attempt=0)
            lines = [item for item in messages if item.get("request") == "k-1"]
            kinds = [item["message_type"] for item in lines]
            self.assertEqual(kinds, [kind] if kind else [])
            for line in lines:
                results = [item["result"] for item in line["attempts"]]
                self.assertEqual(results, ends)
                self.assertEqual(line["policy_version"], 1)


class TestEndOfTheNode(unittest.TestCase):
    """Calls of a node that has to end before their deadline."""

    @on_mock_clock
    async def test_call_waits_at_a_peer_no_longer_than_the_node_lives(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, [])
            await setup.send()
            for _ in range(100):
                setup.stats.class_times.record_time("place-order", 1.0)
            typical_s = setup.stats.class_times.get_typical_time("place-order")
            self.assertGreater(typical_s, 0.5)
            setup.sender.ends_at = trio.current_time() + 3.0
            await setup.send()
            useful_us = int((3.0 - typical_s) * 1e6)
            self.assertEqual(setup.links.useful_us[0], 0)
            self.assertAlmostEqual(setup.links.useful_us[1], useful_us, delta=1)

    @params(
        # (seconds left to the node, seconds left for an answer)
        (0.5, math.inf),
        (0.5, 1.5),
        (5.0, 0.5),
        (math.inf, 0.5),
    )
    def test_call_that_would_end_too_late_is_not_begun(self, *left):
        """Guards against an answer that a slow caller gets too late to take it whole,
        as the run before it took most of the time that was left.
        """
        self.check_late_call(*left)

    @on_mock_clock
    async def check_late_call(self, node_s, answer_s):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, [])
            setup.stats.class_times.record_time("place-order", 1.0)
            now = trio.current_time()
            setup.sender.ends_at = now + node_s
            response = await setup.send(answer_by=now + answer_s)
            self.assertEqual((reason_of(response), response.status), ("leaving", 503))
            self.assertIs(outcome_of(response), NOT_RUN)
            self.assertTrue(find_header(response.headers, b"retry-after"))
            self.assertEqual(setup.links.attempts, 0)
            response = await setup.send(b"GET", answer_by=now + answer_s)
            self.assertEqual(response.status, 200)

    @params((2.0, math.inf), (5.0, 2.1))
    def test_call_that_waits_at_a_peer_is_withdrawn_before_the_end(self, *left):
        self.check_withdrawn(*left)

    @on_mock_clock
    async def check_withdrawn(self, node_s, answer_s):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, ["silent before"])
            setup.stats.class_times.record_time("place-order", 1.0)
            responses = []

            async def send():
                answer_by = trio.current_time() + answer_s
                responses.append(await setup.send(answer_by=answer_by))

            nursery.start_soon(send)
            await trio.sleep(0.1)
            setup.sender.ends_at = trio.current_time() + node_s
            await trio.sleep(0.5)
            setup.sender.withdraw_late_attempts()
            self.assertEqual(setup.links.asked_to_refuse, 0)
            await trio.sleep(0.6)
            setup.sender.withdraw_late_attempts()
            setup.sender.withdraw_late_attempts()
            await trio.sleep(0.1)
            self.assertEqual(setup.links.asked_to_refuse, 1)
            self.assertIs(outcome_of(responses[0]), NOT_RUN)
            self.assertEqual(setup.links.attempts, 1)
            self.assertEqual(setup.sender.active_attempts, set())

    @params((["silent before"], UNKNOWN, 504), (["no link"] * 9, NOT_RUN, 503))
    def test_broken_off_call_gets_the_outcome_that_is_known(self, faults, known, code):
        self.check_broken_off(faults, known, code)

    @on_mock_clock
    async def check_broken_off(self, faults, known, code):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, faults)
            responses = []

            async def send():
                responses.append(await setup.send())

            nursery.start_soon(send)
            await trio.sleep(0.01)
            setup.dispatcher.end_calls()
            await trio.sleep(0.1)
            self.assertEqual([item.status for item in responses], [code])
            self.assertIs(outcome_of(responses[0]), known)


def record_requests(links):
    """Return the list to which each request that is sent is added."""
    sent = []
    send_request = links.send_request

    async def record_request(call, pending):
        sent.append(pending)
        await send_request(call, pending)

    links.send_request = record_request
    return sent


class TestSilentPeer(unittest.TestCase):
    """A peer goes silent while its server runs a call."""

    @params(
        # (method, attempts that failed before, other instances, extra repeats, second
        # at which the node ends, awaited)
        (b"POST", 0, True, 9, math.inf, True),
        (b"GET", 0, True, 9, math.inf, False),
        (b"GET", NODE_RETRIES, True, 9, math.inf, True),
        (b"GET", 0, False, 9, math.inf, True),
        (b"GET", 0, True, 0, math.inf, True),
        (b"GET", 0, True, 9, 4.0, True),
    )
    def test_call_without_another_attempt_awaits_its_answer(self, *case):
        """Guards against a failure in the place of the answer of a server at work."""
        self.check_silence(*case)

    @on_mock_clock
    async def check_silence(
        self, method, failed, has_others, extra, ends_at, is_awaited
    ):
        async with trio.open_nursery() as nursery:
            faults = ["backend crashed"] * failed + ["silent after"]
            setup = Setup(nursery, faults)
            if not has_others:
                setup.view.apply_list(2, [make_instance("orders-0")], 0.0)
            bound = RetryBound(ratio=0.0, window_s=10.0, extra=extra)
            budget = RetryBudget(bound)
            setup.dispatcher.retry_budget = setup.sender.retry_budget = budget
            responses = []

            async def send():
                responses.append(await setup.send(method))

            nursery.start_soon(send)
            await trio.sleep(1.0)
            setup.sender.ends_at = ends_at
            pending = setup.links.last_pending
            self.assertIs(pending.outlasts_silence(), is_awaited)
            if is_awaited:
                pending.resolve(FAULTS["answered"][1]())
            else:
                pending.resolve(Failure(reason=Reason.PEER_SILENT, outcome=UNKNOWN))
            await trio.sleep(1.0)
            self.assertEqual([item.status for item in responses], [200])
            self.assertEqual(setup.links.attempts, len(faults) + (not is_awaited))

    @params(
        # (extra repeats, calls in progress)
        (1, 2),
        (1, 5),
        (3, 5),
        (5, 5),
        (9, 5),
    )
    def test_calls_that_go_silent_together_are_answered(self, extra, count):
        """Guards against failures for calls that count on the same repeat.

        A link goes silent for a while with several calls in progress, and the budget
        allows fewer repeats than that.
        """
        self.check_silence_of_many(extra, count)

    @on_mock_clock
    async def check_silence_of_many(self, extra, count):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, ["silent after"] * count)
            budget = RetryBudget(RetryBound(ratio=0.0, window_s=10.0, extra=extra))
            setup.dispatcher.retry_budget = setup.sender.retry_budget = budget
            sent, responses = record_requests(setup.links), []

            async def send():
                responses.append(await setup.send(b"GET"))

            for _ in range(count):
                nursery.start_soon(send)
            await trio.sleep(1.0)
            silent = list(sent)
            lasting = [item for item in silent if item.outlasts_silence()]
            for pending in silent:
                if pending not in lasting:
                    pending.resolve(Failure(reason=Reason.PEER_SILENT, outcome=UNKNOWN))
            await trio.sleep(1.0)
            # The peer goes on.
            for pending in lasting:
                pending.resolve(FAULTS["answered"][1]())
            await trio.sleep(1.0)
            self.assertEqual([item.status for item in responses], [200] * count)
            self.assertEqual(len(sent) - count, min(extra, count))

    @params(
        # (fault of the attempt after which its call has no use for a repeat)
        "answered",
        "no link",
        "silent after",
    )
    def test_reserved_repeat_that_is_not_used_is_released(self, fault):
        """Guards against a budget that shrinks with each call that goes silent."""
        self.check_release(fault)

    @on_mock_clock
    async def check_release(self, fault):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, ["silent after"] * 3)
            budget = RetryBudget(RetryBound(ratio=0.0, window_s=60.0, extra=1))
            setup.dispatcher.retry_budget = setup.sender.retry_budget = budget
            sent = record_requests(setup.links)
            nursery.start_soon(setup.send, b"GET")
            await trio.sleep(1.0)
            self.assertFalse(sent[0].outlasts_silence())
            result = FAULTS[fault][1]()
            if result is not None:
                sent[0].resolve(result)
            else:
                await trio.sleep(CALL_TIMEOUT_S)
            await trio.sleep(1.0)
            nursery.start_soon(setup.send, b"GET")
            await trio.sleep(1.0)
            self.assertFalse(sent[-1].outlasts_silence())
            nursery.cancel_scope.cancel()

    @params(
        # (other instances that can be reached, awaited)
        (0, True),
        (1, False),
    )
    def test_call_without_a_reachable_instance_awaits_its_answer(self, *case):
        """Guards against a failure where the other instances are still listed."""
        self.check_unreachable(*case)

    @on_mock_clock
    async def check_unreachable(self, reachable, is_awaited):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, ["silent after", *["no link"] * (1 - reachable)])
            setup.view.apply_list(
                2, [make_instance(f"orders-{n}") for n in range(2)], 0.0
            )
            router = setup.sender.router
            router.is_reachable = lambda name: name == "orders-0" or bool(reachable)
            responses = []

            async def send():
                responses.append(await setup.send(b"GET"))

            nursery.start_soon(send)
            await trio.sleep(1.0)
            pending = setup.links.last_pending
            self.assertIs(pending.outlasts_silence(), is_awaited)
            if is_awaited:
                pending.resolve(FAULTS["answered"][1]())
            else:
                pending.resolve(Failure(reason=Reason.PEER_SILENT, outcome=UNKNOWN))
            await trio.sleep(1.0)
            self.assertEqual([item.status for item in responses], [200])


class TestLateWakeUp(unittest.TestCase):
    """The deadline of a call has passed when the process goes on."""

    @params(
        # (seconds since the deadline, fault, status, outcome)
        (1.0, "answered", 200, Outcome.DONE),
        (1.0, "leaving", 504, UNKNOWN),
        (1.0, "silent after", 504, UNKNOWN),
        (0.0, "answered", 504, UNKNOWN),
    )
    def test_answer_that_arrived_meanwhile_is_delivered(self, late_s, *expected):
        self.check_late(late_s, *expected)

    @on_mock_clock
    async def check_late(self, late_s, fault, status, outcome):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, ["silent after"])
            sent, responses = record_requests(setup.links), []

            async def send():
                responses.append(await setup.send())

            nursery.start_soon(send)
            await wait_all_tasks_blocked()
            trio.lowlevel.current_clock().jump(CALL_TIMEOUT_S + late_s)
            for _ in range(3):
                await trio.lowlevel.checkpoint()
            result = FAULTS[fault][1]()
            if result is not None:
                sent[0].resolve(result)
            await trio.sleep(0.1)
            self.assertEqual([item.status for item in responses], [status])
            self.assertIs(outcome_of(responses[0]), outcome)
            self.assertEqual(setup.links.attempts, 1)
            self.assertEqual(setup.sender.active_attempts, set())


class TestMoves(unittest.TestCase):
    """Moves after refusals, and the budget of repeated arrivals."""

    @params(
        (["leaving", "no link", "backend refused"], 4, 200),
        (["leaving"] * 4, 4, 503),
        (["queue full"], 2, 200),
        (["queue full", "queue full"], 2, 503),
        (["link lost before", "leaving"], 1, 502),
        (["leaving", "link lost before"], 2, 502),
    )
    def test_refused_request_moves_without_a_retry(self, faults, attempts, status):
        self.check_moves(faults, attempts, status)

    @on_mock_clock
    async def check_moves(self, faults, attempts, status):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, faults)
            text = POLICY.replace(f"retries = {RETRIES}", "retries = 0\nmoves = 3")
            setup.store.accept_document(2, text, now=0.0, source="test")
            response = await setup.send()
            self.assertEqual(
                (setup.links.attempts, response.status), (attempts, status)
            )
            self.assertLessEqual(setup.links.runs, 1)

    @params("leaving", "silent after")
    def test_service_that_leaves_the_policy_meanwhile(self, fault):
        """Guards against requests that fail as they were read before a change."""
        self.check_removed_service(fault)

    @on_mock_clock
    async def check_removed_service(self, fault):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, [fault])
            text = POLICY.replace("[class", "hedging = on\n\n[class", 1)
            text = text.replace("timeout = 5", "timeout = 5\nmoves = 3")
            setup.store.accept_document(2, text, now=0.0, source="test")
            setup.sender.hedging.get_delay = lambda *_: 0.1
            send_request = setup.links.send_request

            async def change_and_send(call, pending):
                text = POLICY.replace("orders", "stock")
                setup.store.accept_document(3, text, now=0.0, source="test")
                await send_request(call, pending)

            setup.links.send_request = change_and_send
            response = None
            with trio.move_on_after(1.0):
                response = await setup.send(b"GET")
            # A run that takes long goes on, and a refused request moves.
            expected = 200 if fault == "leaving" else None
            self.assertEqual(getattr(response, "status", None), expected)
            nursery.cancel_scope.cancel()

    @params((None, 3), (RetryBound(ratio=0.0, extra=1.0), 2))
    def test_budget_bounds_repeated_arrivals(self, bound, attempts):
        self.check_budget(bound, attempts)

    @on_mock_clock
    async def check_budget(self, bound, attempts):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, ["answer cut", "answer cut"])
            setup.dispatcher.retry_budget = RetryBudget(bound)
            await setup.send(b"GET")
            self.assertEqual(setup.links.attempts, attempts)

    @on_mock_clock
    async def test_repeat_without_an_instance_is_not_counted(self):
        """Guards against a budget that shrinks with each call that is not repeated."""
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, ["backend crashed"] * 2)
            bound = RetryBound(ratio=0.0, window_s=60.0, extra=1)
            setup.dispatcher.retry_budget = RetryBudget(bound)
            instances = [make_instance(f"orders-{n}") for n in range(2)]
            setup.view.apply_list(2, instances[:1], 0.0)
            self.assertEqual((await setup.send(b"GET")).status, 502)
            setup.view.apply_list(3, instances, 0.0)
            self.assertEqual((await setup.send(b"GET")).status, 200)
            self.assertEqual(setup.links.attempts, 3)


class TestDispatcher(unittest.TestCase):
    @params(
        ("POST", ["answered"], "done", 1),
        ("POST", ["leaving", "answered"], "done", 2),
        ("POST", ["no link", "leaving", "answered"], "done", 3),
        ("POST", ["link lost after", "answered"], "unknown", 1),
        ("POST", ["backend crashed", "answered"], "unknown", 1),
        ("POST", ["silent after", "answered"], "unknown", 1),
        ("POST", ["queue full", "answered"], "done", 2),
        ("GET", ["link lost after", "answered"], "done", 2),
        ("GET", ["link garbled", "answered"], "done", 2),
        ("POST", ["link garbled", "answered"], "unknown", 1),
        ("GET", ["answer cut", "answered"], "done", 2),
        ("GET", ["queue full", "answered"], "not-run", 1),
        ("GET", ["link lost after", "leaving", "leaving", "leaving"], "unknown", 2),
    )
    def test_fault_leads_to_an_honest_outcome(self, method, faults, outcome, attempts):
        self.check_outcome(method, faults, outcome, attempts)

    @on_mock_clock
    async def check_outcome(self, method, faults, outcome, attempts):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, faults)
            response = await setup.send(method.encode())
            self.assertEqual(outcome_of(response), outcome)
            self.assertEqual(setup.links.attempts, attempts)

    @given(
        method=st.sampled_from([b"POST", b"GET"]),
        faults=st.lists(st.sampled_from(sorted(FAULTS)), max_size=8),
        attempt=st.none() | st.integers(0, 4),
        allowance=st.none() | st.integers(0, 16),
    )
    def test_every_outcome_is_true_and_retries_stay_in_bound(
        self, method, faults, attempt, allowance
    ):
        self.check_truth(method, faults, attempt, allowance)

    @on_mock_clock
    async def check_truth(self, method, faults, attempt, allowance):
        headers = {}
        if attempt is not None:
            headers["catkinpost_attempt"] = attempt
        if allowance is not None:
            headers["catkinpost_retry_allowance"] = allowance
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, faults)
            response = await setup.send(method, body=b"mine", **headers)
            links = setup.links
            outcome = outcome_of(response)
            if outcome is Outcome.NOT_RUN:
                self.assertEqual(links.runs, 0)
                self.assertIn(attempt, (None, 0))
            if outcome is Outcome.DONE:
                self.assertEqual(response.body, b"mine")
            if method == b"POST":
                self.assertLessEqual(links.runs, 1)
            self.assertLessEqual(links.attempts - 1, get_node_retries(RETRIES))
            if allowance is not None:
                self.assertLessEqual(links.attempts - 1, allowance)
            self.assertEqual(
                sum(len(item.outstanding) for item in setup.stats.stats.values()), 0
            )

    @on_mock_clock
    async def test_child_calls_share_the_allowance_of_their_parent(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, ["leaving"] * 20)
            parent = setup.running.start(
                service="sets",
                call_class="lookup-set",
                tenant="shop",
                rank=2,
                deadline=trio.current_time() + 1,
                allowance=Allowance(3),
            )
            for _ in range(6):
                await setup.send(b"GET", catkinpost_parent=parent.token)
            self.assertEqual(setup.links.attempts, 6 + 3)

    @on_mock_clock
    async def test_child_call_of_an_unknown_parent_gets_no_retry(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, ["leaving"] * 20)
            await setup.send(b"GET", catkinpost_parent="gone")
            self.assertEqual(setup.links.attempts, 1)

    @on_mock_clock
    async def test_request_that_waited_past_its_deadline_is_not_sent(self):
        """Guards against runs and unknown outcomes of requests that nobody awaits."""
        headers = [(b"host", b"orders")]
        request = HttpRequest(b"POST", b"/orders", headers, b"one")
        request.waited_s = CALL_TIMEOUT_S + 0.1
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, ["silent before"])
            response = await setup.dispatcher.handle(request)
        self.assertEqual(setup.links.attempts, 0)
        self.assertEqual(outcome_of(response), NOT_RUN)
        self.assertEqual(reason_of(response), Reason.DEADLINE_EXCEEDED)

    @on_mock_clock
    async def test_call_is_withdrawn_when_its_caller_leaves(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, ["silent after"])
            with trio.move_on_after(1.0):
                await setup.send()
            self.assertEqual(setup.links.withdrawn, 1)
            self.assertEqual(setup.dispatcher.active_requests, 0)

    @on_mock_clock
    async def test_child_call_is_withdrawn_when_its_parent_is_cancelled(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, ["silent after"])
            parent = setup.running.start(
                service="sets",
                call_class="lookup-set",
                tenant="shop",
                rank=2,
                deadline=trio.current_time() + 100,
                allowance=Allowance(3),
            )

            async def send():
                await setup.send(b"GET", catkinpost_parent=parent.token)

            nursery.start_soon(send)
            await trio.sleep(0.5)
            parent.cancel_children()
            await trio.sleep(0.1)
            self.assertEqual(setup.links.withdrawn, 1)

    @on_mock_clock
    async def test_call_to_a_holder_is_passed_on(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, ["answered"])
            setup.links.faults = []
            answers = [
                refusal(Reason.ALREADY_SENT, UNKNOWN, holder="orders-3#abc"),
                Answer(0, 200, [], b"kept", 0, Load(), True),
            ]
            seen = []

            class Links:
                def get_or_open_link(self, instance):
                    seen.append(instance.name)
                    return self

                async def send_request(self, call, pending):
                    pending.resolve(answers.pop(0))

            setup.sender.links = Links()
            response = await setup.send(
                b"POST", idempotency_key="k", catkinpost_attempt=1
            )
            self.assertEqual(response.body, b"kept")
            self.assertEqual(seen[-1], "orders-3")

    @params(
        ({"catkinpost_attempt": "x"}, Reason.INVALID_HEADER, 400),
        ({"catkinpost_timeout_ms": "-5"}, Reason.INVALID_HEADER, 400),
        ({"catkinpost_retry_allowance": "99"}, Reason.INVALID_HEADER, 400),
        ({"catkinpost_tenant": "a b"}, Reason.INVALID_HEADER, 400),
        ({"idempotency_key": "k" * 300}, Reason.INVALID_HEADER, 400),
        ({"catkinpost_class": "nope"}, Reason.UNKNOWN_CLASS, 400),
        ({"catkinpost_service": "nope"}, Reason.UNKNOWN_SERVICE, 404),
        ({"catkinpost_attempt": "9"}, Reason.RETRY_BOUND, 503),
    )
    def test_bad_header_has_a_clear_answer(self, headers, reason, status):
        self.check_bad_header(headers, reason, status)

    @on_mock_clock
    async def check_bad_header(self, headers, reason, status):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, [])
            response = await setup.send(**headers)
            self.assertEqual((reason_of(response), response.status), (reason, status))
            (decision,) = setup.decisions.decisions
            self.assertEqual((decision.action, decision.subject), ("reject", reason))
            self.assertEqual(setup.links.attempts, 0)

    async def learn(self, setup):
        for _ in range(50):
            setup.sender.hedging.record_response_time("show-order", 0.01)

    @on_mock_clock
    async def test_slow_repeatable_call_gets_a_second_attempt(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, ["silent after", "answered"])
            await self.learn(setup)
            response = await setup.send(b"GET")
            self.assertEqual(outcome_of(response), Outcome.DONE)
            self.assertEqual((setup.links.attempts, setup.links.withdrawn), (2, 1))
            self.assertEqual(setup.sender.metrics.counters["hedges"], 1)

    @params(("POST", {}), ("GET", {"catkinpost_retry_allowance": 0}))
    def test_call_that_may_not_be_repeated_is_not_hedged(self, method, headers):
        self.check_no_hedge(method, headers)

    @on_mock_clock
    async def check_no_hedge(self, method, headers):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, ["silent after", "answered"])
            await self.learn(setup)
            await setup.send(method.encode(), **headers)
            self.assertEqual(setup.links.attempts, 1)

    @params(("on", "throttled", 0), ("observe", None, 1), ("off", None, 1))
    def test_switch_of_admission_decides_about_throttling(self, mode, reason, attempts):
        self.check_throttle(mode, reason, attempts)

    @on_mock_clock
    async def check_throttle(self, mode, reason, attempts):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, [])
            switch = f"owner = sales\nadmission = {mode}\n"
            text = POLICY.replace("owner = sales\n", switch, 1)
            setup.store.accept_document(2, text, now=0.0, source="test")
            setup.throttle.draw_refusal = lambda service, rank: True
            response = await setup.send()
            found = find_header(response.headers, b"catkinpost-reason")
            self.assertEqual(found, reason and reason.encode())
            self.assertEqual(setup.links.attempts, attempts)
            logged = [item.mode for item in setup.decisions.decisions]
            self.assertEqual(logged, [] if mode == "off" else [mode])

    @on_mock_clock
    async def test_overloaded_service_is_not_hedged(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, ["silent after", "answered"])
            await self.learn(setup)
            for _ in range(20):
                setup.throttle.record_request("orders", 1, accepted=False)
                setup.throttle.record_request("orders", 1, accepted=True)
            await setup.send(b"GET")
            self.assertLessEqual(setup.links.attempts, 1)

    @on_mock_clock
    async def test_fault_of_the_node_is_an_unknown_outcome(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, [])
            setup.sender.router = None
            response = await setup.send()
            self.assertEqual(response.status, 500)
            self.assertEqual(outcome_of(response), Outcome.UNKNOWN)
            self.assertEqual(setup.dispatcher.active_requests, 0)

    @on_mock_clock
    async def test_node_without_policy_refuses(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, [])
            setup.dispatcher.is_ready = lambda: False
            response = await setup.send()
            self.assertEqual(reason_of(response), Reason.NO_POLICY)
            self.assertEqual(outcome_of(response), Outcome.NOT_RUN)


class WaitingExecutor:
    """Executor whose calls wait until they are withdrawn."""

    def __init__(self):
        self.waiting = {}

    async def run(self, call):
        self.waiting[id(call)] = trio.Event()
        await self.waiting[id(call)].wait()
        return refusal(Reason.LEAVING, NOT_RUN)

    def withdraw(self, call):
        self.waiting[id(call)].set()


class TestWorkspaces(unittest.TestCase):
    """Callers with keys of workspaces; the test holds the answers of peers back."""

    KEYS = {"lab": "k-lab", "shop": "k-shop"}

    def publish(self, setup, version, *names):
        parts = [POLICY]
        for name in names:
            digest = compute_key_digest(self.KEYS[name].encode())
            section = f"[workspace {name}]\nowner = sales\nkey_digests = {digest}\n"
            parts.append(section + "importance = sheddable\n")
        text = "\n".join(parts)
        setup.store.accept_document(version, text, now=0.0, source="test")

    @params(
        # (faults, answer and attempts once the key is withdrawn)
        (["silent before"], Outcome.NOT_RUN, 1),
        (["link lost after", "silent before"], Outcome.UNKNOWN, 2),
    )
    def test_request_that_waits_at_a_peer_ends_with_its_key(self, faults, end, count):
        """Guards against a withdrawn key whose requests move on from peer to peer."""
        self.check_withdrawn(faults, end, count)

    @on_mock_clock
    async def check_withdrawn(self, faults, outcome, attempts):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, faults)
            self.publish(setup, 2, "lab", "shop")
            responses = []

            async def send():
                response = await setup.send(method=b"GET", authorization="Bearer k-lab")
                responses.append(response)

            nursery.start_soon(send)
            while setup.links.attempts < attempts:
                await trio.sleep(0.01)
            check = setup.authenticator.check_again
            self.publish(setup, 3, "shop", "lab")
            setup.sender.withdraw_attempts(lambda call: check(call.caller) is not None)
            self.assertEqual(setup.links.asked_to_refuse, 0)
            self.publish(setup, 4, "shop")
            setup.sender.withdraw_attempts(lambda call: check(call.caller) is not None)
            await wait_all_tasks_blocked()
            self.assertEqual(reason_of(responses[0]), "unauthenticated")
            self.assertEqual(outcome_of(responses[0]), outcome)
            self.assertEqual(setup.links.attempts, attempts)

    @on_mock_clock
    async def test_request_that_waits_at_the_own_server_ends_with_its_key(self):
        """Guards against a withdrawn key whose requests wait at their own node."""
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, [])
            self.publish(setup, 2, "lab")
            setup.view.apply_list(2, [make_instance("sets-1")], 0.0)
            executor = setup.sender.executor = WaitingExecutor()
            responses = []

            async def send():
                response = await setup.send(method=b"GET", authorization="Bearer k-lab")
                responses.append(response)

            nursery.start_soon(send)
            await wait_all_tasks_blocked()
            self.assertEqual((len(executor.waiting), responses), (1, []))
            check = setup.authenticator.check_again
            self.publish(setup, 3)
            setup.sender.withdraw_attempts(lambda call: check(call.caller) is not None)
            await wait_all_tasks_blocked()
            self.assertEqual(reason_of(responses[0]), "unauthenticated")
            self.assertEqual(outcome_of(responses[0]), Outcome.NOT_RUN)

    @on_mock_clock
    async def test_one_idempotency_key_of_two_workspaces_is_two_requests(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, [])
            self.publish(setup, 2, "lab", "shop")
            calls = []
            send_request = setup.links.send_request

            async def keep_call(call, pending):
                calls.append(call)
                await send_request(call, pending)

            setup.links.send_request = keep_call
            for name in self.KEYS:
                await setup.send(
                    authorization=f"Bearer {self.KEYS[name]}",
                    idempotency_key="order-1",
                    catkinpost_tenant="lab",
                )
            self.assertEqual([call.tenant for call in calls], ["lab", "shop"])
            self.assertEqual(
                [call.key for call in calls],
                ["orders/lab/order-1", "orders/shop/order-1"],
            )
            for call in calls:
                named = [
                    pair for pair in call.headers if pair[0] == b"catkinpost-tenant"
                ]
                self.assertEqual(named, [(b"catkinpost-tenant", call.tenant.encode())])
                self.assertEqual(call.rank, IMPORTANCE_RANK[Importance.SHEDDABLE])
                self.assertNotIn("Bearer", repr(call))

    @params({}, {"authorization": "Bearer k-none"}, {"catkinpost_tenant": "lab"})
    def test_request_without_a_valid_key_is_not_sent(self, headers):
        self.check_not_sent(headers)

    @on_mock_clock
    async def check_not_sent(self, headers):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, [])
            self.publish(setup, 2, "lab")
            response = await setup.send(**headers)
            self.assertEqual(response.status, 401)
            scheme = find_header(response.headers, b"www-authenticate")
            self.assertEqual(scheme, b"Bearer")
            self.assertEqual(setup.links.attempts, 0)
