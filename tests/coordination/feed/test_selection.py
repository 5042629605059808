"""Tests of the choice of feeds."""

import random
import unittest

from nose2.tools import params

from catkinpost.coordination.feed.selection import (
    ISOLATED_S,
    READERS,
    STAGE_S,
    FeedSelector,
    rank_readers,
)
from catkinpost.protocol.settings import Address
from catkinpost.state.instance_view import Instance, InstanceState, InstanceView

MAX_AGE_S = 1.75
RANKED = [f"node-{number}" for number in range(10)]


def make_view(states):
    """Build a list from (name, region, state)."""
    address = Address("127.0.0.1", 1)
    view = InstanceView()
    instances = [
        Instance(
            name=name,
            service="sets",
            data_centre=region,
            region=region,
            calls=address,
            peers=address,
            operators=address,
            state=state,
        )
        for name, region, state in states
    ]
    view.apply_list(1, instances, 0.0)
    return view


class TestSelection(unittest.TestCase):
    @params(("node-0", ["node-0", "node-1"]), ("node-7", ["node-0", "node-1"]))
    def test_first_nodes_read_and_the_others_follow(self, own_name, expected):
        self.assertEqual(
            FeedSelector(own_name, MAX_AGE_S).select(RANKED, 0.0), expected
        )

    def test_node_without_a_list_reads(self):
        self.assertEqual(FeedSelector("own", MAX_AGE_S).select([], 0.0), ["own"])

    def test_one_fresh_feed_is_enough(self):
        selector = FeedSelector("node-7", MAX_AGE_S)
        for now in range(20):
            selected = selector.select(RANKED, float(now))
            selector.record_confirmation("node-1", now + 0.9)
        self.assertEqual(selected, RANKED[:READERS])

    @params("silent", "failing")
    def test_stale_feeds_make_the_next_readers_due(self, how):
        selector = FeedSelector("node-9", MAX_AGE_S)
        selector.select(RANKED, 0.0)
        for name in RANKED[:READERS]:
            selector.record_confirmation(name, 0.0)
            selector.statuses[name].heard_at = 0.0
        selector.select(RANKED, 0.1)
        now = MAX_AGE_S + 0.1
        if how == "failing":
            now = 0.2
            for name in RANKED[:READERS]:
                selector.statuses[name].failing = True
        self.assertEqual(selector.select(RANKED, now), RANKED[: 2 * READERS])
        later = selector.select(RANKED, now + 1.1 * STAGE_S)
        self.assertEqual(later[:READERS], RANKED[:READERS])
        self.assertEqual(later[READERS : 2 * READERS], RANKED[4:6])

    def test_replacement_is_kept_until_a_first_reader_is_fresh(self):
        selector = FeedSelector("node-9", MAX_AGE_S)
        selector.select(RANKED, 0.0)
        selector.select(RANKED, STAGE_S)
        selector.record_confirmation("node-3", STAGE_S)
        self.assertIn("node-3", selector.select(RANKED, STAGE_S + 1.0))
        selector.record_confirmation("node-0", STAGE_S + 1.1)
        self.assertEqual(selector.select(RANKED, STAGE_S + 1.2), RANKED[:READERS])

    def test_node_that_hears_no_peer_reads(self):
        selector = FeedSelector("node-9", MAX_AGE_S)
        self.assertNotIn("node-9", selector.select(RANKED, 0.0))
        self.assertIn("node-9", selector.select(RANKED, ISOLATED_S))

    def test_node_that_hears_failing_peers_waits_for_its_turn(self):
        """Guards against all nodes reading at once while the platform is away."""
        selectors = [FeedSelector(name, MAX_AGE_S) for name in RANKED]
        for step in range(400):
            now = step * 0.1
            readers = set()
            for selector in selectors:
                selected = selector.select(RANKED, now)
                readers.update(selected)
                for name in selected:
                    selector.statuses[name].heard_at = now
                    selector.statuses[name].failing = True
            self.assertLessEqual(len(readers), 2 * READERS)

    def test_every_node_becomes_a_reader_in_turn(self):
        selector = FeedSelector("node-9", MAX_AGE_S)
        tried = set()
        for step in range(100):
            selected = selector.select(RANKED, step * 0.1)
            tried.update(selected)
            for name in selected:
                selector.statuses[name].heard_at = step * 0.1
        self.assertEqual(tried, set(RANKED))

    def test_rank_leaves_out_leaving_instances_and_other_regions(self):
        live = InstanceState.LIVE
        view = make_view(
            [
                ("a", "east", live),
                ("b", "east", InstanceState.LEAVING),
                ("c", "west", live),
                ("d", "east", live),
            ]
        )
        self.assertEqual(set(rank_readers(view, "east")), {"a", "d"})
        self.assertEqual(rank_readers(view, "east"), rank_readers(view, "east"))
        self.assertEqual(set(rank_readers(view, "north")), {"a", "c", "d"})

    def test_random_losses_leave_a_fresh_feed_and_few_readers(self):
        """Replays readers that are lost and return at random over an hour."""
        rng = random.Random(7)
        selectors = {name: FeedSelector(name, MAX_AGE_S) for name in RANKED}
        down_until = dict.fromkeys(RANKED, 0.0)
        oldest_s = 0.0
        for step in range(4 * 3600):
            now = step * 0.25
            if rng.random() < 0.02:
                down_until[rng.choice(RANKED)] = now + rng.uniform(0.5, 20.0)
            up = [name for name in RANKED if down_until[name] <= now]
            readers = set()
            for name in up:
                readers.update(selectors[name].select(RANKED, now))
            for name in up:
                selector = selectors[name]
                for feed in selector.statuses:
                    if feed in up and feed in readers:
                        selector.record_confirmation(feed, now)
                        selector.get_or_create(feed).heard_at = now
                        selector.get_or_create(feed).failing = False
                if now - down_until[name] > 10.0 and now > 10.0:
                    oldest_s = max(oldest_s, now - selector.confirmed_at)
        self.assertLessEqual(oldest_s, MAX_AGE_S + 2 * STAGE_S)
