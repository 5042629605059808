"""Tests of the settings of a node."""

import unittest

from nose2.tools import params

from catkinpost.protocol.settings import Address, parse_address, parse_settings
from catkinpost_standins.fleet import SETTINGS

GOOD = SETTINGS.format(
    name="orders-1",
    service="orders",
    data_centre="kurzeme-1",
    region="kurzeme",
    host="127.0.0.1",
    calls=1,
    peers=2,
    operators=3,
    backend=4,
    platform=5,
    secret="s" * 16,
    start_wait=1.0,
    key_lifetime=60,
)


class TestReadSettings(unittest.TestCase):
    def test_good_settings_are_read(self):
        settings = parse_settings(GOOD)
        self.assertEqual(settings.node.instance, "orders-1")
        self.assertEqual(settings.bounds.key_lifetime, 60)

    def test_bounds_have_defaults(self):
        settings = parse_settings(GOOD.partition("[bounds]")[0])
        self.assertEqual(settings.bounds.max_body_bytes, 1024 * 1024)

    @params(
        ("instance = orders-1", "instance = a b", "instance"),
        ("calls = 127.0.0.1:1", "calls = localhost:1", "calls"),
        ("calls = 127.0.0.1:1", "calls = 127.0.0.1", "calls"),
        ("secret = " + "s" * 16, "secret = short", "secret"),
        ("key_lifetime = 60", "key_lifetime = -1", "key_lifetime"),
        ("key_lifetime = 60", "key_life = 60", "key_life"),
    )
    def test_bad_value_is_a_problem_at_its_option(self, old, new, option):
        (problem,) = parse_settings(GOOD.replace(old, new))
        self.assertEqual(problem.option, option)
        self.assertEqual(problem.line, GOOD.split("\n").index(old) + 1)

    def test_missing_and_unknown_sections_are_problems(self):
        problems = parse_settings(GOOD.replace("[backend]", "[backends]"))
        self.assertEqual({item.section for item in problems}, {"backend", "backends"})


class TestParseAddress(unittest.TestCase):
    @params(
        ("127.0.0.1:80", Address("127.0.0.1", 80)),
        ("[::1]:8080", Address("::1", 8080)),
    )
    def test_address_is_split_and_joined(self, text, address):
        self.assertEqual(parse_address(text), address)
        self.assertEqual(str(address), text)

    def test_other_text_is_an_error(self):
        with self.assertRaises(ValueError):
            parse_address("nowhere")
