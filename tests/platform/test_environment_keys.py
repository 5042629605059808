"""Tests of keys that are added and withdrawn, at a node that follows a store."""

import json
import unittest

import trio
from nose2.tools import params

from catkinpost.platform.document import parse_configuration, render_policy
from catkinpost.protocol.http import HttpRequest
from catkinpost.protocol.outcome import Reason
from catkinpost.state.feed_state import NO_REVISION
from catkinpost.state.policy_store import PolicyStore
from tests.log import CapturedLog
from tests.platform.test_environment import (
    OWN_ADDRESS,
    SETTINGS,
    respond_503,
    with_followed_store,
)
from tests.platform.test_listing import make_entry
from tests.platform.test_workspace_keys import CONFIG_WITH_KEYS, make_key_header

PROPAGATION_S, REVOCATION_S = 3.0, 5.0
BOUNDS = f"""\
config-propagation-s = {PROPAGATION_S}
revoke-when-partitioned = true
revocation-s = {REVOCATION_S}
"""
KEY_SETTINGS = SETTINGS + BOUNDS
LASTING_SETTINGS = KEY_SETTINGS.replace("= true", "= false")
UNKNOWN, OUTDATED = Reason.UNAUTHENTICATED, Reason.KEYS_OUTDATED
PROBE = HttpRequest(b"GET", b"/v1/readiness")


def encode_config(version, *keys):
    tenants = [{"name": "lab", "api-keys": list(keys)}]
    config = CONFIG_WITH_KEYS | {"version": version, "tenants": tenants}
    return json.dumps(config).encode()


async def publish(setup, version, *keys):
    """Publish a configuration with keys; the node has it in force afterwards."""
    setup.store.put("op/config", encode_config(version, *keys))
    setup.store.put("servers/i-1", make_entry(address=OWN_ADDRESS))
    await trio.sleep(1.0)
    assert setup.node.store.version == version


def judge(setup, *keys):
    """Return the reason for which requests with keys are refused, if any."""
    node = setup.node
    section = node.store.policy.classes["r-order"]
    reasons = []
    for key in keys:
        request = HttpRequest(b"GET", b"/place/2f", [make_key_header(key)])
        caller = node.authenticator.identify(request, b"token")
        failure = node.authenticator.check(caller, section)
        reasons.append(None if failure is None else failure.reason)
    return reasons


