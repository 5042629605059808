"""Refusal at the sender of requests that their target refuses anyway."""

import random

import trio

from catkinpost.protocol.policy import IMPORTANCE_RANK, Importance
from catkinpost.state.bounded import BoundedDict

__all__ = ["Throttle"]

HALF_LIFE_S = 0.5
MAX_REFUSED_SHARE = 0.9
MAX_COUNT_PAIRS = 1024
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

    __slots__ = ("updated_at", "value")

    def __init__(self, now: float) -> None:
        self.value = 0.0
        self.updated_at = now

    def get_value(self, now: float) -> float:
        """Return the count as of now."""
        return self.value * 0.5 ** ((now - self.updated_at) / HALF_LIFE_S)

    def increment(self, now: float) -> None:
        """Count one event."""
        self.value = self.get_value(now) + 1
        self.updated_at = now


class Throttle:
    """Share of requests to refuse before they are sent.

    A request is refused with the probability by which requests exceed the
    accepted ones times a headroom, so that some always probe the target. Counts
    are kept for each service and rank, as this is what targets shed by.
    """

    def __init__(self) -> None:
        self.counts: BoundedDict[tuple[str, int], tuple] = BoundedDict(MAX_COUNT_PAIRS)

    def get_or_create_counts(self, service: str, rank: int, now: float) -> tuple:
        return self.counts.get_or_create(
            (service, rank), lambda: (DecayingCount(now), DecayingCount(now))
        )

    def record_request(self, service: str, rank: int, *, accepted: bool) -> None:
        """Count one request and whether its target took it."""
        now = trio.current_time()
        requests, accepts = self.get_or_create_counts(service, rank, now)
        requests.increment(now)
        if accepted:
            accepts.increment(now)

    def get_refusal_probability(self, service: str, rank: int) -> float:
        """Return the share of requests to refuse now."""
        now = trio.current_time()
        entry = self.counts.get((service, rank))
        if entry is None:
            return 0.0
        requests, accepts = (count.get_value(now) for count in entry)
        excess = requests - HEADROOM_BY_RANK[rank] * accepts
        return min(MAX_REFUSED_SHARE, max(0.0, excess / (requests + 1)))

    def draw_refusal(self, service: str, rank: int) -> bool:
        """Decide about one request, or about work that needs the service later.

        Nothing is counted: whoever refuses a request for good counts it.
        """
        probability = self.get_refusal_probability(service, rank)
        return probability > 0 and random.random() < probability

    def has_recent_refusals(self) -> bool:
        """Tell whether any service refuses requests that are not sheddable now.

        Sheddable ones are refused first, and say nothing of what a running request
        needs.
        """
        now = trio.current_time()
        return any(
            requests.get_value(now) - accepts.get_value(now) > MIN_REFUSALS
            for (_, rank), (requests, accepts) in self.counts.items()
            if rank != SHEDDABLE_RANK
        )
