"""Tests of the HTTP parsers."""

import unittest

from nose2.tools import params

from catkinpost.protocol.http import HttpLimits
from catkinpost.protocol.outcome import Outcome, Reason
from catkinpost.transport.http_parser import (
    MAX_INTERIM_ANSWERS,
    RequestParser,
    ResponseParser,
)

CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
HEAD_END = b"\r\n\r\n"
MAX_FED_BYTES = 64 * 1024
NEXT_REQUEST = b"GET /n HTTP/1.1\r\n\r\n"
UPGRADE = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
LIMITS = HttpLimits(max_head_bytes=256, max_body_bytes=64)
GOOD_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def feed_in_chunks(parser, data, size):
    for start in range(0, len(data), size):
        failure = parser.feed(data[start : start + size])
        if failure is not None:
            return failure
    return None


class TestRequestParser(unittest.TestCase):
    @params(1, 3, 1000)
    def test_whole_request_is_read_whatever_the_pieces(self, size):
        parser = RequestParser(LIMITS)
        data = (
            b"POST /orders HTTP/1.1\r\nHost: orders\r\nContent-Length: 5\r\n\r\nbirch"
        )
        self.assertIsNone(feed_in_chunks(parser, data, size))
        (request,) = parser.messages
        self.assertEqual(request.method, b"POST")
        self.assertEqual(request.target, b"/orders")
        self.assertEqual(request.body, b"birch")
        self.assertIn((b"host", b"orders"), request.headers)

    def test_chunked_body_is_joined(self):
        parser = RequestParser(LIMITS)
        parser.feed(b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
        parser.feed(b"3\r\nbir\r\n2\r\nch\r\n0\r\n\r\n")
        self.assertEqual(parser.messages[0].body, b"birch")

    def test_pipelined_requests_stay_in_order(self):
        parser = RequestParser(LIMITS)
        parser.feed(b"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n")
        self.assertEqual([item.target for item in parser.messages], [b"/1", b"/2"])

    @params(
        (b"NONSENSE\r\n\r\n", Reason.MALFORMED_REQUEST),
        (b"GET / HTTP/1.1\r\nbad header\r\n\r\n", Reason.MALFORMED_REQUEST),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            Reason.MALFORMED_REQUEST,
        ),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n",
            Reason.MALFORMED_REQUEST,
        ),
        (b"GET /" + b"a" * 300 + b" HTTP/1.1\r\n\r\n", Reason.HEAD_TOO_LARGE),
        (b"GET / HTTP/1.1\r\nA: " + b"b" * 300, Reason.HEAD_TOO_LARGE),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n" + b"x" * 65,
            Reason.BODY_TOO_LARGE,
        ),
        (b"CONNECT a:1 HTTP/1.1\r\n\r\n", Reason.MALFORMED_REQUEST),
        (
            b"POST / HTTP/1.1\r\n"
            + UPGRADE
            + b"Content-Length: 65\r\n\r\n"
            + b"x" * 65,
            Reason.BODY_TOO_LARGE,
        ),
        (
            b"POST / HTTP/1.1\r\n" + UPGRADE + b"Content-Length: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n",
            Reason.MALFORMED_REQUEST,
        ),
    )
    def test_bad_request_has_a_typed_failure(self, data, reason):
        for size in (1, 1000):
            parser = RequestParser(LIMITS)
            failure = feed_in_chunks(parser, data, size)
            self.assertEqual(failure.reason, reason)
            self.assertEqual(failure.outcome, Outcome.NOT_RUN)
            self.assertFalse(parser.messages)

    @params(
        # (framing of the request that offers an upgrade, its body, keep-alive)
        (b"\r\n", b"", True),
        (b"Content-Length: 19\r\n\r\n" + NEXT_REQUEST, NEXT_REQUEST, True),
        (
            b"Transfer-Encoding: chunked\r\n\r\n"
            b"13\r\n" + NEXT_REQUEST + b"\r\n0\r\n\r\n",
            NEXT_REQUEST,
            True,
        ),
        (b"Connection: close\r\n\r\n", b"", False),
    )
    def test_upgrade_offer_changes_no_framing(self, framing, body, keep_alive):
        """Guards against a body that is taken for the next request."""
        data = b"POST / HTTP/1.1\r\n" + UPGRADE + framing
        if keep_alive:
            data += NEXT_REQUEST
        for size in (1, 7, 1000):
            parser = RequestParser(LIMITS)
            self.assertIsNone(feed_in_chunks(parser, data, size))
            first, *others = parser.messages
            self.assertEqual(first.method, b"POST")
            self.assertEqual(first.body, body)
            self.assertEqual(first.keep_alive, keep_alive)
            expected_targets = [b"/n"] if keep_alive else []
            self.assertEqual([item.target for item in others], expected_targets)

    @params(
        (b"GET /1 HTTP/1.1\r\nA: b\r\n\r\n", 30),
        (b"POST / HTTP/1.1\r\nContent-Length: 20\r\n\r\n" + HEAD_END * 5, 30),
        (
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"8\r\n" + HEAD_END * 2 + b"\r\n0\r\n\r\n",
            30,
        ),
    )
    def test_head_behind_other_requests_is_counted_alone(self, request, count):
        # An unfinished head of 205 bytes, of the 256 that are allowed.
        head = b"GET /last HTTP/1.1\r\nB: " + b"c" * 180 + b"\r\n"
        data = request * count + head
        for size in (1, 7, 33, 100, 257, 65536):
            parser = RequestParser(LIMITS)
            self.assertIsNone(feed_in_chunks(parser, data, size))
            self.assertIsNone(parser.feed(b"\r\n"))
            self.assertEqual(len(parser.messages), count + 1)
            self.assertEqual(parser.messages[-1].target, b"/last")

    @params(b"GET /" + b"c" * 300, b"GET / HTTP/1.1\r\nB: " + b"c" * 300)
    def test_large_head_behind_other_requests_is_rejected(self, head):
        data = b"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx" * 30 + head
        for size in (1, 7, 33, 100, 257, 65536):
            failure = feed_in_chunks(RequestParser(LIMITS), data, size)
            self.assertEqual(failure.reason, Reason.HEAD_TOO_LARGE)


