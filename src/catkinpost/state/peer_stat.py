"""Observations of each instance to which this node sends calls."""

import math
from dataclasses import dataclass, field
from itertools import islice

from catkinpost.protocol.message import Load
from catkinpost.state.server_notice import compute_pace

__all__ = ["ClassTimes", "PeerStat", "PeerStats"]

SLOWNESS_WEIGHT = 0.2
SLOWNESS_HALF_LIFE_S = 0.5
FAULT_WEIGHT = 0.1
# Gives a server that is avoided new calls within seconds of its recovery.
FAULT_HALF_LIFE_S = 2.0
LOAD_LIFETIME_S = 1.0
OVERDUE_DIVISOR = 2.0
# A few calls in a hundred take many times longer than others. With fewer unanswered
# calls than this, their lateness is therefore weighted down, the more the fewer.
OVERDUE_CALLS = 4
MIN_RATIO = 0.01
CLASS_WEIGHT = 0.02
DEFAULT_CLASS_TIME_S = 0.01
MAX_CLASSES = 1024


class ClassTimes:
    """Typical response time of each class, over all instances of its service."""

    def __init__(self) -> None:
        self.log_times: dict[str, tuple[float, int]] = {}

    def record_time(self, call_class: str, seconds: float) -> None:
        """Record the time of one response."""
        log_time = math.log(max(seconds, 1e-5))
        value, count = self.log_times.get(call_class, (log_time, 0))
        weight = max(CLASS_WEIGHT, 1 / (count + 1))
        if len(self.log_times) >= MAX_CLASSES and count == 0:
            self.log_times.clear()
        self.log_times[call_class] = (value + weight * (log_time - value), count + 1)

    def get_typical_time(self, call_class: str) -> float:
        """Return the typical response time in seconds."""
        entry = self.log_times.get(call_class)
        return DEFAULT_CLASS_TIME_S if entry is None else math.exp(entry[0])


@dataclass(eq=False)
class PeerStat:
    """Observations of one instance.

    :param slowness: geometric mean of response times as multiples of the typical
        time of their class, which a single long request hardly changes.
    :param load: load that the instance reported last.
    """

    slowness: float = 1.0
    samples: int = 0
    updated_at: float = 0.0
    load: Load = field(default_factory=Load)
    load_at: float = -math.inf
    sent_since_load: int = 0
    outstanding: dict[int, tuple[float, float]] = field(default_factory=dict)
    failures: int = 0
    slow_checks: int = 0
    ejected_until: float = -math.inf
    ejections: int = 0
    on_trial: bool = False
    trial_in_flight: bool = False
    successful_trials: int = 0
    fault_share: float = 0.0
    fault_updated_at: float = -math.inf

    def record_load(self, load: Load, now: float) -> None:
        """Record the load from a message of the instance."""
        self.load = load
        self.load_at = now
        self.sent_since_load = 0

    def describe_load(self, now: float) -> dict[str, float | int | None]:
        """Return the load that was reported last, and its age, as log fields."""
        has_load = self.load_at > -math.inf
        return {
            "running": self.load.in_flight,
            "limit": self.load.limit,
            "queued": self.load.queued,
            "load_age": round(now - self.load_at, 3) if has_load else None,
        }

    def record_response(self, ratio: float, now: float) -> None:
        """Record the time of one response.

        :param ratio: response time as a multiple of the typical time of its class.
        :param now: time on the node's clock.
        """
        current = math.log(self.get_slowness(now))
        change = math.log(max(ratio, MIN_RATIO)) - current
        self.slowness = math.exp(current + SLOWNESS_WEIGHT * change)
        self.updated_at = now
        self.samples += 1
        self.failures = 0

    def record_attempt_end(self, *, fault: bool, now: float) -> None:
        """Record whether an attempt failed through a fault of the instance."""
        share = self.get_fault_share(now)
        self.fault_share = share + FAULT_WEIGHT * (fault - share)
        self.fault_updated_at = now

    def get_fault_share(self, now: float) -> float:
        """Return the share of failed attempts, which decays with time."""
        return self.fault_share * 0.5 ** (
            (now - self.fault_updated_at) / FAULT_HALF_LIFE_S
        )

    def get_slowness(self, now: float) -> float:
        """Return the slowness, which decays towards 1 with time."""
        age = now - self.updated_at
        return self.slowness ** (0.5 ** (age / SLOWNESS_HALF_LIFE_S))

    def get_lateness(self, now: float) -> float:
        """Return the lateness of the median unanswered call.

        Some calls take many times longer than others, but half of the unanswered
        calls are late only at a slow instance.

        :return: the age of the call as a multiple of the typical time of its class,
            reduced so that a call of ordinary length does not count.
        """
        count = len(self.outstanding)
        for started, expected in islice(self.outstanding.values(), count // 2, None):
            lateness = (now - started) / expected / OVERDUE_DIVISOR
            return (
                lateness ** min(1.0, count / OVERDUE_CALLS)
                if lateness > 1
                else lateness
            )
        return 0.0

    def get_apparent_slowness(self, now: float) -> float:
        """Return the slowness or the lateness of unanswered calls if that is larger."""
        return max(self.get_slowness(now), self.get_lateness(now))

    def estimate_occupancy(self, now: float) -> float:
        """Estimate the calls at the instance for each of its slots."""
        own_calls = len(self.outstanding)
        if now - self.load_at > LOAD_LIFETIME_S:
            return own_calls / max(1, self.load.limit)
        reported_calls = self.load.in_flight + self.load.queued + self.sent_since_load
        return max(own_calls, reported_calls) / max(1, self.load.limit)

    def estimate_rate_wait(self, now: float) -> float:
        """Estimate the seconds for which a call would wait for the rate limit."""
        notice = self.load.notice
        if notice is None or notice.rate_limit is None:
            return 0.0
        own_wait_s = self.sent_since_load / compute_pace(notice.rate_limit)
        reported_wait_s = self.load.rate_wait_us / 1e6
        return max(0.0, reported_wait_s + own_wait_s - (now - self.load_at))


class PeerStats:
    """Observations by instance."""

    def __init__(self) -> None:
        self.stats: dict[str, PeerStat] = {}
        self.class_times = ClassTimes()
        self.last_sent_id = 0

    def get_or_create(self, instance: str) -> PeerStat:
        """Return the observations of one instance."""
        stat = self.stats.get(instance)
        if stat is None:
            stat = self.stats[instance] = PeerStat()
        return stat

    def record_sent(self, instance: str, expected: float, now: float) -> int:
        """Record a call that was sent.

        :param instance: instance to which it was sent.
        :param expected: typical response time in seconds.
        :param now: time on the node's clock.
        :return: id of the call for :meth:`record_end`.
        """
        self.last_sent_id += 1
        stat = self.get_or_create(instance)
        stat.outstanding[self.last_sent_id] = (now, expected)
        stat.sent_since_load += 1
        return self.last_sent_id

    def record_end(self, instance: str, sent_id: int) -> None:
        """Record the end of a call that was sent."""
        self.get_or_create(instance).outstanding.pop(sent_id, None)

    def remove(self, instance: str) -> None:
        """Remove the observations of an instance that has ended."""
        self.stats.pop(instance, None)
