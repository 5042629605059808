"""HTTP headers exchanged between callers, nodes and backend servers."""

import math
import re
from typing import Annotated

import msgspec

from catkinpost.protocol.http import HttpRequest, HttpResponse
from catkinpost.protocol.outcome import Failure, Outcome, Reason

__all__ = [
    "MAX_RETRY_ALLOWANCE",
    "CallHeaders",
    "build_failure_response",
    "build_outcome_headers",
    "parse_call_headers",
    "parse_rate",
    "parse_service_name",
]

SERVICE_HEADER = b"catkinpost-service"
PARENT_HEADER = b"catkinpost-parent"
CLASS_HEADER = b"catkinpost-class"
OUTCOME_HEADER = b"catkinpost-outcome"
REASON_HEADER = b"catkinpost-reason"
RETRY_ALLOWANCE_HEADER = b"catkinpost-retry-allowance"
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
RATE_LIMIT_HEADER = b"catkinpost-rate-limit"
TENANT_HEADER = b"catkinpost-tenant"
LEAVING_HEADER = b"catkinpost-leaving"
MAX_TIMEOUT_MS = 3_600_000
MAX_RETRY_ALLOWANCE = 16
MAX_ATTEMPT_NUMBER = 1000

RATE_PATTERN = re.compile(rb"\d{1,9}(\.\d{1,9})?")

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]


class CallHeaders(msgspec.Struct, frozen=True, kw_only=True):
    """Validated request headers of one call; every field is optional.

    :param call_class: request class named by the caller.
    :param tenant: tenant on whose behalf the caller acts.
    :param timeout_ms: time in milliseconds after which the response is useless.
    :param retry_allowance: maximum number of retries that the caller allows.
    :param attempt: 0 for the first submission of a key; the caller increments it
        with each resubmission.
    :param idempotency_key: identity of a request that must not run twice.
    :param parent: identity of the running parent call.
    """

    call_class: Name | None = None
    tenant: Name | None = None
    timeout_ms: Annotated[int, msgspec.Meta(ge=1, le=MAX_TIMEOUT_MS)] | None = None
    retry_allowance: (
        Annotated[int, msgspec.Meta(ge=0, le=MAX_RETRY_ALLOWANCE)] | None
    ) = None
    attempt: Annotated[int, msgspec.Meta(ge=0, le=MAX_ATTEMPT_NUMBER)] | None = None
    idempotency_key: (
        Annotated[str, msgspec.Meta(min_length=1, max_length=255)] | None
    ) = None
    parent: Name | None = None


CALL_HEADER_FIELD_BY_NAME = {
    CLASS_HEADER: "call_class",
    TENANT_HEADER: "tenant",
    b"catkinpost-timeout-ms": "timeout_ms",
    RETRY_ALLOWANCE_HEADER: "retry_allowance",
    b"catkinpost-attempt": "attempt",
    IDEMPOTENCY_KEY_HEADER: "idempotency_key",
    PARENT_HEADER: "parent",
}
EMPTY_CALL_HEADERS = CallHeaders()


def parse_call_headers(request: HttpRequest) -> CallHeaders | Failure:
    """Parse and validate the call headers of a request.

    :param request: request as received.
    :return: the validated headers, or a failure that names the invalid header.
    """
    fields: dict[str, str] = {}
    for name, value in request.headers:
        field = CALL_HEADER_FIELD_BY_NAME.get(name)
        if field is None:
            continue
        if field in fields:
            return build_invalid_header_failure(
                f"{name.decode()} is given more than once"
            )
        fields[field] = value.decode("latin-1")
    if not fields:
        return EMPTY_CALL_HEADERS
    try:
        return msgspec.convert(fields, CallHeaders, strict=False)
    except msgspec.ValidationError as error:
        return build_invalid_header_failure(str(error))


def build_invalid_header_failure(detail: str) -> Failure:
    return Failure(reason=Reason.INVALID_HEADER, detail=detail)


def parse_service_name(request: HttpRequest) -> str | Failure:
    """Return the name of the service that a request is addressed to.

    :param request: request with a ``Catkinpost-Service`` or a ``Host`` header.
    :return: the explicit service name if present, else the first label of the host;
        a failure when the request has neither.
    """
    host = b""
    for name, value in request.headers:
        if name == SERVICE_HEADER:
            return value.decode("latin-1")
        if name == b"host":
            host = value
    label = host.partition(b":")[0].partition(b".")[0]
    if not label:
        return build_invalid_header_failure(
            "name the service in Host or Catkinpost-Service"
        )
    return label.decode("latin-1")


def parse_rate(value: bytes | None) -> float | Failure | None:
    """Parse the requests per second that a header names.

    :param value: value of the header, ``None`` when it is missing.
    :return: the rate, ``None`` when the header is missing, or a failure when its value
        is no decimal number.
    """
    if value is None:
        return None
    if RATE_PATTERN.fullmatch(value.strip()) is None:
        return build_invalid_header_failure("the rate is no decimal number")
    return float(value)


def build_outcome_headers(outcome: Outcome) -> list[tuple[bytes, bytes]]:
    """Build the headers that report to a caller whether its request ran.

    :param outcome: outcome to report.
    :return: header pairs.
    """
    return [(OUTCOME_HEADER, outcome.value.encode())]


def build_failure_response(failure: Failure) -> HttpResponse:
    """Build the response that reports a failure to a caller.

    :param failure: failure to report.
    :return: a JSON response with outcome, reason and retry time.
    """
    headers = build_outcome_headers(failure.outcome)
    headers.append((REASON_HEADER, failure.reason.value.encode()))
    headers.append((b"content-type", b"application/json"))
    if failure.reason is Reason.UNAUTHENTICATED:
        headers.append((b"www-authenticate", b"Bearer"))
    body = {
        "outcome": failure.outcome.value,
        "reason": failure.reason.value,
        "detail": failure.detail,
    }
    if failure.retry_after is not None:
        seconds = math.ceil(failure.retry_after)
        headers.append((b"retry-after", b"%d" % seconds))
        body["retry_after"] = failure.retry_after
    return HttpResponse(failure.status, headers, msgspec.json.encode(body))
