"""Tests of the program that the platform starts."""

import json
import os
import re
import subprocess
import sys
import sysconfig
import tempfile
import tomllib
import unittest
from importlib.util import find_spec
from pathlib import Path

from nose2.tools import params

from catkinpost_standins.launch import NODE_OPTIONS
from tests.platform.test_settings import SETTINGS

SLOW_LIBRARIES = ("hypercorn", "httpcore", "matplotlib", "prometheus_client", "typer")
TIMEOUT_S = 60
SEARCH_PATHS = os.pathsep.join(item for item in sys.path if item)
BAD_VALUE = b"[self]\nip-address = 3\n"
PROGRAM = Path(find_spec("catkinpost.platform").submodule_search_locations[0])
DEPLOYMENT = Path(__file__).parents[2] / "deploy" / "system.toml"
IMPORT_LINE = re.compile(r"^import '?([\w.]+)'? # .*SourceFileLoader", re.MULTILINE)
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


# The program ends after a planned stop.
END_OF_PROGRAM = """\
import atexit
from unittest import mock
from catkinpost.platform import program
atexit.register(print, "torn down")
with mock.patch.object(program, "run_process"):
    program.run()
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

    @params(
        ("bad value", BAD_VALUE),
        ("missing", None),
        ("empty", b""),
        ("no text", b"\xff\xfe"),
    )
    def test_bad_settings_end_the_program_with_a_reason(self, _name, content):
        """Guards against an end by an exception, with another status."""
        arguments = ["-m", "catkinpost.platform"]
        self.check_end_by_bad_settings(arguments, content)

    def test_start_without_a_settings_file_ends_with_a_reason(self):
        result = self.run_program(["-m", "catkinpost.platform"], has_variable=False)
        self.assertEqual(result.returncode, 2)
        self.assertEqual(len(result.stderr.splitlines()), 1)
        self.check_last_line(result)

    def test_changed_settings_do_not_end_a_starting_program(self):
        """Guards against a process that ends by SIGHUP before it watches the file."""
        self.check_end_by_bad_settings(["-c", SIGNAL_DURING_IMPORT])

    def test_program_finds_its_packages_beside_it(self):
        """Guards against a program that depends on how its path is set."""
        libraries = sysconfig.get_paths()
        paths = {libraries["purelib"], libraries["platlib"]}
        result = self.run_program(
            [*NODE_OPTIONS, f"{PROGRAM}/__main__.py"], paths=os.pathsep.join(paths)
        )
        self.assertEqual(result.returncode, 2)

    def test_program_starts_without_a_standard_output(self):
        """Guards against an end at the start where nobody takes the log."""
        command = f"exec {sys.executable} -m catkinpost.platform >&-"
        result = self.run_program([], command=["sh", "-c", command])
        self.assertEqual(result.returncode, 2)

    def test_end_of_the_interpreter_takes_no_time(self):
        """Guards against a process that has stopped, and is killed meanwhile."""
        result = self.run_program(["-c", END_OF_PROGRAM], SETTINGS.encode())
        self.assertEqual((result.returncode, result.stderr), (0, ""))
        start, settings = map(json.loads, result.stdout.splitlines())
        self.assertEqual(start["message_type"], "process: starts")
        self.assertEqual(settings["message_type"], "settings: read")
        self.assertNotIn("torn down", result.stdout)

    def test_signal_is_ignored_before_any_module_is_read(self):
        """Guards against a process that SIGHUP ends while its interpreter starts."""
        result = self.run_program([*NODE_OPTIONS, "-v", f"{PROGRAM}/__main__.py"])
        names = IMPORT_LINE.findall(result.stderr)
        before = names[: names.index("catkinpost")]
        self.assertEqual(
            [name for name in before if name.split(".")[0] != "encodings"], []
        )

    def test_stand_ins_start_the_program_as_it_is_deployed(self):
        roles = tomllib.loads(DEPLOYMENT.read_text(encoding="utf-8"))["roles"]
        interpreter, *options, program = roles["node"]["run"].split()
        self.assertEqual(interpreter, "python3")
        self.assertEqual(tuple(options), NODE_OPTIONS)
        self.assertEqual(program, "target/deps/catkinpost/platform/__main__.py")

    def run_program(
        self,
        arguments,
        content=BAD_VALUE,
        *,
        has_variable=True,
        paths=SEARCH_PATHS,
        command=(sys.executable,),
    ):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "local.toml"
            if content is not None:
                path.write_bytes(content)
            environment = os.environ | {
                "CATKINPOST_CONFIG": str(path) if has_variable else "",
                "PYTHONPATH": paths,
            }
            return subprocess.run(
                [*command, *arguments],
                env=environment,
                capture_output=True,
                text=True,
                timeout=TIMEOUT_S,
            )

    def check_end_by_bad_settings(self, arguments, content=BAD_VALUE):
        result = self.run_program(arguments, content)
        self.assertEqual(result.returncode, 2)
        self.assertIn("local.toml", result.stderr)
        self.assertEqual(len(result.stderr.splitlines()), 1)
        self.check_last_line(result)

    def check_last_line(self, result):
        """Check that the log tells by itself why the program ended."""
        line = json.loads(result.stdout.splitlines()[-1])
        self.assertEqual(line["message_type"], "process: settings not usable")
        self.assertEqual(line["why"] + "\n", result.stderr)
