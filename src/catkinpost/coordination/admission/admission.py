"""Admission control for one backend server: concurrency limit, queue and reserve."""

import math
import random
from collections.abc import Iterator
from contextlib import contextmanager

import trio

from catkinpost.coordination.admission.class_limiter import ClassLimiter
from catkinpost.coordination.admission.limiter import ConcurrencyLimiter
from catkinpost.coordination.admission.rate_limiter import RateLimiter
from catkinpost.coordination.admission.wait_queue import WaitQueue
from catkinpost.coordination.admission.work import (
    AdmissionPermit,
    RunWindow,
    ServiceOrder,
    Waiter,
    WorkAhead,
    WorkItem,
)
from catkinpost.coordination.event import AutoResetEvent
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.protocol.policy import (
    IMPORTANCE_RANK,
    Importance,
    Mode,
    ServiceSection,
)
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.duration import DurationModel

__all__ = ["Admission", "AdmissionPermit", "RunWindow", "WorkItem"]

MOST_IMPORTANT_RANK = min(IMPORTANCE_RANK.values())
SHEDDABLE_RANK = IMPORTANCE_RANK[Importance.SHEDDABLE]
NEWEST_FIRST_WAIT_SHARE = 0.5
MIN_SERVICE_TIME_SHARE = 0.5
# A refusal must reach the caller's node before that node's own deadline: after it the
# caller's node cannot report that the request did not run. The path may include two
# cross-region hops of 20 ms.
MIN_REMAINING_S = 0.08
MIN_RETRY_AFTER_S = 0.1
# Jitter, so that requests that were refused together are not retried together.
RETRY_JITTER_SHARE = 0.3
# Interval between searches of the queue for waiters that can't be served in time.
SWEEP_INTERVAL_S = 0.05
MAX_RETRY_AFTER_S = 5.0


