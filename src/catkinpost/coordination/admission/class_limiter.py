"""Limit on the running requests of one class that learns from how they end."""

import math
from dataclasses import dataclass

from catkinpost.protocol.policy import Mode, ServiceSection
from catkinpost.state.bounded import BoundedDict
from catkinpost.state.decision_log import DecisionLog

__all__ = ["ClassLimiter"]

# Share of the useful time that a run may take on average: the rest is for its way
# and for the spread between runs.
TARGET_SHARE = 0.5
# Classes that need much of their time even at low load are judged by their own best.
BASELINE_FACTOR = 1.5
BASELINE_RISE_FACTOR = 1.01
# The best of a node that has known nothing but overload is no measure: runs that take
# more than this on average fail in numbers, as they differ from each other.
MAX_TARGET_SHARE = 0.7
# A window must hold enough ends to tell load from chance.
MIN_WINDOW_SAMPLES = 20
WINDOW_S = 0.25
MAX_DECREASE_FACTOR = 0.6
MAX_INCREASE_FACTOR = 1.4
# A run that fails has used its time for nothing, however short it was.
FAILED_RUN_SHARE = 1.0
# Some requests always run, or nothing would show that the load has passed.
MIN_LIMIT_SHARE = 0.1
MIN_USED_SHARE = 0.8
# A node that has just started knows nothing yet: it begins with a share of the slots
# and learns within seconds whether there is room for more.
INITIAL_LIMIT_SHARE = 0.25
MAX_CLASSES = 512
LOWER_REASON = "runs take too much of their time, or fail"
RAISE_REASON = "runs end in time"


@dataclass(eq=False, slots=True)
class ClassState:
    """What is known of one class.

    :param running: requests that run or wait now.
    :param max_running: most of them since the window began.
    :param limit: bound on them.
    :param changed_at: time of the last change of the limit; runs that began
        earlier say nothing of it.
    :param share_sum: sum of the shares of useful time that runs took.
    :param baseline: lowest mean share of a window, which rises slowly.
    """

    running: int = 0
    max_running: int = 0
    limit: float = math.inf
    changed_at: float = 0.0
    window_started_at: float = 0.0
    samples: int = 0
    share_sum: float = 0.0
    baseline: float = math.inf

    def begin_window(self, now: float) -> None:
        """Forget the samples of the last window."""
        self.window_started_at = now
        self.samples = 0
        self.share_sum = 0.0
        self.max_running = self.running


class ClassLimiter:
    """Refuses requests that would fail further down, before they run.

    Load pattern: a service deep in the call graph has no room. Requests that enter
    further up still get a slot there, wait for their child calls and fail after
    they have used what others needed. Their own server is not full, and nothing
    tells it which service is: but their runs take long or fail. Only sheddable
    requests are limited, so that the work of the others, and of calls that servers
    make, is not lost.

    :param section: section of the service; replaced when the policy changes.
    :param decisions: log for every change of a limit.
    """

    def __init__(self, section: ServiceSection, decisions: DecisionLog) -> None:
        self.section = section
        self.decisions = decisions
        self.states: BoundedDict[str, ClassState] = BoundedDict(MAX_CLASSES)

    def is_full(self, call_class: str) -> bool:
        """Tell whether the limit of a class is reached."""
        state = self.states.get(call_class)
        return state is not None and state.running >= state.limit

    def get_or_create_state(self, call_class: str) -> ClassState:
        return self.states.get_or_create(call_class, self.create_state)

    def create_state(self) -> ClassState:
        limit = math.inf
        if self.section.class_limiting is Mode.ON:
            limit = max(1.0, INITIAL_LIMIT_SHARE * self.section.slots)
        return ClassState(limit=limit)

    def record_start(self, call_class: str) -> None:
        """Count a request that runs or waits for its turn."""
        state = self.get_or_create_state(call_class)
        state.running += 1
        state.max_running = max(state.max_running, state.running)

    def record_end(self, call_class: str) -> None:
        """Count the end of a request."""
        state = self.states.get(call_class)
        if state is not None and state.running:
            state.running -= 1

    def record_run(
        self,
        call_class: str,
        *,
        share: float,
        failed: bool,
        started_at: float,
        now: float,
    ) -> None:
        """Learn from a run.

        :param call_class: request class.
        :param share: part of the time in which its answer was useful that it took.
        :param failed: whether its answer is of no use.
        :param started_at: time at which it began.
        :param now: time at which it ended.
        """
        state = self.get_or_create_state(call_class)
        if started_at < state.changed_at:
            return
        state.samples += 1
        state.share_sum += max(share, FAILED_RUN_SHARE) if failed else share
        if (
            state.samples >= MIN_WINDOW_SAMPLES
            and now - state.window_started_at >= WINDOW_S
        ):
            self.close_window(call_class, state, now)

    def close_window(self, call_class: str, state: ClassState, now: float) -> None:
        mean_share = state.share_sum / state.samples
        state.baseline = min(mean_share, state.baseline * BASELINE_RISE_FACTOR)
        baseline_target = BASELINE_FACTOR * state.baseline
        target_share = min(MAX_TARGET_SHARE, max(TARGET_SHARE, baseline_target))
        if not self.section.freeze:
            self.adjust_limit(call_class, state, mean_share / target_share, now)
        state.begin_window(now)

    def adjust_limit(
        self, call_class: str, state: ClassState, ratio: float, now: float
    ) -> None:
        """Bring the mean share closer to the wanted one.

        :param ratio: mean share of the last window over the wanted one.
        """
        limit = self.compute_limit(state, ratio)
        if limit == state.limit:
            return
        is_decrease = limit < state.limit
        mode = self.section.class_limiting
        self.decisions.add(
            "class-limit",
            "lower" if is_decrease else "raise",
            call_class,
            reason=LOWER_REASON if is_decrease else RAISE_REASON,
            mode=mode,
            limit=round(min(limit, self.section.slots), 1),
            running=state.running,
            ratio=round(ratio, 2),
        )
        if mode is Mode.ON:
            state.changed_at = now
            state.limit = limit

    def compute_limit(self, state: ClassState, ratio: float) -> float:
        """Return the limit that the last window calls for."""
        if ratio > 1:
            reached_limit = min(state.limit, float(state.max_running))
            min_limit = max(1.0, MIN_LIMIT_SHARE * self.section.slots)
            return min(
                state.limit,
                max(min_limit, reached_limit * max(MAX_DECREASE_FACTOR, 1 / ratio)),
            )
        if state.max_running < MIN_USED_SHARE * state.limit:
            return state.limit
        limit = state.limit * min(MAX_INCREASE_FACTOR, 1 / ratio) + 1
        return math.inf if limit > self.section.slots else limit
