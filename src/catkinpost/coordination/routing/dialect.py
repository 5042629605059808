"""Meaning of the headers and statuses of callers and backend servers."""

from dataclasses import replace
from typing import Protocol

import trio

from catkinpost.coordination.access.authenticator import Caller
from catkinpost.coordination.routing.entry import EntryCall, classify_request
from catkinpost.protocol.header import (
    IDEMPOTENCY_KEY_HEADER,
    LEAVING_HEADER,
    OUTCOME_HEADER,
    PARENT_HEADER,
    RATE_LIMIT_HEADER,
    REASON_HEADER,
    RETRY_ALLOWANCE_HEADER,
    TENANT_HEADER,
    build_failure_response,
    build_outcome_headers,
    parse_rate,
)
from catkinpost.protocol.http import (
    Headers,
    HttpRequest,
    HttpResponse,
    find_header,
)
from catkinpost.protocol.message import Answer, Call
from catkinpost.protocol.outcome import Failure, Outcome, Reason
from catkinpost.protocol.policy import Policy, ServiceSection
from catkinpost.state.running import RunningCall, RunningCalls

__all__ = ["Dialect", "NativeDialect"]

STRIPPED_HEADERS = frozenset(
    {
        PARENT_HEADER,
        RETRY_ALLOWANCE_HEADER,
        b"catkinpost-service",
        b"catkinpost-attempt",
        b"catkinpost-timeout-ms",
    }
)


class Dialect(Protocol):
    """Interface that maps requests and responses to calls and outcomes.

    :ivar key_scheme: scheme of the credentials of callers, in lower case.
    """

    key_scheme: bytes

    def classify_request(
        self,
        request: HttpRequest,
        policy: Policy,
        running: RunningCalls,
        caller: Caller,
    ) -> EntryCall | Failure:
        """Find the class, deadline and retry allowance of a request."""

    def get_request_id(self, headers: Headers) -> str:
        """Return the id of a request in the caller's headers and in the log."""

    def build_response(self, answer: Answer) -> HttpResponse:
        """Build the response to the caller from that of a backend server."""

    def build_failure_response(self, failure: Failure) -> HttpResponse:
        """Build the response that reports a failure to the caller."""

    def build_request(self, call: Call, running: RunningCall) -> HttpRequest:
        """Build the request for the backend server."""

    def is_response_to(self, request: HttpRequest, response: HttpResponse) -> bool:
        """Return whether a backend server's response answers this request."""

    def find_refusal(
        self, call: Call, response: HttpResponse, section: ServiceSection
    ) -> Failure | None:
        """Return the failure when a backend server's response is no result of a run."""

    def read_rate_limit(self, response: HttpResponse) -> float | Failure | None:
        """Return the requests per second that a backend server takes from all nodes.

        :return: the rate, ``None`` when the response names none, or a failure when it
            is no decimal number.
        """

    def is_server_leaving(self, response: HttpResponse) -> bool:
        """Return whether a backend server announces that it is about to stop."""


class NativeDialect:
    """Dialect of the headers in :mod:`catkinpost.protocol.header`."""

    key_scheme = b"bearer"

    def classify_request(
        self,
        request: HttpRequest,
        policy: Policy,
        running: RunningCalls,
        caller: Caller,
    ) -> EntryCall | Failure:
        """Classify by the caller's headers."""
        call = classify_request(request, policy, running, caller)
        if policy.uses_keys and isinstance(call, EntryCall):
            call.request = set_tenant(request, caller.workspace)
        return call

    def get_request_id(self, headers: Headers) -> str:
        """Return the idempotency key."""
        return (find_header(headers, IDEMPOTENCY_KEY_HEADER) or b"").decode("latin-1")

    def build_response(self, answer: Answer) -> HttpResponse:
        """Add the outcome to the backend server's response."""
        headers = [pair for pair in answer.headers if is_forwarded_header(pair[0])]
        headers += build_outcome_headers(Outcome.DONE)
        return HttpResponse(answer.status, headers, answer.body)

    def build_failure_response(self, failure: Failure) -> HttpResponse:
        """Build a response with outcome, reason and retry time."""
        return build_failure_response(failure)

    def build_request(self, call: Call, running: RunningCall) -> HttpRequest:
        """Add the parent header for child calls and the remaining time.

        The backend server copies the parent header to its child calls, which take
        their deadline and retry allowance from the parent.
        """
        headers = [pair for pair in call.headers if pair[0] not in STRIPPED_HEADERS]
        remaining_ms = max(1, int((running.deadline - trio.current_time()) * 1000))
        headers.append((b"catkinpost-timeout-ms", b"%d" % remaining_ms))
        headers.append((PARENT_HEADER, running.token.encode()))
        return HttpRequest(call.method, call.target, headers, call.body)

    def is_response_to(self, request: HttpRequest, response: HttpResponse) -> bool:
        """Return whether a response names the running call of the request, or none.

        A response that names none is matched by its order alone.
        """
        parent = find_header(response.headers, PARENT_HEADER)
        return parent in (None, find_header(request.headers, PARENT_HEADER))

    def find_refusal(
        self, call: Call, response: HttpResponse, section: ServiceSection
    ) -> Failure | None:
        """Return a failure when the backend server reports that it shed the request."""
        if not section.sheds_before_running or not is_shed_response(response):
            return None
        return Failure(
            reason=Reason.BACKEND_SHED,
            detail="the backend server shed the request",
        )

    def read_rate_limit(self, response: HttpResponse) -> float | Failure | None:
        """Return the rate that the backend server names."""
        return parse_rate(find_header(response.headers, RATE_LIMIT_HEADER))

    def is_server_leaving(self, response: HttpResponse) -> bool:
        """Return whether the backend server announces that it leaves."""
        return find_header(response.headers, LEAVING_HEADER) is not None


def set_tenant(request: HttpRequest, workspace: str | None) -> HttpRequest:
    """Return a request that names its workspace, whatever its caller said of it."""
    headers = [pair for pair in request.headers if pair[0] != TENANT_HEADER]
    if workspace is not None:
        headers.append((TENANT_HEADER, workspace.encode()))
    return replace(request, headers=headers)


def is_forwarded_header(name: bytes) -> bool:
    return name not in (OUTCOME_HEADER, REASON_HEADER, PARENT_HEADER)


def is_shed_response(response: HttpResponse) -> bool:
    """Return whether the response states that the request was shed."""
    if response.status != 503:
        return False
    return find_header(response.headers, OUTCOME_HEADER) == b"not-run"
