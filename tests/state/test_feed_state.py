"""Tests of the copy of the platform's keys."""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from nose2.tools import params

from catkinpost.state.feed_state import ChangePage, FeedState, KeyChange, Snapshot

KEYS = ("a", "b", "c", "d")


def change(key, revision, value=b"v"):
    return KeyChange(key=key, value=value, revision=revision, read_at=0.0)


def page_of(*changes, revision):
    return ChangePage(changes=list(changes), revision=revision)


def snapshot_of(*changes, revision):
    return Snapshot(changes=list(changes), revision=revision)


def build_page(state, since, now=0.0):
    return state.build_page(
        since, now, age_s=0.0, recovered_s=-1.0, failing=False, is_confirmed=True
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
    )
    def test_newest_change_of_each_key_holds(self, pages, expected):
        state = FeedState()
        for page in pages:
            state.merge(page)
        self.assertEqual(
            {key: item.revision for key, item in state.items.items()}, expected
        )

    def test_only_new_changes_are_returned(self):
        state = FeedState()
        state.merge(page_of(change("a", 1), revision=1))
        new = state.merge(page_of(change("a", 1), change("b", 2), revision=2))
        self.assertEqual([item.key for item in new], ["b"])
        new = state.merge(snapshot_of(change("b", 2), revision=3))
        self.assertEqual([(item.key, item.value) for item in new], [("a", None)])

    def test_page_behind_a_gap_is_not_applied(self):
        reader = FeedState()
        reader.merge(snapshot_of(revision=0))
        reader.merge(page_of(change("a", 4), revision=4))
        reader.merge(page_of(change("b", 6), revision=6))
        state = FeedState()
        state.merge(snapshot_of(revision=0))
        self.assertIsNone(state.merge_feed_page(build_page(reader, since=4), 0.0))
        self.assertEqual(state.items, {})

    def test_age_of_a_value_travels_with_it(self):
        reader = FeedState()
        reader.merge(page_of(change("a", 1), revision=1))
        state = FeedState()
        state.merge_feed_page(build_page(reader, since=-1, now=5.0), 100.0)
        self.assertEqual(state.items["a"].read_at, 95.0)


class FeedMachine(RuleBasedStateMachine):
    """A platform, two readers that skip and restart, and a node that follows both."""

    def __init__(self):
        super().__init__()
        self.platform = {}
        self.history = []
        self.revision = 0
        self.readers = [FeedState(), FeedState()]
        self.node = FeedState()
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

    @rule(index=st.integers(0, 1))
    def read_changes(self, index):
        reader = self.readers[index]
        changes = [item for item in self.history if item.revision > reader.revision]
        reader.merge(page_of(*changes, revision=self.revision))

    @rule(index=st.integers(0, 1), restarts=st.booleans())
    def read_snapshot(self, index, restarts):
        if restarts:
            self.readers[index] = FeedState()
        page = snapshot_of(*self.platform.values(), revision=self.revision)
        self.readers[index].merge(page)

    @rule(index=st.integers(0, 1), since=st.integers(-1, 30))
    def follow(self, index, since):
        """Receive a page, perhaps of an older subscription."""
        reader = self.readers[index]
        page = build_page(reader, min(since, self.node.revision))
        self.node.merge_feed_page(page, 0.0)
        if page.since == self.node.revision:
            assert self.node.revision >= reader.revision

    @invariant()
    def node_equals_the_platform_as_of_its_revision(self):
        expected = {}
        for item in self.history:
            if item.revision > self.node.revision:
                break
            expected[item.key] = item.value
        expected = {key: value for key, value in expected.items() if value is not None}
        got = {key: item.value for key, item in self.node.items.items()}
        assert got == expected, (got, expected)

    @invariant()
    def no_key_goes_back(self):
        for key, item in self.node.items.items():
            assert item.revision >= self.last_revisions.get(key, 0)
            self.last_revisions[key] = item.revision


TestFeedMachine = FeedMachine.TestCase
