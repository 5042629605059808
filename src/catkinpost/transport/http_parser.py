"""Incremental HTTP/1.1 parsers that produce complete, bounded messages."""

from collections import deque

import httptools

from catkinpost.protocol.http import (
    BODYLESS_STATUSES,
    HEADER_LINE_BYTES,
    MESSAGE_BYTES,
    Headers,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    find_header,
)
from catkinpost.protocol.outcome import Failure, Outcome, Reason
from catkinpost.state.request_memory import SMALL_BODY_BYTES

__all__ = ["MessageCollector", "RequestParser", "ResponseParser"]

# Bytes of framing that a message may have, relative to its limits. The smallest chunk
# has 5 bytes of framing for 1 byte of body, the shortest header line 3 bytes for 1.
FRAMING_PER_BODY_BYTE = 8
FRAMING_PER_HEAD_BYTE = 4
# A header line has at least a colon and its end besides its name and value.
MIN_LINE_FRAMING_BYTES = 3
# Statuses of answers that another one follows. A node asks for no other protocol.
INTERIM_STATUSES = frozenset({100, 102, 103})
MAX_INTERIM_ANSWERS = 8
FINAL_STATUSES = range(200, 600)
HEAD_END = b"\r\n\r\n"
HEAD_END_OVERLAP_BYTES = len(HEAD_END) - 1


class MessageCollector:
    """Base parser that assembles messages from callbacks and enforces size limits."""

    def __init__(self, limits: HttpLimits) -> None:
        self.limits = limits
        self.messages: deque = deque()
        # Memory of the requests in `messages`, without large bodies.
        self.ready_bytes = 0
        self.failure: Failure | None = None
        self.in_message = False
        self.unfinished_head_bytes = 0
        self.framing_bytes = 0
        self.is_message_complete = False
        self.reset_message()

    def reset_message(self) -> None:
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body_parts: list[bytes | bytearray] = []
        self.body_bytes = 0
        self.head_bytes = 0
        self.head_complete = False
        # Header lines and parts of the body, which take most of the time of parsing.
        self.callbacks = 0

    @property
    def held_bytes(self) -> int:
        """Bytes of memory that the message in progress takes, without a large body."""
        lines = len(self.headers)
        body_bytes = self.body_bytes if self.body_bytes <= SMALL_BODY_BYTES else 0
        return MESSAGE_BYTES + HEADER_LINE_BYTES * lines + self.head_bytes + body_bytes

    def drop_requests(self) -> None:
        """Drop all that was parsed."""
        self.messages.clear()
        self.ready_bytes = 0
        self.reset_message()

    def close(self) -> None:
        """Drop all that was parsed; nothing can be parsed any more.

        The parser of the library refers to this one, and the two would be kept until
        the next full collection, with all that they hold.
        """
        self.parser = None
        self.drop_requests()

    def on_message_begin(self) -> None:
        self.in_message = True
        self.reset_message()

    def on_url(self, url: bytes) -> None:
        self.target += url
        self.head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.callbacks += 1
        if self.head_complete:
            # A trailer is no header: it could forge one that was checked already.
            return
        self.headers.append((name.lower(), value))
        self.head_bytes += len(name) + len(value) + MIN_LINE_FRAMING_BYTES

    def on_headers_complete(self) -> None:
        self.head_complete = True
        if self.head_bytes > self.limits.max_head_bytes:
            self.reject_large_head()

    def on_body(self, data: bytes) -> None:
        self.callbacks += 1
        self.body_bytes += len(data)
        if self.body_bytes > self.limits.max_body_bytes:
            self.failure = Failure(
                reason=Reason.BODY_TOO_LARGE,
                detail=f"the body exceeds {self.limits.max_body_bytes} bytes",
            )
            return
        self.append_to_body(data)

    def append_to_body(self, data: bytes) -> None:
        """Add a part to the body; all parts are merged, as each has an overhead."""
        parts = self.body_parts
        if not parts:
            parts.append(data)
            return
        if isinstance(parts[-1], bytes):
            parts[-1] = bytearray(parts[-1])
        parts[-1] += data

    def count_missing_body_bytes(self) -> int:
        """Return the size of the rest of the body, 0 if its length is not known."""
        if not self.in_message or not self.head_complete:
            return 0
        length = find_header(self.headers, b"content-length")
        return int(length) - self.body_bytes if length is not None else 0

    def take_body(self) -> bytes:
        """Return the complete body, and drop its parts."""
        parts, self.body_parts = self.body_parts, []
        return b"".join(parts)

    def take_headers(self) -> Headers:
        """Return the headers, and drop them: a kept connection may be idle next."""
        headers, self.headers = self.headers, []
        return headers

    def on_message_complete(self) -> None:
        self.in_message = False
        self.is_message_complete = True
        if self.failure is None:
            self.messages.append(self.build_message())

    def build_message(self) -> HttpRequest | HttpResponse:
        raise NotImplementedError

    def reject_large_head(self) -> None:
        self.failure = Failure(
            reason=Reason.HEAD_TOO_LARGE,
            detail=f"the head exceeds {self.limits.max_head_bytes} bytes",
        )

    def limit_fed_bytes(self, fed_bytes: int, body_bytes: int) -> None:
        """Reject bytes that exceed the limits without completing a message.

        Blank lines, interim responses, chunk extensions and trailers count towards no
        other limit.

        :param fed_bytes: bytes that were just parsed.
        :param body_bytes: size of the body before they were parsed.
        """
        self.limit_unfinished_head(fed_bytes)
        if self.is_message_complete:
            self.is_message_complete = False
            self.framing_bytes = 0
            return
        self.framing_bytes += fed_bytes - max(0, self.body_bytes - body_bytes)
        max_framing_bytes = (
            FRAMING_PER_HEAD_BYTE * self.limits.max_head_bytes
            + FRAMING_PER_BODY_BYTE * self.body_bytes
        )
        if self.framing_bytes > max_framing_bytes:
            self.reject_large_head()

    def limit_unfinished_head(self, fed_bytes: int) -> None:
        """Reject a head that exceeds the limit before its current line is complete."""
        if not self.in_message or self.head_complete:
            self.unfinished_head_bytes = 0
            return
        self.unfinished_head_bytes += fed_bytes
        if self.unfinished_head_bytes > self.limits.max_head_bytes:
            self.reject_large_head()


