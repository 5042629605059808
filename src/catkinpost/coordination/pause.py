"""Detection of pauses of the node's own process."""

import time
from collections.abc import Callable

import trio

from catkinpost.coordination.tick import sleep_until_next_tick
from catkinpost.state.decision_log import DecisionLog

__all__ = ["PauseWatch"]

CHECK_INTERVAL_S = 0.25
MIN_PAUSE_S = 1.0


def read_suspended_time() -> float:
    """Return the seconds for which the machine was suspended since it started.

    The clock of the event loop leaves this time out; the clocks of peers and callers
    count it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


class PauseWatch:
    """Detector of periods in which the process did not run.

    :param decisions: log of automatic decisions; every pause is logged.
    :param get_suspended_time: returns the seconds for which the machine was suspended.
    """

    def __init__(
        self,
        decisions: DecisionLog,
        *,
        get_suspended_time: Callable[[], float] = read_suspended_time,
    ) -> None:
        self.decisions = decisions
        self.get_suspended_time = get_suspended_time
        self.listeners: list[Callable[[], None]] = []
        self.last_check_at: float | None = None
        self.pauses = 0

    def check_for_pause(self) -> int:
        """Check for a pause since the last call and return the pauses found so far.

        A connection compares this number with the one at its start before it acts
        on input, since input may be read before the periodic task runs again.
        """
        now = trio.current_time() + self.get_suspended_time()
        previous_check_at, self.last_check_at = self.last_check_at, now
        if previous_check_at is not None and now - previous_check_at >= MIN_PAUSE_S:
            self.pauses += 1
            self.decisions.add(
                "pause",
                "drop links",
                "this node",
                reason="the process did not run; input read before may be stale",
                seconds=round(now - previous_check_at, 3),
            )
            for listener in self.listeners:
                listener()
        return self.pauses

    async def run(self) -> None:
        """Check for pauses until cancelled."""
        while True:
            self.check_for_pause()
            await sleep_until_next_tick(CHECK_INTERVAL_S)
