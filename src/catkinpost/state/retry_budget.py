"""Retry budget: bound on repeated requests to a service, without coordination."""

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field

from catkinpost.protocol.settings import BoundsSection
from catkinpost.state.bounded import BoundedDict

__all__ = ["RetryBound", "RetryBudget", "build_retry_bound"]

MAX_SERVICES = 1024


@dataclass(frozen=True, kw_only=True)
class RetryBound:
    """Bound on the repeated requests to one service, summed over all nodes.

    :param ratio: repeats allowed for each request.
    :param window_s: seconds over which requests and repeats are counted.
    :param extra: repeats allowed in addition, in each window.
    """

    ratio: float = 0.1
    window_s: float = 10.0
    extra: float = 10.0


def build_retry_bound(bounds: BoundsSection) -> RetryBound | None:
    """Build the bound from the settings, ``None`` when they contain none."""
    if bounds.repeat_ratio is None:
        return None
    return RetryBound(
        ratio=bounds.repeat_ratio,
        window_s=bounds.repeat_window,
        extra=bounds.repeat_extra,
    )


@dataclass(slots=True)
class ServiceWindow:
    """Times of the requests and repeats of one service in the last window.

    :param holders: holders of the repeats that are reserved.
    """

    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)
    holders: set[Hashable] = field(default_factory=set)


class RetryBudget:
    """This node's share of the bound.

    A node may repeat ``ratio`` of the requests that it has itself recorded within a
    window, and an equal part of ``extra``. The shares of all nodes add up to the
    bound even under uneven load; a node that has just started has recorded no
    requests and adds no more than its part of ``extra``.

    :param bound: bound for each service over all nodes, ``None`` for no bound.
    """

    def __init__(self, bound: RetryBound | None = None) -> None:
        self.bound = bound
        self.node_count = 1
        self.windows: BoundedDict[str, ServiceWindow] = BoundedDict(MAX_SERVICES)

    def record_request(self, service: str, now: float) -> None:
        """Record one request to a service."""
        if self.bound is not None:
            self.get_window(service, now).requests.append(now)

    def reserve_repeat(self, service: str, holder: Hashable, now: float) -> bool:
        """Reserve one repeat if the bound allows it; a holder has one at most.

        :param service: service to which the repeat would be sent.
        :param holder: holder, which acquires or releases the repeat later.
        :param now: time on the node's clock.
        """
        self.release_repeat(service, holder)
        if not self.has_repeat(service, now):
            return False
        if self.bound is not None:
            self.get_window(service, now).holders.add(holder)
        return True

    def release_repeat(self, service: str, holder: Hashable) -> None:
        """Release the repeat that is reserved for a holder, if there is one."""
        window = self.windows.get(service)
        if window is not None:
            window.holders.discard(holder)

    def acquire_repeat(
        self, service: str, now: float, holder: Hashable | None = None
    ) -> bool:
        """Acquire one repeat if the bound allows it.

        A reserved repeat is checked again, as requests may have left the window since.

        :param service: service to which the repeat would be sent.
        :param now: time on the node's clock.
        :param holder: holder whose reserved repeat is acquired, if there is one.
        """
        self.release_repeat(service, holder)
        if not self.has_repeat(service, now):
            return False
        if self.bound is not None:
            self.get_window(service, now).repeats.append(now)
        return True

    def has_repeat(self, service: str, now: float) -> bool:
        """Return whether the bound allows another repeat, without acquiring it."""
        if self.bound is None:
            return True
        window = self.get_window(service, now)
        allowed = self.bound.ratio * len(window.requests)
        allowed += self.bound.extra / max(1, self.node_count)
        return len(window.repeats) + len(window.holders) + 1 <= allowed

    def get_window(self, service: str, now: float) -> ServiceWindow:
        window = self.windows.get_or_create(service, ServiceWindow)
        for times in (window.requests, window.repeats):
            while times and now - times[0] > self.bound.window_s:
                times.popleft()
        return window