class RequestParser(MessageCollector):
    """Parser of the requests on a server connection.

    :param limits: limits on the first request.
    """

    def __init__(self, limits: HttpLimits) -> None:
        super().__init__(limits)
        # Limits on requests that begin from now on.
        self.next_limits = limits
        # Last bytes before those that are parsed next.
        self.previous_end = b""
        self.parser = httptools.HttpRequestParser(self)

    def on_message_begin(self) -> None:
        self.limits = self.next_limits
        super().on_message_begin()

    def on_message_complete(self) -> None:
        # A request that offers an upgrade is parsed again.
        if not self.parser.should_upgrade():
            super().on_message_complete()

    def build_message(self) -> HttpRequest:
        held_bytes = self.held_bytes
        self.ready_bytes += held_bytes
        return HttpRequest(
            method=self.parser.get_method(),
            target=self.target,
            headers=self.take_headers(),
            body=self.take_body(),
            keep_alive=self.parser.should_keep_alive(),
            held_bytes=held_bytes,
        )

    def feed(self, data: bytes) -> Failure | None:
        """Parse received bytes and append complete requests to ``messages``.

        :param data: bytes from the connection.
        :return: the failure for which the connection must be closed, if any.
        """
        end = self.find_last_head_end(data)
        self.feed_part(data[:end])
        # A body with a length may end without the mark that was searched for.
        body_end = end + self.count_missing_body_bytes()
        self.feed_part(data[end:body_end])
        self.feed_part(data[body_end:])
        return self.failure

    def find_last_head_end(self, data: bytes) -> int:
        """Return the last position at which a head or chunked body may end, or 0.

        The bytes are parsed in parts, so that no bytes of earlier requests count
        towards the size of an unfinished head.
        """
        end = data.rfind(HEAD_END) + len(HEAD_END)
        if end < len(HEAD_END):
            # It may have begun in the bytes before.
            window = self.previous_end + data[:HEAD_END_OVERLAP_BYTES]
            _, mark, rest = window.partition(HEAD_END)
            end = min(len(data), HEAD_END_OVERLAP_BYTES) - len(rest) if mark else 0
        last_bytes = self.previous_end + data[-HEAD_END_OVERLAP_BYTES:]
        self.previous_end = last_bytes[-HEAD_END_OVERLAP_BYTES:]
        return end

    def feed_part(self, data: bytes) -> None:
        if not data or self.failure is not None:
            return
        body_bytes = self.body_bytes
        rest = memoryview(data)
        try:
            while rest:
                rest = self.parse_until_upgrade(rest)
        except httptools.HttpParserError as error:
            self.failure = Failure(
                reason=Reason.MALFORMED_REQUEST,
                detail=f"not a valid HTTP/1.1 request: {error}",
            )
        self.limit_fed_bytes(len(data), body_bytes)

    def parse_until_upgrade(self, data: memoryview) -> memoryview:
        """Parse bytes until a request that offers an upgrade of the protocol.

        The offer is ignored, as a server may do. The parser takes what is behind the
        head for another protocol, even the body, so the head is parsed once more
        without the offer.

        :return: bytes that are still to be parsed.
        """
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as offer:
            if self.failure is not None:
                return data[:0]
            if self.parser.get_method() == b"CONNECT":
                self.failure = Failure(
                    reason=Reason.MALFORMED_REQUEST, detail="tunnels are not supported"
                )
                return data[:0]
            head = self.encode_head_without_upgrade()
            self.parser = httptools.HttpRequestParser(self)
            self.parser.feed_data(head)
            return data[offer.args[0] :]
        return data[:0]

    def encode_head_without_upgrade(self) -> bytes:
        version = self.parser.get_http_version().encode()
        line = b"%b %b HTTP/%b" % (self.parser.get_method(), self.target, version)
        headers = [
            b"%b: %b" % header for header in self.headers if header[0] != b"upgrade"
        ]
        return b"\r\n".join([line, *headers, b"", b""])


