"""Tests of the platform environment with a stand-in store on real connections."""

import dataclasses
import functools
import json
import signal
import socket
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import trio
from nose2.tools import params

from catkinpost.node import Node
from catkinpost.platform.environment import PlatformEnvironment
from catkinpost.platform.settings import parse_platform_settings
from catkinpost.protocol.http import HttpRequest, HttpResponse
from catkinpost.state.feed_state import NO_REVISION
from catkinpost.state.instance_view import InstanceState
from catkinpost_standins.users_platform.store import StandInStore
from tests.clock import on_mock_clock
from tests.platform.test_document import CONFIG
from tests.platform.test_listing import make_entry
from tests.platform.test_settings import SETTINGS

PROPAGATION_S = 2.5
OWN_ADDRESS = "127.0.0.1:8301"


def encode_config(version):
    return json.dumps(CONFIG | {"version": version}).encode()


async def never_respond():
    await trio.sleep_forever()


async def respond_503():
    return HttpResponse(503)


async def respond_429():
    return HttpResponse(429)


async def respond_truncated_json():
    return HttpResponse(200, [], b'{"events":[{"key":"op/')


async def respond_unknown_fields():
    return HttpResponse(200, [], b'{"happenings":[],"at":"now"}')


class Setup:
    """Node without listening sockets that watches a stand-in store."""

    async def start(self, nursery, settings=SETTINGS):
        self.store = StandInStore()
        await self.store.start(nursery)
        text = settings.replace("127.0.0.1:8309", f"127.0.0.1:{self.store.port}")
        self.folder = tempfile.TemporaryDirectory()
        self.path = Path(self.folder.name) / "local.toml"
        self.path.write_text(text, encoding="utf-8")
        settings = parse_platform_settings(text)
        self.environment = PlatformEnvironment(settings, self.path)
        self.node = Node(settings.node, self.environment)
        self.node.nursery = nursery
        self.node.call_acceptor.is_listening = True
        self.node.links.refresh = lambda: None
        self.node.replicas.update_watch = lambda: None
        nursery.start_soon(self.environment.relay.run)
        nursery.start_soon(self.environment.watch_expiring_entries)

    def get_live_instances(self):
        return sorted(
            name
            for name, item in self.node.view.instances.items()
            if item.state is InstanceState.LIVE
        )

    async def publish(self):
        self.store.put("op/config", encode_config(7))
        self.store.put("servers/i-1", make_entry(address=OWN_ADDRESS))
        self.store.put("servers/i-2", make_entry(address="127.0.0.2:8301"))
        await trio.sleep(0.5)


def with_followed_store(test=None, *, settings=SETTINGS):
    if test is None:
        return functools.partial(with_followed_store, settings=settings)

    @on_mock_clock(io=True)
    @functools.wraps(test)
    async def run(self, *args):
        async with trio.open_nursery() as nursery:
            setup = Setup()
            await setup.start(nursery, settings)
            with setup.folder:
                await test(self, setup, *args)
            nursery.cancel_scope.cancel()

    return run


