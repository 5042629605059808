"""Start of a node process, shared by all environments."""

import gc
from collections.abc import Awaitable, Callable

import trio

from catkinpost.coordination.pause import SuspendAwareClock
from catkinpost.transport.moderation import PollModerator

__all__ = ["run_process"]

# Most objects of a call are short-lived; full collections only add to its tail
# latency.
GC_THRESHOLD_ALLOCATIONS = 20_000


def run_process(start: Callable[[], Awaitable[None]], *, poll_interval: float) -> None:
    """Run the event loop of a node until the node ends.

    :param start: main task of the node.
    :param poll_interval: longest time between two polls under load, in seconds.
    """
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_ALLOCATIONS, 50, 50)
    instruments = [PollModerator(poll_interval)] if poll_interval else []
    trio.run(start, clock=SuspendAwareClock(), instruments=instruments)
