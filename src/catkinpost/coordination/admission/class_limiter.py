"""Adaptive limit on the running requests of one class, from the results of runs."""

import math
from dataclasses import dataclass

from catkinpost.protocol.policy import Mode, ServiceSection
from catkinpost.state.bounded import BoundedDict
from catkinpost.state.decision_log import DecisionLog

__all__ = ["ClassLimiter"]

# Share of the useful time that a run may take on average. The rest covers transport
# and the variance between runs.
TARGET_SHARE = 0.5
# A class that needs much of its useful time even at low load has a target relative to
# its own baseline.
BASELINE_FACTOR = 1.5
BASELINE_RISE_FACTOR = 1.01
# Upper bound of the target: the baseline of a node that has only seen overload is too
# high, and if runs take more than this share on average, many fail due to variance.
MAX_TARGET_SHARE = 0.7
# A window needs enough finished runs to distinguish load from chance.
MIN_WINDOW_SAMPLES = 20
WINDOW_S = 0.25
MAX_DECREASE_FACTOR = 0.6
MAX_INCREASE_FACTOR = 1.4
# A failed run counts as its whole useful time, because its work is wasted even if it
# was short.
FAILED_RUN_SHARE = 1.0
# Some requests always run, because without them the end of an overload would not show.
MIN_LIMIT_SHARE = 0.1
MIN_USED_SHARE = 0.8
# A node that has just started has no samples: the limit starts at a share of the slots,
# and a few seconds of samples show whether it can rise.
INITIAL_LIMIT_SHARE = 0.25
MAX_CLASSES = 512
LOWER_REASON = "runs use too much of their useful time, or fail"
RAISE_REASON = "runs end in time"


@dataclass(eq=False, slots=True)
class ClassState:
    """Counts, samples and limit of one class.

    :param running: admitted requests that have not ended.
    :param max_running: maximum of ``running`` since the window began.
    :param limit: upper bound of ``running``.
    :param changed_at: time of the last change of the limit; runs that began
        earlier are not samples of the new limit.
    :param window_started_at: time at which the window began.
    :param samples: finished runs in the window.
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
        """Discard the samples of the last window."""
        self.window_started_at = now
        self.samples = 0
        self.share_sum = 0.0
        self.max_running = self.running


class ClassLimiter:
    """Concurrency limits by class, which refuse requests whose child calls would fail.

    Load pattern: a service deep in the call graph is overloaded. Requests at a service
    further up still get a slot, wait for their child calls and fail after they have
    used capacity that other requests needed. The service further up is not full itself,
    and it has no information about which service is, but its runs take long or fail.
    Only sheddable requests are limited, so that the work of other requests and of child
    calls is not lost.

    :param section: section of the service; replaced when the policy changes.
    :param decisions: log for every change of a limit.
    """

    def __init__(self, section: ServiceSection, decisions: DecisionLog) -> None:
        self.section = section
        self.decisions = decisions
        self.states: BoundedDict[str, ClassState] = BoundedDict(MAX_CLASSES)

    def is_full(self, call_class: str) -> bool:
        """Return whether the limit of a class is reached."""
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
        """Count an admitted request."""
        state = self.get_or_create_state(call_class)
        state.running += 1
        state.max_running = max(state.max_running, state.running)

    def record_end(self, call_class: str) -> None:
        """Count the end of an admitted request."""
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
        """Record a finished run as a sample.

        :param call_class: request class.
        :param share: duration of the run over the time in which a response was useful.
        :param failed: whether the run ended without a useful response.
        :param started_at: time at which the run began.
        :param now: time at which the run ended.
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
        """Change the limit so that the mean share approaches the target.

        :param ratio: mean share of the last window over the target share.
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
        """Return the limit for the next window."""
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
