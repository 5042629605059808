"""Moderation of the event loop's polls under load."""

import time
from collections.abc import Callable

import trio

__all__ = ["PollModerator"]

# Below this share of the processor a call is better served at once.
NO_DELAY_BUSY_SHARE = 0.08
# From this share on, polls are as far apart as they may be.
FULL_DELAY_BUSY_SHARE = 0.12
# Time over which the share is measured; demand swings within seconds.
BUSY_SHARE_TIME_CONSTANT_S = 0.25


class PollModerator(trio.abc.Instrument):
    """Keeps polls apart while the event loop is busy.

    A process that is woken for every message spends most of its time on waking up.
    Under load messages come close together: waiting a little before a poll serves
    several with one wake-up. An idle process polls at once.

    :param max_interval_s: longest time between two polls that it brings about, in
        seconds; 0 for none.
    :param clock: steady time in seconds.
    :param sleep: waits for some seconds.
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
        """Shortest time between two polls in seconds."""
        excess = (self.busy_share - NO_DELAY_BUSY_SHARE) / (
            FULL_DELAY_BUSY_SHARE - NO_DELAY_BUSY_SHARE
        )
        return self.max_interval_s * min(1.0, max(0.0, excess))

    def before_io_wait(self, timeout: float) -> None:
        """Wait until the next poll is due, unless tasks are ready to run.

        :param timeout: seconds for which the event loop means to wait.
        """
        now = self.clock()
        self.record_iteration(now)
        delay_s = min(timeout, self.poll_started_at + self.min_interval_s - now)
        if delay_s > 0:
            self.sleep(delay_s)
            now += delay_s
        self.poll_started_at = now

    def after_io_wait(self, timeout: float) -> None:
        """Note the end of a poll.

        :param timeout: seconds for which the event loop meant to wait.
        """
        self.poll_ended_at = self.clock()

    def record_iteration(self, now: float) -> None:
        """Learn the share of the last turn that was spent on work."""
        duration_s = now - self.poll_started_at
        if duration_s <= 0:
            return
        # Long turns weigh more: the share is one of time, not of turns.
        weight = min(1.0, duration_s / BUSY_SHARE_TIME_CONSTANT_S)
        busy_share = (now - self.poll_ended_at) / duration_s
        self.busy_share += weight * (busy_share - self.busy_share)
