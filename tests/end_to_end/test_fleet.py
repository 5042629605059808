"""Tests of the stand-in of a deployment, without processes."""

import tempfile
import unittest
from pathlib import Path

from catkinpost_standins.users_platform.fleet import PlatformFleet


class TestPlatformFleet(unittest.TestCase):
    def test_settings_are_replaced_as_a_whole(self):
        """Guards against nodes that start with half a settings file."""
        with tempfile.TemporaryDirectory() as folder:
            fleet = PlatformFleet(["orders"], {"zone-a": "region-a"}, Path(folder))
            machine = fleet.machines[0]
            path = fleet.write_settings(machine)
            before = path.read_text()
            with path.open() as reader:
                machine.memory_mb += 1
                fleet.write_settings(machine)
                self.assertEqual(reader.read(), before)
            self.assertNotEqual(path.read_text(), before)
