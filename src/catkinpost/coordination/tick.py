"""Alignment of periodic tasks, so that they share wake-ups."""

import trio

__all__ = ["find_next_tick", "sleep_until_next_tick"]


async def sleep_until_next_tick(interval_s: float) -> None:
    """Sleep until the clock reaches the next multiple of an interval.

    Tasks with the same interval, or with multiples of it, wake at the same time. One
    wake-up of the process for all of them costs less than one for each.

    :param interval_s: interval, which is also the longest sleep.
    """
    await trio.sleep_until(find_next_tick(trio.current_time(), interval_s))


def find_next_tick(now: float, interval_s: float) -> float:
    """Return the next multiple of an interval."""
    return (now // interval_s + 1) * interval_s
