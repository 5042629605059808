"""Periodic work that shares its wake-ups."""

import trio

__all__ = ["sleep_until_next_tick"]


async def sleep_until_next_tick(interval_s: float) -> None:
    """Sleep until the clock reaches the next multiple of an interval.

    Tasks with the same interval, or multiples of it, run at the same moment: a
    process that is woken once for all of them costs less than one that is woken
    for each.

    :param interval_s: seconds, the longest sleep.
    """
    now = trio.current_time()
    await trio.sleep_until((now // interval_s + 1) * interval_s)
