"""Dispatch of requests to instances, with moves and retries."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from catkinpost.coordination.access.authenticator import Authenticator
from catkinpost.coordination.admission.throttle import Throttle
from catkinpost.coordination.limits.client import LimitClient
from catkinpost.coordination.limits.use import SENT, SENT_AGAIN, WorkspaceUse
from catkinpost.coordination.peers.identity import get_holder_instance
from catkinpost.coordination.routing.attempt import OVERLOAD_REASONS, AttemptSender
from catkinpost.coordination.routing.dialect import Dialect, NativeDialect
from catkinpost.coordination.routing.entry import EntryCall
from catkinpost.log import log_exception
from catkinpost.protocol.http import HttpRequest, HttpResponse
from catkinpost.protocol.message import Answer, Refusal
from catkinpost.protocol.outcome import (
    INTERNAL_FAILURE,
    Failure,
    Outcome,
    Reason,
    merge_outcomes,
)
from catkinpost.protocol.policy import (
    IMPORTANCE_RANK,
    Importance,
    Mode,
    get_weakest_mode,
)
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.metric import Metrics
from catkinpost.state.policy_store import PolicyStore
from catkinpost.state.request_log import RequestLog, describe_failure
from catkinpost.state.retry_budget import RetryBudget
from catkinpost.state.running import RunningCalls

__all__ = ["Dispatcher"]

MAX_REDIRECTS = 2
MAX_BACKOFF_S = 0.02
# When one instance is full the others usually are too, and under overload each
# further attempt adds work to every node.
MAX_OVERLOAD_MOVES = 1
THROTTLE_RETRY_AFTER_S = 0.5
NOT_READY_RETRY_AFTER_S = 1.0
DEADLINE_RETRY_AFTER_S = 0.5
RETRYABLE_REASONS = frozenset(
    {
        Reason.LEAVING,
        Reason.PEER_UNREACHABLE,
        Reason.BACKEND_UNREACHABLE,
        Reason.PEER_CONNECTION_LOST,
        Reason.PEER_SILENT,
        Reason.PEER_BAD_MESSAGE,
        Reason.BACKEND_CONNECTION_LOST,
        Reason.BACKEND_BAD_ANSWER,
        Reason.BACKEND_REPLACED,
    }
)
# Refusals by a node before the backend server got the request.
NOT_ARRIVED_REASONS = frozenset(
    {
        Reason.LEAVING,
        Reason.PEER_UNREACHABLE,
        Reason.BACKEND_UNREACHABLE,
        Reason.QUEUE_FULL,
        Reason.QUEUE_TIMEOUT,
        Reason.PREEMPTED,
        Reason.DOWNSTREAM_OVERLOADED,
        Reason.LIMIT_REACHED,
        Reason.UNKNOWN_SERVICE,
        Reason.NO_POLICY,
    }
)


@dataclass(kw_only=True, eq=False)
class Dispatcher:
    """Dispatcher of requests to instances within their deadline and allowance.

    :param store: policy in force.
    :param is_ready: returns whether the node has the current policy.
    :param running: calls at this node's backend server.
    :param sender: sends attempts to instances.
    :param authenticator: judge of the keys of callers.
    :param throttle: estimates which requests the targets would refuse.
    :param metrics: counters and histograms.
    :param decisions: log of automatic decisions.
    :param dialect: meaning of the caller's headers and statuses.
    :param retry_budget: bound on repeated arrivals at a service.
    :param request_log: log of requests that were refused, failed or answered late.
    :param workspace_use: counts of what workspaces have sent.
    :param limits: asks for the credit of workspaces, ``None`` for no limits.
    :param active_requests: number of requests in progress.
    :param scopes: cancel scopes of the calls in progress.
    :param is_ended: whether the calls in progress were broken off.
    """

    store: PolicyStore
    is_ready: Callable[[], bool]
    running: RunningCalls
    sender: AttemptSender
    authenticator: Authenticator
    throttle: Throttle
    metrics: Metrics
    decisions: DecisionLog
    dialect: Dialect = field(default_factory=NativeDialect)
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    request_log: RequestLog = field(default_factory=RequestLog)
    workspace_use: WorkspaceUse = field(default_factory=WorkspaceUse)
    limits: LimitClient | None = None
    active_requests: int = 0
    scopes: set[trio.CancelScope] = field(default_factory=set)
    is_ended: bool = False

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one request of a caller or of a backend server.

        :param request: request as received.
        """
        self.active_requests += 1
        try:
            return await self.process_request(request)
        except Exception:
            # An exception in one request must not leave its caller without a response.
            self.metrics.counters["internal-error"] += 1
            log_exception()
            return self.dialect.build_failure_response(INTERNAL_FAILURE)
        finally:
            self.active_requests -= 1

    async def process_request(self, request: HttpRequest) -> HttpResponse:
        if not self.is_ready():
            self.metrics.counters["not-ready"] += 1
            return self.dialect.build_failure_response(build_not_ready_failure())
        call = self.classify_request(request)
        if isinstance(call, Failure):
            self.metrics.counters[f"rejected:{call.reason.value}"] += 1
            self.decisions.add("entry", "reject", call.reason, reason=call.detail)
            return self.dialect.build_failure_response(call)
        started_at = trio.current_time()
        result = await self.run_with_deadline(call)
        failure = None if isinstance(result, Answer) else result
        duration_s = trio.current_time() - started_at
        self.metrics.record_call(
            call.service,
            call.call_class,
            call.tenant,
            seconds=duration_s,
            failure=failure,
        )
        self.log_failed_or_late(call, result, duration_s)
        if failure is not None:
            return self.dialect.build_failure_response(failure)
        return self.dialect.build_response(result)

    def classify_request(self, request: HttpRequest) -> EntryCall | Failure:
        """Classify a request if its caller may send it."""
        caller = self.authenticator.identify(request, self.dialect.key_scheme)
        call = self.dialect.classify_request(
            request, self.store.policy, self.running, caller
        )
        if isinstance(call, Failure) or call.parent is not None:
            return call
        return self.authenticator.check(caller, call.section) or call

    def log_failed_or_late(
        self, call: EntryCall, result: Answer | Failure, duration_s: float
    ) -> None:
        """Log a request that was refused, failed or answered late."""
        end = describe_failed_or_late(call, result, duration_s)
        if end is None or not self.request_log.acquire_line():
            return
        kind, detail = end
        now = trio.current_time()
        stats = self.sender.router.stats
        self.request_log.add(
            f"entry: {kind}",
            call.request_id,
            request_class=call.call_class,
            service=call.service,
            detail=detail,
            seconds=round(duration_s, 4),
            seconds_left=round(call.deadline - now, 4),
            policy_version=self.store.version,
            attempts=[
                {
                    "instance": end.instance,
                    "result": end.result,
                    "seconds": round(end.duration_s, 4),
                    **stats.get_or_create(end.instance).describe_load(now),
                }
                for end in call.attempt_ends
            ],
        )

    async def run_with_deadline(self, call: EntryCall) -> Answer | Failure:
        parent = call.parent
        result: Answer | Failure | None = None
        with trio.CancelScope(deadline=call.deadline) as scope:
            self.scopes.add(scope)
            if parent is not None:
                parent.child_scopes.add(scope)
                parent.called_services.add(call.service)
            try:
                # Its first sending would not notice that the time is over.
                if not scope.cancel_called:
                    result = await self.send_with_retries(call)
            finally:
                self.scopes.discard(scope)
                self.give_back_credit(call, result)
                self.retry_budget.release_repeat(call.service, call)
                if parent is not None:
                    parent.child_scopes.discard(scope)
                    parent.allowance.release_unused(
                        call.allowance.remaining, reserved=call.allowance.remaining
                    )
        if result is None and self.is_ended and trio.current_time() < call.deadline:
            return build_ended_failure(call)
        if result is None:
            return Failure(
                reason=Reason.DEADLINE_EXCEEDED,
                outcome=call.outcome,
                detail="no answer came in time",
                retry_after=DEADLINE_RETRY_AFTER_S,
            )
        return result

    def end_calls(self) -> None:
        """Break off all calls in progress, and answer with what is known of them."""
        self.is_ended = True
        for scope in self.scopes:
            scope.cancel()

    async def send_with_retries(self, call: EntryCall) -> Answer | Failure:
        """Send a call until it gets a response or cannot be sent again."""
        if self.is_throttled(call):
            failure = Failure(
                reason=Reason.THROTTLED,
                detail=f"{call.service} refuses most calls of this importance",
                retry_after=THROTTLE_RETRY_AFTER_S,
            )
            return self.build_final_failure(call, failure)
        refusal = await self.acquire_credit(call)
        if refusal is not None:
            return self.build_final_failure(call, refusal)
        exclude: set[str] = set()
        redirects = 0
        self.retry_budget.record_request(call.service, trio.current_time())
        target = self.sender.choose_instance(call, exclude)
        while True:
            if isinstance(target, Failure):
                return self.build_final_failure(call, target)
            if not exclude or call.arrivals:
                event = SENT_AGAIN if call.arrivals else SENT
                self.workspace_use.record(call.caller.workspace, event)
            result = await self.sender.send(call, target, exclude)
            if isinstance(result, Answer):
                return result
            holder = getattr(result, "holder", "")
            if holder and redirects < MAX_REDIRECTS:
                redirects += 1
                name = get_holder_instance(holder)
                target = self.sender.router.choose_named_instance(name, call.call_class)
                continue
            withdrawn = self.authenticator.check_again(call.caller)
            if withdrawn is not None:
                return self.build_final_failure(call, withdrawn)
            may_have_arrived = result.reason not in NOT_ARRIVED_REASONS
            call.arrivals += may_have_arrived
            was_refused = result.outcome is Outcome.NOT_RUN and not may_have_arrived
            if result.reason in OVERLOAD_REASONS:
                call.moves_left = min(call.moves_left, MAX_OVERLOAD_MOVES)
            if was_refused and call.moves_left > 0:
                call.moves_left -= 1
                self.metrics.counters["moves"] += 1
                is_move = True
            elif self.can_retry(call, result):
                await trio.sleep(random.uniform(0, MAX_BACKOFF_S))
                is_move = False
            else:
                return self.build_final_failure(call, result)
            if not await self.has_credit_for_repeat(call, result):
                return self.build_final_failure(call, result)
            now = trio.current_time()
            if not call.arrivals:
                self.retry_budget.release_repeat(call.service, call)
            elif not self.reserve_repeat(call, now):
                return self.build_final_failure(call, result)
            next_target = self.sender.choose_instance(call, exclude)
            if isinstance(next_target, Failure):
                return self.build_final_failure(call, result)
            if call.arrivals:
                # Reserved at the same time, so that it can't fail.
                self.retry_budget.acquire_repeat(call.service, now, holder=call)
            if not is_move:
                call.allowance.consume_retry()
                self.metrics.counters["retries"] += 1
            target = next_target

    async def acquire_credit(self, call: EntryCall) -> Failure | None:
        """Get credit for one run of a call, or return why it must not run.

        Calls of backend servers, and those that need no key, belong to no workspace.
        """
        workspace = call.caller.workspace
        if self.limits is None or not self.limits.has_limit(workspace):
            return None
        if call.parent is not None or not self.store.policy.needs_key(call.section):
            return None
        credit = await self.limits.acquire(workspace)
        if isinstance(credit, Failure):
            return credit
        call.credit = credit
        return None

    async def has_credit_for_repeat(
        self, call: EntryCall, result: Refusal | Failure
    ) -> bool:
        """Return whether another sending stays inside the limit of the workspace.

        Both sendings may run if the outcome of the first one is unknown.
        """
        if result.outcome is not Outcome.UNKNOWN:
            return True
        return await self.acquire_credit(call) is None

    def give_back_credit(
        self, call: EntryCall, result: Answer | Failure | None
    ) -> None:
        """Return the credit of a call that has not run.

        :param result: its result, ``None`` if it was broken off.
        """
        outcome = call.outcome if result is None else getattr(result, "outcome", None)
        if call.credit is not None and outcome is Outcome.NOT_RUN:
            self.limits.give_back(call.credit)

    def reserve_repeat(self, call: EntryCall, now: float) -> bool:
        """Reserve one repeated arrival in the service's retry budget."""
        if self.retry_budget.reserve_repeat(call.service, call, now):
            return True
        self.decisions.add(
            "retries",
            "do not repeat",
            call.service,
            reason="the budget of repeated arrivals is used up",
        )
        return False

    def build_final_failure(
        self, call: EntryCall, result: Refusal | Failure
    ) -> Failure:
        """Build the failure whose outcome covers all attempts together."""
        if isinstance(result, Refusal):
            if result.fenced and result.outcome is Outcome.NOT_RUN:
                return result.to_failure()
            result = result.to_failure()
        return Failure(
            reason=result.reason,
            outcome=merge_outcomes(call.outcome, result.outcome),
            detail=result.detail,
            retry_after=result.retry_after,
        )

    def is_throttled(self, call: EntryCall) -> bool:
        section = self.store.policy.services[call.service]
        # The throttle predicts refusals by admission, so its mode cannot exceed
        # the mode of admission.
        mode = get_weakest_mode(section.admission, section.throttle)
        # Admission of the parent covered its child calls; refusing one now would
        # waste the work of the parent.
        if mode is Mode.OFF or call.parent is not None:
            return False
        if not self.throttle.draw_refusal(call.service, call.rank):
            return False
        self.decisions.add(
            "throttle",
            "refuse",
            f"{call.service} {call.call_class}",
            reason="the service refuses most calls of this importance",
            mode=mode,
        )
        if mode is Mode.OBSERVE:
            return False
        self.throttle.record_request(call.service, call.rank, accepted=False)
        return True

    def can_retry(self, call: EntryCall, result: Refusal | Failure) -> bool:
        """Return whether a failed call may be sent to another instance."""
        if call.allowance.remaining < 1:
            return False
        if result.outcome is Outcome.UNKNOWN and not call.is_repeatable:
            return False
        if result.reason is Reason.BACKEND_SHED and call.section.moves:
            # The node had admitted the request, so the cause is this server alone.
            return True
        if result.reason in OVERLOAD_REASONS:
            # Under overload only critical requests justify a retry.
            return call.rank == IMPORTANCE_RANK[Importance.CRITICAL]
        return result.reason in RETRYABLE_REASONS


def describe_failed_or_late(
    call: EntryCall, result: Answer | Failure, duration_s: float
) -> tuple[str, str] | None:
    """Return log kind and detail of a refused, failed or late request."""
    objective = call.section.objective
    failure_end = describe_failure(result)
    if failure_end is not None or objective is None or duration_s <= objective:
        return failure_end
    return "late", f"answered after its objective of {objective} s"


def build_ended_failure(call: EntryCall) -> Failure:
    """Build the failure of a call that was broken off by the end of the node."""
    reason = Reason.DEADLINE_EXCEEDED
    if call.outcome is Outcome.NOT_RUN:
        reason = Reason.LEAVING
    return Failure(
        reason=reason,
        outcome=call.outcome,
        detail="the node stopped before an answer came",
        retry_after=DEADLINE_RETRY_AFTER_S,
    )


def build_not_ready_failure() -> Failure:
    return Failure(
        reason=Reason.NO_POLICY,
        detail="this node does not know yet which policy is in force",
        retry_after=NOT_READY_RETRY_AFTER_S,
    )
