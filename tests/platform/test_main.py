"""Tests of the program that the platform starts."""

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

SLOW_LIBRARIES = ("hypercorn", "httpcore", "matplotlib", "prometheus_client", "typer")
TIMEOUT_S = 60


class TestProgram(unittest.TestCase):
    def test_libraries_of_other_programs_are_not_imported(self):
        code = "import sys, catkinpost.platform.__main__; print(*sys.modules)"
        result = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        loaded = set(result.stdout.split())
        self.assertIn("catkinpost.node", loaded)
        self.assertEqual([name for name in SLOW_LIBRARIES if name in loaded], [])

    def test_bad_settings_end_the_program_with_a_reason(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "local.toml"
            path.write_text("[self]\nip-address = 3\n", encoding="utf-8")
            result = subprocess.run(
                [sys.executable, "-m", "catkinpost.platform"],
                env={**os.environ, "CATKINPOST_CONFIG": str(path)},
                capture_output=True,
                text=True,
                timeout=TIMEOUT_S,
            )
        self.assertEqual(result.returncode, 2)
        self.assertIn("local.toml", result.stderr)
