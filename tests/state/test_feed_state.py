"""Tests of the copy of the platform's keys."""

import unittest

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from nose2.tools import params

from catkinpost.state.feed_state import ChangePage, FeedState, KeyChange, Snapshot

KEYS = ("a", "b", "c", "d")


def change(key, revision, value=b"v"):
    return KeyChange(key=key, value=value, revision=revision, read_at=0.0)


def is_older(key, value, other):
    """Return whether a value is a lower number than another one."""
    return value.isdigit() and other.isdigit() and int(value) < int(other)


def page_of(*changes, revision, era=0):
    return ChangePage(changes=list(changes), revision=revision, era=era)


def snapshot_of(*changes, revision, era=0):
    return Snapshot(changes=list(changes), revision=revision, era=era)


def build_page(state, since, now=0.0, era=None):
    return state.build_page(
        since,
        now,
        age_s=0.0,
        recovered_s=-1.0,
        failing=False,
        is_confirmed=True,
        era=era,
    )


class TestFeedState(unittest.TestCase):
    @params(
        # (pages in the order of their arrival, expected keys)
        ([page_of(change("a", 1), revision=1)], {"a": 1}),
        (
            [page_of(change("a", 3), revision=3), page_of(change("a", 2), revision=2)],
            {"a": 3},
        ),
        (
            [
                page_of(change("a", 3, None), revision=3),
                page_of(change("a", 2), revision=2),
            ],
            {},
        ),
        (
            [
                page_of(change("a", 3, None), revision=3),
                page_of(change("a", 4), revision=4),
            ],
            {"a": 4},
        ),
        (
            [
                page_of(change("a", 1), revision=1),
                snapshot_of(change("b", 2), revision=5),
            ],
            {"b": 2},
        ),
        ([page_of(change("a", 9), revision=9), snapshot_of(revision=5)], {"a": 9}),
        # A lower revision of a later era is newer, and a higher one of an earlier not.
        (
            [
                page_of(change("a", 9), change("b", 8), revision=9),
                snapshot_of(change("a", 2, b"w"), revision=3, era=1),
                page_of(change("a", 4, b"x"), revision=4, era=1),
                page_of(change("a", 10), change("b", 10), revision=10),
            ],
            {"a": 4},
        ),
        (
            [
                page_of(change("a", 9, None), revision=9),
                snapshot_of(revision=3, era=1),
                page_of(change("a", 4), revision=4, era=1),
            ],
            {"a": 4},
        ),
    )
    def test_newest_change_of_each_key_holds(self, pages, expected):
        state = FeedState(is_older)
        for page in pages:
            state.merge(page)
        self.assertEqual(
            {key: item.revision for key, item in state.items.items()}, expected
        )

    def test_only_new_changes_are_returned(self):
        state = FeedState(is_older)
        state.merge(page_of(change("a", 1), revision=1))
        new = state.merge(page_of(change("a", 1), change("b", 2), revision=2))
        self.assertEqual([item.key for item in new], ["b"])
        new = state.merge(snapshot_of(change("b", 2), revision=3))
        self.assertEqual([(item.key, item.value) for item in new], [("a", None)])

    def test_list_of_all_keys_does_not_hide_a_gap(self):
        """The list has the keys, and the page no values up to its start."""
        reader = FeedState(is_older)
        reader.merge(snapshot_of(change("a", 1), change("b", 2), revision=3))
        page = build_page(reader, since=1)
        self.assertEqual(len(page.keys), 2)
        for state in (self.build_state(change("b", 0)), FeedState(is_older)):
            self.assertIsNone(state.merge_feed_page(page, 0.0))
        later = FeedState(is_older)
        later.merge(snapshot_of(change("a", 1), change("b", 2), revision=3, era=1))
        state = self.build_state(change("c", 9))
        self.assertIsNone(state.merge_feed_page(build_page(later, 1, era=1), 0.0))

    def test_lagging_peer_does_not_bring_back_a_key_that_a_full_page_lacks(self):
        """A page of all keys names no deletions."""
        reader = FeedState(is_older)
        reader.merge(snapshot_of(change("a", 1), revision=1))
        lagging = build_page(reader, since=0)
        reader.merge(page_of(change("a", 2, None), revision=2))
        state = FeedState(is_older)
        state.merge(snapshot_of(revision=0))
        state.merge_feed_page(build_page(reader, since=0), 0.0)
        self.assertEqual(state.merge_feed_page(lagging, 0.0), [])
        self.assertEqual(state.items, {})

    def test_page_behind_a_gap_is_not_applied(self):
        reader = FeedState(is_older)
        reader.merge(snapshot_of(revision=0))
        reader.merge(page_of(change("a", 4), revision=4))
        reader.merge(page_of(change("b", 6), revision=6))
        state = FeedState(is_older)
        state.merge(snapshot_of(revision=0))
        self.assertIsNone(state.merge_feed_page(build_page(reader, since=4), 0.0))
        self.assertEqual(state.items, {})

    def test_age_of_a_value_travels_with_it(self):
        reader = FeedState(is_older)
        reader.merge(page_of(change("a", 1), revision=1))
        state = FeedState(is_older)
        state.merge_feed_page(build_page(reader, since=-1, now=5.0), 100.0)
        self.assertEqual(state.items["a"].read_at, 95.0)

    def test_value_that_a_restore_left_keeps_its_age(self):
        state = FeedState(is_older)
        state.merge(page_of(change("a", 5), revision=5))
        restored = KeyChange(key="a", value=b"v", revision=2, read_at=30.0)
        self.assertEqual(state.merge(snapshot_of(restored, revision=2, era=1)), [])
        self.assertEqual((state.items["a"].revision, state.items["a"].read_at), (2, 0))

    @params(
        # (known value, value that the restored platform has, expected)
        (b"7", b"5", b"7"),
        (b"7", b"7", b"7"),
        (b"7", b"9", b"9"),
        (b"7", b"other", b"other"),
    )
    def test_older_value_after_a_restore_does_not_undo_a_newer_one(
        self, known, restored, expected
    ):
        state = FeedState(is_older)
        state.merge(page_of(change("a", 9, known), revision=9))
        new = state.merge(snapshot_of(change("a", 3, restored), revision=4, era=1))
        self.assertEqual(len(new), known != expected)
        self.assertEqual(state.items["a"].value, expected)
        peer = FeedState(is_older)
        peer.merge(snapshot_of(change("a", 3, restored), revision=4, era=1))
        peer.merge_feed_page(build_page(state, since=-1), 0.0)
        self.assertEqual(peer.items["a"].value, expected)
        state.merge_feed_page(build_page(peer, since=-1), 0.0)
        # What is written in the new era holds, whatever its value.
        state.merge(page_of(change("a", 5, b"1"), revision=5, era=1))
        self.assertEqual(state.items["a"].value, b"1")

    def test_change_that_two_peers_send_is_compared_by_its_revision(self):
        """Guards against parsing each configuration once more for each peer."""
        compared = []
        state = FeedState(lambda *values: compared.append(values))
        for _ in range(2):
            state.merge(page_of(change("a", 1), revision=1))
        self.assertEqual(compared, [])

    def test_peer_of_another_era_gets_all_keys(self):
        reader = FeedState(is_older)
        reader.merge(snapshot_of(change("a", 2), revision=3, era=1))
        state = FeedState(is_older)
        state.merge(snapshot_of(change("a", 2), change("b", 7), revision=8))
        delta = build_page(reader, since=3, era=1)
        self.assertIsNone(state.merge_feed_page(delta, 0.0))
        page = build_page(reader, since=8, era=0)
        new = state.merge_feed_page(page, 0.0)
        self.assertEqual([(item.key, item.value) for item in new], [("b", None)])
        self.assertEqual((state.era, state.revision, list(state.items)), (1, 3, ["a"]))

    def test_page_without_an_era_is_taken_until_a_restore(self):
        old = msgspec.structs.replace(
            build_page(self.build_state(change("a", 8)), since=-1), era=None
        )
        state = self.build_state(change("b", 1), era=4)
        self.assertFalse(state.is_outdated(old))
        state.merge_feed_page(old, 0.0)
        self.assertEqual(list(state.items), ["a"])
        state.merge(snapshot_of(revision=2, era=5))
        self.assertTrue(state.is_outdated(old))
        self.assertEqual(state.merge_feed_page(old, 0.0), [])

    def build_state(self, item, era=0):
        state = FeedState(is_older)
        state.merge(snapshot_of(item, revision=item.revision, era=era))
        return state