class TestResponseParser(unittest.TestCase):
    def test_sized_answer_is_read(self):
        parser = ResponseParser(LIMITS, head_only=False)
        parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no")
        self.assertFalse(parser.messages)
        parser.feed(b"k")
        self.assertEqual(parser.messages[0].body, b"ok")

    def test_interim_answer_is_skipped(self):
        parser = ResponseParser(LIMITS, head_only=False)
        parser.feed(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.assertFalse(parser.messages)
        parser.feed(b"HTTP/1.1 204 No Content\r\n\r\n")
        self.assertEqual(parser.messages[0].status, 204)

    def test_answer_to_head_ends_with_its_head(self):
        parser = ResponseParser(LIMITS, head_only=True)
        self.assertIsNone(parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n"))
        self.assertEqual(parser.messages[0].body, b"")

    @params(
        b"HTTP/1.1 200 OK\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n" + b"x" * 65,
        b"garbage\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nA: " + b"b" * 300,
    )
    def test_unusable_answer_has_unknown_outcome(self, data):
        failure = ResponseParser(LIMITS, head_only=False).feed(data)
        self.assertEqual(failure.reason, Reason.BACKEND_BAD_ANSWER)
        self.assertEqual(failure.outcome, Outcome.UNKNOWN)

    @params(
        (b"", b"\r\n"),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n"),
        (b"HTTP/1.1 200 OK\r\nA: ", b"b"),
        (CHUNKED_HEAD + b"1;", b"extension;"),
        (CHUNKED_HEAD + b"0\r\n", b"A: b\r\n"),
        (CHUNKED_HEAD, b"1\r\nx\r\n"),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"endless body "),
    )
    def test_bytes_without_end_are_rejected(self, head, repeated):
        """Guards against a server that sends bytes until its caller closes."""
        limits = HttpLimits(
            max_head_bytes=256, max_body_bytes=1024, unsized_answers=True
        )
        parser = ResponseParser(limits, head_only=False)
        self.assertIsNone(parser.feed(head) if head else None)
        fed_bytes = 0
        failure = None
        while failure is None and fed_bytes < MAX_FED_BYTES:
            failure = parser.feed(repeated)
            fed_bytes += len(repeated)
        self.assertEqual(failure.reason, Reason.BACKEND_BAD_ANSWER)
        self.assertEqual(failure.outcome, Outcome.UNKNOWN)
        self.assertFalse(parser.messages)
        self.assertLess(sum(map(len, parser.body_parts)), 2 * limits.max_body_bytes)
        self.assertLess(len(parser.headers), limits.max_head_bytes)

    @params(1, 7, 1000)
    def test_small_chunks_are_no_excess(self, size):
        parser = ResponseParser(LIMITS, head_only=False)
        data = CHUNKED_HEAD + b"1\r\nx\r\n" * 60 + b"0\r\n\r\n"
        self.assertIsNone(feed_in_chunks(parser, data, size))
        self.assertEqual(parser.messages[0].body, b"x" * 60)

    def test_trailer_is_no_header(self):
        parser = ResponseParser(LIMITS, head_only=False)
        parser.feed(CHUNKED_HEAD + b"2\r\nok\r\n0\r\nSigned: yes\r\n\r\n")
        self.assertNotIn((b"signed", b"yes"), parser.messages[0].headers)


class TestStatus(unittest.TestCase):
    """Guards against an answer without a status that reaches a caller.

    It could also hide the end of an answer, so that the next one takes its place.
    """

    @params(*(f"{status:03d}" for status in (0, 1, 99, 104, 150, 199, 600, 999)))
    def test_answer_without_a_status_is_none(self, status):
        parser = ResponseParser(LIMITS, head_only=False)
        head = b"HTTP/1.1 %b X\r\nContent-Length: 5\r\n\r\n" % status.encode()
        failure = parser.feed(head + b"birch" + GOOD_ANSWER)
        self.assertIs(failure.reason, Reason.BACKEND_BAD_ANSWER)
        self.assertIs(failure.outcome, Outcome.UNKNOWN)
        self.assertIn(status, failure.detail)
        self.assertFalse(parser.messages)

    @params("200", "299", "302", "404", "418", "500", "599")
    def test_other_statuses_are_passed_on(self, status):
        parser = ResponseParser(LIMITS, head_only=False)
        head = b"HTTP/1.1 %b X\r\nContent-Length: 5\r\n\r\n" % status.encode()
        self.assertIsNone(parser.feed(head + b"birch"))
        self.assertEqual(parser.messages[0].status, int(status))

    @params("100", "102", "103")
    def test_answer_follows_interim_answers(self, status):
        parser = ResponseParser(LIMITS, head_only=False)
        interim = b"HTTP/1.1 %b X\r\nLink: a\r\n\r\n" % status.encode()
        self.assertIsNone(parser.feed(interim * MAX_INTERIM_ANSWERS + GOOD_ANSWER))
        (answer,) = parser.messages
        self.assertEqual((answer.status, answer.body), (200, b"ok"))
        self.assertEqual(len(answer.headers), 1)

    @params(
        b"HTTP/1.1 100 X\r\nContent-Length: 1\r\n\r\nx",
        b"HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
        b"HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n",
        b"HTTP/1.1 103 X\r\n\r\n" * (MAX_INTERIM_ANSWERS + 1),
    )
    def test_interim_answers_have_no_body_and_a_bounded_number(self, data):
        parser = ResponseParser(LIMITS, head_only=False)
        failure = parser.feed(data + GOOD_ANSWER)
        self.assertIs(failure.reason, Reason.BACKEND_BAD_ANSWER)
        self.assertFalse(parser.messages)
