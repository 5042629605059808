"""Tests of the validation of policy documents."""

import unittest

from nose2.tools import params

from catkinpost.command.difference import compare_documents
from catkinpost.protocol.policy import (
    Importance,
    build_default_class,
    build_policy,
    check_document,
)
from catkinpost_standins.deployment import SKAIDAS_POLICY

SERVICE = "[service orders]\nowner = sales\n"


def make_workspaces(sections):
    """Make a document; a section is its name and the digits of its digests."""
    parts = []
    for section in sections:
        name, *digits = section.split()
        digests = " ".join(digit * 64 for digit in digits)
        parts.append(f"[workspace {name}]\nowner = sales\nkey_digests = {digests}\n")
    return "\n".join(parts)


class TestCheckDocument(unittest.TestCase):
    def test_good_document_has_no_problem(self):
        checked = check_document(SKAIDAS_POLICY)
        self.assertEqual(checked.problems, [])
        self.assertEqual(len(checked.models), 11)

    def test_key_in_the_place_of_its_digest_is_not_shown(self):
        text = "[workspace lab]\nowner = sales\nkey_digests = secret-key\n"
        [problem] = check_document(text).problems
        self.assertEqual((problem.line, problem.option), (3, "key_digests"))
        self.assertNotIn("secret-key", problem.format("policy.ini"))
        self.assertIn("SHA-256", problem.hint)

    @params(
        # (sections in force, sections of the document, rejected one)
        ([], ["a 1", "b 1 2"], "workspace b"),
        ([], ["a 1 2", "b 3", "c 4 2"], "workspace c"),
        (["b 2"], ["a 2", "b 2"], "workspace a"),
        (["a 1"], ["a 1", "b 1"], "workspace b"),
    )
    def test_key_of_two_workspaces(self, in_force, sections, rejected):
        before = check_document(make_workspaces(in_force)).accepted
        checked = check_document(make_workspaces(sections), before)
        [problem] = checked.problems
        self.assertEqual((problem.section, problem.option), (rejected, "key_digests"))
        self.assertIn("has one of the keys as well", problem.message)
        self.assertNotIn(rejected, checked.accepted)
        self.assertEqual(len(checked.accepted), len(sections) - 1)

    def test_key_of_two_workspaces_in_force_is_that_of_neither(self):
        models = check_document(make_workspaces(["a 1 2"])).models
        models |= check_document(make_workspaces(["b 2 3"])).models
        policy = build_policy(models)
        holders = [policy.find_workspace(digit * 64) for digit in "123"]
        self.assertEqual(holders, ["a", None, "b"])

    @params(
        ("[service orders\nowner = x", 1, "", "not a section head"),
        ("owner = x\n" + SERVICE, 1, "", "text before the first section"),
        ("[service orders]\nslots = 3", 1, "", "option owner is missing"),
        (SERVICE + "slots = many", 3, "slots", "bad value 'many'"),
        (SERVICE + "slots = 0", 3, "slots", "bad value '0'"),
        (SERVICE + "admission = maybe", 3, "admission", "bad value 'maybe'"),
        (SERVICE + "slot = 3", 3, "slot", "unknown option"),
        (SERVICE + "slots = 3\nslots = 4", 4, "slots", "option is given twice"),
        (SERVICE + "just words", 3, "", "not an option"),
        (SERVICE + SERVICE, 3, "", "section stands already at line 1"),
        ("[planet mars]\nowner = x", 1, "", "unknown kind of section 'planet'"),
        ("[service]\nowner = x", 1, "", "section has no name"),
        (
            "[class a]\nowner = x\nservice = nope",
            3,
            "service",
            "service 'nope' has no section",
        ),
        (
            SERVICE + "[limit a]\nowner = x\nservice = orders\nin_flight = 1\n"
            "request_class = nope",
            7,
            "request_class",
            "class 'nope' has no section",
        ),
        (
            SERVICE + "[class a]\nowner = x\nservice = orders\nmatch = orders",
            6,
            "match",
            "bad value 'orders'",
        ),
    )
    def test_error_names_line_option_and_remedy(self, text, line, option, message):
        (problem,) = check_document(text).problems
        self.assertEqual((problem.line, problem.option), (line, option))
        self.assertEqual(problem.message, message)
        self.assertTrue(problem.hint)

    def test_broken_section_harms_no_other(self):
        text = SERVICE + "[service sets]\nowner = x\nslots = many\n"
        checked = check_document(text)
        self.assertEqual(list(checked.models), ["service orders"])
        self.assertEqual(checked.declared, {"service orders", "service sets"})

    def test_class_may_refer_to_a_service_that_keeps_its_last_good_form(self):
        good = check_document(SERVICE).accepted
        text = (
            "[service orders]\nowner = sales\nslots = many\n"
            "[class a]\nowner = x\nservice = orders\n"
        )
        checked = check_document(text, good)
        self.assertEqual(list(checked.accepted), ["class a"])


class TestPolicy(unittest.TestCase):
    def setUp(self):
        self.policy = build_policy(check_document(SKAIDAS_POLICY).models)

    @params(
        ("orders", "POST", "/orders/7", "place-order"),
        ("sets", "GET", "/sets", "lookup-set"),
        ("sets", "GET", "/batches/3", "mill-batch"),
        ("orders", "GET", "/orders", "default:orders:GET"),
    )
    def test_class_is_found_by_method_and_path(self, service, method, path, name):
        self.assertEqual(self.policy.get_class_name(service, method, path), name)
        self.assertIsNotNone(self.policy.find_class_section(name))

    @params(("GET", True), ("HEAD", True), ("POST", False), ("DELETE", False))
    def test_only_safe_methods_are_repeatable_by_default(self, method, repeatable):
        self.assertEqual(build_default_class("orders", method).repeatable, repeatable)

    def test_importance_orders_shedding(self):
        ranks = [item.rank for item in Importance]
        self.assertEqual(ranks, sorted(ranks))


class TestCompareDocuments(unittest.TestCase):
    def test_changes_are_listed_by_section_and_option(self):
        old = SERVICE + "slots = 3\n[service certs]\nowner = x\n"
        new = SERVICE + "slots = 4\n[service sets]\nowner = y\n"
        found = {item.section: item for item in compare_documents(old, new)}
        self.assertEqual(found["service orders"].options, {"slots": ("3", "4")})
        self.assertEqual(found["service certs"].action, "remove")
        self.assertEqual(found["service sets"].action, "add")

    def test_broken_section_changes_nothing(self):
        old = SERVICE + "slots = 3\n"
        self.assertEqual(compare_documents(old, SERVICE + "slots = many\n"), [])
