"""Requests that arrive at, wait for, or run at one backend server."""

import math
from dataclasses import dataclass, field, replace

import trio

from catkinpost.protocol.outcome import Failure

__all__ = [
    "AdmissionPermit",
    "RunWindow",
    "ServiceOrder",
    "Waiter",
    "WorkAhead",
    "WorkItem",
]


@dataclass(frozen=True, kw_only=True, slots=True)
class RunWindow:
    """Time that is left for runs at a backend server.

    :param ends_at: time by which every run must have ended.
    :param last_start_at: time after which no run may start, however short it is.
    """

    ends_at: float = math.inf
    last_start_at: float = math.inf

    def get_latest_start(self, expected_s: float) -> float:
        """Return the time after which a run does not fit into the window.

        :param expected_s: expected duration of the run in seconds.
        """
        return min(self.ends_at - expected_s, self.last_start_at)


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkItem:
    """Request to run.

    :param rank: rank of importance; 0 is shed last.
    :param deadline: time at which the backend server must have answered.
    :param useful_until: time until which the request may wait for a slot.
    :param call_class: request class.
    :param path: path of the request without its query.
    :param max_rate_wait_s: longest wait for the rate limit of the backend server in
        seconds, after which another one may take the request.
    """

    rank: int
    deadline: float
    call_class: str
    path: str
    useful_until: float = math.inf
    max_rate_wait_s: float = math.inf


@dataclass(frozen=True, kw_only=True, slots=True)
class AdmissionPermit:
    """Permit to run one request, released with :meth:`Admission.release_slot`.

    :param item: admitted request.
    :param is_long: whether the request counts as long work.
    :param admitted_at: time of admission.
    """

    item: WorkItem
    is_long: bool
    admitted_at: float


@dataclass(slots=True)
class WorkAhead:
    """Waiters that certainly start before another one.

    :param count: number of the waiters.
    :param least_s: least expected duration among them in seconds.
    """

    count: int = 0
    least_s: float = math.inf

    def add(self, expected_s: float) -> None:
        """Add one waiter.

        :param expected_s: expected duration of its run in seconds.
        """
        self.count += 1
        self.least_s = min(self.least_s, expected_s)


class ServiceOrder:
    """Work ahead of each waiter, while the waiters are passed from the first to last.

    Long and other work of one rank take turns, and long work lets less important
    work pass when its share of the slots is in use.
    """

    def __init__(self) -> None:
        self.rank: int | None = None
        self.more_important = WorkAhead()
        self.same_rank: dict[bool, WorkAhead] = {}

    def get_ahead(self, rank: int, is_long: bool) -> WorkAhead:
        """Return the work ahead of the next waiter."""
        if rank != self.rank:
            self.rank = rank
            self.same_rank = {
                kind: replace(self.more_important) for kind in (False, True)
            }
        return self.same_rank[is_long]

    def add(self, waiter: "Waiter", expected_s: float) -> None:
        """Pass one waiter.

        :param expected_s: expected duration of its run in seconds.
        """
        self.get_ahead(waiter.item.rank, waiter.is_long).add(expected_s)
        if not waiter.is_long:
            self.more_important.add(expected_s)


@dataclass(eq=False, slots=True)
class Waiter:
    """Request in the queue."""

    item: WorkItem
    is_long: bool
    arrived_at: float
    event: trio.Event = field(default_factory=trio.Event)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    result: AdmissionPermit | Failure | None = None
