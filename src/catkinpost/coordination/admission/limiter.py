"""Concurrency limit that adapts to service times."""

from catkinpost.protocol.policy import Mode, ServiceSection
from catkinpost.state.bounded import BoundedDict
from catkinpost.state.decision_log import DecisionLog

__all__ = ["ConcurrencyLimiter"]

WINDOW_S = 0.5
MIN_WINDOW_SAMPLES = 10
SLOW_RATIO = 2.0
DECREASE_FACTOR = 0.8
INCREASE_SHARE = 0.1
INITIAL_LIMIT_SHARE = 0.25
MIN_DECREASE_EFFECT_SHARE = 0.5
DECREASE_PAUSE_WINDOWS = 10
BASELINE_WEIGHT = 0.05
MAX_GROUPS = 512


class ConcurrencyLimiter:
    """Adaptive limit on the requests in flight at one backend server.

    The limit decreases when service times exceed their baseline. It is restored when
    the decrease did not shorten them: a backend server that is slow at every
    concurrency gains nothing from a low limit and only loses throughput.

    :param section: section of the service; replaced when the policy changes.
    :param decisions: log for every change of the limit.
    """

    def __init__(self, section: ServiceSection, decisions: DecisionLog) -> None:
        self.section = section
        self.decisions = decisions
        self.limit = self.get_initial_limit()
        self.baselines: BoundedDict[str, float] = BoundedDict(MAX_GROUPS)
        self.window_started_at = 0.0
        self.ratio_sum = 0.0
        self.samples = 0
        self.limit_reached_in_window = False
        self.before_decrease: tuple[int, float] | None = None
        self.decrease_pause_windows = 0

    def get_initial_limit(self) -> int:
        section = self.section
        if section.slow_start == 0:
            return section.slots
        return max(section.min_slots, int(section.slots * INITIAL_LIMIT_SHARE))

    def update_section(self, section: ServiceSection) -> None:
        """Apply a new section and keep the limit within its bounds."""
        if section == self.section:
            return
        slots_raised = section.slots > self.section.slots
        self.section = section
        if not section.limit_learning:
            self.limit = section.slots
            return
        if not slots_raised:
            self.limit = max(section.min_slots, min(self.limit, section.slots))

    def reset_limit(self) -> None:
        """Reset the limit for a backend server that has restarted."""
        self.limit = self.get_initial_limit()
        self.before_decrease = None
        self.decrease_pause_windows = 0

    def get_limit(self) -> int:
        """Return the limit in force."""
        if self.section.admission is Mode.OFF:
            return self.section.slots
        return self.limit

    def record_service_time(
        self, group: str, seconds: float, in_flight: int, now: float
    ) -> None:
        """Record the service time of one finished request.

        :param group: key of requests with comparable service times.
        :param seconds: service time.
        :param in_flight: requests in flight when this one ended, including it.
        :param now: time on the node's clock.
        """
        baseline = self.baselines.get_or_create(group, lambda: seconds)
        ratio = seconds / max(baseline, 1e-6)
        if in_flight <= max(1, self.limit // 2) or ratio < 1:
            self.baselines[group] += BASELINE_WEIGHT * (seconds - baseline)
        self.ratio_sum += ratio
        self.samples += 1
        self.limit_reached_in_window = (
            self.limit_reached_in_window or in_flight >= self.limit
        )
        if (
            now - self.window_started_at >= WINDOW_S
            and self.samples >= MIN_WINDOW_SAMPLES
        ):
            self.close_window(now)

    def close_window(self, now: float) -> None:
        ratio = self.ratio_sum / self.samples
        limit_reached = self.limit_reached_in_window
        self.window_started_at = now
        self.ratio_sum = 0.0
        self.samples = 0
        self.limit_reached_in_window = False
        section = self.section
        if (
            section.freeze
            or not section.limit_learning
            or section.admission is Mode.OFF
        ):
            return
        if self.decrease_pause_windows > 0:
            self.decrease_pause_windows -= 1
        if self.before_decrease is not None and self.revert_ineffective_decrease(ratio):
            return
        if not limit_reached:
            return
        if ratio <= SLOW_RATIO:
            self.increase_limit(ratio)
        elif self.decrease_pause_windows == 0:
            self.decrease_limit(ratio)

    def revert_ineffective_decrease(self, ratio: float) -> bool:
        """Restore the limit if the last decrease did not shorten service times.

        :param ratio: mean ratio of service time to baseline in the last window.
        :return: whether the limit was restored.
        """
        old_limit, old_ratio = self.before_decrease
        self.before_decrease = None
        reduction = 1 - self.limit / old_limit
        if ratio <= old_ratio * (1 - MIN_DECREASE_EFFECT_SHARE * reduction):
            return False
        self.change_limit(
            old_limit,
            "service time did not fall with concurrency",
            ratio=ratio,
            ratio_before=old_ratio,
        )
        self.decrease_pause_windows = DECREASE_PAUSE_WINDOWS
        return True

    def increase_limit(self, ratio: float) -> None:
        step = max(1, int(self.limit * INCREASE_SHARE))
        new_limit = min(self.section.slots, self.limit + step)
        if new_limit > self.limit:
            self.change_limit(
                new_limit,
                "the limit is fully used and service times are stable",
                ratio=ratio,
            )

    def decrease_limit(self, ratio: float) -> None:
        new_limit = max(self.section.min_slots, int(self.limit * DECREASE_FACTOR))
        if new_limit < self.limit:
            self.before_decrease = (self.limit, ratio)
            self.change_limit(new_limit, "service times rose under load", ratio=ratio)

    def change_limit(self, limit: int, reason: str, **evidence: float) -> None:
        mode = self.section.admission
        self.decisions.add(
            "admission",
            "raise limit" if limit > self.limit else "lower limit",
            f"{self.limit} to {limit}",
            reason=reason,
            mode=mode,
            **{name: round(value, 3) for name, value in evidence.items()},
        )
        if mode is Mode.ON:
            self.limit = limit
