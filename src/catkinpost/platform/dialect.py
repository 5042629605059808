"""Headers and statuses of requests and responses on the platform."""

import random
from collections.abc import Callable

import trio

from catkinpost.coordination.access.authenticator import Caller
from catkinpost.coordination.routing.entry import EntryCall
from catkinpost.platform.names import (
    ATTEMPT_ID,
    CALLING_SERVICE,
    DEADLINE_REMAINING,
    EXPECTED_INSTANCE,
    NOT_EXECUTED,
    RESPONSE_SIGNATURE,
    SERVER_LEAVING,
    SERVER_LIMIT,
    TENANT,
)
from catkinpost.protocol.header import parse_rate
from catkinpost.protocol.http import (
    Headers,
    HttpRequest,
    HttpResponse,
    find_header,
)
from catkinpost.protocol.message import Answer, Call
from catkinpost.protocol.outcome import Failure, Outcome, Reason
from catkinpost.protocol.policy import ClassSection, Importance, Policy, ServiceSection
from catkinpost.state.allowance import Allowance
from catkinpost.state.running import RunningCall, RunningCalls

__all__ = ["PlatformDialect"]

# Callers send whole milliseconds of the time that they wait.
DEADLINE_UNIT_S = 0.001
DEFAULT_RETRY_AFTER_S = 0.3
MAX_DEADLINE_MS = 3_600_000
REPLACED_HEADERS = frozenset(
    {EXPECTED_INSTANCE, CALLING_SERVICE, DEADLINE_REMAINING, TENANT}
)
SERVICE_UNAVAILABLE = 503
TOO_MANY_REQUESTS = 429
BAD_GATEWAY = 502
LOWEST_ERROR_STATUS = 400
GATEWAY_TIMEOUT = 504
UNAUTHORIZED = 401
NOT_FOUND = 404
MISDIRECTED_REQUEST = 421
# Statuses that promise to a caller that its request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
CALLER_ERROR_STATUS = {
    Reason.MALFORMED_REQUEST: 400,
    Reason.INVALID_HEADER: 400,
    Reason.HEAD_TOO_LARGE: 431,
    Reason.BODY_TOO_LARGE: 413,
    Reason.SLOW_SENDER: 408,
    Reason.UNKNOWN_CLASS: NOT_FOUND,
    Reason.UNAUTHENTICATED: UNAUTHORIZED,
    Reason.WORKSPACE_LIMIT: TOO_MANY_REQUESTS,
}


