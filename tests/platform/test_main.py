"""Tests of the program that the platform starts."""

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

SLOW_LIBRARIES = ("hypercorn", "httpcore", "matplotlib", "prometheus_client", "typer")
TIMEOUT_S = 60
# The program gets a signal at the first import of a library.
SIGNAL_DURING_IMPORT = """\
import os, runpy, signal, sys
class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "trio":
            os.kill(os.getpid(), signal.SIGHUP)
sys.meta_path.insert(0, Finder())
runpy.run_module("catkinpost.platform", run_name="__main__")
"""


class TestProgram(unittest.TestCase):
    def test_libraries_of_other_programs_are_not_imported(self):
        code = "import sys, catkinpost.platform.program; print(*sys.modules)"
        result = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        loaded = set(result.stdout.split())
        self.assertIn("catkinpost.node", loaded)
        self.assertEqual([name for name in SLOW_LIBRARIES if name in loaded], [])

    def test_bad_settings_end_the_program_with_a_reason(self):
        self.check_end_by_bad_settings(["-m", "catkinpost.platform"])

    def test_changed_settings_do_not_end_a_starting_program(self):
        """Guards against a process that ends by SIGHUP before it watches the file."""
        self.check_end_by_bad_settings(["-c", SIGNAL_DURING_IMPORT])

    def check_end_by_bad_settings(self, arguments):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "local.toml"
            path.write_text("[self]\nip-address = 3\n", encoding="utf-8")
            result = subprocess.run(
                [sys.executable, *arguments],
                env={**os.environ, "CATKINPOST_CONFIG": str(path)},
                capture_output=True,
                text=True,
                timeout=TIMEOUT_S,
            )
        self.assertEqual(result.returncode, 2)
        self.assertIn("local.toml", result.stderr)
