"""Choice of the instance that gets a call."""

import enum
import random
from collections.abc import Callable
from dataclasses import dataclass

import trio

from catkinpost.coordination.routing.ejection import Ejector
from catkinpost.coordination.routing.region_budget import RegionBudget
from catkinpost.protocol.http import MIN_SERVER_ERROR_STATUS
from catkinpost.protocol.message import Answer, Refusal
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.protocol.policy import Mode, ServiceSection
from catkinpost.state.instance_view import Instance, InstanceState, InstanceView
from catkinpost.state.peer_stat import PeerStat, PeerStats
from catkinpost.state.policy_store import PolicyStore

__all__ = ["Place", "Router", "Target"]

DEFAULT_SECTION = ServiceSection(owner="default")
# An attempt that ends badly costs its caller about as much as waiting this long.
FAULT_WAIT_S = 1.0
# Servers that have just started run about half as fast.
COLD_SLOWNESS = 2.0
TRIAL_SLOW_RATIO = 2.0
TIE_SPREAD = 0.05
RETRY_AFTER_S = 1.0
# A server that can be reached and yet fails; one that can't be is ejected.
SERVER_FAULTS = frozenset({Reason.BACKEND_SHED, Reason.BACKEND_BAD_ANSWER})
INSTANCE_FAULTS = frozenset(
    {
        Reason.PEER_UNREACHABLE,
        Reason.PEER_CONNECTION_LOST,
        Reason.PEER_SILENT,
        Reason.BACKEND_UNREACHABLE,
        Reason.BACKEND_CONNECTION_LOST,
    }
)


class Distance(enum.Enum):
    """Nearest place that holds two instances."""

    CENTRE = "data centre"
    REGION = "region"
    WORLD = "world"


@dataclass(frozen=True, kw_only=True)
class Place:
    """Where this node runs."""

    instance: str
    data_centre: str
    region: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """Chosen instance.

    :param instance: the instance.
    :param sent_id: identity of the call among the instance's observations.
    :param trial: whether the call tries an instance that was ejected.
    :param leaves_region: whether the call is paid for.
    :param expected: typical answer time in seconds.
    """

    instance: Instance
    sent_id: int
    trial: bool
    leaves_region: bool
    expected: float