class PlatformDialect:
    """Translation of routes, attempt ids and outcomes to and from HTTP.

    :param get_calling_service: returns the service of the server on this machine.
    """

    key_scheme = b"token"

    def __init__(self, get_calling_service: Callable[[], str]) -> None:
        self.get_calling_service = get_calling_service

    def classify_request(
        self,
        request: HttpRequest,
        policy: Policy,
        running: RunningCalls,
        caller: Caller,
    ) -> EntryCall | Failure:
        """Choose the class by host and path, and the deadline by the headers."""
        hosts = [value for name, value in request.headers if name == b"host"]
        if len(hosts) != 1:
            return build_malformed_request_failure("a request names one host")
        host = hosts[0].decode("latin-1").partition(":")[0]
        path = request.target.decode("latin-1").partition("?")[0]
        name = policy.find_class_by_host(host, path)
        if name is None:
            return Failure(
                reason=Reason.UNKNOWN_CLASS, detail="no class has this host and path"
            )
        section = policy.classes[name]
        remaining_s = parse_remaining_s(request, section)
        if isinstance(remaining_s, Failure):
            return remaining_s
        now = trio.current_time() - request.waited_s
        objective = section.objective or section.timeout
        # Calls that servers make are never sheddable, as the work done for them would
        # be lost: every request that is not sheddable may queue until its deadline.
        importance = caller.importance or section.importance
        may_outlast_objective = importance is not Importance.SHEDDABLE
        return EntryCall(
            request=self.build_forwarded_request(request, caller.workspace),
            service=choose_service(section),
            call_class=name,
            section=section,
            tenant=caller.workspace or section.tenant,
            rank=importance.rank,
            deadline=now + remaining_s,
            allowance=Allowance(section.retries),
            parent=None,
            key="",
            caller_attempt=0,
            outcome=Outcome.NOT_RUN,
            moves_left=section.moves,
            useful_until=None if may_outlast_objective else now + objective,
            answer_by=request.answer_by,
            request_id=self.get_request_id(request.headers),
            caller=caller,
        )

    def get_request_id(self, headers: Headers) -> str:
        """Return the attempt id, which identifies the request."""
        return (find_header(headers, ATTEMPT_ID) or b"").decode("latin-1")

    def build_forwarded_request(
        self, request: HttpRequest, workspace: str | None
    ) -> HttpRequest:
        """Set calling service and workspace, and drop any that the caller sent."""
        headers = [pair for pair in request.headers if pair[0] not in REPLACED_HEADERS]
        headers.append((CALLING_SERVICE, self.get_calling_service().encode()))
        if workspace is not None:
            headers.append((TENANT, workspace.encode()))
        return HttpRequest(request.method, request.target, headers, request.body)

    def build_response(self, answer: Answer) -> HttpResponse:
        """Return the response of the server unchanged."""
        return HttpResponse(answer.status, answer.headers, answer.body)

    def build_failure_response(self, failure: Failure) -> HttpResponse:
        """Choose the status by what is known about the run.

        Only a request that has not run and will not run gets a status that promises
        this.
        """
        if failure.outcome is not Outcome.NOT_RUN:
            is_past_deadline = failure.reason is Reason.DEADLINE_EXCEEDED
            status = GATEWAY_TIMEOUT if is_past_deadline else BAD_GATEWAY
            return HttpResponse(status, [], failure.reason.value.encode())
        status = CALLER_ERROR_STATUS.get(failure.reason, SERVICE_UNAVAILABLE)
        headers = []
        if status in (SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS):
            retry_after_s = failure.retry_after or DEFAULT_RETRY_AFTER_S
            headers.append((b"retry-after", b"%.3f" % retry_after_s))
        if status == UNAUTHORIZED:
            headers.append((b"www-authenticate", b"Token"))
        return HttpResponse(status, headers, failure.reason.value.encode())

    def build_request(self, call: Call, running: RunningCall) -> HttpRequest:
        """Add the remaining time and the expected server process to a call."""
        remaining_ms = max(1, int((running.deadline - trio.current_time()) * 1000))
        headers = [*call.headers, (DEADLINE_REMAINING, b"%d" % remaining_ms)]
        identity = call.incarnation.partition("#")[0]
        if identity:
            headers.append((EXPECTED_INSTANCE, identity.encode()))
        return HttpRequest(call.method, call.target, headers, call.body)

    def is_response_to(self, request: HttpRequest, response: HttpResponse) -> bool:
        """Return whether a response has the attempt id of the request."""
        attempt_id = find_header(response.headers, ATTEMPT_ID)
        if attempt_id is None:
            # Only a response that is not a result may omit the attempt id.
            return response.status >= LOWEST_ERROR_STATUS
        return attempt_id == find_header(request.headers, ATTEMPT_ID)

    def find_refusal(
        self, call: Call, response: HttpResponse, section: ServiceSection
    ) -> Failure | None:
        """Return the failure that a response reports, ``None`` for a result.

        A response that is neither a result nor a promise that the request did not run
        gives a failure with unknown outcome.
        """
        if response.status == MISDIRECTED_REQUEST:
            return Failure(
                reason=Reason.BACKEND_REPLACED, detail="another server has the address"
            )
        if find_header(response.headers, NOT_EXECUTED) is not None:
            return Failure(
                reason=Reason.BACKEND_SHED, detail="the server did not run the request"
            )
        if find_header(response.headers, b"content-encoding") is not None:
            return build_untrusted_response_failure(
                "the answer is encoded, though none was asked for"
            )
        is_signed = find_header(response.headers, RESPONSE_SIGNATURE) is not None
        if not is_signed and response.status < 300:
            return build_untrusted_response_failure("a success without a signature")
        if response.status in NOT_RUN_STATUSES:
            # The status would promise the caller that the request did not run, but
            # the server has made no such promise.
            return build_untrusted_response_failure(
                f"status {response.status} without its promise"
            )
        return None

    def read_rate_limit(self, response: HttpResponse) -> float | Failure | None:
        """Return the requests per second that the server takes from all nodes."""
        return parse_rate(find_header(response.headers, SERVER_LIMIT))

    def is_server_leaving(self, response: HttpResponse) -> bool:
        """Return whether the server announces that it leaves."""
        return find_header(response.headers, SERVER_LEAVING) is not None


def choose_service(section: ClassSection) -> str:
    """Choose the service of one request by the weights of its class."""
    weighted_services = section.weighted_services
    if len(weighted_services) == 1:
        return weighted_services[0][0]
    services = [name for name, _ in weighted_services]
    return random.choices(services, [weight for _, weight in weighted_services])[0]


def parse_remaining_s(request: HttpRequest, section: ClassSection) -> float | Failure:
    """Return the seconds that are left to respond to a request."""
    value = find_header(request.headers, DEADLINE_REMAINING)
    if value is None:
        return section.timeout
    if not value.isdigit():
        return build_malformed_request_failure(
            "the deadline is no number of milliseconds"
        )
    remaining_ms = min(int(value), MAX_DEADLINE_MS)
    # What the caller cut off may be almost one unit.
    remaining_s = (remaining_ms + 1) * DEADLINE_UNIT_S if remaining_ms else 0.0
    return min(section.timeout, remaining_s)


def build_malformed_request_failure(detail: str) -> Failure:
    return Failure(reason=Reason.MALFORMED_REQUEST, detail=detail)


def build_untrusted_response_failure(detail: str) -> Failure:
    return Failure(
        reason=Reason.BACKEND_BAD_ANSWER, outcome=Outcome.UNKNOWN, detail=detail
    )
