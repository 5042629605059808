"""Start of a node's process, the same for every environment."""

import gc
from collections.abc import Awaitable, Callable

import trio

from catkinpost.transport.moderation import PollModerator

__all__ = ["run_process"]

# Most objects of a call die young; full collections only add to its tail.
GC_THRESHOLD_ALLOCATIONS = 20_000


def run_process(start: Callable[[], Awaitable[None]], *, poll_interval: float) -> None:
    """Run the event loop of a node until the node ends.

    :param start: the node's main task.
    :param poll_interval: longest time between two polls under load, in seconds.
    """
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_ALLOCATIONS, 50, 50)
    instruments = [PollModerator(poll_interval)] if poll_interval else []
    trio.run(start, instruments=instruments)
