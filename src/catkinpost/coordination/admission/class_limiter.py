"""Limit on the running requests of one class that learns from how they end."""

import math
from dataclasses import dataclass

from catkinpost.protocol.policy import Mode, ServiceSection
from catkinpost.state.bounded import BoundedDict
from catkinpost.state.decision_log import DecisionLog

__all__ = ["ClassLimiter"]

# Share of the useful time that a run may take on average: the rest is for its way
# and for the spread between runs.
WANTED_SHARE = 0.5
# Classes that need much of their time even at low load are judged by their own best.
BASELINE_FACTOR = 1.5
BASELINE_RISE = 1.01
# The best of a node that has known nothing but overload is no measure: runs that take
# more than this on average fail in numbers, as they differ from each other.
MOST_WANTED_SHARE = 0.7
# A window must hold enough ends to tell load from chance.
MIN_SAMPLES = 20
WINDOW_S = 0.25
MAX_DECREASE = 0.6
MAX_INCREASE = 1.4
# A run that fails has used its time for nothing, however short it was.
FAILED_SHARE = 1.0
# Some requests always run, or nothing would show that the load has passed.
FLOOR_SHARE = 0.1
USED_SHARE = 0.8
# A node that has just started knows nothing yet: it begins with a share of the slots
# and learns within seconds whether there is room for more.
START_SHARE = 0.25
MAX_CLASSES = 512
LOWER_REASON = "runs take too much of their time, or fail"
RAISE_REASON = "runs end in time"


@dataclass(eq=False, slots=True)
class ClassState:
    """What is known of one class.

    :param running: requests that run or wait now.
    :param most: most of them since the window began.
    :param limit: bound on them.
    :param changed_at: time of the last change of the limit; runs that began
        earlier say nothing of it.
    :param share_sum: sum of the shares of useful time that runs took.
    :param baseline: lowest mean share of a window, which rises slowly.
    """

    running: int = 0
    most: int = 0
    limit: float = math.inf
    changed_at: float = 0.0
    window_start: float = 0.0
    samples: int = 0
    share_sum: float = 0.0
    baseline: float = math.inf

    def begin_window(self, now: float) -> None:
        """Forget the samples of the last window."""
        self.window_start = now
        self.samples = 0
        self.share_sum = 0.0
        self.most = self.running


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

    def find(self, call_class: str) -> ClassState:
        return self.states.get_or_create(call_class, self.new_state)

    def new_state(self) -> ClassState:
        limit = math.inf
        if self.section.class_limiting is Mode.ON:
            limit = max(1.0, START_SHARE * self.section.slots)
        return ClassState(limit=limit)

    def started(self, call_class: str) -> None:
        """Count a request that runs or waits for its turn."""
        state = self.find(call_class)
        state.running += 1
        state.most = max(state.most, state.running)

    def ended(self, call_class: str) -> None:
        """Count the end of a request."""
        state = self.states.get(call_class)
        if state is not None and state.running:
            state.running -= 1

    def add(
        self, call_class: str, *, share: float, failed: bool, since: float, now: float
    ) -> None:
        """Learn from a run.

        :param call_class: request class.
        :param share: part of the time in which its answer was useful that it took.
        :param failed: whether its answer is of no use.
        :param since: time at which it began.
        :param now: time at which it ended.
        """
        state = self.find(call_class)
        if since < state.changed_at:
            return
        state.samples += 1
        state.share_sum += max(share, FAILED_SHARE) if failed else share
        if state.samples >= MIN_SAMPLES and now - state.window_start >= WINDOW_S:
            self.close_window(call_class, state, now)

    def close_window(self, call_class: str, state: ClassState, now: float) -> None:
        mean = state.share_sum / state.samples
        state.baseline = min(mean, state.baseline * BASELINE_RISE)
        natural = BASELINE_FACTOR * state.baseline
        wanted = min(MOST_WANTED_SHARE, max(WANTED_SHARE, natural))
        if not self.section.freeze:
            self.adjust(call_class, state, mean / wanted, now)
        state.begin_window(now)

    def adjust(
        self, call_class: str, state: ClassState, ratio: float, now: float
    ) -> None:
        """Bring the mean share closer to the wanted one.

        :param ratio: mean share of the last window over the wanted one.
        """
        limit = self.next_limit(state, ratio)
        if limit == state.limit:
            return
        lower = limit < state.limit
        mode = self.section.class_limiting
        self.decisions.add(
            "class-limit",
            "lower" if lower else "raise",
            call_class,
            reason=LOWER_REASON if lower else RAISE_REASON,
            mode=mode,
            limit=round(min(limit, self.section.slots), 1),
            running=state.running,
            ratio=round(ratio, 2),
        )
        if mode is Mode.ON:
            state.changed_at = now
            state.limit = limit

    def next_limit(self, state: ClassState, ratio: float) -> float:
        """Return the limit that the last window calls for."""
        if ratio > 1:
            reached = min(state.limit, float(state.most))
            floor = max(1.0, FLOOR_SHARE * self.section.slots)
            return min(state.limit, max(floor, reached * max(MAX_DECREASE, 1 / ratio)))
        if state.most < USED_SHARE * state.limit:
            return state.limit
        limit = state.limit * min(MAX_INCREASE, 1 / ratio) + 1
        return math.inf if limit > self.section.slots else limit
