"""Detection of pauses of the node's own process."""

import time
from collections.abc import Callable

import trio

from catkinpost.coordination.tick import sleep_to_tick
from catkinpost.state.decision_log import DecisionLog

__all__ = ["PauseWatch"]

TICK_S = 0.25
PAUSE_S = 1.0


def read_suspended_time() -> float:
    """Return the seconds for which the machine was suspended since it started.

    The clock of the event loop does not count them, while peers and callers do.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


class PauseWatch:
    """Notices that the process did not run for a while.

    :param decisions: log for every pause found.
    :param suspended: returns the seconds for which the machine has been suspended.
    """

    def __init__(
        self,
        decisions: DecisionLog,
        *,
        suspended: Callable[[], float] = read_suspended_time,
    ) -> None:
        self.decisions = decisions
        self.suspended = suspended
        self.listeners: list[Callable[[], None]] = []
        self.last_tick: float | None = None
        self.pauses = 0

    def observe(self) -> int:
        """Look for a pause and return how many were found so far.

        Whoever acts on input compares the number with the one at the start of
        its connection, as input may be read before the periodic task runs again.
        """
        now = trio.current_time() + self.suspended()
        last, self.last_tick = self.last_tick, now
        if last is not None and now - last >= PAUSE_S:
            self.pauses += 1
            self.decisions.add(
                "pause",
                "drop links",
                "this node",
                reason="the process did not run; what it read before may be old",
                seconds=round(now - last, 3),
            )
            for listener in self.listeners:
                listener()
        return self.pauses

    async def run(self) -> None:
        """Look for pauses until cancelled."""
        while True:
            self.observe()
            await sleep_to_tick(TICK_S)
