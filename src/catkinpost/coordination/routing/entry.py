"""Classification of the requests that callers send to this node."""

import math
from dataclasses import dataclass, field

import trio

from catkinpost.coordination.access.authenticator import UNKNOWN_CALLER, Caller
from catkinpost.coordination.at_most_once.once import FIRST_ATTEMPT, UNMARKED_ATTEMPT
from catkinpost.coordination.limits.client import Credit
from catkinpost.protocol.header import (
    CallHeaders,
    parse_call_headers,
    parse_service_name,
)
from catkinpost.protocol.http import HttpRequest
from catkinpost.protocol.outcome import Failure, Outcome, Reason
from catkinpost.protocol.policy import ClassSection, Policy
from catkinpost.state.allowance import Allowance
from catkinpost.state.running import RunningCall, RunningCalls

__all__ = ["AttemptEnd", "EntryCall", "classify_request", "get_node_retries"]


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """End of one attempt.

    :param instance: instance that the attempt was sent to.
    :param result: reason of the failure, status of the response, or ``withdrawn``.
    :param duration_s: seconds from sending to the end.
    """

    instance: str
    result: str
    duration_s: float


@dataclass(kw_only=True, eq=False)
class EntryCall:
    """Classified request that is to be sent to an instance.

    :param request: request as received.
    :param service: requested service.
    :param call_class: name of the request class.
    :param section: policy section of the class.
    :param tenant: tenant.
    :param rank: rank of importance.
    :param deadline: time after which the caller has no use for a response.
    :param allowance: remaining retries.
    :param parent: running call that made this call, ``None`` for an outside caller.
    :param key: idempotency key with service and tenant, empty for none.
    :param caller_attempt: number that the caller gave to this submission.
    :param outcome: outcome of earlier submissions and attempts, as far as known.
    :param moves_left: times that the request may still move to another instance
        after a refusal before any backend server got it.
    :param arrivals: attempts that may have reached a backend server.
    :param useful_until: time until which it is worth waiting for a slot, the
        deadline when ``None``.
    :param answer_by: time by which the response must be ready for the caller to take
        all of it.
    :param request_id: id of the request in the caller's headers and in the log.
    :param attempt_ends: ends of the attempts so far.
    :param caller: whose request it is, as its key tells.
    :param credit: credit of its workspace, ``None`` without a limit.
    """

    request: HttpRequest
    service: str
    call_class: str
    section: ClassSection
    tenant: str
    rank: int
    deadline: float
    allowance: Allowance
    parent: RunningCall | None
    key: str
    caller_attempt: int
    outcome: Outcome
    moves_left: int = 0
    arrivals: int = 0
    useful_until: float | None = None
    answer_by: float = math.inf
    request_id: str = ""
    attempt_ends: list[AttemptEnd] = field(default_factory=list)
    caller: Caller = UNKNOWN_CALLER
    credit: Credit | None = None

    @property
    def is_repeatable(self) -> bool:
        """Return whether the request may run more than once."""
        return self.section.repeatable

    def record_outcome(self, outcome: Outcome) -> None:
        """Record the outcome of an attempt; an unknown one makes the call's unknown."""
        if outcome is Outcome.UNKNOWN:
            self.outcome = Outcome.UNKNOWN


def get_node_retries(retries: int) -> int:
    """Return the share of a class's retries that the nodes may use.

    The rest is left to retries by the caller.
    """
    return retries - get_caller_retries(retries)


def get_caller_retries(retries: int) -> int:
    return retries // 2


def classify_request(
    request: HttpRequest, policy: Policy, running: RunningCalls, caller: Caller
) -> EntryCall | Failure:
    """Find the class, deadline and retry allowance of a request.

    :param request: request as received.
    :param policy: policy in force.
    :param running: calls that child calls may name as their parent.
    :param caller: whose request it is.
    """
    headers = parse_call_headers(request)
    if isinstance(headers, Failure):
        return headers
    service = parse_service_name(request)
    if isinstance(service, Failure):
        return service
    if service not in policy.services:
        return Failure(
            reason=Reason.UNKNOWN_SERVICE,
            detail=f"the policy has no section [service {service[:64]}]",
        )
    call_class = find_class(request, policy, service, headers)
    if isinstance(call_class, Failure):
        return call_class
    return build_call(request, policy, running, headers, service, call_class, caller)