def build_state():
    """Build a state that takes every value that a restored platform has."""
    return FeedState(lambda key, value, other: False)


class FeedMachine(RuleBasedStateMachine):
    """A platform, two readers that skip and restart, and a node that follows both."""

    def __init__(self):
        super().__init__()
        self.platform = {}
        self.history = []
        self.revision = 0
        self.era = 0
        self.last_histories = {}
        self.copies = [([], 0)]
        self.readers = [build_state(), build_state()]
        self.node = build_state()
        self.last_revisions = {}
        for reader in self.readers:
            reader.merge(snapshot_of(revision=0))
        self.node.merge(snapshot_of(revision=0))

    @rule(key=st.sampled_from(KEYS), deletes=st.booleans())
    def write(self, key, deletes):
        if deletes and key not in self.platform:
            return
        self.revision += 1
        value = None if deletes else b"%d" % self.revision
        self.history.append(change(key, self.revision, value))
        if deletes:
            del self.platform[key]
        else:
            self.platform[key] = self.history[-1]

    @rule()
    def copy(self):
        self.copies.append((list(self.history), self.revision))

    @rule(index=st.integers(0, 100))
    def restore(self, index):
        self.last_histories[self.era] = list(self.history)
        history, self.revision = self.copies[index % len(self.copies)]
        self.history = list(history)
        self.era += 1
        self.platform = {}
        for item in self.history:
            self.platform.pop(item.key, None)
            if item.value is not None:
                self.platform[item.key] = item

    @rule(index=st.integers(0, 1))
    def read_changes(self, index):
        reader = self.readers[index]
        if reader.era != self.era:
            return
        changes = [item for item in self.history if item.revision > reader.revision]
        reader.merge(page_of(*changes, revision=self.revision, era=self.era))

    @rule(index=st.integers(0, 1))
    def read_late_answer(self, index):
        """Receive an answer that the platform gave before it was restored."""
        reader = self.readers[index]
        for era, history in self.last_histories.items():
            if era < reader.era:
                assert reader.merge(page_of(*history, revision=99, era=era)) == []

    @rule(index=st.integers(0, 1), restarts=st.booleans())
    def read_snapshot(self, index, restarts):
        if restarts:
            self.readers[index] = build_state()
        page = snapshot_of(
            *self.platform.values(), revision=self.revision, era=self.era
        )
        self.readers[index].merge(page)

    @rule(index=st.integers(0, 1), since=st.integers(-1, 30))
    def follow(self, index, since):
        """Receive a page, perhaps of an older subscription."""
        reader = self.readers[index]
        page = build_page(reader, min(since, self.node.revision), era=self.node.era)
        self.node.merge_feed_page(page, 0.0)
        assert self.node.era >= reader.era
        if page.since == self.node.revision and self.node.era == reader.era:
            assert self.node.revision >= reader.revision

    @rule(index=st.integers(0, 1))
    def follow_earlier_subscription(self, index):
        """Receive a page that was built for the node's state in another era."""
        reader = self.readers[index]
        page = build_page(reader, self.node.revision, era=reader.era)
        era, revision = self.node.era, self.node.revision
        if self.node.merge_feed_page(page, 0.0) is None:
            assert (self.node.era, self.node.revision) == (era, revision)

    @invariant()
    def node_equals_the_platform_as_of_its_revision(self):
        history = self.history
        if self.node.era != self.era:
            history = self.last_histories[self.node.era]
        expected = {}
        for item in history:
            if item.revision > self.node.revision:
                break
            expected[item.key] = item.value
        expected = {key: value for key, value in expected.items() if value is not None}
        got = {key: item.value for key, item in self.node.items.items()}
        assert got == expected, (got, expected)

    @invariant()
    def no_key_goes_back(self):
        for key, item in self.node.items.items():
            position = (self.node.era, item.revision)
            assert position >= self.last_revisions.get(key, (0, 0))
            self.last_revisions[key] = position


TestFeedMachine = FeedMachine.TestCase
