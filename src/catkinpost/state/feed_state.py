"""Copy of the platform's keys that a node shares with its peers."""

from collections import OrderedDict
from dataclasses import dataclass

from catkinpost.protocol.message import FeedItem, FeedPage

__all__ = ["NO_REVISION", "ChangePage", "FeedState", "KeyChange", "Snapshot"]

NO_REVISION = -1
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
    """All changes up to a revision."""

    changes: list[KeyChange]
    revision: int


class Snapshot(ChangePage):
    """All keys of the platform; an absent key was deleted."""


class FeedState:
    """Keys with their revisions, merged from the platform and from peers.

    Of two changes of one key the one with the higher revision holds, whatever the order
    in which they arrive. Deleted keys are remembered, so that an older value from a
    peer does not bring them back.

    :ivar revision: revision up to which all changes are known.
    :ivar base_revision: revision after which all deletions are known.
    """

    def __init__(self) -> None:
        self.items: dict[str, KeyChange] = {}
        self.deleted: OrderedDict[str, int] = OrderedDict()
        self.revision = NO_REVISION
        self.base_revision = NO_REVISION

    def merge(self, page: ChangePage) -> list[KeyChange]:
        """Merge changes and return those that were new.

        :param page: changes that follow the known revision without a gap, or a
            snapshot.
        """
        changes = [change for change in page.changes if self.merge_change(change)]
        if isinstance(page, Snapshot):
            listed_keys = {change.key for change in page.changes}
            changes += self.delete_absent_keys(listed_keys, page.revision)
        self.revision = max(self.revision, page.revision)
        return changes

    def merge_change(self, change: KeyChange) -> bool:
        """Merge one change and return whether it was new."""
        known = self.items.get(change.key)
        known_revision = self.deleted.get(change.key, NO_REVISION)
        if known is not None:
            known_revision = known.revision
        if change.revision <= known_revision:
            return False
        if change.value is not None:
            self.items[change.key] = change
            self.deleted.pop(change.key, None)
            return True
        self.record_deletion(change.key, change.revision)
        return known is not None

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
        """
        items = [
            FeedItem(
                item.key, item.revision, int((now - item.read_at) * 1e6), item.value
            )
            for item in self.items.values()
            if item.revision > since
        ]
        is_complete = since < self.base_revision
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
        )

    def merge_feed_page(self, page: FeedPage, now: float) -> list[KeyChange] | None:
        """Merge the changes that a peer has sent.

        :param page: the peer's message.
        :param now: time on the node's clock.
        :return: the changes that were new, or ``None`` when changes between the known
            revision and those of the page are missing.
        """
        if page.keys is None and page.since > self.revision:
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
        new = self.merge(ChangePage(changes=changes, revision=page.revision))
        if page.keys is not None:
            new += self.delete_absent_keys(set(page.keys), page.revision)
        return new
