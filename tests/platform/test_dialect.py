"""Tests of headers and statuses exchanged with callers and servers."""

import unittest
from collections import Counter

import trio
from nose2.tools import params

from catkinpost.coordination.access.authenticator import UNKNOWN_CALLER
from catkinpost.platform.dialect import PlatformDialect
from catkinpost.platform.document import parse_configuration, render_policy
from catkinpost.protocol.http import HttpRequest, HttpResponse, find_header
from catkinpost.protocol.message import Call
from catkinpost.protocol.outcome import Failure, Outcome, Reason
from catkinpost.protocol.policy import ServiceSection
from catkinpost.state.policy_store import PolicyStore
from catkinpost.state.running import RunningCalls
from tests.clock import on_mock_clock
from tests.coordination.routing.test_dispatcher import Setup
from tests.platform.test_document import CONFIG, encode_config

SECTION = ServiceSection(owner="operator")
SIGNED = (b"response-signature", b"3e1b")
REFUSED = (b"not-executed", b"1")


def make_request(*headers, target=b"/place/2f", host=b"shop.example"):
    pairs = [(b"host", host), (b"attempt-id", b"9c41"), *headers]
    return HttpRequest(b"GET", target, pairs)


class TestDialect(unittest.TestCase):
    def setUp(self):
        self.dialect = PlatformDialect(lambda: "stock")
        store = PolicyStore()
        text = render_policy(parse_configuration(encode_config(CONFIG)))
        store.accept_document(7, text, now=0.0, source="test")
        self.policy = store.policy

    def classify(self, request):
        return self.dialect.classify_request(
            request, self.policy, RunningCalls(), UNKNOWN_CALLER
        )

    @on_mock_clock
    async def test_calling_service_is_set_whatever_was_sent(self):
        request = make_request(
            (b"calling-service", b"forged"), (b"expected-instance", b"i-9")
        )
        headers = self.classify(request).request.headers
        named = [value for name, value in headers if name == b"calling-service"]
        self.assertEqual(named, [b"stock"])
        self.assertIsNone(find_header(headers, b"expected-instance"))
        self.assertEqual(find_header(headers, b"attempt-id"), b"9c41")

    @params((b"600", 0.601), (b"5000", 1.2), (b"5", 0.006), (b"0", 0.0))
    def test_deadline_is_the_nearer_of_caller_and_class(self, sent, seconds):
        self.check_deadline(sent, seconds)

    @on_mock_clock
    async def check_deadline(self, sent, seconds):
        for waited_s in (0.0, 0.25):
            request = make_request((b"deadline-remaining", sent))
            request.waited_s, request.answer_by = waited_s, 3.0
            call = self.classify(request)
            left_s = call.deadline - trio.current_time()
            self.assertAlmostEqual(left_s, seconds - waited_s)
            self.assertEqual(call.answer_by, 3.0)

    @params((b"600", 0.601), (b"5000", 1.2))
    def test_server_at_work_is_awaited_until_the_deadline(self, sent, seconds):
        """Guards against a node that answers 504 while its caller still waits."""
        self.check_wait(sent, seconds)

    @on_mock_clock
    async def check_wait(self, sent, seconds):
        request = make_request((b"deadline-remaining", sent))
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, ["silent after"])
            setup.dispatcher.dialect = self.dialect
            setup.dispatcher.store.policy = self.policy
            response = await setup.dispatcher.handle(request)
        self.assertEqual(response.status, 504)
        self.assertAlmostEqual(trio.current_time() - started_at, seconds)

    @params(
        (make_request(host=b"nobody.example"), 404),
        (make_request(target=b"/elsewhere/"), 404),
        (make_request((b"host", b"other.example")), 400),
        (HttpRequest(b"GET", b"/place/2f", []), 400),
        (make_request((b"deadline-remaining", b"soon")), 400),
    )
    def test_request_that_is_not_allowed_is_refused(self, request, status):
        self.check_refused(request, status)

    @on_mock_clock
    async def check_refused(self, request, status):
        failure = self.classify(request)
        self.assertIsInstance(failure, Failure)
        self.assertEqual(self.dialect.build_failure_response(failure).status, status)

    @on_mock_clock
    async def test_split_follows_the_weights(self):
        request = make_request(target=b"/place/browse/2f")
        counts = Counter(self.classify(request).service for _ in range(2000))
        self.assertAlmostEqual(counts["stock"] / 2000, 0.9, delta=0.03)

    def test_promises_are_made_only_when_nothing_has_run(self):
        promises = {408, 421, 429, 503}
        for reason in Reason:
            for outcome in (Outcome.UNKNOWN, Outcome.DONE):
                failure = Failure(reason=reason, outcome=outcome, retry_after=1.0)
                response = self.dialect.build_failure_response(failure)
                self.assertIn(response.status, (502, 504), reason)
                self.assertNotIn(response.status, promises)

    def test_refusal_tells_when_to_come_back(self):
        failure = Failure(reason=Reason.QUEUE_FULL, retry_after=0.25)
        response = self.dialect.build_failure_response(failure)
        self.assertEqual(response.status, 503)
        self.assertEqual(find_header(response.headers, b"retry-after"), b"0.250")

    @on_mock_clock
    async def test_server_learns_what_is_left_and_who_is_meant(self):
        running = RunningCalls().start(
            service="orders",
            call_class="r-order",
            tenant="default",
            rank=0,
            deadline=trio.current_time() + 0.5,
            allowance=None,
        )
        call = Call(
            id=1,
            service="orders",
            call_class="r-order",
            tenant="default",
            rank=0,
            budget_us=1,
            allowance=0,
            attempt=0,
            key="",
            method=b"POST",
            target=b"/place/2f",
            headers=[(b"attempt-id", b"9c41")],
            body=b"x",
            incarnation="i-7f#123",
        )
        request = self.dialect.build_request(call, running)
        left = find_header(request.headers, b"deadline-remaining")
        self.assertAlmostEqual(int(left), 500, delta=1)
        self.assertEqual(find_header(request.headers, b"expected-instance"), b"i-7f")
        self.assertEqual(request.body, b"x")

    @params(
        (200, [SIGNED], None, None),
        (500, [SIGNED], None, None),
        (504, [SIGNED], None, None),
        (503, [REFUSED], Reason.BACKEND_SHED, Outcome.NOT_RUN),
        (429, [REFUSED], Reason.BACKEND_SHED, Outcome.NOT_RUN),
        (400, [REFUSED], Reason.BACKEND_SHED, Outcome.NOT_RUN),
        (421, [], Reason.BACKEND_REPLACED, Outcome.NOT_RUN),
        (200, [], Reason.BACKEND_BAD_ANSWER, Outcome.UNKNOWN),
        (503, [], Reason.BACKEND_BAD_ANSWER, Outcome.UNKNOWN),
        (503, [SIGNED], Reason.BACKEND_BAD_ANSWER, Outcome.UNKNOWN),
        (
            200,
            [SIGNED, (b"content-encoding", b"gzip")],
            Reason.BACKEND_BAD_ANSWER,
            Outcome.UNKNOWN,
        ),
    )
    def test_answers_that_are_no_results(self, status, headers, reason, outcome):
        response = HttpResponse(status, headers)
        failure = self.dialect.find_refusal(None, response, SECTION)
        if reason is None:
            self.assertIsNone(failure)
        else:
            self.assertEqual((failure.reason, failure.outcome), (reason, outcome))

    @params(
        (b"9c41", 200, True),
        (b"0000", 200, False),
        (b"0000", 503, False),
        (None, 200, False),
        (None, 503, True),
    )
    def test_answer_belongs_to_the_attempt_that_it_names(self, named, status, expected):
        headers = [] if named is None else [(b"attempt-id", named)]
        response = HttpResponse(status, headers)
        self.assertEqual(
            self.dialect.is_response_to(make_request(), response), expected
        )
