"""Coalescing of event loop wake-ups under load, similar to interrupt moderation."""

import time
from collections.abc import Callable

import trio

__all__ = ["PollModerator"]

# Share of processor time up to which polls are not delayed, for the lowest latency.
NO_DELAY_BUSY_SHARE = 0.08
# Share of processor time from which the interval is ``max_interval_s``.
FULL_DELAY_BUSY_SHARE = 0.12
# Time constant of the moving average of the busy share; demand changes within seconds.
BUSY_SHARE_TIME_CONSTANT_S = 0.25


class PollModerator(trio.abc.Instrument):
    """Instrument that delays polls while the event loop is busy.

    A process that is woken for every message spends most of its time on wake-ups. Under
    load, messages arrive close together: a short delay before a poll lets one wake-up
    handle several of them. An idle process polls without delay.

    :param max_interval_s: interval between polls at full delay in seconds; 0 disables
        the delay.
    :param clock: returns the monotonic time in seconds.
    :param sleep: blocks for a number of seconds.
    """

    def __init__(
        self,
        max_interval_s: float,
        *,
        clock: Callable[[], float] = time.perf_counter,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self.max_interval_s = max_interval_s
        self.clock = clock
        self.sleep = sleep
        self.poll_started_at = clock()
        self.poll_ended_at = self.poll_started_at
        self.busy_share = 0.0

    @property
    def min_interval_s(self) -> float:
        """Minimum interval between the starts of two polls in seconds."""
        excess = (self.busy_share - NO_DELAY_BUSY_SHARE) / (
            FULL_DELAY_BUSY_SHARE - NO_DELAY_BUSY_SHARE
        )
        return self.max_interval_s * min(1.0, max(0.0, excess))

    def before_io_wait(self, timeout: float) -> None:
        """Delay the poll until the minimum interval has passed.

        There is no delay while tasks are ready to run, as ``timeout`` is then 0.

        :param timeout: seconds for which the event loop is going to wait.
        """
        now = self.clock()
        self.record_iteration(now)
        delay_s = min(timeout, self.poll_started_at + self.min_interval_s - now)
        if delay_s > 0:
            self.sleep(delay_s)
            now += delay_s
        self.poll_started_at = now

    def after_io_wait(self, timeout: float) -> None:
        """Record the end of a poll.

        :param timeout: seconds for which the event loop was going to wait.
        """
        self.poll_ended_at = self.clock()

    def record_iteration(self, now: float) -> None:
        """Update the busy share with the last iteration of the event loop."""
        duration_s = now - self.poll_started_at
        if duration_s <= 0:
            return
        # The weight grows with the duration: the average is over time, not iterations.
        weight = min(1.0, duration_s / BUSY_SHARE_TIME_CONSTANT_S)
        busy_share = (now - self.poll_ended_at) / duration_s
        self.busy_share += weight * (busy_share - self.busy_share)
