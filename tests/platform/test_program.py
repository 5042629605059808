"""Tests of the start from a settings file."""

import tempfile
import unittest
from pathlib import Path

import trio
from nose2.tools import params

from catkinpost.platform.program import (
    SETTINGS_POLL_S,
    SETTINGS_TIMEOUT_S,
    load_settings,
)
from catkinpost.platform.settings import PlatformSettings
from catkinpost.protocol.outcome import Failure
from tests.clock import on_mock_clock
from tests.platform.test_settings import SETTINGS

GOOD = SETTINGS.encode()
CASES = (
    # (name, content of the file at the start)
    ("missing", None),
    ("empty", b""),
    ("half written", GOOD[: len(GOOD) // 2]),
    ("nested without end", b"a = " + b"[" * 20_000),
    ("no text", b"\xff\xfe"),
)


class TestLoadSettings(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "local.toml"

    @params(*CASES)
    def test_file_that_is_being_replaced_is_waited_for(self, _name, content):
        """Guards against a process that ends since it starts at that moment."""
        self.check_replaced_file(content)

    @on_mock_clock
    async def check_replaced_file(self, content):
        self.write(content)
        loaded = []

        async def load():
            loaded.append(await load_settings(self.path))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(load)
            await trio.sleep(SETTINGS_TIMEOUT_S / 2)
            self.assertEqual(loaded, [])
            self.write(GOOD)
        self.assertIsInstance(loaded[0], PlatformSettings)
        self.assertLess(trio.current_time(), SETTINGS_TIMEOUT_S)

    @on_mock_clock
    async def test_file_that_is_being_written_is_not_taken(self):
        """Guards against the bounds of a file that is cut between two lines."""
        self.write(GOOD[: GOOD.index(b"[terms")])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.write_later, GOOD)
            settings = await load_settings(self.path)
        self.assertEqual(settings.text.encode(), GOOD)

    async def write_later(self, content):
        await trio.sleep(SETTINGS_POLL_S / 2)
        self.write(content)

    @params(*CASES, ("a folder", ...))
    def test_file_that_stays_unusable_is_given_up(self, _name, content):
        self.check_unusable_file(content)

    @on_mock_clock
    async def check_unusable_file(self, content):
        self.write(content)
        with trio.fail_after(2 * SETTINGS_TIMEOUT_S):
            self.assertIsInstance(await load_settings(self.path), Failure)

    def write(self, content):
        if content is ...:
            self.path.mkdir()
        elif content is not None:
            self.path.write_bytes(content)
