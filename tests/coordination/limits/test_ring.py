"""Tests of the keepers of shares."""

import unittest
from collections import Counter

from nose2.tools import params

from catkinpost.coordination.limits.ring import SHARES, KeeperRing, KeeperRings

MEMORY_S = 4.0
NAMES = [f"10.0.0.{number}" for number in range(66)]
WORKSPACES = [f"w-{number}" for number in range(300)]


def find_kept(ring, name):
    return {
        (workspace, share)
        for workspace in WORKSPACES
        for share, keeper in enumerate(ring.find_keepers(workspace))
        if keeper == name
    }


class TestKeeperRing(unittest.TestCase):
    def test_order_of_the_list_does_not_matter(self):
        first, second = KeeperRing(NAMES), KeeperRing(reversed(NAMES))
        for workspace in WORKSPACES:
            self.assertEqual(
                first.find_keepers(workspace), second.find_keepers(workspace)
            )

    def test_change_of_the_list_moves_the_shares_of_one_instance_only(self):
        before, after = KeeperRing(NAMES), KeeperRing(NAMES[1:])
        moved = {
            (workspace, share)
            for workspace in WORKSPACES
            for share in range(SHARES)
            if before.find_keeper(workspace, share)
            != after.find_keeper(workspace, share)
        }
        self.assertEqual(moved, find_kept(before, NAMES[0]))

    def test_no_instance_keeps_many_shares(self):
        ring = KeeperRing(NAMES)
        counts = Counter(
            keeper
            for workspace in WORKSPACES
            for keeper in ring.find_keepers(workspace)
        )
        mean = len(WORKSPACES) * SHARES / len(NAMES)
        self.assertLess(max(counts.values()), 2.5 * mean)

    def test_empty_list_has_no_keeper(self):
        self.assertEqual(KeeperRing().find_keepers("lab"), [None] * SHARES)


class TestKeptTime(unittest.TestCase):
    def make_rings(self):
        rings = KeeperRings(NAMES[0], MEMORY_S)
        rings.update(NAMES, 10.0)
        self.share = min(find_kept(rings.ring, NAMES[0]))
        return rings

    def test_time_begins_with_the_first_list(self):
        rings = self.make_rings()
        self.assertEqual(rings.get_kept_time(*self.share, 13.0), 3.0)

    @params(0.0, 2.0)
    def test_time_begins_anew_when_the_share_was_away(self, away_s):
        rings = self.make_rings()
        rings.update(NAMES[1:], 20.0)
        rings.update(NAMES, 20.0 + away_s)
        self.assertEqual(rings.get_kept_time(*self.share, 21.0 + away_s), 1.0)

    def test_changes_of_others_do_not_matter(self):
        rings = self.make_rings()
        for number in range(1, 4):
            rings.update([NAMES[0], *NAMES[number:]], 20.0 + number)
        kept_s = rings.get_kept_time(*self.share, 24.0)
        self.assertGreaterEqual(kept_s, 3.0)

    def test_forgotten_rings_count_as_unknown(self):
        rings = self.make_rings()
        rings.forget(12.0)
        self.assertEqual(rings.get_kept_time(*self.share, 13.0), 1.0)

    def test_number_of_rings_is_bounded_by_their_age(self):
        rings = self.make_rings()
        for number in range(100):
            rings.update(NAMES[number % 2 :], 20.0 + number)
        self.assertLessEqual(len(rings.replaced), MEMORY_S + 1)
