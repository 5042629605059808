"""Client-side throttling of requests that their target would probably refuse."""

import random

import trio

from catkinpost.protocol.policy import IMPORTANCE_RANK, Importance
from catkinpost.state.bounded import BoundedDict

__all__ = ["Throttle"]

HALF_LIFE_S = 0.5
MAX_REFUSED_SHARE = 0.9
MAX_COUNT_PAIRS = 1024
# Fewer recent refusals than this do not indicate overload.
MIN_REFUSALS = 2.0
SHEDDABLE_RANK = IMPORTANCE_RANK[Importance.SHEDDABLE]
HEADROOM_BY_RANK = {
    IMPORTANCE_RANK[Importance.CRITICAL]: 3.0,
    IMPORTANCE_RANK[Importance.NORMAL]: 1.5,
    IMPORTANCE_RANK[Importance.SHEDDABLE]: 1.5,
}


class DecayingCount:
    """Count with exponential decay, halved every :data:`HALF_LIFE_S`."""

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
    """Adaptive throttle that refuses a share of requests before they are sent.

    The probability of a refusal is the share by which requests exceed the accepted
    ones times a headroom, up to :data:`MAX_REFUSED_SHARE`, so that some requests always
    probe the target. Counts are kept for each service and rank, because targets shed
    load by rank.
    """

    def __init__(self) -> None:
        self.counts: BoundedDict[tuple[str, int], tuple] = BoundedDict(MAX_COUNT_PAIRS)

    def get_or_create_counts(self, service: str, rank: int, now: float) -> tuple:
        return self.counts.get_or_create(
            (service, rank), lambda: (DecayingCount(now), DecayingCount(now))
        )

    def record_request(self, service: str, rank: int, *, accepted: bool) -> None:
        """Count one request and whether its target accepted it."""
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
        """Draw whether to refuse one request, or work that calls the service later.

        Nothing is counted here. The caller that refuses a request counts it with
        :meth:`record_request`.
        """
        probability = self.get_refusal_probability(service, rank)
        return probability > 0 and random.random() < probability

    def has_recent_refusals(self) -> bool:
        """Return whether any service now refuses requests that are not sheddable.

        Sheddable requests are refused first, so their refusals do not show that the
        child calls of a running request are refused.
        """
        now = trio.current_time()
        return any(
            requests.get_value(now) - accepts.get_value(now) > MIN_REFUSALS
            for (_, rank), (requests, accepts) in self.counts.items()
            if rank != SHEDDABLE_RANK
        )
