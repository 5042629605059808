"""Copy of the platform's keys that a node shares with its peers."""

import math
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, replace

from catkinpost.protocol.message import FeedItem, FeedPage

__all__ = [
    "FIRST_ERA",
    "NO_ERA",
    "NO_REVISION",
    "ChangePage",
    "FeedState",
    "KeyChange",
    "Snapshot",
]

NO_REVISION = -1
NO_ERA = -1
FIRST_ERA = 0
MAX_DELETED_KEYS = 4096


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyChange:
    """Change of one key.

    :param key: changed key.
    :param value: new value, ``None`` when the key was deleted.
    :param revision: revision of the change.
    :param read_at: time on the node's clock at which the change was read.
    """

    key: str
    value: bytes | None
    revision: int = 0
    read_at: float = 0.0


@dataclass(frozen=True, kw_only=True)
class ChangePage:
    """All changes up to a revision.

    :param era: number of times the platform was restored from an older copy; it gives
        out the revisions of an earlier era again.
    :param known_at: latest time on the node's clock at which the platform surely held
        this state, minus infinity for a state that may be older.
    """

    changes: list[KeyChange]
    revision: int
    era: int = FIRST_ERA
    known_at: float = -math.inf


class Snapshot(ChangePage):
    """All keys of the platform; an absent key was deleted."""