class TestEnvironment(unittest.TestCase):
    @with_followed_store
    async def test_node_is_ready_when_it_knows_the_configuration(self, setup):
        probe = HttpRequest(b"GET", b"/v1/readiness")
        answer = await setup.environment.handle_probe(probe)
        self.assertEqual(answer.status, 503)
        await setup.publish()
        answer = await setup.environment.handle_probe(probe)
        self.assertEqual(answer.status, 200)
        self.assertEqual(setup.node.store.version, 7)
        self.assertEqual(setup.get_live_instances(), ["127.0.0.1", "127.0.0.2"])
        self.assertEqual(setup.node.executor.admission.section.slots, 152)
        setup.node.planned_stop.request()
        answer = await setup.environment.handle_probe(probe)
        self.assertEqual(answer.status, 503)

    @with_followed_store
    async def test_configuration_never_goes_back(self, setup):
        await setup.publish()
        for version in (9, 8, 3):
            setup.store.put("op/config", encode_config(version))
            await trio.sleep(0.5)
        self.assertEqual(setup.node.store.version, 9)

    @params(
        (b"",),
        (encode_config(9)[:80],),
        (b'{"version": 9}',),
        (b"\xff" * 40,),
    )
    def test_unreadable_configuration_leaves_the_last_one(self, value):
        self.check_configuration(value)

    @with_followed_store
    async def check_configuration(self, setup, value):
        await setup.publish()
        setup.store.put("op/config", value)
        setup.store.put("servers/i-3", b"{")
        await trio.sleep(0.5)
        self.assertEqual(setup.node.store.version, 7)
        self.assertEqual(len(setup.get_live_instances()), 2)

    @params(
        (never_respond,),
        (respond_503,),
        (respond_429,),
        (respond_truncated_json,),
        (respond_unknown_fields,),
    )
    def test_store_that_fails_is_asked_again(self, fault):
        self.check_fault(fault)

    @with_followed_store
    async def check_fault(self, setup, fault):
        await setup.publish()
        setup.store.fault = fault
        await trio.sleep(6.0)
        self.assertEqual(setup.node.store.version, 7)
        self.assertEqual(len(setup.get_live_instances()), 2)
        self.assertLess(len(setup.store.reads), 30)
        setup.store.fault = None
        setup.store.put("op/config", encode_config(9))
        await trio.sleep(6.0)
        self.assertEqual(setup.node.store.version, 9)

    @with_followed_store
    async def test_watch_that_goes_silent_is_noticed_in_time(self, setup):
        await setup.publish()
        setup.store.watch = lambda query: trio.sleep_forever()
        await trio.sleep(0.1)
        setup.store.put("op/config", encode_config(9))
        del setup.store.watch
        await trio.sleep(PROPAGATION_S)
        self.assertEqual(setup.node.store.version, 9)

    @with_followed_store
    async def test_lost_history_is_made_up_by_reading_everything(self, setup):
        await setup.publish()
        setup.store.fault = respond_503
        await trio.sleep(3.0)
        setup.store.put("op/config", encode_config(9))
        setup.store.put("servers/i-2", None)
        setup.store.forget_history()
        setup.store.fault = None
        await trio.sleep(1.5)
        self.assertEqual(setup.node.store.version, 9)
        await trio.sleep(2.5)
        self.assertEqual(setup.get_live_instances(), ["127.0.0.1"])

    @params(0, 1, 2, 3)
    def test_configuration_after_a_restore_is_in_force_in_time(self, other_writes):
        """Its revision lies below, at or above the last one that was lost."""
        self.check_restored_configuration(other_writes)

    @with_followed_store
    async def check_restored_configuration(self, setup, other_writes):
        await setup.publish()
        copy = setup.store.copy()
        setup.store.put("servers/i-3", make_entry(address="127.0.0.3:8301"))
        setup.store.put("op/config", encode_config(9))
        await trio.sleep(0.5)
        setup.store.fault = respond_503
        await trio.sleep(2.0)
        setup.store.restore(copy)
        for number in range(other_writes):
            setup.store.put(f"other/{number}", b"")
        setup.store.put("op/config", encode_config(11))
        setup.store.fault = None
        await trio.sleep(PROPAGATION_S)
        self.assertEqual(setup.node.store.version, 11)
        setup.store.put("op/config", encode_config(12))
        await trio.sleep(1.0)
        self.assertEqual(setup.node.store.version, 12)

    @with_followed_store
    async def test_restored_configuration_does_not_go_back(self, setup):
        await setup.publish()
        copy = setup.store.copy()
        setup.store.put("op/config", encode_config(9))
        await trio.sleep(0.5)
        setup.store.restore(copy)
        await trio.sleep(1.5)
        self.assertEqual(setup.node.store.version, 9)

    @with_followed_store
    async def test_restores_while_a_watch_waits_lose_no_change(self, setup):
        await setup.publish()
        for version in range(20, 26):
            copy = setup.store.copy()
            setup.store.put("op/config", encode_config(version))
            setup.store.put("servers/i-2", make_entry(sequence=version))
            await trio.sleep(0.3)
            setup.store.restore(copy)
            setup.store.put("other/1", b"")
            setup.store.put("other/2", b"")
            await trio.sleep(0.3)
            setup.store.put("op/config", encode_config(version))
            address = f"127.0.0.{version}:8301"
            entry = make_entry(address=address, sequence=version + 1)
            setup.store.put("servers/i-2", entry)
            await trio.sleep(1.5)
            self.assertEqual(setup.node.store.version, version)
            self.assertIn(f"127.0.0.{version}", setup.get_live_instances())

    @with_followed_store
    async def test_server_listed_again_after_a_restore_is_used(self, setup):
        """Guards against deletions that outlast the revisions of their era."""
        setup.store.put("servers/i-3", make_entry(address="127.0.0.3:8301"))
        await setup.publish()
        copy = setup.store.copy()
        for _ in range(5):
            setup.store.put("other", b"")
        setup.store.put("servers/i-3", None)
        await trio.sleep(0.5)
        setup.store.restore(copy)
        entry = make_entry(address="127.0.0.3:8301", sequence=1, born=2000)
        setup.store.put("servers/i-3", entry)
        await trio.sleep(1.5)
        self.assertIn("127.0.0.3", setup.get_live_instances())

    @params({"state": "draining", "sequence": 6}, None)
    def test_server_that_left_before_a_restore_is_not_used_again(self, fields):
        """Guards against requests to a server that the node knew to leave."""
        self.check_restored_server(fields)

    @with_followed_store
    async def check_restored_server(self, setup, fields):
        await setup.publish()
        copy = setup.store.copy()
        entry = None
        if fields is not None:
            entry = make_entry(address="127.0.0.2:8301", **fields)
        setup.store.put("servers/i-2", entry)
        await trio.sleep(0.5)
        self.assertEqual(setup.get_live_instances(), ["127.0.0.1"])
        setup.store.restore(copy)
        for _ in range(30):
            await trio.sleep(0.1)
            self.assertEqual(setup.get_live_instances(), ["127.0.0.1"])
        entry = make_entry(address="127.0.0.2:8301", sequence=1, born=2000)
        setup.store.put("servers/i-2", entry)
        await trio.sleep(0.5)
        self.assertEqual(setup.get_live_instances(), ["127.0.0.1", "127.0.0.2"])

    @with_followed_store
    async def test_live_server_that_only_a_restored_copy_lists_is_used(self, setup):
        await setup.publish()
        copy = setup.store.copy()
        setup.store.put("servers/i-2", None)
        await trio.sleep(0.5)
        setup.store.restore(copy)
        await trio.sleep(8.0)
        self.assertEqual(setup.get_live_instances(), ["127.0.0.1", "127.0.0.2"])

    @with_followed_store
    async def test_older_configuration_is_not_passed_on_to_peers(self, setup):
        await setup.publish()
        copy = setup.store.copy()
        setup.store.put("op/config", encode_config(9))
        await trio.sleep(0.5)
        setup.store.restore(copy)
        await trio.sleep(1.5)
        page = setup.environment.relay.build_page(NO_REVISION)
        values = {item.key: item.value for item in page.items}
        self.assertEqual(values["op/config"], encode_config(9))
        setup.store.put("op/config", encode_config(11))
        await trio.sleep(1.0)
        self.assertEqual(setup.node.store.version, 11)

    @with_followed_store
    async def test_server_of_the_lost_writes_may_list_itself_again(self, setup):
        await setup.publish()
        copy = setup.store.copy()
        setup.store.put("servers/i-3", make_entry(address="127.0.0.3:8301"))
        setup.store.put("servers/i-4", make_entry(address="127.0.0.4:8301"))
        await trio.sleep(0.5)
        setup.store.restore(copy)
        await trio.sleep(1.8)
        self.assertIn("127.0.0.3", setup.get_live_instances())
        entry = make_entry(address="127.0.0.3:8301", sequence=9)
        setup.store.put("servers/i-3", entry)
        await trio.sleep(2.0)
        self.assertIn("127.0.0.3", setup.get_live_instances())
        self.assertNotIn("127.0.0.4", setup.get_live_instances())

    @with_followed_store
    async def test_store_without_an_era_is_followed(self, setup):
        setup.store.era = None
        await setup.publish()
        setup.store.put("op/config", encode_config(9))
        await trio.sleep(0.5)
        self.assertEqual(setup.node.store.version, 9)

    @with_followed_store
    async def test_all_pages_are_read(self, setup):
        for number in range(120):
            entry = make_entry(address=f"127.0.1.{number}:8301")
            setup.store.put(f"servers/i-{number}", entry)
        setup.store.forget_history()
        await trio.sleep(3.0)
        self.assertEqual(len(setup.get_live_instances()), 120)

    @with_followed_store
    async def test_draining_server_leaves_and_its_successor_serves(self, setup):
        await setup.publish()
        setup.store.put(
            "servers/i-1", make_entry(address=OWN_ADDRESS, state="draining")
        )
        await trio.sleep(0.3)
        self.assertEqual(setup.get_live_instances(), ["127.0.0.2"])
        self.assertTrue(setup.node.is_leaving)
        setup.store.put("servers/i-1", None)
        setup.store.put("servers/i-9", make_entry(address=OWN_ADDRESS, born=2000))
        await trio.sleep(0.3)
        self.assertEqual(setup.get_live_instances(), ["127.0.0.1", "127.0.0.2"])
        self.assertFalse(setup.node.is_leaving)

    @with_followed_store
    async def test_fault_in_one_change_does_not_end_the_watch(self, setup):
        await setup.publish()

        def fail(change):
            raise KeyError(change.key)

        setup.environment.apply_server_change = fail
        setup.store.put("servers/i-3", make_entry(address="127.0.0.3:8301"))
        await trio.sleep(0.3)
        self.assertEqual(setup.node.metrics.counters["internal-error"], 1)
        setup.store.put("op/config", encode_config(9))
        await trio.sleep(0.3)
        self.assertEqual(setup.node.store.version, 9)

    @with_followed_store
    async def test_entry_that_vanishes_without_draining_stops_new_work(self, setup):
        await setup.publish()
        setup.store.put("servers/i-1", None)
        await trio.sleep(0.3)
        self.assertTrue(setup.node.is_leaving)

    @with_followed_store
    async def test_signal_has_the_settings_read_at_once(self, setup):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(setup.environment.watch_settings)
            await trio.sleep(0.1)
            text = setup.path.read_text(encoding="utf-8")
            text = text.replace('service = "orders"', 'service = "stock"')
            setup.path.write_text(text, encoding="utf-8")
            signal.raise_signal(signal.SIGHUP)
            await trio.sleep(0.1)
            self.assertEqual(setup.environment.get_calling_service(), "stock")
            nursery.cancel_scope.cancel()

    @with_followed_store
    async def test_changed_settings_are_taken_over_without_a_signal(self, setup):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(setup.environment.watch_settings)
            await trio.sleep(0.1)
            text = setup.path.read_text(encoding="utf-8")
            setup.path.write_text("[self", encoding="utf-8")
            await trio.sleep(1.5)
            self.assertEqual(setup.environment.get_calling_service(), "orders")
            text = text.replace('service = "orders"', 'service = "stock"')
            setup.path.write_text(text, encoding="utf-8")
            await trio.sleep(1.5)
            self.assertEqual(setup.environment.get_calling_service(), "stock")
            nursery.cancel_scope.cancel()

    @params(False, True)
    def test_settings_that_change_before_they_are_watched(self, has_failed):
        """Guards against a change that is lost while a node starts."""
        self.check_change_before_watch(has_failed)

    @with_followed_store
    async def check_change_before_watch(self, setup, has_failed):
        environment = setup.environment
        async with trio.open_nursery() as nursery:
            if has_failed:
                with trio.move_on_after(0.1):
                    await environment.watch_settings()
            text = setup.path.read_text(encoding="utf-8")
            text = text.replace('service = "orders"', 'service = "stock"')
            setup.path.write_text(text, encoding="utf-8")
            nursery.start_soon(environment.watch_settings)
            await trio.sleep(1.5)
            self.assertEqual(environment.get_calling_service(), "stock")
            nursery.cancel_scope.cancel()

    @with_followed_store
    async def test_change_that_failed_once_is_applied(self, setup):
        """Guards against a change that counts as applied although it failed."""
        environment = setup.environment
        apply = environment.apply_settings
        fail_once = mock.Mock(side_effect=[ValueError(), None])

        def fail_or_apply(text):
            fail_once()
            apply(text)

        with mock.patch.object(environment, "apply_settings", fail_or_apply):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(setup.node.supervise, environment.watch_settings)
                text = setup.path.read_text(encoding="utf-8")
                text = text.replace('service = "orders"', 'service = "stock"')
                setup.path.write_text(text, encoding="utf-8")
                await trio.sleep(4.0)
                nursery.cancel_scope.cancel()
        self.assertEqual(environment.get_calling_service(), "stock")

    @with_followed_store
    async def test_node_that_accepts_no_callers_is_not_ready(self, setup):
        await setup.publish()
        setup.node.call_acceptor.is_listening = False
        probe = HttpRequest(b"GET", b"/v1/readiness")
        answer = await setup.environment.handle_probe(probe)
        self.assertEqual(answer.status, 503)

    @with_followed_store
    async def test_readiness_address_in_use_does_not_end_the_node(self, setup):
        """Guards against a node that serves, and ends with requests in progress."""
        environment = setup.environment
        with socket.create_server(("127.0.0.1", 0)) as holder:
            port = holder.getsockname()[1]
            address = f"127.0.0.1:{port}"
            environment.settings = dataclasses.replace(
                environment.settings, readiness_address=address
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(environment.run)
                await trio.sleep(1.0)
                holder.close()
                await trio.sleep(1.0)
                await (await trio.open_tcp_stream("127.0.0.1", port)).aclose()
                nursery.cancel_scope.cancel()
