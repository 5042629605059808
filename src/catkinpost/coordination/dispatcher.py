"""Way of a request from its caller to an instance and back."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from catkinpost.coordination.entry import EntryCall, classify
from catkinpost.coordination.executor import Executor
from catkinpost.coordination.hedge import Hedging
from catkinpost.coordination.identity import instance_of_holder
from catkinpost.coordination.link_table import LinkTable
from catkinpost.coordination.pending import Pending, do_nothing
from catkinpost.coordination.router import Router, Target
from catkinpost.coordination.throttle import Throttle
from catkinpost.protocol.header import (
    OUTCOME_HEADER,
    REASON_HEADER,
    failure_response,
    outcome_headers,
)
from catkinpost.protocol.http import HttpRequest, HttpResponse
from catkinpost.protocol.message import Answer, Call, Refusal
from catkinpost.protocol.outcome import Failure, Outcome, Reason, merge_outcomes
from catkinpost.protocol.policy import IMPORTANCE_RANK, Importance, Mode
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.metric import Metrics
from catkinpost.state.policy_store import PolicyStore
from catkinpost.state.running import RunningCalls

__all__ = ["Dispatcher"]

MAX_REDIRECTS = 2
MAX_BACKOFF_S = 0.02
THROTTLE_RETRY_AFTER_S = 0.5
NOT_READY_RETRY_AFTER_S = 1.0
OVERLOAD_REASONS = frozenset(
    {
        Reason.QUEUE_FULL,
        Reason.QUEUE_TIMEOUT,
        Reason.PREEMPTED,
        Reason.DOWNSTREAM_OVERLOADED,
        Reason.BACKEND_SHED,
    }
)
ELSEWHERE_REASONS = frozenset(
    {
        Reason.LEAVING,
        Reason.PEER_UNREACHABLE,
        Reason.BACKEND_UNREACHABLE,
        Reason.PEER_CONNECTION_LOST,
        Reason.PEER_SILENT,
        Reason.BACKEND_CONNECTION_LOST,
        Reason.BACKEND_BAD_ANSWER,
    }
)

Result = Answer | Refusal | Failure


@dataclass(eq=False, slots=True)
class Attempt:
    """One sending of a call to one instance."""

    target: Target
    pending: Pending
    lent: int
    started: float
    judged: bool = False


@dataclass(kw_only=True, eq=False)
class Dispatcher:
    """Sends requests to instances within their deadline and allowance.

    :param instance: name of this node's instance.
    :param store: policy in force.
    :param ready: tells whether the policy is known to be the one in force.
    :param running: calls at this node's backend server.
    :param router: chooses instances.
    :param links: connections to peers.
    :param executor: runs calls at this node's backend server.
    :param throttle: refuses what targets refuse anyway.
    :param hedging: second attempts.
    :param metrics: counters and histograms.
    :param decisions: log for decisions.
    :param spawn: starts a background task.
    """

    instance: str
    store: PolicyStore
    ready: Callable[[], bool]
    running: RunningCalls
    router: Router
    links: LinkTable
    executor: Executor
    throttle: Throttle
    hedging: Hedging
    metrics: Metrics
    decisions: DecisionLog
    spawn: Callable[..., None]
    active: int = 0
    idle: trio.Event = field(default_factory=trio.Event)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request of a caller or of a backend server.

        :param request: request as it came.
        """
        self.active += 1
        try:
            return await self.answer(request)
        finally:
            self.active -= 1
            if self.active == 0:
                self.idle.set()
                self.idle = trio.Event()

    async def answer(self, request: HttpRequest) -> HttpResponse:
        if not self.ready():
            self.metrics.counters["not-ready"] += 1
            return failure_response(not_ready())
        call = classify(request, self.store.policy, self.running)
        if isinstance(call, Failure):
            self.metrics.counters[f"rejected:{call.reason.value}"] += 1
            return failure_response(call)
        started = trio.current_time()
        result = await self.run_with_deadline(call)
        failure = None if isinstance(result, Answer) else result
        self.metrics.record(
            call.service,
            call.call_class,
            call.tenant,
            seconds=trio.current_time() - started,
            failure=failure,
        )
        if failure is not None:
            return failure_response(failure)
        headers = [pair for pair in result.headers if keeps(pair[0])]
        headers += outcome_headers(Outcome.DONE)
        return HttpResponse(result.status, headers, result.body)

    async def run_with_deadline(self, call: EntryCall) -> Answer | Failure:
        parent = call.parent
        result: Answer | Failure | None = None
        with trio.CancelScope(deadline=call.deadline) as scope:
            if parent is not None:
                parent.children.add(scope)
                parent.called_services.add(call.service)
            try:
                result = await self.run(call)
            finally:
                if parent is not None:
                    parent.children.discard(scope)
                    parent.allowance.give_back(
                        call.allowance.remaining, lent=call.allowance.remaining
                    )
        if result is None:
            return Failure(
                reason=Reason.DEADLINE_EXCEEDED,
                outcome=call.outcome,
                detail="no answer came in time",
            )
        return result

    async def run(self, call: EntryCall) -> Answer | Failure:
        """Send a call until it is answered or may not be sent again."""
        if self.is_throttled(call):
            failure = Failure(
                reason=Reason.THROTTLED,
                detail=f"{call.service} refuses most calls of this importance",
                retry_after=THROTTLE_RETRY_AFTER_S,
            )
            return self.conclude(call, failure)
        exclude: set[str] = set()
        redirects = 0
        target = self.choose(call, exclude)
        while True:
            if isinstance(target, Failure):
                return self.conclude(call, target)
            result = await self.send(call, target, exclude)
            if isinstance(result, Answer):
                return result
            holder = getattr(result, "holder", "")
            if holder and redirects < MAX_REDIRECTS:
                redirects += 1
                name = instance_of_holder(holder)
                target = self.router.take_named(name, call.call_class)
                continue
            if not self.may_retry(call, result):
                return self.conclude(call, result)
            await trio.sleep(random.uniform(0, MAX_BACKOFF_S))
            following = self.choose(call, exclude)
            if isinstance(following, Failure):
                return self.conclude(call, result)
            call.allowance.spend()
            self.metrics.counters["retries"] += 1
            target = following

    def choose(self, call: EntryCall, exclude: set[str]) -> Target | Failure:
        return self.router.choose(
            call.service,
            call.call_class,
            exclude=exclude,
            repeatable=call.repeatable,
        )

    def conclude(self, call: EntryCall, result: Refusal | Failure) -> Failure:
        """Word a failure so that it holds for all attempts together."""
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
        # A running call was checked for its children; refusing one now wastes it.
        if section.admission is not Mode.ON or call.parent is not None:
            return False
        if not self.throttle.refuses(call.service, call.rank):
            return False
        self.decisions.add(
            "throttle",
            "refuse",
            f"{call.service} {call.call_class}",
            reason="the service refuses most calls of this importance",
        )
        return True

    def may_retry(self, call: EntryCall, result: Refusal | Failure) -> bool:
        """Decide whether a failed call may be sent to another instance."""
        if call.allowance.remaining < 1:
            return False
        if result.outcome is Outcome.UNKNOWN and not call.repeatable:
            return False
        if result.reason in OVERLOAD_REASONS:
            # Under overload only the most important requests are worth a retry.
            return call.rank == IMPORTANCE_RANK[Importance.CRITICAL]
        return result.reason in ELSEWHERE_REASONS

    async def send(self, call: EntryCall, target: Target, exclude: set[str]) -> Result:
        """Send one attempt, and a hedge when it takes unusually long."""
        signal = Signal()
        attempts: list[Attempt] = []
        failed: Result | None = None
        try:
            delay = self.hedge_delay(call)
            await self.start(
                call, target, signal, attempts, exclude, alone=delay is None
            )
            while True:
                await signal.wait(delay)
                for attempt in attempts:
                    result = attempt.pending.result
                    if result is None or attempt.judged:
                        continue
                    self.judge(call, attempt, result)
                    if isinstance(result, Answer):
                        return result
                    failed = result
                if all(attempt.judged for attempt in attempts):
                    return failed
                if delay is not None:
                    delay = None
                    await self.hedge(call, signal, attempts, exclude)
        finally:
            for attempt in attempts:
                if not attempt.judged:
                    attempt.pending.cancel()
                    self.judge(call, attempt, None)

    async def start(
        self,
        call: EntryCall,
        target: Target,
        signal: "Signal",
        attempts: list[Attempt],
        exclude: set[str],
        *,
        alone: bool,
    ) -> None:
        """Send one attempt.

        :param alone: whether no other attempt runs beside it, so that a local
            one needs no task of its own.
        """
        exclude.add(target.instance.name)
        pending = Pending(signal.set)
        lent = call.allowance.lend()
        now = trio.current_time()
        attempts.append(Attempt(target, pending, lent, now))
        message = Call(
            id=0,
            service=call.service,
            call_class=call.call_class,
            tenant=call.tenant,
            rank=call.rank,
            budget_us=max(1, int((call.deadline - now) * 1e6)),
            allowance=lent,
            attempt=call.attempt,
            key=call.key,
            method=call.request.method,
            target=call.request.target,
            headers=call.request.headers,
            body=call.request.body,
            trial=target.trial,
        )
        if target.leaves_region:
            self.router.budget.charge(len(message.body))
        if target.instance.name == self.instance and alone:
            pending.cancel = do_nothing_more
            pending.resolve(await self.executor.run(message))
        elif target.instance.name == self.instance:
            self.run_here(message, pending)
        else:
            link = self.links.of(target.instance)
            await link.start(message, pending)

    def run_here(self, message: Call, pending: Pending) -> None:
        scope = trio.CancelScope()
        pending.cancel = scope.cancel
        self.spawn(self.run_local, message, pending, scope)

    async def run_local(
        self, message: Call, pending: Pending, scope: trio.CancelScope
    ) -> None:
        with scope:
            pending.resolve(await self.executor.run(message))

    def judge(self, call: EntryCall, attempt: Attempt, result: Result | None) -> None:
        """Learn from the end of an attempt and settle its allowance."""
        attempt.judged = True
        seconds = trio.current_time() - attempt.started
        self.router.note_result(
            attempt.target, call.call_class, result, seconds=seconds
        )
        if result is None:
            if attempt.pending.cancel is not do_nothing:
                call.note(Outcome.UNKNOWN)
            return
        if isinstance(result, (Answer, Refusal)):
            call.allowance.give_back(result.allowance, lent=attempt.lent)
        elif result.outcome is Outcome.NOT_RUN:
            call.allowance.give_back(attempt.lent, lent=attempt.lent)
        overloaded = (
            not isinstance(result, Answer) and result.reason in OVERLOAD_REASONS
        )
        self.throttle.add(call.service, call.rank, accepted=not overloaded)
        if isinstance(result, Answer):
            self.hedging.add(call.call_class, seconds)
        elif not getattr(result, "fenced", False):
            call.note(result.outcome)

    def hedge_delay(self, call: EntryCall) -> float | None:
        """Return the seconds until a hedge is due, ``None`` for no hedge."""
        section = self.store.policy.services[call.service]
        if section.hedging is Mode.OFF or not call.repeatable:
            return None
        if call.allowance.remaining < 1:
            return None
        if self.throttle.refusal_probability(call.service, call.rank) > 0:
            # An overloaded service is slow for want of slots, not by a straggler.
            return None
        return self.hedging.delay(call.call_class)

    async def hedge(
        self,
        call: EntryCall,
        signal: "Signal",
        attempts: list[Attempt],
        exclude: set[str],
    ) -> None:
        mode = self.store.policy.services[call.service].hedging
        if call.allowance.remaining < 1 or not self.hedging.spend():
            return
        self.decisions.add(
            "hedging",
            "hedge",
            f"{call.service} {call.call_class}",
            reason="the answer takes unusually long",
            mode=mode,
            seconds=round(trio.current_time() - attempts[0].started, 4),
        )
        if mode is not Mode.ON:
            return
        target = self.choose(call, exclude)
        if isinstance(target, Failure):
            return
        call.allowance.spend()
        self.metrics.counters["hedges"] += 1
        await self.start(call, target, signal, attempts, exclude, alone=False)


class Signal:
    """Event that can be waited for again and again."""

    __slots__ = ("event",)

    def __init__(self) -> None:
        self.event = trio.Event()

    def set(self) -> None:
        """Wake the waiting task."""
        self.event.set()

    async def wait(self, timeout: float | None) -> None:
        """Wait for the next :meth:`set`, for some seconds at most."""
        if timeout is None:
            await self.event.wait()
        elif not self.event.is_set():
            with trio.move_on_after(timeout):
                await self.event.wait()
        if self.event.is_set():
            self.event = trio.Event()


def do_nothing_more() -> None:
    """Withdraw a local call, which the cancellation itself has ended."""


def keeps(name: bytes) -> bool:
    return name not in (OUTCOME_HEADER, REASON_HEADER)


def not_ready() -> Failure:
    return Failure(
        reason=Reason.NO_POLICY,
        detail="this node does not know yet which policy is in force",
        retry_after=NOT_READY_RETRY_AFTER_S,
    )
