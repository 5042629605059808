"""Attempts of one call at instances, and hedges beside slow ones."""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from catkinpost.coordination.admission.executor import Executor
from catkinpost.coordination.admission.throttle import Throttle
from catkinpost.coordination.peers.link_table import LinkTable
from catkinpost.coordination.peers.pending import Pending
from catkinpost.coordination.routing.entry import AttemptEnd, EntryCall
from catkinpost.coordination.routing.hedge import Hedging
from catkinpost.coordination.routing.router import Router, Target
from catkinpost.protocol.message import Answer, Call, Refusal
from catkinpost.protocol.outcome import Failure, Outcome, Reason
from catkinpost.protocol.policy import Mode
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.metric import Metrics
from catkinpost.state.policy_store import PolicyStore

__all__ = ["OVERLOAD_REASONS", "AttemptSender", "Result"]

OVERLOAD_REASONS = frozenset(
    {
        Reason.QUEUE_FULL,
        Reason.QUEUE_TIMEOUT,
        Reason.PREEMPTED,
        Reason.DOWNSTREAM_OVERLOADED,
        Reason.BACKEND_SHED,
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
class AttemptSender:
    """Sends attempts, waits for the first answer and learns from each end.

    :param instance: name of this node's instance.
    :param store: policy in force.
    :param router: chooses instances.
    :param links: connections to peers.
    :param executor: runs calls at this node's backend server.
    :param throttle: counts what targets refuse.
    :param hedging: second attempts.
    :param metrics: counters.
    :param decisions: log for decisions.
    :param spawn: starts a background task.
    """

    instance: str
    store: PolicyStore
    router: Router
    links: LinkTable
    executor: Executor
    throttle: Throttle
    hedging: Hedging
    metrics: Metrics
    decisions: DecisionLog
    spawn: Callable[..., None]

    def choose(self, call: EntryCall, exclude: set[str]) -> Target | Failure:
        return self.router.choose(
            call.service,
            call.call_class,
            exclude=exclude,
            repeatable=call.repeatable,
        )

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
        lent = call.allowance.reserve_for_attempt()
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
            incarnation=target.instance.incarnation,
            useful_us=useful_us(call, now),
        )
        if target.leaves_region:
            self.router.budget.charge(len(message.body))
        if target.instance.name == self.instance and alone:
            pending.sent = True
            pending.resolve(await self.executor.run(message))
        elif target.instance.name == self.instance:
            self.run_here(message, pending)
        else:
            link = self.links.of(target.instance)
            await link.start(message, pending)

    def run_here(self, message: Call, pending: Pending) -> None:
        scope = trio.CancelScope()
        pending.cancel = scope.cancel
        pending.sent = True
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
        call.ends.append(
            AttemptEnd(attempt.target.instance.name, describe(result), seconds)
        )
        self.router.note_result(
            attempt.target, call.call_class, result, seconds=seconds
        )
        if result is None:
            if attempt.pending.sent:
                call.note(Outcome.UNKNOWN)
            return
        if isinstance(result, (Answer, Refusal)):
            call.allowance.release_unused(result.allowance, reserved=attempt.lent)
        elif result.outcome is Outcome.NOT_RUN:
            call.allowance.release_unused(attempt.lent, reserved=attempt.lent)
        overloaded = (
            not isinstance(result, Answer) and result.reason in OVERLOAD_REASONS
        )
        self.throttle.record_request(call.service, call.rank, accepted=not overloaded)
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
        if self.throttle.get_refusal_probability(call.service, call.rank) > 0:
            # An overloaded service is slow for want of slots, not by a straggler.
            return None
        typical = self.router.stats.class_times.get_typical_time(call.call_class)
        return self.hedging.delay(call.call_class, typical)

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
        call.allowance.consume_retry()
        self.metrics.counters["hedges"] += 1
        await self.start(call, target, signal, attempts, exclude, alone=False)


def describe(result: Result | None) -> str:
    """Name the end of an attempt in one word."""
    if result is None:
        return "withdrawn"
    return str(result.status) if isinstance(result, Answer) else result.reason.value


def useful_us(call: EntryCall, now: float) -> int:
    """Return the microseconds for which a call is worth waiting."""
    if call.useful_until is None:
        return 0
    return max(1, int((call.useful_until - now) * 1e6))


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
