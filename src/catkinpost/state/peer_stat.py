"""What this node has observed of each instance that it sends calls to."""

import math
from dataclasses import dataclass, field
from itertools import islice

from catkinpost.protocol.message import Load

__all__ = ["ClassTimes", "PeerStat", "PeerStats"]

SLOWNESS_WEIGHT = 0.2
SLOWNESS_HALF_LIFE_S = 0.5
FAULT_WEIGHT = 0.1
# A server that is avoided is tried again within seconds of its recovery.
FAULT_HALF_LIFE_S = 2.0
LOAD_LIFETIME_S = 1.0
OVERDUE_DIVISOR = 2.0
# A few calls in a hundred take many times longer than others: fewer unanswered calls
# than this say less of their instance, the fewer they are.
OVERDUE_CALLS = 4
MIN_RATIO = 0.01
CLASS_WEIGHT = 0.02
DEFAULT_CLASS_TIME_S = 0.01
MAX_CLASSES = 1024


class ClassTimes:
    """Typical answer time of each class, over all instances of its service."""

    def __init__(self) -> None:
        self.log_times: dict[str, tuple[float, int]] = {}

    def record_time(self, call_class: str, seconds: float) -> None:
        """Learn from one answer."""
        log_time = math.log(max(seconds, 1e-5))
        value, count = self.log_times.get(call_class, (log_time, 0))
        weight = max(CLASS_WEIGHT, 1 / (count + 1))
        if len(self.log_times) >= MAX_CLASSES and count == 0:
            self.log_times.clear()
        self.log_times[call_class] = (value + weight * (log_time - value), count + 1)

    def get_typical_time(self, call_class: str) -> float:
        """Return the typical answer time in seconds."""
        entry = self.log_times.get(call_class)
        return DEFAULT_CLASS_TIME_S if entry is None else math.exp(entry[0])


@dataclass(eq=False)
class PeerStat:
    """Observations of one instance.

    :param slowness: geometric mean of answer times as a multiple of what is typical,
        which a single long request does not decide.
    :param load: load that the instance has told last.
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
        """Take over the load that came with an answer."""
        self.load = load
        self.load_at = now
        self.sent_since_load = 0

    def describe_load(self, now: float) -> dict[str, float | int | None]:
        """Return the load that was told last, and its age, for the log."""
        known = self.load_at > -math.inf
        return {
            "running": self.load.in_flight,
            "limit": self.load.limit,
            "queued": self.load.queued,
            "load_age": round(now - self.load_at, 3) if known else None,
        }

    def record_response(self, ratio: float, now: float) -> None:
        """Learn from one answer.

        :param ratio: answer time as a multiple of what is typical of its class.
        :param now: time on the node's clock.
        """
        current = math.log(self.get_slowness(now))
        change = math.log(max(ratio, MIN_RATIO)) - current
        self.slowness = math.exp(current + SLOWNESS_WEIGHT * change)
        self.updated_at = now
        self.samples += 1
        self.failures = 0

    def record_attempt_end(self, *, fault: bool, now: float) -> None:
        """Learn whether an attempt ended badly for reasons of the instance's own."""
        share = self.get_fault_share(now)
        self.fault_share = share + FAULT_WEIGHT * (fault - share)
        self.fault_updated_at = now

    def get_fault_share(self, now: float) -> float:
        """Return the share of attempts that end badly, which old ones lose."""
        return self.fault_share * 0.5 ** (
            (now - self.fault_updated_at) / FAULT_HALF_LIFE_S
        )

    def get_slowness(self, now: float) -> float:
        """Return the slowness, which old observations lose."""
        age = now - self.updated_at
        return self.slowness ** (0.5 ** (age / SLOWNESS_HALF_LIFE_S))

    def get_lateness(self, now: float) -> float:
        """Return how late the middle one of the unanswered calls is.

        A call that takes many times longer than others is nearly always among
        many; half of them are late only where the instance is.

        :return: its age as a multiple of what is typical of its class, reduced so
            that a call of ordinary length does not count.
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
        """Return the slowness, with unanswered calls taken into account."""
        return max(self.get_slowness(now), self.get_lateness(now))

    def estimate_occupancy(self, now: float) -> float:
        """Estimate the calls at the instance for each slot it has."""
        own_calls = len(self.outstanding)
        if now - self.load_at > LOAD_LIFETIME_S:
            return own_calls / max(1, self.load.limit)
        reported_calls = self.load.in_flight + self.load.queued + self.sent_since_load
        return max(own_calls, reported_calls) / max(1, self.load.limit)


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
        """Note a call that was sent.

        :param instance: where it was sent.
        :param expected: typical answer time in seconds.
        :param now: time on the node's clock.
        :return: identity of the call for :meth:`ended`.
        """
        self.last_sent_id += 1
        stat = self.get_or_create(instance)
        stat.outstanding[self.last_sent_id] = (now, expected)
        stat.sent_since_load += 1
        return self.last_sent_id

    def record_end(self, instance: str, sent_id: int) -> None:
        """Forget a call that was sent."""
        self.get_or_create(instance).outstanding.pop(sent_id, None)

    def remove(self, instance: str) -> None:
        """Drop the observations of an instance that is gone."""
        self.stats.pop(instance, None)
