"""Choice of the peers whose copy of the platform's keys a node follows."""

import math
from dataclasses import dataclass

from catkinpost.coordination.peers.link_table import compute_ring_position
from catkinpost.state.instance_view import InstanceState, InstanceView

__all__ = ["FeedSelector", "FeedStatus", "rank_readers"]

# Two independent feeds: the loss of one reader delays no change.
READERS = 2
# Time for a feed to connect, read and deliver before the next readers are tried.
STAGE_S = 0.5
# A node that hears from no peer for this time reads for itself.
ISOLATED_S = 0.8


@dataclass(eq=False, slots=True)
class FeedStatus:
    """What is known about one feed.

    :param confirmed_at: time at which the platform confirmed the feed's state.
    :param heard_at: time of the last message.
    :param failing: whether the feed's reader fails to read the platform.
    """

    confirmed_at: float = -math.inf
    heard_at: float = -math.inf
    failing: bool = False


class FeedSelector:
    """Selector of the feeds that a node follows; its own reading is one of them.

    Load pattern: hundreds of nodes watch one source, and each change wakes all of them.
    Instead, the first nodes of each region in a fixed order read, and the others follow
    two of these. While no feed is fresh, the node tries the next nodes in the same
    order, a few at a time. All nodes try the same ones at about the same time, so that
    the number of readers stays small when the source or a reader fails, and no node
    reads for itself because others do.

    :param own_name: name of this node's instance.
    :param max_age_s: seconds after its last confirmation for which a feed is fresh.
    :ivar confirmed_at: newest confirmation over all feeds so far.
    """

    def __init__(self, own_name: str, max_age_s: float) -> None:
        self.own_name = own_name
        self.max_age_s = max_age_s
        self.statuses: dict[str, FeedStatus] = {}
        self.confirmed_at = -math.inf
        self.stale_since: float | None = None
        self.first_stage = 0

    def get_or_create(self, name: str) -> FeedStatus:
        """Return the status of a feed."""
        return self.statuses.setdefault(name, FeedStatus())

    def record_confirmation(self, name: str, confirmed_at: float) -> None:
        """Record that the platform confirmed the state of a feed."""
        status = self.get_or_create(name)
        status.confirmed_at = max(status.confirmed_at, confirmed_at)
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def is_fresh(self, name: str, now: float) -> bool:
        """Return whether a feed delivers the current state."""
        status = self.statuses.get(name)
        if status is None or status.failing:
            return False
        return now - status.confirmed_at <= self.max_age_s

    def select(self, ranked: list[str], now: float) -> list[str]:
        """Return the names of the feeds to follow, own name to read the platform.

        :param ranked: names of the region's instances in the order of their turn.
        :param now: time on the node's clock.
        """
        if self.own_name not in ranked:
            ranked = [*ranked, self.own_name]
        base = ranked[:READERS]
        fresh = [name for name in self.statuses if self.is_fresh(name, now)]
        if fresh:
            self.stale_since = None
            self.first_stage = 1
            has_fresh_base = any(name in base for name in fresh)
            selected = base if has_fresh_base else base + fresh
        else:
            selected = base + self.select_next_readers(ranked, now)
        selected = list(dict.fromkeys(selected))
        if self.is_isolated(now) and self.own_name not in selected:
            selected.append(self.own_name)
        self.drop_other_statuses(selected)
        return selected

    def select_next_readers(self, ranked: list[str], now: float) -> list[str]:
        """Return the readers to try while no feed is fresh."""
        if self.stale_since is None:
            self.stale_since = now
        stage = self.first_stage + int((now - self.stale_since) / STAGE_S)
        if not stage or len(ranked) <= READERS:
            return []
        stages = math.ceil(len(ranked) / READERS)
        start = READERS * (1 + (stage - 1) % (stages - 1))
        return ranked[start : start + READERS]

    def is_isolated(self, now: float) -> bool:
        """Return whether no feed is fresh and no peer was heard for long."""
        if self.stale_since is None or now - self.stale_since < ISOLATED_S:
            return False
        return not any(
            now - status.heard_at < ISOLATED_S + self.max_age_s
            for name, status in self.statuses.items()
            if name != self.own_name
        )

    def drop_other_statuses(self, selected: list[str]) -> None:
        for name in list(self.statuses):
            if name not in selected and name != self.own_name:
                del self.statuses[name]
        for name in selected:
            self.get_or_create(name)


def rank_readers(view: InstanceView, own_region: str) -> list[str]:
    """Return the live instances of a region in the order in which they read.

    The order depends on the names alone, so that nodes with the same list agree on it.

    :param view: list of instances.
    :param own_region: region; instances of all regions count when it has none.
    """
    live = [
        item for item in view.instances.values() if item.state is InstanceState.LIVE
    ]
    regional = [item for item in live if item.region == own_region]
    return sorted((item.name for item in regional or live), key=compute_ring_position)
