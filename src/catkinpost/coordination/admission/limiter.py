"""Concurrency limit that learns from service times."""

from catkinpost.protocol.policy import Mode, ServiceSection
from catkinpost.state.bounded import BoundedDict
from catkinpost.state.decision_log import DecisionLog

__all__ = ["ConcurrencyLimiter"]

WINDOW_S = 0.5
MIN_WINDOW_SAMPLES = 10
SLOW_RATIO = 2.0
DECREASE_FACTOR = 0.8
INCREASE_SHARE = 0.1
START_SHARE = 0.25
USEFUL_SHARE = 0.5
HOLD_WINDOWS = 10
BASELINE_WEIGHT = 0.05
MAX_GROUPS = 512


class ConcurrencyLimiter:
    """Bounds the requests that run at one backend server at once.

    The limit falls when service times exceed their baseline, and it is restored
    when the fall did not make them shorter: a backend server that is slow at
    every concurrency gains nothing from a low limit and only loses throughput.

    :param section: section of the service; replaced when the policy changes.
    :param decisions: log for every change of the limit.
    """

    def __init__(self, section: ServiceSection, decisions: DecisionLog) -> None:
        self.section = section
        self.decisions = decisions
        self.limit = self.start_limit()
        self.baselines: BoundedDict[str, float] = BoundedDict(MAX_GROUPS)
        self.window_start = 0.0
        self.ratio_sum = 0.0
        self.samples = 0
        self.window_full = False
        self.before_decrease: tuple[int, float] | None = None
        self.hold = 0

    def start_limit(self) -> int:
        section = self.section
        if section.slow_start == 0:
            return section.slots
        return max(section.min_slots, int(section.slots * START_SHARE))

    def update_section(self, section: ServiceSection) -> None:
        """Take over a new section and keep the limit within its bounds."""
        if section == self.section:
            return
        raised = section.slots > self.section.slots
        self.section = section
        if not section.limit_learning:
            self.limit = section.slots
            return
        if not raised:
            self.limit = max(section.min_slots, min(self.limit, section.slots))

    def restart(self) -> None:
        """Begin again for a backend server that has restarted."""
        self.limit = self.start_limit()
        self.before_decrease = None
        self.hold = 0

    def current(self) -> int:
        """Return the limit in force."""
        if self.section.admission is Mode.OFF:
            return self.section.slots
        return self.limit

    def add(self, group: str, seconds: float, in_flight: int, now: float) -> None:
        """Learn from one finished request.

        :param group: requests with comparable service times.
        :param seconds: service time.
        :param in_flight: requests that ran when this one ended, itself included.
        :param now: time on the node's clock.
        """
        baseline = self.baselines.get_or_create(group, lambda: seconds)
        ratio = seconds / max(baseline, 1e-6)
        if in_flight <= max(1, self.limit // 2) or ratio < 1:
            self.baselines[group] += BASELINE_WEIGHT * (seconds - baseline)
        self.ratio_sum += ratio
        self.samples += 1
        self.window_full = self.window_full or in_flight >= self.limit
        if now - self.window_start >= WINDOW_S and self.samples >= MIN_WINDOW_SAMPLES:
            self.close_window(now)

    def close_window(self, now: float) -> None:
        ratio = self.ratio_sum / self.samples
        full = self.window_full
        self.window_start = now
        self.ratio_sum = 0.0
        self.samples = 0
        self.window_full = False
        section = self.section
        if (
            section.freeze
            or not section.limit_learning
            or section.admission is Mode.OFF
        ):
            return
        if self.hold > 0:
            self.hold -= 1
        if self.before_decrease is not None and self.judge_decrease(ratio):
            return
        if not full:
            return
        if ratio <= SLOW_RATIO:
            self.increase(ratio)
        elif self.hold == 0:
            self.decrease(ratio)

    def judge_decrease(self, ratio: float) -> bool:
        """Restore the limit when the last decrease brought nothing."""
        old_limit, old_ratio = self.before_decrease
        self.before_decrease = None
        hoped = 1 - self.limit / old_limit
        if ratio <= old_ratio * (1 - USEFUL_SHARE * hoped):
            return False
        self.change(
            old_limit,
            "service time did not fall with concurrency",
            ratio=ratio,
            ratio_before=old_ratio,
        )
        self.hold = HOLD_WINDOWS
        return True

    def increase(self, ratio: float) -> None:
        step = max(1, int(self.limit * INCREASE_SHARE))
        wanted = min(self.section.slots, self.limit + step)
        if wanted > self.limit:
            self.change(wanted, "the limit is used and service times hold", ratio=ratio)

    def decrease(self, ratio: float) -> None:
        wanted = max(self.section.min_slots, int(self.limit * DECREASE_FACTOR))
        if wanted < self.limit:
            self.before_decrease = (self.limit, ratio)
            self.change(wanted, "service times rose under load", ratio=ratio)

    def change(self, limit: int, reason: str, **evidence: float) -> None:
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