class FeedState:
    """Keys with their revisions, merged from the platform and from peers.

    Of two changes of one key the one with the higher revision holds, whatever the order
    in which they arrive. Deleted keys are remembered, so that an older value from a
    peer does not bring them back.

    Revisions are comparable within one era only. An era begins with a page of all keys,
    which replaces what was known; pages of an earlier era are ignored. An older value
    that this page brings back does not replace a newer one that is known, which then
    stands at the revision of the older one and is passed on to peers.

    :param is_older: returns whether a value of a key is older than another one.
    :param hide_secrets: returns a value of a key as it is kept and passed on.
    :ivar era: era of all revisions.
    :ivar was_restored: whether a second era was seen.
    :ivar revision: revision up to which all changes are known.
    :ivar base_revision: revision after which all deletions are known.
    """

    def __init__(
        self,
        is_older: Callable[[str, bytes, bytes], bool],
        hide_secrets: Callable[[str, bytes], bytes] = lambda key, value: value,
    ) -> None:
        self.is_older = is_older
        self.hide_secrets = hide_secrets
        self.items: dict[str, KeyChange] = {}
        self.deleted: OrderedDict[str, int] = OrderedDict()
        self.era = NO_ERA
        self.was_restored = False
        self.revision = NO_REVISION
        self.base_revision = NO_REVISION

    def merge(self, page: ChangePage) -> list[KeyChange]:
        """Merge changes and return those that were new.

        :param page: changes that follow the known revision without a gap, or a
            snapshot; a snapshot if the era is new.
        """
        if page.era < self.era:
            return []
        if page.era > self.era:
            self.begin_era(page.era)
        clean = [self.clean_change(change) for change in page.changes]
        changes = [change for change in clean if self.merge_change(change)]
        if isinstance(page, Snapshot):
            listed_keys = {change.key for change in page.changes}
            changes += self.delete_absent_keys(listed_keys, page.revision)
        self.revision = max(self.revision, page.revision)
        return changes

    def clean_change(self, change: KeyChange) -> KeyChange:
        if change.value is None:
            return change
        return replace(change, value=self.hide_secrets(change.key, change.value))

    def begin_era(self, era: int) -> None:
        """Make everything that is known older than all revisions of a new era."""
        self.was_restored = self.era != NO_ERA
        self.era = era
        self.revision = NO_REVISION
        self.base_revision = NO_REVISION
        for key, item in self.items.items():
            self.items[key] = replace(item, revision=NO_REVISION)
        self.deleted.clear()

    def merge_change(self, change: KeyChange) -> bool:
        """Merge one change and return whether it was new."""
        known = self.items.get(change.key)
        if not self.is_newer(change):
            return False
        if change.value is None:
            self.record_deletion(change.key, change.revision)
            return known is not None
        if self.keep_known_value(change):
            return False
        self.items[change.key] = change
        self.deleted.pop(change.key, None)
        return True

    def is_newer(self, change: KeyChange) -> bool:
        """Return whether a change is newer than what is known of its key."""
        known = self.items.get(change.key)
        if known is None:
            # A key unknown at the base revision was deleted before it.
            deleted_at = self.deleted.get(change.key, self.base_revision)
            return change.revision > deleted_at
        if change.revision != known.revision or change.value is None:
            return change.revision > known.revision
        # Of two peers only one may know a change that a restored platform has lost.
        return change.value != known.value and self.is_older(
            change.key, known.value, change.value
        )

    def keep_known_value(self, change: KeyChange) -> bool:
        """Keep the value of an earlier era unless the platform has a newer one.

        :param change: first change of the key in this era.
        :return: whether it was kept, at the revision of the change.
        """
        known = self.items.get(change.key)
        if known is None or known.revision != NO_REVISION:
            return False
        # An equal value tells how old it was when it was read first.
        is_kept = change.value == known.value or self.is_older(
            change.key, change.value, known.value
        )
        if is_kept:
            self.items[change.key] = replace(known, revision=change.revision)
        return is_kept

    def delete_absent_keys(
        self, listed_keys: set[str], revision: int
    ) -> list[KeyChange]:
        """Delete the keys that a snapshot of a revision does not list."""
        absent = [
            key
            for key, item in self.items.items()
            if key not in listed_keys and item.revision <= revision
        ]
        for key in absent:
            self.record_deletion(key, revision)
        # Keys may have come and gone since the last revision that was known.
        self.base_revision = max(self.base_revision, revision)
        return [KeyChange(key=key, value=None, revision=revision) for key in absent]

    def record_deletion(self, key: str, revision: int) -> None:
        self.items.pop(key, None)
        self.deleted[key] = revision
        self.deleted.move_to_end(key)
        if len(self.deleted) > MAX_DELETED_KEYS:
            _, forgotten_revision = self.deleted.popitem(last=False)
            self.base_revision = max(self.base_revision, forgotten_revision)

    def build_page(
        self,
        since: int,
        now: float,
        *,
        age_s: float,
        recovered_s: float,
        failing: bool,
        is_confirmed: bool,
        known_age_s: float = -1.0,
        era: int | None = None,
    ) -> FeedPage:
        """Build the message with all changes after a revision.

        :param since: revision up to which the receiver knows all changes.
        :param now: time on the node's clock.
        :param age_s: seconds since the platform has confirmed the state, negative for
            no confirmation.
        :param recovered_s: seconds since the platform's last recovery from an outage,
            negative for none.
        :param failing: whether the sender fails to read the platform.
        :param is_confirmed: whether the state was confirmed since the sender's start.
        :param known_age_s: seconds since the platform held the state, by whatever way
            this is known, negative if it is not.
        :param era: era of ``since``, ``None`` for a receiver that knows no eras.
        """
        is_other_era = era is not None and era != self.era
        if is_other_era:
            since = NO_REVISION
        items = [
            FeedItem(
                item.key, item.revision, int((now - item.read_at) * 1e6), item.value
            )
            for item in self.items.values()
            if item.revision > since
        ]
        is_complete = is_other_era or since < self.base_revision
        if not is_complete:
            items += [
                FeedItem(key, revision, 0, None)
                for key, revision in self.deleted.items()
                if revision > since
            ]
        return FeedPage(
            since=since,
            revision=self.revision,
            age_us=int(age_s * 1e6),
            recovered_us=int(recovered_s * 1e6),
            failing=failing,
            items=items,
            keys=list(self.items) if is_complete else None,
            is_confirmed=is_confirmed,
            era=self.era,
            clock_us=int(now * 1e6),
            known_age_us=math.ceil(known_age_s * 1e6),
        )

    def get_page_era(self, page: FeedPage) -> int:
        """Return the era of a peer's page.

        A sender that knows no eras may be in any. It is followed until the platform is
        restored: afterwards its revisions may be those of an earlier era.
        """
        if page.era is not None:
            return page.era
        return NO_ERA if self.was_restored else max(FIRST_ERA, self.era)

    def is_outdated(self, page: FeedPage) -> bool:
        """Return whether a peer's page is of an earlier era."""
        return self.get_page_era(page) < self.era

    def merge_feed_page(self, page: FeedPage, now: float) -> list[KeyChange] | None:
        """Merge the changes that a peer has sent.

        :param page: the peer's message.
        :param now: time on the node's clock.
        :return: the changes that were new, or ``None`` when changes between the known
            revision and those of the page are missing.
        """
        era = self.get_page_era(page)
        if era < self.era:
            return []
        known_revision = NO_REVISION if era > self.era else self.revision
        if page.since > known_revision:
            return None
        changes = [
            KeyChange(
                key=item.key,
                value=item.value,
                revision=item.revision,
                read_at=now - item.age_us / 1e6,
            )
            for item in page.items
        ]
        new = self.merge(ChangePage(changes=changes, revision=page.revision, era=era))
        if page.keys is not None:
            new += self.delete_absent_keys(set(page.keys), page.revision)
        return new
