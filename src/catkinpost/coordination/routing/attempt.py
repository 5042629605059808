"""Attempts of one call, and hedged requests beside slow attempts."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import trio

from catkinpost.coordination.admission.executor import Executor
from catkinpost.coordination.admission.throttle import Throttle
from catkinpost.coordination.event import AutoResetEvent
from catkinpost.coordination.peers.link import PeerLink
from catkinpost.coordination.peers.link_table import LinkTable
from catkinpost.coordination.peers.pending import PendingRequest
from catkinpost.coordination.routing.entry import AttemptEnd, EntryCall
from catkinpost.coordination.routing.hedge import Hedging
from catkinpost.coordination.routing.router import Router, Target
from catkinpost.protocol.message import Answer, Call, Refusal, ServerNotice
from catkinpost.protocol.outcome import (
    Failure,
    Outcome,
    Reason,
    build_leaving_failure,
)
from catkinpost.protocol.policy import Mode
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.instance_view import Instance
from catkinpost.state.metric import Metrics
from catkinpost.state.policy_store import PolicyStore
from catkinpost.state.request_memory import LARGE_BODY_BYTES
from catkinpost.state.retry_budget import RetryBudget
from catkinpost.state.server_notice import ServerNotices

__all__ = ["OVERLOAD_REASONS", "AttemptSender", "AttemptResult"]

OVERLOAD_REASONS = frozenset(
    {
        Reason.QUEUE_FULL,
        Reason.QUEUE_TIMEOUT,
        Reason.PREEMPTED,
        Reason.DOWNSTREAM_OVERLOADED,
        Reason.BACKEND_SHED,
    }
)

# Longest wait for the rate limit of one backend server while another may have room: an
# attempt there costs up to two crossings between regions.
MAX_RATE_WAIT_US = 100_000

# From this time on, a deadline was met late since the process did not run.
MIN_OVERSLEPT_S = 0.05
# Steps of the event loop in which what arrived meanwhile is read.
READING_STEPS = 20

AttemptResult = Answer | Refusal | Failure


@dataclass(eq=False, slots=True)
class Attempt:
    """One sending of a call to one instance.

    :param reserved_retries: retries of the call's allowance sent with the attempt.
    :param is_recorded: whether the end of the attempt has been recorded.
    :param is_withdrawn: whether the target was asked to refuse the call if it waits.
    """

    call: EntryCall
    target: Target
    pending: PendingRequest
    reserved_retries: int
    started_at: float
    is_recorded: bool = False
    is_withdrawn: bool = False


@dataclass(kw_only=True, eq=False)
class AttemptSender:
    """Sender of attempts that returns the first response and records each end.

    :param instance: name of this node's instance.
    :param store: policy in force.
    :param router: chooses instances.
    :param links: connections to peers.
    :param executor: runs calls at this node's backend server.
    :param notices: latest notices of backend servers.
    :param throttle: records which requests the targets refuse.
    :param hedging: delay and budget of hedged requests.
    :param metrics: counters.
    :param decisions: log of automatic decisions.
    :param spawn: starts a background task.
    :param retry_budget: bound on repeated arrivals at a service.
    :param ends_at: time by which all calls must have ended.
    :param active_attempts: attempts whose end has not been recorded.
    """

    instance: str
    store: PolicyStore
    router: Router
    links: LinkTable
    executor: Executor
    notices: ServerNotices
    throttle: Throttle
    hedging: Hedging
    metrics: Metrics
    decisions: DecisionLog
    spawn: Callable[..., None]
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    ends_at: float = math.inf
    active_attempts: set[Attempt] = field(default_factory=set)

    def choose_instance(self, call: EntryCall, exclude: set[str]) -> Target | Failure:
        if trio.current_time() >= self.get_latest_start(call):
            return build_leaving_failure(
                "this node stops and a run would not end in time"
            )
        return self.router.choose_instance(
            call.service,
            call.call_class,
            exclude=exclude,
            repeatable=call.is_repeatable,
        )

    def get_latest_start(self, call: EntryCall) -> float:
        """Return the time after which a run would end too late for the caller.

        Its answer must leave before the node ends, and in time for a slow caller.
        """
        ends_at = min(self.ends_at, call.answer_by)
        if ends_at == math.inf:
            return math.inf
        return ends_at - self.router.stats.class_times.get_typical_time(call.call_class)

    def withdraw_late_attempts(self) -> None:
        """Withdraw the attempts that wait and would not end in time."""
        now = trio.current_time()
        self.withdraw_attempts(lambda call: now >= self.get_latest_start(call))

    def withdraw_attempts(self, must_not_run: Callable[[EntryCall], bool]) -> None:
        """Withdraw the attempts of some calls that wait here or at peers.

        :param must_not_run: returns whether a call must not begin to run.
        """
        for attempt in list(self.active_attempts):
            if not attempt.is_withdrawn and must_not_run(attempt.call):
                attempt.is_withdrawn = True
                attempt.pending.withdraw()

    async def send(
        self, call: EntryCall, target: Target, exclude: set[str]
    ) -> AttemptResult:
        """Send one attempt, and a hedged request when it takes unusually long."""
        attempt_ended = AutoResetEvent()
        attempts: list[Attempt] = []
        last_failure: AttemptResult | None = None
        try:
            hedge_delay_s = self.get_hedge_delay(call)
            await self.start_attempt(
                call,
                target,
                attempt_ended,
                attempts,
                exclude,
                is_only_attempt=hedge_delay_s is None,
            )
            while True:
                await self.wait_for_end(call, attempt_ended, attempts, hedge_delay_s)
                for attempt in attempts:
                    result = attempt.pending.result
                    if result is None or attempt.is_recorded:
                        continue
                    self.record_end(call, attempt, result)
                    if isinstance(result, Answer):
                        return result
                    last_failure = result
                if all(attempt.is_recorded for attempt in attempts):
                    return last_failure
                if hedge_delay_s is not None:
                    hedge_delay_s = None
                    await self.send_hedge(call, attempt_ended, attempts, exclude)
        finally:
            for attempt in attempts:
                if not attempt.is_recorded:
                    attempt.pending.cancel()
                    self.record_end(call, attempt, None)

    async def wait_for_end(
        self,
        call: EntryCall,
        attempt_ended: AutoResetEvent,
        attempts: list[Attempt],
        timeout: float | None,
    ) -> None:
        """Wait for the end of an attempt, past a deadline that was met late.

        An answer that arrived while the process did not run is delivered.
        """
        try:
            await attempt_ended.wait(timeout)
        except trio.Cancelled:
            if trio.current_time() < call.deadline + MIN_OVERSLEPT_S:
                raise
            for _ in range(READING_STEPS):
                if any(isinstance(item.pending.result, Answer) for item in attempts):
                    return
                await trio.lowlevel.cancel_shielded_checkpoint()
            raise

    async def start_attempt(
        self,
        call: EntryCall,
        target: Target,
        attempt_ended: AutoResetEvent,
        attempts: list[Attempt],
        exclude: set[str],
        *,
        is_only_attempt: bool,
    ) -> None:
        """Send one attempt.

        :param is_only_attempt: whether no other attempt can run beside this one, so
            that a local one needs no task of its own.
        """
        exclude.add(target.instance.name)
        pending = PendingRequest(
            attempt_ended.set,
            outlasts_silence=partial(self.outlasts_silence, call, exclude),
        )
        reserved_retries = call.allowance.reserve_for_attempt()
        now = trio.current_time()
        attempt = Attempt(call, target, pending, reserved_retries, now)
        attempts.append(attempt)
        self.active_attempts.add(attempt)
        message = Call(
            id=0,
            service=call.service,
            call_class=call.call_class,
            tenant=call.tenant,
            rank=call.rank,
            budget_us=max(1, int((call.deadline - now) * 1e6)),
            allowance=reserved_retries,
            attempt=call.caller_attempt,
            key=call.key,
            method=call.request.method,
            target=call.request.target,
            headers=call.request.headers,
            body=call.request.body,
            incarnation=target.instance.incarnation,
            useful_us=self.compute_useful_us(call, now),
            notice=self.get_known_limit(target.instance),
            rate_wait_us=self.compute_rate_wait_us(call, exclude),
        )
        if target.leaves_region:
            self.router.budget.charge(len(message.body))
        if target.instance.name != self.instance:
            link = self.get_link(message, target.instance)
            await link.send_request(message, pending)
            return
        pending.sent = True
        pending.withdraw = partial(self.executor.withdraw, message)
        if is_only_attempt:
            pending.resolve(await self.executor.run(message))
        else:
            self.start_local_call(message, pending)

    def outlasts_silence(self, call: EntryCall, exclude: set[str]) -> bool:
        """Return whether a call is awaited although its peer has gone silent.

        Otherwise it can be sent again, and the repeat is reserved for it.
        While the node stops, another attempt may find no instance that ends in time.
        """
        if not call.is_repeatable or call.allowance.remaining < 1:
            return True
        if self.ends_at != math.inf:
            return True
        if not self.router.has_instance(call.service, exclude=exclude):
            return True
        now = trio.current_time()
        return not self.retry_budget.reserve_repeat(call.service, call, now)

    def get_link(self, message: Call, instance: Instance) -> PeerLink:
        """Return the link for a call, by the size of its body."""
        if len(message.body) > LARGE_BODY_BYTES:
            return self.links.get_or_open_bulk_link(instance)
        return self.links.get_or_open_link(instance)

    def get_known_limit(self, instance: Instance) -> ServerNotice | None:
        """Return the notice of a backend server that names a rate limit."""
        notice = self.notices.get(instance.name, instance.incarnation)
        return None if notice is None or notice.rate_limit is None else notice

    def compute_rate_wait_us(self, call: EntryCall, exclude: set[str]) -> int:
        """Return the microseconds for which a call may wait for a rate limit.

        :return: the microseconds, 0 for no own bound, when the call cannot move to
            another instance.
        """
        can_move = call.moves_left > 0 and self.router.has_instance(
            call.service, exclude=exclude
        )
        return MAX_RATE_WAIT_US if can_move else 0

    def compute_useful_us(self, call: EntryCall, now: float) -> int:
        """Return the microseconds for which a call may wait, 0 for no own bound."""
        useful_until = self.get_latest_start(call)
        if call.useful_until is not None:
            useful_until = min(useful_until, call.useful_until)
        if useful_until == math.inf:
            return 0
        return max(1, int((useful_until - now) * 1e6))

    def start_local_call(self, message: Call, pending: PendingRequest) -> None:
        scope = trio.CancelScope()
        pending.cancel = scope.cancel
        self.spawn(self.run_local_call, message, pending, scope)

    async def run_local_call(
        self, message: Call, pending: PendingRequest, scope: trio.CancelScope
    ) -> None:
        with scope:
            pending.resolve(await self.executor.run(message))

    def record_end(
        self, call: EntryCall, attempt: Attempt, result: AttemptResult | None
    ) -> None:
        """Record the end of an attempt and release its unused retries."""
        attempt.is_recorded = True
        self.active_attempts.discard(attempt)
        duration_s = trio.current_time() - attempt.started_at
        call.attempt_ends.append(
            AttemptEnd(
                attempt.target.instance.name, describe_result(result), duration_s
            )
        )
        self.router.record_result(
            attempt.target, call.call_class, result, duration_s=duration_s
        )
        if result is None:
            if attempt.pending.sent:
                call.record_outcome(Outcome.UNKNOWN)
            return
        if isinstance(result, (Answer, Refusal)):
            if result.load.notice is not None:
                self.notices.record(attempt.target.instance.name, result.load.notice)
            call.allowance.release_unused(
                result.allowance, reserved=attempt.reserved_retries
            )
        elif result.outcome is Outcome.NOT_RUN:
            call.allowance.release_unused(
                attempt.reserved_retries, reserved=attempt.reserved_retries
            )
        is_overload = (
            not isinstance(result, Answer) and result.reason in OVERLOAD_REASONS
        )
        self.throttle.record_request(call.service, call.rank, accepted=not is_overload)
        if isinstance(result, Answer):
            self.hedging.record_response_time(call.call_class, duration_s)
        elif not getattr(result, "fenced", False):
            call.record_outcome(result.outcome)

    def get_hedging_mode(self, call: EntryCall) -> Mode:
        """Return the mode of hedging.

        The service of a call may have left the policy since the call was read.
        """
        section = self.store.policy.services.get(call.service)
        return Mode.OFF if section is None else section.hedging

    def get_hedge_delay(self, call: EntryCall) -> float | None:
        """Return the seconds to wait before a hedge, ``None`` for no hedge."""
        if self.get_hedging_mode(call) is Mode.OFF or not call.is_repeatable:
            return None
        if call.allowance.remaining < 1:
            return None
        if self.throttle.get_refusal_probability(call.service, call.rank) > 0:
            # An overloaded service is slow because it lacks slots, not because of one
            # slow instance.
            return None
        typical = self.router.stats.class_times.get_typical_time(call.call_class)
        return self.hedging.get_delay(call.call_class, typical)

    async def send_hedge(
        self,
        call: EntryCall,
        attempt_ended: AutoResetEvent,
        attempts: list[Attempt],
        exclude: set[str],
    ) -> None:
        mode = self.get_hedging_mode(call)
        if mode is Mode.OFF or call.allowance.remaining < 1:
            return
        if not self.hedging.acquire_token():
            return
        self.decisions.add(
            "hedging",
            "hedge",
            f"{call.service} {call.call_class}",
            reason="the answer takes unusually long",
            mode=mode,
            seconds=round(trio.current_time() - attempts[0].started_at, 4),
        )
        if mode is not Mode.ON:
            return
        target = self.choose_instance(call, exclude)
        if isinstance(target, Failure):
            return
        call.allowance.consume_retry()
        self.metrics.counters["hedges"] += 1
        await self.start_attempt(
            call, target, attempt_ended, attempts, exclude, is_only_attempt=False
        )


def describe_result(result: AttemptResult | None) -> str:
    """Return the end of an attempt as one word for the log."""
    if result is None:
        return "withdrawn"
    return str(result.status) if isinstance(result, Answer) else result.reason.value