class Router:
    """Chooses instances by expected wait and learns from answers.

    :param place: where this node runs.
    :param view: list of instances.
    :param stats: observations by instance.
    :param store: policy in force.
    :param ejector: instances that are out of routing.
    :param budget: budget for calls that leave the region.
    :param reachable: tells whether an instance's node could be reached last.
    """

    def __init__(
        self,
        *,
        place: Place,
        view: InstanceView,
        stats: PeerStats,
        store: PolicyStore,
        ejector: Ejector,
        budget: RegionBudget,
        reachable: Callable[[str], bool] = lambda name: True,
    ) -> None:
        self.place = place
        self.view = view
        self.stats = stats
        self.store = store
        self.ejector = ejector
        self.budget = budget
        self.reachable = reachable
        self.next_index = 0

    def choose(
        self,
        service: str,
        call_class: str,
        *,
        exclude: set[str] | frozenset[str] = frozenset(),
        repeatable: bool,
    ) -> Target | Failure:
        """Choose an instance for one attempt and note the attempt.

        :param service: wanted service.
        :param call_class: request class.
        :param exclude: instances that have refused or failed already.
        :param repeatable: whether the call may try an ejected instance.
        """
        listed = [
            item
            for item in self.view.get_service_instances(service)
            if item.state is InstanceState.LIVE
            and not self.stats.get_or_create(item.name).load.leaving
            and item.name not in exclude
        ]
        if not listed:
            return no_instance(service)
        listed = [item for item in listed if self.reachable(item.name)] or listed
        section = self.store.policy.services.get(service, DEFAULT_SECTION)
        mode = section.routing
        if mode is Mode.OFF:
            return self.take(self.next_in_turn(listed), call_class)
        now = trio.current_time()
        trial = self.find_trial(listed) if repeatable else None
        if trial is not None and mode is Mode.ON:
            return self.take(trial, call_class, trial=True)
        usable = [item for item in listed if self.usable(item, now)] or listed
        best = self.find_best(usable, call_class, section, now)
        if mode is Mode.OBSERVE:
            return self.take(self.observe(listed, best, service), call_class)
        if isinstance(best, Failure):
            return best
        return self.take(best, call_class)

    def usable(self, item: Instance, now: float) -> bool:
        stat = self.stats.get_or_create(item.name)
        return stat.ejected_until <= now and not stat.on_trial

    def find_trial(self, listed: list[Instance]) -> Instance | None:
        for item in listed:
            stat = self.stats.get_or_create(item.name)
            if stat.on_trial and not stat.trial_in_flight:
                return item
        return None

    def find_best(
        self,
        usable: list[Instance],
        call_class: str,
        section: ServiceSection,
        now: float,
    ) -> Instance | Failure:
        """Compare two candidates of each distance by expected wait."""
        tiers: dict[Distance, list[Instance]] = {}
        for item in usable:
            tiers.setdefault(self.distance(item), []).append(item)
        waits = {
            Distance.CENTRE: 0.0,
            Distance.REGION: section.centre_wait,
            Distance.WORLD: section.region_wait,
        }
        typical = self.stats.class_times.get_typical_time(call_class)
        best: tuple[float, Instance] | None = None
        for distance, items in tiers.items():
            if distance is Distance.WORLD and not self.budget.allows():
                continue
            for item in random.sample(items, min(2, len(items))):
                stat = self.stats.get_or_create(item.name)
                wait = self.expected_wait(stat, typical, now)
                if item.cold_until > now:
                    wait *= COLD_SLOWNESS
                wait += waits[distance]
                wait *= random.uniform(1 - TIE_SPREAD, 1 + TIE_SPREAD)
                if best is None or wait < best[0]:
                    best = (wait, item)
        if best is None:
            return Failure(
                reason=Reason.REGION_LINK_BUDGET,
                detail="only other regions could serve, and their budget is used up",
                retry_after=RETRY_AFTER_S,
            )
        return best[1]

    def observe(
        self, listed: list[Instance], best: Instance | Failure, service: str
    ) -> Instance:
        """Choose in turn and log what routing would have chosen."""
        chosen = self.next_in_turn(listed)
        wanted = best.detail if isinstance(best, Failure) else best.name
        if wanted != chosen.name:
            self.ejector.decisions.add(
                "routing",
                "choose",
                service,
                reason="expected wait",
                mode=Mode.OBSERVE,
                wanted=wanted,
                chosen=chosen.name,
            )
        return chosen

    def expected_wait(self, stat: PeerStat, typical: float, now: float) -> float:
        """Estimate the answer time of an instance in seconds."""
        occupancy = stat.estimate_occupancy(now)
        queueing = max(0.0, occupancy - 1.0)
        busy = 1 + 0.5 * occupancy + queueing
        faults = stat.get_fault_share(now) * FAULT_WAIT_S
        return typical * stat.get_apparent_slowness(now) * busy + faults

    def distance(self, item: Instance) -> "Distance":
        if item.data_centre == self.place.data_centre:
            return Distance.CENTRE
        if item.region == self.place.region:
            return Distance.REGION
        return Distance.WORLD

    def next_in_turn(self, listed: list[Instance]) -> Instance:
        self.next_index += 1
        return listed[self.next_index % len(listed)]

    def take(self, item: Instance, call_class: str, *, trial: bool = False) -> Target:
        """Note that a call is about to be sent to an instance."""
        if trial:
            self.stats.get_or_create(item.name).trial_in_flight = True
        expected = self.stats.class_times.get_typical_time(call_class)
        return Target(
            instance=item,
            sent_id=self.stats.record_sent(item.name, expected, trio.current_time()),
            trial=trial,
            leaves_region=item.region != self.place.region,
            expected=expected,
        )

    def take_named(self, name: str, call_class: str) -> Target | Failure:
        """Choose one given instance, such as the holder of a key."""
        item = self.view.instances.get(name)
        if item is None:
            return Failure(
                reason=Reason.NO_INSTANCE, detail=f"{name} is not on the list"
            )
        return self.take(item, call_class)

    def note_result(
        self,
        target: Target,
        call_class: str,
        result: Answer | Refusal | Failure | None,
        *,
        seconds: float,
    ) -> None:
        """Learn from the end of an attempt.

        :param target: where it was sent.
        :param call_class: request class.
        :param result: how it ended; ``None`` when it was withdrawn.
        :param seconds: time from its sending.
        """
        name = target.instance.name
        stat = self.stats.get_or_create(name)
        now = trio.current_time()
        self.stats.record_end(name, target.sent_id)
        if isinstance(result, (Answer, Refusal)):
            stat.record_load(result.load, now)
        answered = isinstance(result, Answer)
        if answered or getattr(result, "reason", None) in SERVER_FAULTS:
            bad = not answered or result.status >= MIN_SERVER_ERROR_STATUS
            stat.record_attempt_end(fault=bad, now=now)
        if answered and not result.replayed:
            self.stats.class_times.record_time(call_class, seconds)
            stat.record_response(seconds / target.expected, now)
        elif result is None:
            # A withdrawn attempt shows that its answer takes at least this long.
            ratio = seconds / target.expected
            if ratio > stat.get_slowness(now):
                stat.record_response(ratio, now)
        elif not answered and result.reason in INSTANCE_FAULTS:
            stat.failures += 1
        if target.trial:
            slow = seconds > TRIAL_SLOW_RATIO * target.expected
            self.ejector.note_trial(name, stat, good=answered and not slow)
        if target.leaves_region and answered:
            self.budget.charge(len(result.body))


def no_instance(service: str) -> Failure:
    return Failure(
        reason=Reason.NO_INSTANCE,
        detail=f"no live instance of {service} is left to try",
        retry_after=RETRY_AFTER_S,
    )
