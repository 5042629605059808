"""Tests of the order in time of two values."""

import json
import unittest

from nose2.tools import params

from catkinpost.platform.recency import is_older_value
from tests.platform.test_document import CONFIG
from tests.platform.test_listing import make_entry

CONFIG_KEY = "op/config"
SERVER_KEY = "servers/i-1"


def encode_config(version):
    return json.dumps(CONFIG | {"version": version}).encode()


class TestIsOlderValue(unittest.TestCase):
    @params(
        # (key, value, other value, expected)
        (CONFIG_KEY, encode_config(7), encode_config(9), True),
        (CONFIG_KEY, encode_config(9), encode_config(9), False),
        (CONFIG_KEY, encode_config(11), encode_config(9), False),
        (CONFIG_KEY, b"{", encode_config(9), False),
        (CONFIG_KEY, encode_config(7), b"", False),
        (SERVER_KEY, make_entry(sequence=3), make_entry(sequence=4), True),
        (SERVER_KEY, make_entry(sequence=4), make_entry(sequence=4), False),
        (SERVER_KEY, make_entry(sequence=5), make_entry(sequence=4), False),
        (
            SERVER_KEY,
            make_entry(sequence=1, born=2000),
            make_entry(sequence=4, born=1000),
            False,
        ),
        (
            SERVER_KEY,
            make_entry(sequence=9, born=1000),
            make_entry(sequence=4, born=2000),
            True,
        ),
        (SERVER_KEY, b"", make_entry(), False),
        ("other", b"1", b"2", False),
    )
    def test_order_of_two_values(self, key, value, other, expected):
        self.assertIs(is_older_value(key, value, other), expected)
