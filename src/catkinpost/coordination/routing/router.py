"""Choice of the instance for each attempt."""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import trio

from catkinpost.coordination.routing.ejection import Ejector
from catkinpost.coordination.routing.region_budget import RegionBudget
from catkinpost.coordination.routing.sampler import (
    COMPARED_INSTANCES,
    Distance,
    InstanceSampler,
    NodeLocation,
)
from catkinpost.protocol.http import MIN_SERVER_ERROR_STATUS
from catkinpost.protocol.message import Answer, Refusal
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.protocol.policy import Mode, ServiceSection
from catkinpost.state.instance_view import Instance, InstanceView
from catkinpost.state.peer_stat import PeerStat, PeerStats
from catkinpost.state.policy_store import PolicyStore
from catkinpost.state.server_notice import ServerNotices

__all__ = ["NodeLocation", "Router", "Target"]

DEFAULT_SERVICE_SECTION = ServiceSection(owner="default")
# A failed attempt costs its caller about as much as this wait.
FAULT_WAIT_S = 1.0
# Servers that have just started take about twice as long.
COLD_SLOWNESS = 2.0
TRIAL_SLOW_RATIO = 2.0
WAIT_JITTER = 0.05
RETRY_AFTER_S = 1.0
# Failures of a reachable server; a server that cannot be reached is ejected.
SERVER_FAULT_REASONS = frozenset({Reason.BACKEND_SHED, Reason.BACKEND_BAD_ANSWER})
CONNECTION_FAULT_REASONS = frozenset(
    {
        Reason.PEER_UNREACHABLE,
        Reason.PEER_CONNECTION_LOST,
        Reason.PEER_SILENT,
        Reason.BACKEND_UNREACHABLE,
        Reason.BACKEND_CONNECTION_LOST,
    }
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """Instance chosen for one attempt.

    :param instance: chosen instance.
    :param outstanding_id: id of the attempt among the instance's unanswered ones.
    :param is_trial: whether the attempt is a half-open probe of an ejected instance.
    :param leaves_region: whether the attempt is charged to the cross-region budget.
    :param expected_s: typical response time in seconds.
    """

    instance: Instance
    outstanding_id: int
    is_trial: bool
    leaves_region: bool
    expected_s: float


class Router:
    """Router that chooses instances by expected wait and records the results.

    :param location: location of this node.
    :param view: list of instances.
    :param stats: observations by instance.
    :param notices: latest notices of backend servers.
    :param store: policy in force.
    :param ejector: records the results of trials.
    :param budget: budget for cross-region calls.
    :param is_reachable: returns whether the last contact with an instance's node
        succeeded.
    """

    def __init__(
        self,
        *,
        location: NodeLocation,
        view: InstanceView,
        stats: PeerStats,
        notices: ServerNotices,
        store: PolicyStore,
        ejector: Ejector,
        budget: RegionBudget,
        is_reachable: Callable[[str], bool] = lambda name: True,
    ) -> None:
        self.location = location
        self.view = view
        self.sampler = InstanceSampler(location, view)
        self.stats = stats
        self.notices = notices
        self.store = store
        self.ejector = ejector
        self.budget = budget
        self.is_reachable = is_reachable
        self.next_index = 0

    def choose_instance(
        self,
        service: str,
        call_class: str,
        *,
        exclude: set[str] | frozenset[str] = frozenset(),
        repeatable: bool,
    ) -> Target | Failure:
        """Choose an instance for one attempt and record the attempt.

        :param service: requested service.
        :param call_class: request class.
        :param exclude: instances that have refused or failed already.
        :param repeatable: whether the call may try an ejected instance.
        """
        section = self.store.policy.services.get(service, DEFAULT_SERVICE_SECTION)
        has_trials = repeatable and bool(self.ejector.names_on_trial)
        if section.routing is Mode.ON and not has_trials:
            now = trio.current_time()
            sampled = self.sampler.sample(
                service, lambda item: self.is_usable(item, exclude, now)
            )
            if sampled:
                best = self.choose_by_expected_wait(sampled, call_class, section, now)
                if isinstance(best, Failure):
                    return best
                return self.record_attempt(best, call_class)
        return self.choose_among_all(
            service, call_class, section, exclude=exclude, repeatable=repeatable
        )

    def choose_among_all(
        self,
        service: str,
        call_class: str,
        section: ServiceSection,
        *,
        exclude: set[str] | frozenset[str],
        repeatable: bool,
    ) -> Target | Failure:
        """Choose with regard to trials, modes, and instances that are not usable."""
        candidates = list(self.find_candidates(service, exclude))
        if not candidates:
            return build_no_instance_failure(service)
        candidates = [
            item for item in candidates if self.is_reachable(item.name)
        ] or candidates
        mode = section.routing
        if mode is Mode.OFF:
            return self.record_attempt(self.choose_in_turn(candidates), call_class)
        now = trio.current_time()
        trial = self.find_instance_on_trial(candidates) if repeatable else None
        if trial is not None and mode is Mode.ON:
            return self.record_attempt(trial, call_class, is_trial=True)
        usable = [
            item for item in candidates if self.is_in_routing(item, now)
        ] or candidates
        sampled = {
            distance: random.sample(items, min(COMPARED_INSTANCES, len(items)))
            for distance, items in self.sampler.group_by_distance(usable).items()
        }
        best = self.choose_by_expected_wait(sampled, call_class, section, now)
        if mode is Mode.OBSERVE:
            return self.record_attempt(
                self.choose_in_observe_mode(candidates, best, service), call_class
            )
        if isinstance(best, Failure):
            return best
        return self.record_attempt(best, call_class)

    def find_candidates(
        self, service: str, exclude: set[str] | frozenset[str]
    ) -> Iterator[Instance]:
        """Yield the instances of a service that take new work."""
        for item in self.view.get_service_instances(service):
            if self.is_candidate(item, exclude):
                yield item

    def is_candidate(self, item: Instance, exclude: set[str] | frozenset[str]) -> bool:
        """Return whether an instance takes new work."""
        return (
            item.name not in exclude
            and not self.notices.is_leaving(item)
            and not self.stats.get_or_create(item.name).load.leaving
        )

    def is_usable(
        self, item: Instance, exclude: set[str] | frozenset[str], now: float
    ) -> bool:
        """Return whether an instance takes new work, can be reached and is not out."""
        return (
            self.is_candidate(item, exclude)
            and self.is_reachable(item.name)
            and self.is_in_routing(item, now)
        )

    def has_instance(self, service: str, *, exclude: set[str]) -> bool:
        """Return whether another instance takes new work and can be reached."""
        return any(
            self.is_reachable(item.name)
            for item in self.find_candidates(service, exclude)
        )

    def is_in_routing(self, item: Instance, now: float) -> bool:
        stat = self.stats.get_or_create(item.name)
        return stat.ejected_until <= now and not stat.on_trial

    def find_instance_on_trial(self, candidates: list[Instance]) -> Instance | None:
        for item in candidates:
            stat = self.stats.get_or_create(item.name)
            if stat.on_trial and not stat.trial_in_flight:
                return item
        return None

    def choose_by_expected_wait(
        self,
        sampled: dict[Distance, list[Instance]],
        call_class: str,
        section: ServiceSection,
        now: float,
    ) -> Instance | Failure:
        """Choose the instance with the shortest expected wait.

        :param sampled: instances to compare, by distance.
        """
        extra_waits = {
            Distance.CENTRE: 0.0,
            Distance.REGION: section.centre_wait,
            Distance.WORLD: section.region_wait,
        }
        typical = self.stats.class_times.get_typical_time(call_class)
        best: tuple[float, Instance] | None = None
        for distance, items in sampled.items():
            if distance is Distance.WORLD and not self.budget.can_leave_region():
                continue
            for item in items:
                stat = self.stats.get_or_create(item.name)
                wait = self.estimate_wait(stat, typical, now)
                if item.cold_until > now:
                    wait *= COLD_SLOWNESS
                wait += extra_waits[distance] + stat.estimate_rate_wait(now)
                wait *= random.uniform(1 - WAIT_JITTER, 1 + WAIT_JITTER)
                if best is None or wait < best[0]:
                    best = (wait, item)
        if best is None:
            return Failure(
                reason=Reason.REGION_LINK_BUDGET,
                detail="only other regions could serve, and their budget is used up",
                retry_after=RETRY_AFTER_S,
            )
        return best[1]

    def choose_in_observe_mode(
        self, candidates: list[Instance], best: Instance | Failure, service: str
    ) -> Instance:
        """Choose in turn, and log the choice by expected wait if it differs."""
        chosen = self.choose_in_turn(candidates)
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

    def estimate_wait(self, stat: PeerStat, typical: float, now: float) -> float:
        """Estimate the response time of an instance in seconds."""
        occupancy = stat.estimate_occupancy(now)
        queueing = max(0.0, occupancy - 1.0)
        busy = 1 + 0.5 * occupancy + queueing
        faults = stat.get_fault_share(now) * FAULT_WAIT_S
        return typical * stat.get_apparent_slowness(now) * busy + faults

    def choose_in_turn(self, candidates: list[Instance]) -> Instance:
        self.next_index += 1
        return candidates[self.next_index % len(candidates)]

    def record_attempt(
        self, item: Instance, call_class: str, *, is_trial: bool = False
    ) -> Target:
        """Record that an attempt is about to be sent to an instance."""
        if is_trial:
            self.stats.get_or_create(item.name).trial_in_flight = True
        expected_s = self.stats.class_times.get_typical_time(call_class)
        return Target(
            instance=item,
            outstanding_id=self.stats.record_sent(
                item.name, expected_s, trio.current_time()
            ),
            is_trial=is_trial,
            leaves_region=item.region != self.location.region,
            expected_s=expected_s,
        )

    def choose_named_instance(self, name: str, call_class: str) -> Target | Failure:
        """Choose the named instance, such as the holder of a key."""
        item = self.view.instances.get(name)
        if item is None:
            return Failure(
                reason=Reason.NO_INSTANCE, detail=f"{name} is not on the list"
            )
        return self.record_attempt(item, call_class)

    def record_result(
        self,
        target: Target,
        call_class: str,
        result: Answer | Refusal | Failure | None,
        *,
        duration_s: float,
    ) -> None:
        """Record the end of an attempt.

        :param target: instance that the attempt was sent to.
        :param call_class: request class.
        :param result: result of the attempt, ``None`` when it was withdrawn.
        :param duration_s: seconds from sending to the end.
        """
        if self.is_replaced(target.instance):
            self.record_response_time(target, call_class, result, duration_s)
            return
        name = target.instance.name
        stat = self.stats.get_or_create(name)
        now = trio.current_time()
        self.stats.record_end(name, target.outstanding_id)
        if isinstance(result, (Answer, Refusal)):
            stat.record_load(result.load, now)
        has_response = isinstance(result, Answer)
        if has_response or getattr(result, "reason", None) in SERVER_FAULT_REASONS:
            is_fault = not has_response or result.status >= MIN_SERVER_ERROR_STATUS
            stat.record_attempt_end(fault=is_fault, now=now)
        self.record_response_time(target, call_class, result, duration_s)
        if has_response and not result.replayed:
            stat.record_response(duration_s / target.expected_s, now)
        elif result is None:
            # The response of a withdrawn attempt would have taken at least this long.
            ratio = duration_s / target.expected_s
            if ratio > stat.get_slowness(now):
                stat.record_response(ratio, now)
        elif not has_response and result.reason in CONNECTION_FAULT_REASONS:
            stat.failures += 1
        if target.is_trial:
            is_slow = duration_s > TRIAL_SLOW_RATIO * target.expected_s
            self.ejector.record_trial(
                name, stat, succeeded=has_response and not is_slow
            )

    def is_replaced(self, instance: Instance) -> bool:
        """Return whether an instance has left the list or has another incarnation."""
        listed = self.view.instances.get(instance.name)
        return listed is None or listed.incarnation != instance.incarnation

    def record_response_time(
        self,
        target: Target,
        call_class: str,
        result: Answer | Refusal | Failure | None,
        duration_s: float,
    ) -> None:
        """Record what a response tells about its class and its way."""
        if not isinstance(result, Answer):
            return
        if not result.replayed:
            self.stats.class_times.record_time(call_class, duration_s)
        if target.leaves_region:
            self.budget.charge(len(result.body))


def build_no_instance_failure(service: str) -> Failure:
    return Failure(
        reason=Reason.NO_INSTANCE,
        detail=f"no live instance of {service} is left to try",
        retry_after=RETRY_AFTER_S,
    )
