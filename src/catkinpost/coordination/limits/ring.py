"""Keepers of the shares of limits, as the list of instances tells them."""

import math
from bisect import bisect_left
from collections import deque
from collections.abc import Iterable, Sequence
from functools import lru_cache

from catkinpost.coordination.peers.link_table import compute_ring_position

__all__ = ["SHARES", "KeeperRing", "KeeperRings"]

# Equal parts of a limit. With more of them a lost keeper costs less, and a workspace
# that is out of credit asks more of them.
SHARES = 6
# Even parts of the ring with few points to sort at each change of the list.
POINTS_PER_INSTANCE = 16
MAX_CACHED_NAMES = 4096
MAX_CACHED_SHARES = 8192


@lru_cache(MAX_CACHED_NAMES)
def compute_points(name: str) -> list[bytes]:
    """Return the positions of an instance on the ring."""
    return [
        compute_ring_position(f"{name}/{number}")
        for number in range(POINTS_PER_INSTANCE)
    ]


@lru_cache(MAX_CACHED_SHARES)
def compute_share_position(workspace: str, share: int) -> bytes:
    """Return the position of a share on the ring."""
    return compute_ring_position(f"{workspace}/share/{share}")


class KeeperRing:
    """Instances on a ring of hashes.

    Each share belongs to the instance whose position follows its own. A change of the
    list moves only the shares of the instances that came or went.

    :param names: names of the instances.
    """

    def __init__(self, names: Iterable[str] = ()) -> None:
        self.names = frozenset(names)
        points = sorted(
            (position, name) for name in self.names for position in compute_points(name)
        )
        self.positions = [position for position, _ in points]
        self.owners = [name for _, name in points]

    def find_keeper(self, workspace: str, share: int) -> str | None:
        """Return the instance that keeps a share, ``None`` without any instance."""
        if not self.owners:
            return None
        index = bisect_left(self.positions, compute_share_position(workspace, share))
        return self.owners[index % len(self.owners)]

    def find_keepers(self, workspace: str) -> Sequence[str | None]:
        """Return the keeper of each share of a workspace."""
        return [self.find_keeper(workspace, share) for share in range(SHARES)]


class KeeperRings:
    """The ring in force, and those that it has replaced lately.

    A list that changes must not give a share to a second node while the first one may
    not know of the change. A node therefore asks for how long it has been the keeper.

    :param instance: name of this node's instance.
    :param memory_s: seconds for which replaced rings are kept.
    :ivar known_from: time from which on all rings of this node are known.
    """

    def __init__(self, instance: str, memory_s: float) -> None:
        self.instance = instance
        self.memory_s = memory_s
        self.ring = KeeperRing()
        self.known_from = math.inf
        self.replaced: deque[tuple[float, KeeperRing]] = deque()

    def update(self, names: Iterable[str], now: float) -> bool:
        """Apply the names of all live instances.

        :return: whether they have changed.
        """
        names = frozenset(names)
        if self.known_from == math.inf:
            self.known_from = now
        if names == self.ring.names:
            return False
        self.replaced.append((now, self.ring))
        self.ring = KeeperRing(names)
        self.drop_old(now)
        return True

    def forget(self, now: float) -> None:
        """Forget for how long this node has kept its shares."""
        self.known_from = now

    def drop_old(self, now: float) -> None:
        while self.replaced and self.replaced[0][0] <= now - self.memory_s:
            dropped_at, _ = self.replaced.popleft()
            self.known_from = max(self.known_from, dropped_at)

    def is_keeper(self, workspace: str, share: int) -> bool:
        """Return whether the ring in force gives a share to this node."""
        return self.ring.find_keeper(workspace, share) == self.instance

    def get_kept_time(self, workspace: str, share: int, now: float) -> float:
        """Return the seconds for which this node has surely been a share's keeper."""
        self.drop_old(now)
        since = self.known_from
        for replaced_at, ring in self.replaced:
            if ring.find_keeper(workspace, share) != self.instance:
                since = max(since, replaced_at)
        return max(0.0, now - since)
