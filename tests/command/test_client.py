"""Tests of the operators' client, the node command and the reference page."""

import json
import tempfile
import unittest
from pathlib import Path

from nose2.tools import params
from typer.testing import CliRunner

from catkinpost.command.client import app
from catkinpost.command.node import app as node_app
from catkinpost.command.reference import build_reference
from catkinpost_standins.deployment import SKAIDAS_POLICY

ROOT = Path(__file__).parents[2]


def run_command(*arguments, application=app):
    return CliRunner().invoke(application, list(arguments))


class TestCheck(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.file = Path(self.folder.name) / "policy.ini"

    def test_good_document_exits_with_0(self):
        self.file.write_text(SKAIDAS_POLICY)
        result = run_command("check", str(self.file))
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn("0 problems", result.output)

    def test_problem_names_file_line_section_option_and_remedy(self):
        self.file.write_text("[service orders]\nowner = sales\nslots = many\n")
        result = run_command("check", str(self.file))
        self.assertEqual(result.exit_code, 1)
        self.assertIn(f"{self.file}:3: [service orders] slots:", result.output)
        self.assertIn("expected `int`", result.output)

    def test_json_can_be_read_by_scripts(self):
        self.file.write_text("[service orders]\nslots = 3\n")
        result = run_command("check", str(self.file), "--json")
        document = json.loads(result.output)
        self.assertEqual(document["problems"][0]["section"], "service orders")

    def test_missing_file_exits_with_2(self):
        self.assertEqual(run_command("check", str(self.file)).exit_code, 2)

    def test_unreachable_node_exits_with_3(self):
        self.file.write_text(SKAIDAS_POLICY)
        result = run_command("check", str(self.file), "--node", "127.0.0.1:1")
        self.assertEqual(result.exit_code, 3)


class TestOtherCommands(unittest.TestCase):
    @params("status", "histogram", "watch")
    def test_one_of_node_and_platform_is_needed(self, command):
        self.assertEqual(run_command(command).exit_code, 2)
        both = ("--node", "127.0.0.1:1", "--platform", "127.0.0.1:1")
        self.assertEqual(run_command(command, *both).exit_code, 2)

    @params(("status",), ("histogram",), ("status", "--json"))
    def test_unreachable_node_exits_with_3(self, *arguments):
        result = run_command(*arguments, "--node", "127.0.0.1:1")
        self.assertEqual(result.exit_code, 3)

    @params("check", "status", "watch", "histogram")
    def test_every_command_has_a_help_text(self, command):
        result = run_command(command, "--help")
        self.assertEqual(result.exit_code, 0)
        self.assertIn("Usage", result.output)


class TestNodeCommand(unittest.TestCase):
    def test_bad_settings_exit_with_2_and_name_their_place(self):
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "node.ini"
            file.write_text("[node]\ninstance = a b\n")
            result = run_command(str(file), application=node_app)
        self.assertEqual(result.exit_code, 2)
        self.assertIn(f"{file}:2: [node] instance:", result.output)

    def test_missing_settings_exit_with_2(self):
        result = run_command("/nowhere/node.ini", application=node_app)
        self.assertEqual(result.exit_code, 2)


class TestReference(unittest.TestCase):
    def test_page_of_options_is_up_to_date(self):
        page = (ROOT / "docs" / "options.md").read_text(encoding="utf-8")
        self.assertEqual(page, build_reference())

    def test_every_option_has_a_meaning(self):
        for line in build_reference().splitlines():
            if line.startswith("| `"):
                self.assertNotIn("|  |", line)