def find_class(
    request: HttpRequest, policy: Policy, service: str, headers: CallHeaders
) -> str | Failure:
    if headers.call_class is None:
        path = request.target.decode("latin-1")
        return policy.get_class_name(service, request.method.decode("latin-1"), path)
    section = policy.classes.get(headers.call_class)
    if section is None or section.service != service:
        return Failure(
            reason=Reason.UNKNOWN_CLASS,
            detail=f"service {service} has no class {headers.call_class}",
        )
    return headers.call_class


def build_call(
    request: HttpRequest,
    policy: Policy,
    running: RunningCalls,
    headers: CallHeaders,
    service: str,
    call_class: str,
    caller: Caller,
) -> EntryCall | Failure:
    section = policy.find_class_section(call_class)
    parent = running.find_by_token(headers.parent) if headers.parent else None
    attempt = UNMARKED_ATTEMPT if headers.attempt is None else headers.attempt
    key = headers.idempotency_key if not section.repeatable else None
    tenant = find_tenant(headers, section, policy, caller)
    importance = caller.importance or section.importance
    if parent is not None:
        tenant = parent.tenant
    allowance = grant_allowance(headers, section, parent, attempt)
    if isinstance(allowance, Failure):
        return allowance
    return EntryCall(
        request=request,
        service=service,
        call_class=call_class,
        section=section,
        tenant=tenant,
        rank=importance.rank if parent is None else parent.rank,
        deadline=compute_deadline(headers, section, parent, request.waited_s),
        allowance=allowance,
        parent=parent,
        key=f"{service}/{tenant}/{key}" if key else "",
        caller_attempt=attempt,
        outcome=get_earlier_outcome(key, attempt),
        moves_left=section.moves,
        answer_by=request.answer_by,
        request_id=headers.idempotency_key or "",
        caller=caller,
    )


def find_tenant(
    headers: CallHeaders, section: ClassSection, policy: Policy, caller: Caller
) -> str:
    """Return the tenant of a call; where keys are used, they alone tell it."""
    if policy.uses_keys:
        return caller.workspace or section.tenant
    return headers.tenant or section.tenant


def get_earlier_outcome(key: str | None, attempt: int) -> Outcome:
    """Return the outcome of earlier submissions of the same request."""
    is_resubmission = attempt > FIRST_ATTEMPT
    may_be_resubmission = key is not None and attempt == UNMARKED_ATTEMPT
    return (
        Outcome.UNKNOWN if is_resubmission or may_be_resubmission else Outcome.NOT_RUN
    )


def compute_deadline(
    headers: CallHeaders,
    section: ClassSection,
    parent: RunningCall | None,
    waited_s: float,
) -> float:
    timeout = section.timeout
    if headers.timeout_ms is not None:
        timeout = min(timeout, headers.timeout_ms / 1000)
    deadline = trio.current_time() - waited_s + timeout
    return deadline if parent is None else min(deadline, parent.deadline)


def grant_allowance(
    headers: CallHeaders,
    section: ClassSection,
    parent: RunningCall | None,
    attempt: int,
) -> Allowance | Failure:
    """Grant the retries of a call, which no header can raise.

    A call whose parent is not running gets none, since it may belong to a request
    whose retries were granted elsewhere.
    """
    if attempt > max(get_caller_retries(section.retries), FIRST_ATTEMPT):
        return Failure(
            reason=Reason.RETRY_BOUND,
            outcome=Outcome.UNKNOWN,
            detail=f"sending {attempt} exceeds the retries of the request's class",
        )
    if parent is not None:
        granted = parent.allowance.reserve_for_child()
        if attempt > FIRST_ATTEMPT and granted == 0:
            return Failure(
                reason=Reason.RETRY_BOUND,
                outcome=Outcome.UNKNOWN,
                detail="the request has no retry left for a repeated child call",
            )
        return Allowance(granted - (attempt > FIRST_ATTEMPT))
    if headers.parent is not None or attempt > FIRST_ATTEMPT:
        return Allowance(0)
    granted = get_node_retries(section.retries)
    if headers.retry_allowance is not None:
        granted = min(granted, headers.retry_allowance)
    return Allowance(granted)
