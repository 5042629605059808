"""Relay of the platform's keys: from the platform or peers to this node and peers."""

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

import trio
from eliot import log_message

from catkinpost.coordination.feed.publisher import FeedPublisher, Session
from catkinpost.coordination.feed.selection import (
    READERS,
    STAGE_S,
    FeedSelector,
    FeedStatus,
    rank_readers,
)
from catkinpost.coordination.peers.link import PeerLink
from catkinpost.coordination.peers.link_table import LinkTable
from catkinpost.coordination.tick import sleep_until_next_tick
from catkinpost.protocol.message import (
    FeedCancel,
    FeedFetch,
    FeedPage,
    FeedSubscribe,
    Hello,
)
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.state.feed_state import (
    NO_ERA,
    NO_REVISION,
    ChangePage,
    FeedState,
    KeyChange,
    Snapshot,
)
from catkinpost.state.instance_view import InstanceView

__all__ = ["FeedRelay", "FeedSettings", "Source"]

SELECTION_INTERVAL_S = 0.25
# Changes that come close together are read with one call.
MIN_WATCH_INTERVAL_S = 0.2
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0
MAX_BOOTSTRAP_DELAY_S = 2.0
# Entries expire after several missed heartbeats, hence not in a shorter outage.
MIN_OUTAGE_S = 1.0


@dataclass(frozen=True, kw_only=True)
class FeedSettings:
    """Bounds of a relay.

    :param wait_s: longest watch of the platform.
    :param max_age_s: age from which a feed counts as stale.
    """

    wait_s: float = 1.0
    max_age_s: float = 1.75


class Source(Protocol):
    """Platform whose keys are read."""

    async def read_snapshot(self, *, may_be_stale: bool = False) -> Snapshot | Failure:
        """Read every key.

        :param may_be_stale: whether the platform may answer with an older state, which
            costs it less.
        """

    async def watch(self, after: int, *, wait_s: float) -> ChangePage | Failure:
        """Wait for changes after a revision."""


class AcceptedSession(Session, Protocol):
    """Connection that a peer has opened to this node."""

    hello: Hello


