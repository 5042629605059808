"""Outlier ejection: ejection of slow or failing instances, trials and return."""

import statistics

import trio

from catkinpost.coordination.tick import sleep_until_next_tick
from catkinpost.protocol.policy import Mode, ServiceSection
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.instance_view import InstanceView
from catkinpost.state.peer_stat import PeerStat, PeerStats
from catkinpost.state.policy_store import PolicyStore

__all__ = ["Ejector"]

CHECK_INTERVAL_S = 0.5
OUTLIER_SLOWNESS_RATIO = 3.0
MIN_SAMPLES = 5
FAILURES_TO_EJECT = 3
SLOW_CHECKS_TO_EJECT = 3
FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 30.0
SUCCESSFUL_TRIALS_TO_RETURN = 3


class Ejector:
    """Ejector that removes slow or failing instances from routing.

    :param view: list of instances.
    :param stats: observations by instance.
    :param store: policy in force.
    :param decisions: log of automatic decisions.
    :ivar names_on_trial: instances that get trial calls.
    """

    def __init__(
        self,
        *,
        view: InstanceView,
        stats: PeerStats,
        store: PolicyStore,
        decisions: DecisionLog,
    ) -> None:
        self.view = view
        self.stats = stats
        self.store = store
        self.decisions = decisions
        self.names_on_trial: set[str] = set()

    async def run(self) -> None:
        """Check the services that this node calls, until cancelled."""
        while True:
            await sleep_until_next_tick(CHECK_INTERVAL_S)
            self.forget_removed_instances()
            for service in self.get_called_services():
                self.check_service(service)

    def forget_removed_instances(self) -> None:
        """End the trials of instances whose observations were removed."""
        stats = self.stats.stats
        self.names_on_trial = {
            name
            for name in self.names_on_trial
            if name in stats and stats[name].on_trial
        }

    def get_called_services(self) -> set[str]:
        """Return the services with observations of calls from this node."""
        instances = self.view.instances
        return {
            instances[name].service
            for name, stat in self.stats.stats.items()
            if name in instances and (stat.samples or stat.failures or stat.outstanding)
        }

    def check_service(self, service: str) -> None:
        """Start due trials of one service and eject its outliers."""
        section = self.store.policy.services.get(service)
        if section is None or section.ejection is Mode.OFF or section.freeze:
            return
        now = trio.current_time()
        names = [item.name for item in self.view.get_service_instances(service)]
        stats = {name: self.stats.get_or_create(name) for name in names}
        for name, stat in stats.items():
            self.start_due_trial(name, stat, now)
        slowness = {
            name: stat.get_apparent_slowness(now) for name, stat in stats.items()
        }
        if len(names) < 2:
            return
        for name, stat in stats.items():
            others = [value for other, value in slowness.items() if other != name]
            median = statistics.median(others)
            if self.is_in_routing(stat, now) and self.is_outlier(
                stat, slowness[name], median
            ):
                self.eject(name, stat, section, stats, slowness[name], median)

    def is_in_routing(self, stat: PeerStat, now: float) -> bool:
        return stat.ejected_until <= now and not stat.on_trial

    def is_outlier(self, stat: PeerStat, slowness: float, median: float) -> bool:
        if stat.failures >= FAILURES_TO_EJECT:
            return True
        has_enough_samples = stat.samples + len(stat.outstanding) >= MIN_SAMPLES
        is_slow = has_enough_samples and slowness > OUTLIER_SLOWNESS_RATIO * max(
            1.0, median
        )
        stat.slow_checks = stat.slow_checks + 1 if is_slow else 0
        return stat.slow_checks >= SLOW_CHECKS_TO_EJECT

    def eject(
        self,
        name: str,
        stat: PeerStat,
        section: ServiceSection,
        stats: dict[str, PeerStat],
        slowness: float,
        median: float,
    ) -> None:
        now = trio.current_time()
        ejected_count = sum(
            not self.is_in_routing(item, now) for item in stats.values()
        )
        max_ejected = int(len(stats) * section.ejection_share)
        if ejected_count + 1 > max_ejected:
            return
        seconds = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**stat.ejections)
        self.decisions.add(
            "ejection",
            "eject",
            name,
            reason="it is slower than its service's other instances, or failing",
            mode=section.ejection,
            slowness=round(slowness, 2),
            median=round(median, 2),
            failures=stat.failures,
            seconds=seconds,
        )
        if section.ejection is not Mode.ON:
            return
        stat.ejected_until = now + seconds
        stat.ejections += 1
        stat.failures = 0
        stat.slow_checks = 0

    def start_due_trial(self, name: str, stat: PeerStat, now: float) -> None:
        """Put an instance on trial once its ejection time has passed."""
        if stat.ejections and now > stat.ejected_until:
            stat.on_trial = True
            self.names_on_trial.add(name)

    def record_trial(self, name: str, stat: PeerStat, *, succeeded: bool) -> None:
        """Record the result of one trial call.

        :param name: instance on trial.
        :param stat: observations of the instance.
        :param succeeded: whether a response came at the usual speed.
        """
        stat.trial_in_flight = False
        now = trio.current_time()
        if not succeeded:
            seconds = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**stat.ejections)
            self.end_trial(name, stat)
            stat.ejections += 1
            stat.ejected_until = now + seconds
            self.decisions.add(
                "ejection", "keep out", name, reason="a trial failed", seconds=seconds
            )
            return
        stat.successful_trials += 1
        if stat.successful_trials >= SUCCESSFUL_TRIALS_TO_RETURN:
            self.end_trial(name, stat)
            stat.ejections = 0
            stat.slowness = 1.0
            stat.updated_at = now
            self.decisions.add("ejection", "return", name, reason="trials succeeded")

    def end_trial(self, name: str, stat: PeerStat) -> None:
        stat.on_trial = False
        stat.successful_trials = 0
        self.names_on_trial.discard(name)
