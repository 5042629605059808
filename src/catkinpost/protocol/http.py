"""Complete HTTP messages with bounded bodies, as used on the call path."""

import http
import math
from dataclasses import dataclass, field

__all__ = [
    "HOP_BY_HOP_HEADERS",
    "Headers",
    "MIN_SERVER_ERROR_STATUS",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "compute_head_bytes",
    "encode_request",
    "encode_request_head",
    "encode_response",
    "find_header",
]

Headers = list[tuple[bytes, bytes]]

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# Lowest status code that reports a server error.
MIN_SERVER_ERROR_STATUS = 500
# Memory of a parsed message besides its header lines and its body.
MESSAGE_BYTES = 1024
# Memory of a parsed header line besides its bytes: the pair, two short strings, and
# places in the lists of the message and of what is sent on.
HEADER_LINE_BYTES = 192
BODYLESS_STATUSES = frozenset({204, 304})
REASON_PHRASES = {
    status.value: status.phrase.encode("ascii") for status in http.HTTPStatus
}


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpLimits:
    """Limits on the size and the duration of one HTTP message.

    :param max_head_bytes: maximum size of the request or status line with the headers.
    :param max_body_bytes: maximum size of the body after chunked decoding.
    :param head_timeout: seconds within which a started message must be complete.
    :param idle_timeout: seconds for which an idle connection is kept open.
    :param stall_timeout: seconds for which a caller may take nothing of a response,
        unless the idle timeout is longer.
    :param unsized_answers: whether an orderly close of the connection completes a
        response that has no length.
    """

    max_head_bytes: int = 32 * 1024
    max_body_bytes: int = 1024 * 1024
    head_timeout: float = 10.0
    idle_timeout: float = 120.0
    stall_timeout: float = 10.0
    unsized_answers: bool = False


@dataclass(slots=True)
class HttpRequest:
    """One complete request; header names are in lower case.

    :param waited_s: seconds for which it waited since it was received.
    :param answer_by: time by which its response must be ready for the caller to take
        all of it, infinite while the server does not leave.
    :param held_bytes: bytes of memory that it takes, without a large body.
    """

    method: bytes
    target: bytes
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = True
    waited_s: float = 0.0
    answer_by: float = math.inf
    held_bytes: int = 0


@dataclass(slots=True)
class HttpResponse:
    """One complete response; header names are in lower case."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = True


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header.

    :param headers: pairs with names in lower case.
    :param name: header name in lower case.
    :return: the value, or ``None`` when the header is absent.
    """
    for key, value in headers:
        if key == name:
            return value
    return None


def compute_head_bytes(headers: Headers) -> int:
    """Return the bytes of memory that parsed headers take, with their message."""
    size = sum(len(name) + len(value) for name, value in headers)
    return MESSAGE_BYTES + HEADER_LINE_BYTES * len(headers) + size


def append_encoded_headers(parts: list[bytes], headers: Headers) -> None:
    for name, value in headers:
        if name not in HOP_BY_HOP_HEADERS:
            parts.append(b"%b: %b\r\n" % (name, value))


def encode_request(request: HttpRequest) -> bytes:
    """Serialize a request with the length of its body.

    :param request: request to send; hop-by-hop headers are omitted.
    :return: encoded message.
    """
    return encode_request_head(request) + request.body


def encode_request_head(request: HttpRequest) -> bytes:
    """Serialize a request without its body.

    :param request: request to send; hop-by-hop headers are omitted.
    :return: encoded head.
    """
    parts = [b"%b %b HTTP/1.1\r\n" % (request.method, request.target)]
    append_encoded_headers(parts, request.headers)
    if request.body or request.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        parts.append(b"content-length: %d\r\n" % len(request.body))
    parts.append(b"\r\n")
    return b"".join(parts)


def encode_response(
    response: HttpResponse, *, keep_alive: bool, head_only: bool
) -> bytes:
    """Serialize a response with the length of its body.

    :param response: response to send; hop-by-hop headers are omitted.
    :param keep_alive: whether the connection stays open afterwards.
    :param head_only: whether the request was HEAD, so that no body is sent.
    :return: encoded message.
    """
    parts = encode_response_parts(response, keep_alive=keep_alive, head_only=head_only)
    return b"".join(parts)


def encode_response_parts(
    response: HttpResponse, *, keep_alive: bool, head_only: bool
) -> tuple[bytes, bytes]:
    """Serialize a response without a copy of its body.

    :return: encoded head and the body, see :func:`encode_response`.
    """
    phrase = REASON_PHRASES.get(response.status, b"")
    parts = [b"HTTP/1.1 %d %b\r\n" % (response.status, phrase)]
    append_encoded_headers(parts, response.headers)
    if head_only:
        length = find_header(response.headers, b"content-length")
        if length is not None:
            parts.append(b"content-length: %b\r\n" % length)
    elif response.status not in BODYLESS_STATUSES:
        parts.append(b"content-length: %d\r\n" % len(response.body))
    if not keep_alive:
        parts.append(b"connection: close\r\n")
    parts.append(b"\r\n")
    has_body = not head_only and response.status not in BODYLESS_STATUSES
    return b"".join(parts), response.body if has_body else b""