class FeedRelay:
    """Relay that keeps a copy of the platform's keys and passes changes on.

    :param instance: name of this node's instance.
    :param region: region of this node.
    :param view: list of instances.
    :param links: links to peers.
    :param source: the platform.
    :param is_older: returns whether a value of a key is older than another one.
    :param hide_secrets: returns a value of a key as it is kept and passed on.
    :param on_changes: called with new changes, and once with none when the first state
        was read.
    :param on_known: called with the time up to which all changes are known, after they
        were applied.
    :param spawn: starts a background task.
    :param settings: bounds.
    :param get_sessions: returns the connections that peers have opened to this node.
    :ivar known_at: time on the node's clock up to which it knows all changes.
    """

    def __init__(
        self,
        *,
        instance: str,
        region: str,
        view: InstanceView,
        links: LinkTable,
        source: Source,
        is_older: Callable[[str, bytes, bytes], bool],
        hide_secrets: Callable[[str, bytes], bytes],
        on_changes: Callable[[list[KeyChange]], None],
        on_known: Callable[[float], None],
        spawn: Callable[..., None],
        settings: FeedSettings,
        get_sessions: Callable[[], Iterable[AcceptedSession]],
    ) -> None:
        self.instance = instance
        self.region = region
        self.view = view
        self.links = links
        self.source = source
        self.on_changes = on_changes
        self.on_known = on_known
        self.spawn = spawn
        self.settings = settings
        self.get_sessions = get_sessions
        self.state = FeedState(is_older, hide_secrets)
        self.selector = FeedSelector(instance, settings.max_age_s)
        self.selected: list[str] = []
        self.ranked: list[str] = []
        self.ranked_version: int | None = None
        self.publisher = FeedPublisher(
            build_page=self.build_page, has_news=self.has_news, spawn=spawn
        )
        self.read_requested = trio.Event()
        self.list_learned = trio.Event()
        self.is_confirmed_by_peer = False
        self.failed_at: float | None = None
        self.recovered_at: float | None = None
        self.needs_snapshot = False
        self.last_error = ""
        self.known_at = -math.inf

    @property
    def is_confirmed(self) -> bool:
        """Whether the platform has confirmed the state since the start.

        While the platform cannot be read, the state of a peer for which this holds is
        as good: the peer itself serves by it.
        """
        return self.selector.confirmed_at > -math.inf or self.is_confirmed_by_peer

    @property
    def must_read(self) -> bool:
        """Whether this node reads the platform itself."""
        return self.instance in self.selected or bool(self.publisher.subscribers)

    @property
    def own_status(self) -> FeedStatus:
        """Status of this node's own reading."""
        return self.selector.get_or_create(self.instance)

    async def run(self) -> None:
        """Follow the platform until cancelled."""
        await self.read_first_list()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.read_while_needed)
            while True:
                self.update_selection()
                await sleep_until_next_tick(SELECTION_INTERVAL_S)

    async def read_first_list(self) -> None:
        """Read until the list names an instance.

        The state may be stale: it only tells which peers to ask.
        """
        delay_s = MIN_RETRY_DELAY_S
        while not self.view.instances:
            page = await self.source.read_snapshot(may_be_stale=True)
            if isinstance(page, Failure):
                self.record_failure(page)
                self.fetch_from_peers()
            else:
                self.record_success()
                self.apply(self.merge(page))
                if self.view.instances:
                    return
            with trio.move_on_after(random.uniform(0.5, 1.0) * delay_s):
                await self.list_learned.wait()
            delay_s = min(MAX_BOOTSTRAP_DELAY_S, 2 * delay_s)

    def fetch_from_peers(self) -> None:
        """Ask some peers for their state, as the platform does not answer."""
        sessions = [item for item in self.get_sessions() if item.hello.feeds]
        for session in random.sample(sessions, min(READERS, len(sessions))):
            message = FeedFetch(self.state.revision, self.state.era)
            self.spawn(session.send_notification, message)

    async def read_while_needed(self) -> None:
        """Read the platform while this node or its subscribers need it."""
        retry_delay_s = MIN_RETRY_DELAY_S
        while True:
            if not self.must_read:
                self.read_requested = trio.Event()
                await self.read_requested.wait()
            page = await self.read_page()
            if isinstance(page, Failure):
                self.record_failure(page)
                self.publisher.publish()
                if page.reason is Reason.PLATFORM_HISTORY_GONE:
                    # The platform answers again: a snapshot ends the outage.
                    self.needs_snapshot = True
                    retry_delay_s = MIN_RETRY_DELAY_S
                else:
                    retry_delay_s = max(retry_delay_s, self.get_min_retry_delay())
                await trio.sleep(random.uniform(0.5, 1.0) * retry_delay_s)
                retry_delay_s = min(MAX_RETRY_DELAY_S, retry_delay_s * 2)
                continue
            retry_delay_s = MIN_RETRY_DELAY_S
            self.record_success()
            self.needs_snapshot = False
            self.selector.record_confirmation(self.instance, trio.current_time())
            changes = self.merge(page)
            self.apply(changes)
            self.record_known(page.known_at)
            self.publisher.publish()
            if changes:
                await trio.sleep(MIN_WATCH_INTERVAL_S)

    def get_min_retry_delay(self) -> float:
        """Return the seconds to wait at least after a failure of the source.

        While the source is away, substitute readers take turns of one stage. Retrying
        at once, as the first readers do, every one of them would add its quickest
        retries to those of the ones before.
        """
        is_first_reader = self.instance in self.ranked[:READERS]
        return MIN_RETRY_DELAY_S if is_first_reader else STAGE_S

    async def read_page(self) -> ChangePage | Failure:
        """Read what follows the state, unless the platform was restored meanwhile."""
        era = self.state.era
        page = await self.read_next_page()
        if isinstance(page, Failure):
            return page
        if page.era < self.state.era:
            return Failure(
                reason=Reason.PLATFORM_UNREACHABLE,
                detail="the platform answered from before it was restored",
            )
        if page.era != era and not isinstance(page, Snapshot):
            # The changes follow a revision that this era gave to another change.
            return Failure(
                reason=Reason.PLATFORM_HISTORY_GONE, detail="the platform was restored"
            )
        return page

    async def read_next_page(self) -> ChangePage | Failure:
        if self.needs_snapshot or self.state.revision == NO_REVISION:
            return await self.source.read_snapshot()
        age_s = trio.current_time() - self.own_status.confirmed_at
        # The first watch only confirms the state, which others wait for.
        wait_s = self.settings.wait_s if age_s < self.settings.max_age_s else 0.0
        return await self.source.watch(self.state.revision, wait_s=wait_s)

    def merge(self, page: ChangePage) -> list[KeyChange]:
        """Merge what was read, and return the changes that were new."""
        era = self.state.era
        changes = self.state.merge(page)
        self.record_era(era, trio.current_time())
        return changes

    def record_era(self, previous: int, recovered_at: float) -> None:
        """Record that the platform was restored if the era has changed.

        :param previous: era before the last page.
        :param recovered_at: time of the platform's return.
        """
        if previous in (NO_ERA, self.state.era):
            return
        self.recovered_at = recovered_at
        log_message(
            "feed: platform restored",
            era=self.state.era,
            was=previous,
            revision=self.state.revision,
        )

    def record_failure(self, failure: Failure) -> None:
        """Log a failure of the source, and count its duration."""
        if self.failed_at is None:
            self.failed_at = trio.current_time()
        if failure.detail != self.last_error:
            log_message("feed: not read", reason=failure.reason, why=failure.detail)
        self.last_error = failure.detail
        self.own_status.failing = True

    def record_success(self) -> None:
        """End an outage of the source."""
        self.own_status.failing = False
        if self.failed_at is None:
            return
        now = trio.current_time()
        # A confirmation of any feed shows that the platform was there.
        outage_s = now - max(self.failed_at, self.selector.confirmed_at)
        if outage_s >= MIN_OUTAGE_S:
            self.recovered_at = now
        log_message("feed: read again", seconds=round(outage_s, 3))
        self.failed_at = None
        self.last_error = ""

    def apply(self, changes: list[KeyChange]) -> None:
        """Apply new changes, also none while the list was never applied."""
        if changes or self.view.read_at is None:
            self.on_changes(changes)

    def record_known(self, at: float) -> None:
        """Record that everything up to a time is known and applied."""
        self.known_at = max(self.known_at, at)
        if self.known_at > -math.inf:
            self.on_known(self.known_at)

    def on_pause(self) -> None:
        """Distrust all confirmations: their age does not include the pause."""
        for status in self.selector.statuses.values():
            status.confirmed_at = -math.inf

    def update_selection(self) -> None:
        """Follow the feeds that are selected now, and no others."""
        if self.ranked_version != self.view.version:
            self.ranked_version = self.view.version
            self.ranked = rank_readers(self.view, self.region)
        selected = self.selector.select(self.ranked, trio.current_time())
        if selected != self.selected:
            log_message("feed: selected", feeds=selected, was=self.selected)
            self.change_feeds(selected)
        for name in selected:
            link = self.links.links.get(name)
            if link is not None and not link.is_up:
                link.connect_requested.set()
        if self.must_read:
            self.read_requested.set()

    def change_feeds(self, selected: list[str]) -> None:
        previous, self.selected = self.selected, selected
        for name in selected:
            if name not in previous:
                self.subscribe(name)
        for name in previous:
            link = self.links.links.get(name)
            if name not in selected and link is not None and link.is_up:
                self.send_cancel(link)

    def send_cancel(self, link: PeerLink) -> None:
        if link.welcome.feeds:
            self.spawn(link.send_notification, FeedCancel())

    def subscribe(self, name: str) -> None:
        """Ask a peer for all changes from now on."""
        instance = self.view.instances.get(name)
        if instance is None or name == self.instance:
            return
        link = self.links.get_or_open_link(instance)
        if link.is_up:
            self.send_subscription(link)

    def send_subscription(self, link: PeerLink) -> None:
        # Earlier releases close a connection on which they get an unknown message.
        if link.welcome.feeds:
            message = FeedSubscribe(self.state.revision, self.state.era)
            self.spawn(link.send_notification, message)

    def on_link_up(self, link: PeerLink) -> None:
        """Subscribe again over a new connection."""
        if link.instance in self.selected:
            self.send_subscription(link)

    def on_link_down(self, name: str) -> None:
        """Count the feed of a lost peer as stale."""
        if name in self.selector.statuses:
            self.selector.statuses[name].failing = True
            self.update_selection()

    def on_page(self, link: PeerLink, page: FeedPage) -> None:
        """Apply the changes that a peer has sent."""
        if not self.view.instances:
            self.adopt_first_page(link, page)
            return
        if link.instance not in self.selected:
            return
        now = trio.current_time()
        status = self.selector.get_or_create(link.instance)
        status.heard_at = now
        if self.state.is_outdated(page):
            self.reject_outdated_page(link, page)
            return
        changes = self.merge_page(page, now)
        if changes is None:
            log_message("feed: gap", peer=link.instance, since=page.since)
            self.send_subscription(link)
            return
        status.failing = page.failing
        if page.age_us >= 0:
            self.selector.record_confirmation(link.instance, now - page.age_us / 1e6)
        self.apply(changes)
        self.record_known(find_known_at(link, page, now))
        if changes:
            self.publisher.publish()
        if page.failing:
            self.update_selection()

    def reject_outdated_page(self, link: PeerLink, page: FeedPage) -> None:
        """Count the feed of a peer that is still in an earlier era as stale."""
        status = self.selector.get_or_create(link.instance)
        if not status.failing:
            log_message("feed: earlier era", peer=link.instance, era=page.era)
        status.failing = True
        self.update_selection()

    def merge_page(self, page: FeedPage, now: float) -> list[KeyChange] | None:
        """Merge what a peer has sent, and what it tells of the platform.

        :return: the changes that were new, ``None`` when changes are missing.
        """
        era = self.state.era
        changes = self.state.merge_feed_page(page, now)
        if changes is None:
            return None
        recovered_at = now - max(0, page.recovered_us) / 1e6
        self.record_era(era, recovered_at)
        if page.recovered_us >= 0:
            self.recovered_at = max(self.recovered_at or recovered_at, recovered_at)
        is_source_away = page.failing or self.failed_at is not None
        if page.is_confirmed and is_source_away:
            self.is_confirmed_by_peer = True
        return changes

    def adopt_first_page(self, session: Session, page: FeedPage) -> None:
        """Learn the first list from a peer."""
        if self.state.is_outdated(page):
            return
        changes = self.merge_page(page, trio.current_time())
        if changes is None:
            log_message("feed: gap", peer=session.instance, since=page.since)
            return
        log_message("feed: first state from a peer", peer=session.instance)
        self.apply(changes)
        if self.view.instances:
            self.list_learned.set()

    def on_fetch(self, session: Session, message: FeedFetch) -> None:
        """Send the current state once, if it is worth relying on."""
        if self.is_confirmed:
            page = self.build_page(message.after, message.era)
            self.spawn(session.send_notification, page)

    def on_subscribe(self, session: Session, message: FeedSubscribe) -> None:
        """Add a subscriber and send it the current state."""
        self.publisher.add(session, message.after, message.era)
        if self.must_read:
            self.read_requested.set()

    def on_cancel(self, session: Session) -> None:
        """Remove a subscriber."""
        self.publisher.remove(session)

    def has_news(self) -> bool:
        """Return whether the own reading has succeeded or failed by now."""
        status = self.own_status
        return status.confirmed_at > -math.inf or status.failing

    def build_page(self, since: int, era: int | None = None) -> FeedPage:
        now = trio.current_time()
        recovered_s = -1.0 if self.recovered_at is None else now - self.recovered_at
        # Only the own reading confirms the state: nodes that follow each other would
        # otherwise confirm each other without end.
        confirmed_at = self.own_status.confirmed_at
        age_s = -1.0 if confirmed_at == -math.inf else now - confirmed_at
        return self.state.build_page(
            since,
            now,
            age_s=age_s,
            recovered_s=recovered_s,
            failing=self.own_status.failing,
            is_confirmed=self.is_confirmed,
            known_age_s=-1.0 if self.known_at == -math.inf else now - self.known_at,
            era=era,
        )


def find_known_at(link: PeerLink, page: FeedPage, now: float) -> float:
    """Return the time up to which a page surely holds all changes.

    An earlier release tells no clock: its page counts as delivered at once.

    :param link: link on which it arrived.
    :return: time on this node's clock, minus infinity if nothing is known.
    """
    if page.clock_us is None:
        return now - page.age_us / 1e6 if page.age_us >= 0 else -math.inf
    if page.known_age_us < 0:
        return -math.inf
    written_at = min(now, link.clock.convert(page.clock_us / 1e6, now))
    return written_at - page.known_age_us / 1e6
