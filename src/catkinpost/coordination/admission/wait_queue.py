"""Queue of the requests that wait for a slot at one backend server."""

from collections import deque
from collections.abc import Callable, Iterator

import trio

from catkinpost.coordination.admission.work import Waiter
from catkinpost.protocol.policy import IMPORTANCE_RANK

__all__ = ["WaitQueue"]

RANKS = sorted(IMPORTANCE_RANK.values())


class WaitQueue:
    """Waiters by rank, with long work apart from short work of the same rank."""

    def __init__(self) -> None:
        self.queues: dict[tuple[int, bool], deque[Waiter]] = {
            (rank, is_long): deque() for rank in RANKS for is_long in (False, True)
        }
        self.length = 0

    def __len__(self) -> int:
        return self.length

    def __iter__(self) -> Iterator[Waiter]:
        """Iterate over the waiters in the order of service; they may be removed."""
        for rank in RANKS:
            for is_long in (False, True):
                yield from list(self.queues[rank, is_long])

    def append(self, waiter: Waiter) -> None:
        """Add a waiter behind those of its rank."""
        self.queues[waiter.item.rank, waiter.is_long].append(waiter)
        self.length += 1

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter."""
        self.queues[waiter.item.rank, waiter.is_long].remove(waiter)
        self.length -= 1

    def count_ahead(self, rank: int) -> int:
        """Count the waiters that are served before a new request of a rank."""
        return sum(
            len(queue) for (other, _), queue in self.queues.items() if other <= rank
        )

    def pop_less_important(self, rank: int) -> Waiter | None:
        """Remove a waiter of the least important rank.

        :param rank: rank of the request that needs the place.
        :return: the waiter, ``None`` if all are as important as the request.
        """
        for other in reversed(RANKS):
            if other <= rank:
                return None
            for is_long in (True, False):
                queue = self.queues[other, is_long]
                if queue:
                    self.length -= 1
                    return queue.popleft()
        return None

    def pop_next(
        self,
        can_start: Callable[[bool], bool],
        *,
        is_long_first: bool,
        newest_first_after_s: float,
    ) -> Waiter | None:
        """Remove the waiter whose turn it is.

        :param can_start: returns whether long or other work can start now.
        :param is_long_first: whether long work goes before other work of its rank.
        :param newest_first_after_s: wait of the oldest waiter, in seconds, above which
            the queue does not drain and the newest is served.
        :return: the waiter, ``None`` if none can start.
        """
        for rank in RANKS:
            for is_long in (is_long_first, not is_long_first):
                queue = self.queues[rank, is_long]
                if not queue or not can_start(is_long):
                    continue
                self.length -= 1
                waited_s = trio.current_time() - queue[0].arrived_at
                if waited_s > newest_first_after_s:
                    return queue.pop()
                return queue.popleft()
        return None
