"""Refusal at the sender of requests that their target refuses anyway."""

import random

import trio

from catkinpost.protocol.policy import IMPORTANCE_RANK, Importance
from catkinpost.state.bounded import BoundedDict

__all__ = ["Throttle"]

HALF_LIFE_S = 0.5
MAX_REFUSED_SHARE = 0.9
MAX_ENTRIES = 1024
# Fewer recent refusals than this are no sign of overload.
MIN_REFUSALS = 2.0
SHEDDABLE_RANK = IMPORTANCE_RANK[Importance.SHEDDABLE]
HEADROOM_BY_RANK = {
    IMPORTANCE_RANK[Importance.CRITICAL]: 3.0,
    IMPORTANCE_RANK[Importance.NORMAL]: 1.5,
    IMPORTANCE_RANK[Importance.SHEDDABLE]: 1.5,
}


class DecayingCount:
    """Count whose weight halves every :data:`HALF_LIFE_S`."""

    __slots__ = ("at", "value")

    def __init__(self, now: float) -> None:
        self.value = 0.0
        self.at = now

    def decayed(self, now: float) -> float:
        """Return the count as of now."""
        return self.value * 0.5 ** ((now - self.at) / HALF_LIFE_S)

    def add(self, now: float) -> None:
        """Count one event."""
        self.value = self.decayed(now) + 1
        self.at = now


class Throttle:
    """Share of requests to refuse before they are sent.

    A request is refused with the probability by which requests exceed the
    accepted ones times a headroom, so that some always probe the target. Counts
    are kept for each service and rank, as this is what targets shed by.
    """

    def __init__(self) -> None:
        self.entries: BoundedDict[tuple[str, int], tuple] = BoundedDict(MAX_ENTRIES)

    def find(self, service: str, rank: int, now: float) -> tuple:
        return self.entries.get_or_create(
            (service, rank), lambda: (DecayingCount(now), DecayingCount(now))
        )

    def add(self, service: str, rank: int, *, accepted: bool) -> None:
        """Count one request and whether its target took it."""
        now = trio.current_time()
        requests, accepts = self.find(service, rank, now)
        requests.add(now)
        if accepted:
            accepts.add(now)

    def refusal_probability(self, service: str, rank: int) -> float:
        """Return the share of requests to refuse now."""
        now = trio.current_time()
        entry = self.entries.get((service, rank))
        if entry is None:
            return 0.0
        requests, accepts = (count.decayed(now) for count in entry)
        excess = requests - HEADROOM_BY_RANK[rank] * accepts
        return min(MAX_REFUSED_SHARE, max(0.0, excess / (requests + 1)))

    def would_refuse(self, service: str, rank: int) -> bool:
        """Decide about one request, or about work that needs the service later.

        Nothing is counted: whoever refuses a request for good counts it.
        """
        probability = self.refusal_probability(service, rank)
        return probability > 0 and random.random() < probability

    def sees_refusals(self) -> bool:
        """Tell whether any service refuses requests that are not sheddable now.

        Sheddable ones are refused first, and say nothing of what a running request
        needs.
        """
        now = trio.current_time()
        return any(
            requests.decayed(now) - accepts.decayed(now) > MIN_REFUSALS
            for (_, rank), (requests, accepts) in self.entries.items()
            if rank != SHEDDABLE_RANK
        )