class Admission:
    """Admission control that runs, queues or refuses requests to a backend server.

    :param section: section of the service.
    :param decisions: log for decisions.
    """

    def __init__(self, section: ServiceSection, decisions: DecisionLog) -> None:
        self.section = section
        self.decisions = decisions
        self.limiter = ConcurrencyLimiter(section, decisions)
        self.class_limiter = ClassLimiter(section, decisions)
        self.rate_limiter = RateLimiter(section, decisions)
        self.pacing_changed = AutoResetEvent()
        self.durations = DurationModel()
        self.in_flight = 0
        self.long_in_flight = 0
        self.waiters = WaitQueue()
        self.windows: dict[str, RunWindow] = {}
        self.bounded_waits: dict[trio.CancelScope, WorkItem] = {}
        self.last_sweep_at = -math.inf

    @property
    def queued(self) -> int:
        """Number of requests that wait."""
        return len(self.waiters)

    def update_section(self, section: ServiceSection) -> None:
        """Apply a new section of the policy."""
        self.section = section
        self.limiter.update_section(section)
        self.class_limiter.section = section
        self.rate_limiter.section = section
        self.admit_waiters()
        self.pacing_changed.set()

    def set_rate_limit(self, rate_limit: float | None) -> None:
        """Apply the rate limit that the backend server names now.

        :param rate_limit: requests per second, ``None`` for no limit.
        """
        is_changed = self.rate_limiter.set_limit(
            rate_limit, in_flight=self.in_flight, queued=self.queued
        )
        if is_changed:
            self.admit_waiters()
            self.pacing_changed.set()

    def set_window(self, cause: str, window: RunWindow | None) -> None:
        """Bound the time of all runs, also of requests that wait already.

        Requests that can't be served within the window are refused at once.

        :param cause: why the time is bounded; each cause has its own window.
        :param window: the window, ``None`` when the cause has gone.
        """
        if window is None:
            self.windows.pop(cause, None)
        else:
            self.windows[cause] = window
        self.update_wait_deadlines()
        self.last_sweep_at = -math.inf
        self.refuse_late_waiters()

    @contextmanager
    def bound_wait(self, item: WorkItem) -> Iterator[trio.CancelScope]:
        """Cancel a wait before the queue once a run would not fit into the windows.

        :param item: request that waits.
        """
        with trio.CancelScope(deadline=self.get_latest_start(item)) as scope:
            self.bounded_waits[scope] = item
            try:
                yield scope
            finally:
                del self.bounded_waits[scope]

    def update_wait_deadlines(self) -> None:
        for scope, item in self.bounded_waits.items():
            scope.deadline = self.get_latest_start(item)
        for waiter in self.waiters:
            waiter.scope.deadline = self.get_wait_deadline(
                waiter.item, waiter.arrived_at
            )

    def get_latest_start(self, item: WorkItem) -> float:
        """Return the time after which a request can't be run within all windows."""
        expected_s = self.get_expected_duration(item)
        return min(
            (window.get_latest_start(expected_s) for window in self.windows.values()),
            default=math.inf,
        )

    def get_expected_duration(self, item: WorkItem) -> float:
        """Return the expected duration of a run in seconds, 0 while unknown."""
        return self.durations.get_expected_duration(item.call_class, item.path) or 0.0

    async def run(self) -> None:
        """Admit waiters at the pace of the rate limit until cancelled."""
        while True:
            await self.pacing_changed.wait(self.get_pacing_delay())
            self.admit_waiters()
            self.refuse_late_waiters()

    def get_pacing_delay(self) -> float | None:
        """Return the seconds until the rate limit allows the next waiter to start.

        :return: the seconds, ``None`` while no waiter waits for the rate limit.
        """
        if not self.waiters or self.rate_limiter.can_start():
            return None
        return self.rate_limiter.get_wait(0)

    async def acquire_slot(self, item: WorkItem) -> AdmissionPermit | Failure:
        """Wait for a slot in which a request may run.

        :param item: request to run.
        :return: permit to run it, or the failure that explains the refusal.
        """
        now = trio.current_time()
        is_long = self.durations.is_long(item.call_class, item.path)
        if is_long and self.long_in_flight >= self.compute_reserve_limit():
            self.log_reserve(item)
        refusal = self.check_windows(item, now)
        if refusal is not None:
            return refusal
        if self.section.admission is Mode.OFF:
            return self.grant_slot(item, is_long, now)
        refusal = self.check_deadline(item, now) or self.check_class_limit(item)
        if refusal is not None:
            return refusal
        if not self.waiters and self.has_free_slot(is_long):
            return self.grant_slot(item, is_long, now)
        if self.section.admission is Mode.OBSERVE:
            self.log_refusal(item, Reason.QUEUE_FULL, "the limit is reached")
            return self.grant_slot(item, is_long, now)
        if not self.has_free_slot(is_long):
            refusal = (
                self.check_windows_after_wait(item, is_long, now)
                or self.check_rate(item)
                or self.check_expected_wait(item, now)
            )
            if refusal is not None:
                return refusal
        if self.queued >= self.section.queue:
            refusal = self.preempt_or_refuse(item)
            if refusal is not None:
                return refusal
        waiter = Waiter(item, is_long, now)
        self.waiters.append(waiter)
        self.admit_waiters()
        self.pacing_changed.set()
        return await self.wait_for_slot(waiter)

    async def wait_for_slot(self, waiter: Waiter) -> AdmissionPermit | Failure:
        item = waiter.item
        waiter.scope.deadline = self.get_wait_deadline(item, waiter.arrived_at)
        try:
            with waiter.scope:
                await waiter.event.wait()
        except trio.Cancelled:
            # The caller disconnected while its request waited or was just admitted.
            if isinstance(waiter.result, AdmissionPermit):
                self.release_slot(waiter.result, seconds=None)
            raise
        finally:
            if waiter.result is None:
                self.waiters.remove(waiter)
        if waiter.result is not None:
            return waiter.result
        refusal = self.check_windows(item, trio.current_time())
        return refusal or self.refuse(
            item, Reason.QUEUE_TIMEOUT, "no slot came free in time"
        )

    def get_wait_deadline(self, item: WorkItem, arrived_at: float) -> float:
        """Return the time at which a waiter is refused."""
        queue_deadline = self.get_queue_deadline(item, arrived_at)
        return min(queue_deadline, self.get_latest_start(item))

    def get_queue_deadline(self, item: WorkItem, arrived_at: float) -> float:
        """Return the time until which the use of its response lets a waiter wait.

        The most important requests are not subject to the queue timeout. They wait
        for as long as a response is useful, because a refusal would waste the work
        that parent calls have already done for them.
        """
        expected_s = self.get_expected_duration(item)
        reserved_s = max(expected_s * MIN_SERVICE_TIME_SHARE, MIN_REMAINING_S)
        latest_start_at = min(item.deadline - reserved_s, item.useful_until)
        if item.rank == MOST_IMPORTANT_RANK:
            return latest_start_at
        return min(latest_start_at, arrived_at + self.section.queue_wait)

    def check_windows(self, item: WorkItem, start_at: float) -> Failure | None:
        """Refuse a request whose run would not fit into the windows.

        :param start_at: earliest time at which the run could start.
        """
        if start_at < self.get_latest_start(item):
            return None
        return self.refuse_late(item)

    def refuse_late(self, item: WorkItem) -> Failure:
        """Refuse a request whose run would not fit into the windows."""
        return self.refuse(
            item,
            Reason.LEAVING,
            "the instance is leaving and a run would not end in time",
            retry_after=MIN_RETRY_AFTER_S,
        )

    def check_windows_after_wait(
        self, item: WorkItem, is_long: bool, now: float
    ) -> Failure | None:
        """Refuse a new request whose run would not fit into the windows."""
        if not self.windows:
            return None
        order = ServiceOrder()
        for waiter in self.waiters:
            if waiter.item.rank > item.rank:
                break
            order.add(waiter, self.get_expected_duration(waiter.item))
        ahead = order.get_ahead(item.rank, is_long)
        return self.check_windows(item, now + self.estimate_shortest_wait(ahead))

    def estimate_shortest_wait(self, ahead: WorkAhead) -> float:
        """Estimate the least seconds until a waiter may start, 0 while unknown.

        All running requests may end at any moment, and those after them may all be as
        short as the shortest.

        :param ahead: waiters that are served before this one.
        """
        rounds = ahead.count // max(1, self.limiter.get_limit())
        slot_wait_s = rounds * ahead.least_s if rounds else 0.0
        return max(slot_wait_s, self.rate_limiter.get_wait(ahead.count))

    def check_deadline(self, item: WorkItem, now: float) -> Failure | None:
        expected_s = self.get_expected_duration(item)
        if item.deadline - now > expected_s * MIN_SERVICE_TIME_SHARE:
            return None
        return self.refuse(
            item, Reason.DEADLINE_EXCEEDED, "too little time is left to answer"
        )

    def check_class_limit(self, item: WorkItem) -> Failure | None:
        """Refuse a sheddable request whose child calls would probably fail."""
        # A limit that was learned while the mode was on must not apply once it is off.
        if self.section.class_limiting is not Mode.ON or item.rank != SHEDDABLE_RANK:
            return None
        if not self.class_limiter.is_full(item.call_class):
            return None
        # One run duration from now, the limit depends on runs that are still in flight.
        wait_s = self.durations.get_expected_duration(item.call_class, item.path)
        return self.refuse(
            item,
            Reason.DOWNSTREAM_OVERLOADED,
            "runs of the class take too long or fail",
            retry_after=self.jitter_retry_after(wait_s or MIN_RETRY_AFTER_S),
        )

    def check_rate(self, item: WorkItem) -> Failure | None:
        """Refuse a request for whose rate another backend server may have room."""
        wait_s = self.rate_limiter.get_wait(self.waiters.count_ahead(item.rank))
        if wait_s <= item.max_rate_wait_s:
            return None
        return self.refuse(
            item,
            Reason.LIMIT_REACHED,
            "the rate that the backend server names is used up",
            retry_after=self.jitter_retry_after(wait_s),
        )

    def check_expected_wait(self, item: WorkItem, now: float) -> Failure | None:
        """Refuse a request that would be queued past its wait deadline."""
        if self.section.early_refusal is Mode.OFF:
            return None
        wait_s = self.estimate_wait(self.waiters.count_ahead(item.rank))
        if wait_s is None or now + wait_s <= self.get_queue_deadline(item, now):
            return None
        detail = "the wait would outlast the use of the answer"
        if self.section.early_refusal is Mode.OBSERVE:
            self.log_refusal(item, Reason.QUEUE_FULL, detail)
            return None
        return self.refuse(
            item, Reason.QUEUE_FULL, detail, retry_after=self.jitter_retry_after(wait_s)
        )

    def estimate_wait(self, waiters_ahead: int) -> float | None:
        """Estimate the seconds until a waiter may start.

        :param waiters_ahead: waiters that are served before this one.
        :return: the seconds, ``None`` while they are unknown.
        """
        rate_wait_s = self.rate_limiter.get_wait(waiters_ahead)
        slot_wait_s = self.estimate_slot_wait(waiters_ahead)
        if rate_wait_s == 0:
            return slot_wait_s
        if slot_wait_s is None or self.in_flight < self.limiter.get_limit():
            return rate_wait_s
        return max(rate_wait_s, slot_wait_s)

    def estimate_slot_wait(self, waiters_ahead: int) -> float | None:
        """Estimate the seconds until a slot becomes free for a waiter.

        :return: the seconds, ``None`` while service times are unknown.
        """
        mean_s = self.durations.mean_s
        if mean_s is None:
            return None
        return mean_s * (waiters_ahead + 1) / max(1, self.limiter.get_limit())

    def refuse_late_waiters(self) -> None:
        """Refuse the waiters that can no longer be served in time."""
        now = trio.current_time()
        if now < self.last_sweep_at + SWEEP_INTERVAL_S or not self.waiters:
            return
        if self.section.early_refusal is not Mode.ON and not self.windows:
            return
        self.last_sweep_at = now
        if self.windows:
            # The durations that the windows depend on are learned meanwhile.
            self.update_wait_deadlines()
        waiters_ahead = 0
        order = ServiceOrder()
        for waiter in self.waiters:
            ahead = order.get_ahead(waiter.item.rank, waiter.is_long)
            start_at = now + self.estimate_shortest_wait(ahead)
            failure = self.check_windows(waiter.item, start_at)
            failure = failure or self.check_wait(waiter, waiters_ahead)
            if failure is None:
                waiters_ahead += 1
                order.add(waiter, self.get_expected_duration(waiter.item))
            else:
                self.refuse_waiter(waiter, failure)

    def check_wait(self, waiter: Waiter, waiters_ahead: int) -> Failure | None:
        """Refuse a waiter whose remaining wait outlasts its wait deadline."""
        if self.section.early_refusal is not Mode.ON:
            return None
        item = waiter.item
        wait_s = self.estimate_wait(waiters_ahead)
        if wait_s is None:
            return None
        wait_deadline = self.get_queue_deadline(item, waiter.arrived_at)
        if trio.current_time() + wait_s <= wait_deadline:
            return None
        return self.refuse(
            item,
            Reason.QUEUE_TIMEOUT,
            "more important requests have taken its turn",
            retry_after=self.jitter_retry_after(wait_s),
        )

    def withdraw(self, item: WorkItem) -> None:
        """Refuse a request that still waits, at the wish of its caller's node.

        :param item: request that was passed to :meth:`acquire_slot`.
        """
        for waiter in self.waiters:
            if waiter.item is item:
                self.refuse_waiter(waiter, self.refuse_withdrawn(item))
                return

    def refuse_withdrawn(self, item: WorkItem) -> Failure:
        """Refuse a request that was withdrawn before it had a slot.

        Calls over other nodes may share the run of a key, and those nodes may send
        theirs elsewhere.
        """
        return self.refuse(
            item,
            Reason.LEAVING,
            "the call was withdrawn before it ran",
            retry_after=MIN_RETRY_AFTER_S,
        )

    def refuse_waiter(self, waiter: Waiter, failure: Failure) -> None:
        """Remove a waiter from its queue, and deliver its refusal."""
        self.waiters.remove(waiter)
        self.deliver_refusal(waiter, failure)

    def deliver_refusal(self, waiter: Waiter, failure: Failure) -> None:
        waiter.result = failure
        waiter.event.set()

    def jitter_retry_after(self, wait_s: float) -> float:
        """Return the seconds after which to retry, with jitter and within bounds.

        :param wait_s: estimated wait in seconds.
        """
        seconds = wait_s * random.uniform(
            1 - RETRY_JITTER_SHARE, 1 + RETRY_JITTER_SHARE
        )
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds))

    def preempt_or_refuse(self, item: WorkItem) -> Failure | None:
        """Preempt a less important waiter, or refuse the new request."""
        waiter = self.waiters.pop_less_important(item.rank)
        if waiter is not None:
            failure = self.refuse(
                waiter.item, Reason.PREEMPTED, "more important requests need the queue"
            )
            self.deliver_refusal(waiter, failure)
            return None
        return self.refuse(item, Reason.QUEUE_FULL, "the queue is full")

    def refuse(
        self,
        item: WorkItem,
        reason: Reason,
        detail: str,
        *,
        retry_after: float | None = None,
    ) -> Failure:
        self.log_refusal(item, reason, detail)
        if retry_after is None:
            retry_after = self.estimate_retry_after()
        return Failure(reason=reason, detail=detail, retry_after=retry_after)

    def log_refusal(self, item: WorkItem, reason: Reason, detail: str) -> None:
        self.decisions.add(
            "admission",
            "refuse",
            f"{item.call_class} {reason.value}",
            reason=detail,
            mode=self.section.admission,
            in_flight=self.in_flight,
            limit=self.limiter.get_limit(),
            queued=self.queued,
        )

    def log_reserve(self, item: WorkItem) -> None:
        if self.section.reserve is not Mode.OFF:
            self.decisions.add(
                "reserve",
                "hold back",
                f"{item.call_class} {item.path}",
                reason="long work uses all the slots outside the reserve",
                mode=self.section.reserve,
                long_in_flight=self.long_in_flight,
                limit=self.limiter.get_limit(),
            )

    def estimate_retry_after(self) -> float:
        """Estimate the seconds until the queue is empty."""
        mean_s = self.durations.geometric_mean_s or MIN_RETRY_AFTER_S
        limit = max(1, self.limiter.get_limit())
        estimate_s = mean_s * (self.queued + 1) / limit
        estimate_s = max(estimate_s, self.rate_limiter.get_wait(self.queued))
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, estimate_s))

    def get_long_work_limit(self) -> int:
        """Return the maximum number of slots for long work."""
        if self.section.reserve is not Mode.ON:
            return self.limiter.get_limit()
        return self.compute_reserve_limit()

    def compute_reserve_limit(self) -> int:
        """Return the number of slots for long work when the reserve applies."""
        limit = self.limiter.get_limit()
        if limit < 2:
            return limit
        reserved_slots = max(1, math.ceil(limit * self.section.reserve_share))
        return max(1, limit - reserved_slots)

    def has_free_slot(self, is_long: bool) -> bool:
        if self.in_flight >= self.limiter.get_limit():
            return False
        if not self.rate_limiter.can_start():
            return False
        return not is_long or self.long_in_flight < self.get_long_work_limit()

    def grant_slot(self, item: WorkItem, is_long: bool, now: float) -> AdmissionPermit:
        self.rate_limiter.record_start(in_flight=self.in_flight)
        self.in_flight += 1
        self.long_in_flight += is_long
        if item.rank == SHEDDABLE_RANK:
            self.class_limiter.record_start(item.call_class)
        return AdmissionPermit(item=item, is_long=is_long, admitted_at=now)

    def release_slot(
        self, permit: AdmissionPermit, *, seconds: float | None, failed: bool = False
    ) -> None:
        """Release a slot and record the service time.

        :param permit: permit returned by :meth:`acquire_slot`.
        :param seconds: service time, ``None`` when the run gave no valid sample.
        :param failed: whether the run ended without a useful response.
        """
        item = permit.item
        if item.rank == SHEDDABLE_RANK:
            self.record_class_end(
                permit, has_result=failed or seconds is not None, failed=failed
            )
        if seconds is not None:
            self.durations.record_duration(item.call_class, item.path, seconds)
            self.limiter.record_service_time(
                item.call_class, seconds, self.in_flight, trio.current_time()
            )
        self.in_flight -= 1
        self.long_in_flight -= permit.is_long
        self.admit_waiters()
        self.refuse_late_waiters()
        if self.waiters:
            self.pacing_changed.set()

    def record_class_end(
        self, permit: AdmissionPermit, *, has_result: bool, failed: bool
    ) -> None:
        """Record the end of a run for the limit of its class.

        :param has_result: whether the run shows if the class is overloaded.
        """
        item = permit.item
        self.class_limiter.record_end(item.call_class)
        useful_s = min(item.deadline, item.useful_until) - permit.admitted_at
        if not has_result or useful_s <= 0:
            return
        now = trio.current_time()
        self.class_limiter.record_run(
            item.call_class,
            share=(now - permit.admitted_at) / useful_s,
            failed=failed,
            started_at=permit.admitted_at,
            now=now,
        )

    def admit_waiters(self) -> None:
        """Admit waiting requests while slots are free."""
        while self.waiters and self.in_flight < self.limiter.get_limit():
            waiter = self.pop_next_waiter()
            if waiter is None:
                return
            now = trio.current_time()
            refusal = self.check_windows(waiter.item, now) or self.check_deadline(
                waiter.item, now
            )
            if refusal is not None:
                self.deliver_refusal(waiter, refusal)
                continue
            waiter.result = self.grant_slot(waiter.item, waiter.is_long, now)
            waiter.event.set()

    def pop_next_waiter(self) -> Waiter | None:
        """Remove the waiter that starts next; the newest, if the queue is too slow."""
        return self.waiters.pop_next(
            self.has_free_slot,
            # One slot goes to long work first, so that short work cannot starve it.
            is_long_first=self.long_in_flight == 0,
            newest_first_after_s=self.section.queue_wait * NEWEST_FIRST_WAIT_SHARE,
        )