class TestKeysInForce(unittest.TestCase):
    @with_followed_store(settings=KEY_SETTINGS)
    async def test_added_and_withdrawn_keys_follow_the_store(self, setup):
        await publish(setup, 7, "k-1")
        self.assertEqual(judge(setup, "k-1", "k-2"), [None, UNKNOWN])
        await publish(setup, 8, "k-2")
        self.assertEqual(judge(setup, "k-1", "k-2"), [UNKNOWN, None])

    @with_followed_store(settings=KEY_SETTINGS)
    async def test_key_is_refused_as_not_run_while_the_store_is_silent(self, setup):
        """Guards against a withdrawn key at a node that can't learn of it."""
        await publish(setup, 7, "k-1", "k-2")
        setup.store.fault = respond_503
        setup.store.cut_connections()
        cut_at = trio.current_time()
        # The node can't know that this takes the key away.
        setup.store.put("op/config", encode_config(8, "k-2"))
        while judge(setup, "k-1") == [None]:
            await trio.sleep(0.01)
        self.assertLessEqual(trio.current_time() - cut_at, REVOCATION_S)
        self.assertEqual(judge(setup, "k-2", "k-3"), [OUTDATED, OUTDATED])
        self.assertEqual((await setup.environment.handle_probe(PROBE)).status, 503)
        await trio.sleep(10.0)
        self.assertEqual(judge(setup, "k-2"), [OUTDATED])
        setup.store.fault = None
        await trio.sleep(2.0)
        self.assertEqual(judge(setup, "k-1", "k-2"), [UNKNOWN, None])
        self.assertEqual((await setup.environment.handle_probe(PROBE)).status, 200)

    @with_followed_store(settings=KEY_SETTINGS)
    async def test_keys_outlast_a_short_silence_of_the_store(self, setup):
        await publish(setup, 7, "k-1")
        setup.store.fault = respond_503
        setup.store.cut_connections()
        for _ in range(30):
            self.assertEqual(judge(setup, "k-1"), [None])
            await trio.sleep(0.1)

    @with_followed_store(settings=LASTING_SETTINGS)
    async def test_keys_are_accepted_for_ever_where_the_settings_say_so(self, setup):
        await publish(setup, 7, "k-1")
        setup.store.fault = respond_503
        setup.store.cut_connections()
        await trio.sleep(60.0)
        self.assertEqual(judge(setup, "k-1", "k-2"), [None, OUTDATED])
        self.assertEqual((await setup.environment.handle_probe(PROBE)).status, 200)

    @with_followed_store(settings=KEY_SETTINGS)
    async def test_withdrawn_key_stays_so_when_the_store_comes_back_older(self, setup):
        await publish(setup, 7, "k-1", "k-2")
        copy = setup.store.copy()
        await publish(setup, 8, "k-2")
        setup.store.restore(copy)
        for _ in range(100):
            await trio.sleep(0.1)
            self.assertEqual(judge(setup, "k-1", "k-2"), [UNKNOWN, None])

    @with_followed_store(settings=KEY_SETTINGS)
    async def test_configuration_that_is_not_usable_confirms_no_key(self, setup):
        """It may withdraw the key, which nobody can tell."""
        await publish(setup, 7, "k-1")
        setup.store.put("op/config", encode_config(8, "k-2")[:-9])
        await trio.sleep(1.0)
        self.assertEqual(judge(setup, "k-1"), [None])
        await trio.sleep(REVOCATION_S)
        self.assertEqual(judge(setup, "k-1"), [OUTDATED])
        await publish(setup, 9, "k-1")
        self.assertEqual(judge(setup, "k-1"), [None])

    @params(("true", OUTDATED), ("false", None))
    def test_bounds_follow_the_settings_file(self, switch, reason):
        self.check_settings(switch, reason)

    @with_followed_store(settings=KEY_SETTINGS)
    async def check_settings(self, setup, switch, reason):
        await publish(setup, 7, "k-1")
        text = setup.path.read_text().replace(f"-s = {REVOCATION_S}", "-s = 9.0")
        setup.path.write_text(text.replace("= true", f"= {switch}"))
        setup.environment.reload_changed_settings()
        setup.store.fault = respond_503
        await trio.sleep(7.5)
        self.assertEqual(judge(setup, "k-1"), [None])
        await trio.sleep(2.5)
        self.assertEqual(judge(setup, "k-1"), [reason])

    @with_followed_store(settings=KEY_SETTINGS)
    async def test_version_that_a_peer_passed_on_without_its_keys(self, setup):
        """Guards against peers of a release that reads no keys."""
        await publish(setup, 7, "k-1")
        value = json.loads(encode_config(8, "k-1"))
        del value["tenants"]
        text = render_policy(parse_configuration(json.dumps(value).encode()))
        store = PolicyStore()
        store.accept_document(8, text, now=0.0, source="test")
        content = store.build_content_since(NO_REVISION)
        setup.node.store.merge_content(content, now=0.0, source="old peer")
        self.assertFalse(setup.node.store.policy.uses_keys)
        await publish(setup, 8, "k-1")
        self.assertEqual(judge(setup, "k-1", "k-2"), [None, UNKNOWN])

    @with_followed_store(settings=KEY_SETTINGS)
    async def test_no_key_is_logged_kept_or_passed_on(self, setup):
        with CapturedLog() as messages:
            await publish(setup, 7, "k-secret-1")
            setup.store.put("op/config", encode_config(8, "k-secret-2")[:-1])
            await trio.sleep(1.0)
            judge(setup, "k-secret-3")
        page = setup.environment.relay.build_page(NO_REVISION)
        seen = [messages, page, setup.node.store.format_document()]
        seen += [setup.environment.relay.state.items, setup.node.decisions.decisions]
        self.assertNotIn("k-secret", repr(seen))
