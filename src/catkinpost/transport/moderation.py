"""Moderation of the event loop's polls under load."""

import time
from collections.abc import Callable

import trio

__all__ = ["PollModerator"]

# Below this share of the processor a call is better served at once.
IDLE_SHARE = 0.08
# From this share on, polls are as far apart as they may be.
FULL_SHARE = 0.12
# Time over which the share is measured; demand swings within seconds.
SHARE_TIME_S = 0.25


class PollModerator(trio.abc.Instrument):
    """Keeps polls apart while the event loop is busy.

    A process that is woken for every message spends most of its time on waking up.
    Under load messages come close together: waiting a little before a poll serves
    several with one wake-up. An idle process polls at once.

    :param max_interval: longest time between two polls that it brings about, in
        seconds; 0 for none.
    :param clock: steady time in seconds.
    :param sleep: waits for some seconds.
    """

    def __init__(
        self,
        max_interval: float,
        *,
        clock: Callable[[], float] = time.perf_counter,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self.max_interval = max_interval
        self.clock = clock
        self.sleep = sleep
        self.polled_at = clock()
        self.woken_at = self.polled_at
        self.busy_share = 0.0

    @property
    def interval(self) -> float:
        """Shortest time between two polls in seconds."""
        excess = (self.busy_share - IDLE_SHARE) / (FULL_SHARE - IDLE_SHARE)
        return self.max_interval * min(1.0, max(0.0, excess))

    def before_io_wait(self, timeout: float) -> None:
        """Wait until the next poll is due, unless tasks are ready to run.

        :param timeout: seconds for which the event loop means to wait.
        """
        now = self.clock()
        self.note_turn(now)
        wait = min(timeout, self.polled_at + self.interval - now)
        if wait > 0:
            self.sleep(wait)
            now += wait
        self.polled_at = now

    def after_io_wait(self, timeout: float) -> None:
        """Note the end of a poll.

        :param timeout: seconds for which the event loop meant to wait.
        """
        self.woken_at = self.clock()

    def note_turn(self, now: float) -> None:
        """Learn the share of the last turn that was spent on work."""
        turn = now - self.polled_at
        if turn <= 0:
            return
        # Long turns weigh more: the share is one of time, not of turns.
        weight = min(1.0, turn / SHARE_TIME_S)
        share = (now - self.woken_at) / turn
        self.busy_share += weight * (share - self.busy_share)
