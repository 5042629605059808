"""Requests that arrive at, wait for, or run at one backend server."""

import math
from dataclasses import dataclass, field

import trio

from catkinpost.protocol.outcome import Failure

__all__ = ["AdmissionPermit", "RunWindow", "Waiter", "WorkItem"]


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
    :param deadline: time after which the response is useless.
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


@dataclass(eq=False, slots=True)
class Waiter:
    """Request in the queue."""

    item: WorkItem
    is_long: bool
    arrived_at: float
    event: trio.Event = field(default_factory=trio.Event)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    result: AdmissionPermit | Failure | None = None
