"""Detection of pauses of the node's own process."""

import math
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Protocol

import trio

from catkinpost.coordination.tick import find_next_tick, sleep_until_next_tick
from catkinpost.state.decision_log import DecisionLog

__all__ = ["PauseWatch", "SuspendAwareClock"]

CHECK_INTERVAL_S = 0.25
MIN_PAUSE_S = 1.0
# Shorter times without a check are usual on an idle node.
MIN_GAP_S = 2 * CHECK_INTERVAL_S
# Time within which a signal that came while the process did not run is handled.
MAX_SIGNAL_DELAY_S = CHECK_INTERVAL_S


class SuspendAwareClock(trio.abc.Clock):
    """Clock of the event loop that goes on while the machine is suspended.

    Deadlines thereby expire when they do for peers and callers.
    """

    def start_clock(self) -> None:
        """Do nothing: the clock goes on from the start of the machine."""

    def current_time(self) -> float:
        """Return the seconds since the start of the machine."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the seconds until a deadline."""
        return deadline - self.current_time()


def read_suspended_time() -> float:
    """Return the seconds for which the machine was suspended since it started."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


class Input(Protocol):
    """Received messages of one connection."""

    def distrust(self, seconds: float) -> None:
        """Count input as old that has arrived, or arrives within some seconds."""


class PauseWatch:
    """Detector of periods in which the process did not run.

    :param decisions: log of automatic decisions; every pause is logged.
    :param get_suspended_time: returns the seconds for which the machine was suspended,
        which the clock of the event loop counts.
    :ivar most_late_s: most seconds by which a periodic check was late, since this was
        last set to 0.
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
        self.inputs: Counter[Input] = Counter()
        self.last_check_at: float | None = None
        self.suspended_before_s = 0.0
        self.gap_started_at = -math.inf
        self.gap_ended_at = -math.inf
        self.pauses = 0
        self.most_late_s = 0.0

    @contextmanager
    def watch_input(self, connection: Input) -> Iterator[None]:
        """Tell a connection of each pause for the time of a ``with`` block.

        Blocks for the same connection may overlap, as another task goes on with it.
        """
        self.inputs[connection] += 1
        try:
            yield
        finally:
            self.inputs[connection] -= 1
            if not self.inputs[connection]:
                del self.inputs[connection]

    def check_for_pause(self) -> int:
        """Check for a pause since the last call and return the pauses found so far.

        A connection calls this before it acts on input, since input may be read before
        the periodic task runs again.
        """
        now = trio.current_time()
        suspended_s = self.get_suspended_time()
        previous_check_at, self.last_check_at = self.last_check_at, now
        new_suspended_s = suspended_s - self.suspended_before_s
        self.suspended_before_s = suspended_s
        if previous_check_at is not None and now - previous_check_at >= MIN_GAP_S:
            self.gap_started_at, self.gap_ended_at = previous_check_at, now
        if previous_check_at is not None and now - previous_check_at >= MIN_PAUSE_S:
            self.pauses += 1
            self.decisions.add(
                "pause",
                "distrust input",
                "this node",
                reason="the process did not run; input read before may be stale",
                seconds=round(now - previous_check_at, 3),
                suspended=round(new_suspended_s, 3),
            )
            for connection in self.inputs:
                # The network repeats what it could not deliver after about as long as
                # the machine was away.
                connection.distrust(new_suspended_s)
            for listener in self.listeners:
                listener()
        return self.pauses

    def find_earliest_signal(self, handled_at: float) -> float:
        """Return the earliest time at which a signal may have come.

        A signal that comes while the process does not run is handled afterwards.

        :param handled_at: time at which the interpreter handled the signal.
        """
        self.check_for_pause()
        is_recent = handled_at - self.gap_ended_at <= MAX_SIGNAL_DELAY_S
        return min(handled_at, self.gap_started_at) if is_recent else handled_at

    async def run(self) -> None:
        """Check for pauses until cancelled."""
        while True:
            self.check_for_pause()
            started_at = trio.current_time()
            await sleep_until_next_tick(CHECK_INTERVAL_S)
            due_at = find_next_tick(started_at, CHECK_INTERVAL_S)
            self.most_late_s = max(self.most_late_s, trio.current_time() - due_at)
