"""Tests of the bounded dictionary."""

import unittest

from catkinpost.state.bounded import BoundedDict


class TestBoundedDict(unittest.TestCase):
    def test_entry_that_was_not_used_for_longest_is_forgotten(self):
        entries = BoundedDict(2)
        for key in ("a", "b", "a", "c"):
            entries.get_or_create(key, list)
        self.assertEqual(list(entries), ["a", "c"])

    def test_entry_is_made_once(self):
        entries = BoundedDict(2)
        entries.get_or_create("a", list).append(1)
        self.assertEqual(entries.get_or_create("a", list), [1])