class ResponseParser(MessageCollector):
    """Parser of one response on a client connection."""

    def __init__(self, limits: HttpLimits, *, head_only: bool) -> None:
        super().__init__(limits)
        self.parser = httptools.HttpResponseParser(self)
        self.head_only = head_only
        self.interim_count = 0
        self.has_length = False
        self.ends_at_close = False

    def on_header(self, name: bytes, value: bytes) -> None:
        super().on_header(name, value)
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self.has_length = True

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        status = self.parser.get_status_code()
        if status not in FINAL_STATUSES:
            self.check_interim(status)
        elif self.head_only and not self.messages:
            self.messages.append(self.build_message())
        elif not self.has_length and status not in BODYLESS_STATUSES:
            self.ends_at_close = self.limits.unsized_answers
            if not self.ends_at_close:
                self.failure = build_bad_answer_failure(
                    "the answer has no length and may be cut"
                )

    def check_interim(self, status: int) -> None:
        """Reject what is neither an interim nor a final answer.

        What follows it on the connection could be taken for the answer.
        """
        self.interim_count += 1
        if status not in INTERIM_STATUSES:
            detail = f"status {status:03d} is none"
        elif self.has_length:
            detail = f"an interim answer {status} with a body"
        elif self.interim_count > MAX_INTERIM_ANSWERS:
            detail = f"more than {MAX_INTERIM_ANSWERS} interim answers"
        else:
            return
        self.failure = build_bad_answer_failure(detail)

    def on_message_complete(self) -> None:
        if self.parser.get_status_code() not in FINAL_STATUSES:
            return
        if not self.head_only:
            super().on_message_complete()

    def build_message(self) -> HttpResponse:
        return HttpResponse(
            status=self.parser.get_status_code(),
            headers=self.take_headers(),
            body=self.take_body(),
            keep_alive=self.parser.should_keep_alive(),
        )

    def finish_at_close(self) -> None:
        """Complete a response that ends at the close of the connection.

        Call this only after an orderly close: after a reset the response is incomplete.
        """
        if self.ends_at_close and self.in_message:
            self.in_message = False
            response = self.build_message()
            response.keep_alive = False
            self.messages.append(response)

    def feed(self, data: bytes) -> Failure | None:
        """Parse received bytes and append a complete response to ``messages``.

        :param data: bytes from the connection.
        :return: the failure that makes the response unusable, if any.
        """
        body_bytes = self.body_bytes
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.failure = build_bad_answer_failure(
                f"not a valid HTTP/1.1 response: {error}"
            )
        self.limit_fed_bytes(len(data), body_bytes)
        if self.failure and self.failure.reason is not Reason.BACKEND_BAD_ANSWER:
            self.failure = build_bad_answer_failure(self.failure.detail)
        return self.failure


def build_bad_answer_failure(detail: str) -> Failure:
    return Failure(
        reason=Reason.BACKEND_BAD_ANSWER, outcome=Outcome.UNKNOWN, detail=detail
    )
