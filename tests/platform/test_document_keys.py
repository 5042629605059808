"""Tests of the keys of a configuration on their way into a policy."""

import json
import unittest

from nose2.tools import params

from catkinpost.platform.document import (
    hash_keys,
    parse_configuration,
    render_policy,
)
from catkinpost.protocol.credential import compute_key_digest
from catkinpost.protocol.outcome import Failure
from catkinpost.protocol.policy import Importance, build_policy, check_document
from catkinpost.state.policy_store import PolicyStore
from tests.log import CapturedLog
from tests.platform.test_workspace_keys import CONFIG_WITH_KEYS, KEY, OTHER_KEY

KEYS = [KEY, "k-spare", OTHER_KEY]


def encode(**changes):
    return json.dumps(CONFIG_WITH_KEYS | changes).encode()


def build(value):
    document = check_document(render_policy(parse_configuration(value)))
    assert not document.problems
    return build_policy(document.models)


class TestKeysOfConfiguration(unittest.TestCase):
    def test_no_key_is_left_in_what_is_kept_and_passed_on(self):
        value = hash_keys(encode(unknown={"x": 1}))
        text = render_policy(parse_configuration(encode()))
        for key in KEYS:
            self.assertNotIn(key.encode(), value)
            self.assertNotIn(key, text)
        self.assertEqual(json.loads(value)["unknown"], {"x": 1})
        self.assertEqual(hash_keys(value), value)

    def test_policy_is_the_same_from_keys_and_from_their_digests(self):
        config = parse_configuration(encode())
        hashed = parse_configuration(hash_keys(encode()))
        self.assertEqual(render_policy(config), render_policy(hashed))

    def test_workspaces_of_the_policy(self):
        policy = build(encode())
        digests = policy.workspaces["lab"].digests
        self.assertEqual(digests, [compute_key_digest(b"k-one-82m"), digests[1]])
        self.assertIs(policy.workspaces["lab"].importance, Importance.NORMAL)
        self.assertIs(policy.workspaces["shop"].importance, Importance.CRITICAL)
        needs = {name: item.needs_key for name, item in policy.classes.items()}
        expected = {"r-order": True, "r-browse": True, "r-public": False}
        self.assertEqual(needs, expected)

    @params((None, False), ([], True), ([{"name": "lab", "api-keys": []}], True))
    def test_routes_need_keys_once_there_is_a_list_of_tenants(self, tenants, needed):
        """Guards against a service that is open once its last tenant has gone."""
        config = {key: item for key, item in CONFIG_WITH_KEYS.items()}
        del config["tenants"]
        if tenants is not None:
            config["tenants"] = tenants
        policy = build(json.dumps(config).encode())
        section = policy.classes["r-order"]
        self.assertEqual((policy.uses_keys, policy.needs_key(section)), (needed,) * 2)

    @params(
        [{"name": "a", "api-keys": ["k"]}, {"name": "b", "api-keys": ["j", "k"]}],
        [
            {"name": "a", "api-keys": ["k"]},
            {"name": "b", "key-digests": [compute_key_digest(b"k")]},
        ],
        [{"name": "a", "api-keys": "k"}],
        [{"name": "a b", "api-keys": ["k"]}],
        [{"api-keys": ["k"]}],
        [{"name": "a", "api-keys": [7]}],
        [{"name": "a", "key-digests": ["k"]}],
        "k",
    )
    def test_faulty_tenants_make_a_configuration_unusable(self, tenants):
        self.assertIsInstance(parse_configuration(encode(tenants=tenants)), Failure)

    def test_a_key_that_is_listed_twice_is_no_fault(self):
        value = encode(tenants=[{"name": "a", "api-keys": ["k", "k"]}])
        self.assertEqual(set(build(value).workspace_by_digest.values()), {"a"})

    @params(b"", b"{", encode()[:-40], encode(tenants=7), b"\xff")
    def test_value_that_may_hold_keys_anywhere_is_dropped(self, value):
        with CapturedLog() as messages:
            self.assertEqual(hash_keys(value), b"")
        self.assertEqual(messages[0]["message_type"], "store: configuration ignored")
        for key in KEYS:
            self.assertNotIn(key, repr(messages))

    def test_peer_gets_no_key(self):
        store = PolicyStore()
        text = render_policy(parse_configuration(encode()))
        store.accept_document(7, text, now=0.0, source="test")
        content = store.build_content_since(-1)
        other = PolicyStore()
        other.merge_content(content, now=0.0, source="peer")
        self.assertEqual(other.digest, store.digest)
        self.assertEqual(len(other.policy.workspace_by_digest), len(KEYS))
        for key in KEYS:
            self.assertNotIn(key, repr(content))
