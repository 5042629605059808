"""Tests of the relay of the platform's keys, with many nodes on a mocked clock."""

import functools
import math
import random
import unittest
from unittest import mock

import msgspec
import trio
from nose2.tools import params

from catkinpost.state.feed_state import NO_REVISION
from catkinpost_standins.feed_emulator import (
    UNREACHABLE,
    EmulatedFleet,
    EmulatedLink,
    EmulatedSession,
)
from tests.clock import on_mock_clock

# A change must be in force within this time, and the wait of a node for its answer.
PROPAGATION_S = 2.5
READERS_PER_REGION = 2
REGIONS = 2
FLEET = 60
MAX_CALLS_PER_S = 40


def with_fleet(test=None, *, seed=0):
    if test is None:
        return functools.partial(with_fleet, seed=seed)

    @on_mock_clock(seed=seed)
    @functools.wraps(test)
    async def run(self, *args):
        async with trio.open_nursery() as nursery:
            fleet = EmulatedFleet(nursery, FLEET)
            fleet.start_all()
            await trio.sleep(5.0)
            await test(self, fleet, *args)
            nursery.cancel_scope.cancel()

    return run


def count_calls(fleet):
    return len(fleet.platform.call_times)


class TestRelay(unittest.TestCase):
    @with_fleet
    async def test_few_nodes_read_and_all_know(self, fleet):
        self.assertEqual(len(fleet.get_readers()), REGIONS * READERS_PER_REGION)
        self.assertLessEqual(fleet.platform.stale_calls, FLEET)
        calls = count_calls(fleet)
        for version in range(10):
            fleet.platform.put("config", b"%d" % version)
            seconds = await fleet.wait_until_known(fleet.platform.revision)
            self.assertLess(seconds, 0.5)
            await trio.sleep(2.0)
        self.assertLessEqual(count_calls(fleet) - calls, 4 * 4 * 10)
        self.assertLess(fleet.measure_oldest_s(), 1.75)

    @params("killed", "cut off from the platform", "both readers killed")
    def test_lost_readers_delay_no_change(self, how):
        self.check_lost_readers(how)

    @with_fleet
    async def check_lost_readers(self, fleet, how):
        readers = fleet.get_readers()
        for name in readers if how.startswith("both") else readers[:1]:
            if "killed" in how:
                fleet.kill(name)
            else:
                fleet.nodes[name].source.is_cut = True
        fleet.platform.put("config", b"next")
        seconds = await fleet.wait_until_known(fleet.platform.revision)
        self.assertLess(seconds, PROPAGATION_S)

    @with_fleet
    async def test_both_readers_of_a_region_cut_off_silently(self, fleet):
        for name in fleet.get_readers():
            fleet.nodes[name].source.is_cut = True
        fleet.platform.put("config", b"next")
        self.assertLess(
            await fleet.wait_until_known(fleet.platform.revision), PROPAGATION_S
        )

    @params(0, 1, 2)
    def test_nobody_stampedes_while_the_platform_is_away(self, seed):
        with_fleet(TestRelay.check_stampede, seed=seed)(self)

    async def check_stampede(self, fleet):
        fleet.platform.stop_answering()
        fleet.platform.call_times.clear()
        await trio.sleep(31.0)
        fleet.platform.is_down = False
        fleet.platform.put("config", b"next")
        self.assertLess(await fleet.wait_until_known(fleet.platform.revision), 2.5)
        await trio.sleep(5.0)
        self.assertLessEqual(fleet.platform.count_busiest_second(), MAX_CALLS_PER_S)
        self.assertEqual(len(fleet.get_readers()), REGIONS * READERS_PER_REGION)

    @with_fleet
    async def test_restart_of_all_nodes_is_followed_by_one_cheap_read_each(self, fleet):
        for name in list(fleet.nodes):
            fleet.kill(name)
        fleet.platform.put("config", b"next")
        fleet.platform.stale_calls = 0
        calls = count_calls(fleet)
        fleet.start_all()
        await trio.sleep(0.31)
        await fleet.wait_until_known(fleet.platform.revision)
        await trio.sleep(1.0)
        self.assertLess(fleet.measure_oldest_s(), 2.0)
        self.assertEqual(fleet.platform.stale_calls, FLEET)
        self.assertLessEqual(count_calls(fleet) - calls, FLEET / 2)

    @with_fleet
    async def test_restarted_node_does_not_bring_back_what_was_deleted(self, fleet):
        """Guards against a server that has left and is used again after a restart.

        The restarted node's first read is old, and still names the server.
        """
        gone = next(name for name in fleet.names if name not in fleet.get_readers())
        old_items = dict(fleet.platform.items)
        old_revision = fleet.platform.revision
        fleet.kill(gone)
        fleet.platform.put(gone, None)
        await trio.sleep(1.0)
        name = next(name for name in fleet.nodes if name not in fleet.get_readers())
        fleet.kill(name)
        new_items, fleet.platform.items = fleet.platform.items, old_items
        new_revision, fleet.platform.revision = fleet.platform.revision, old_revision
        await fleet.start(name)
        node = fleet.nodes[name]
        while not node.relay.state.items:
            await trio.sleep(0.001)
        fleet.platform.items = new_items
        fleet.platform.revision = new_revision
        self.assertIn(gone, node.view.instances)
        self.assertFalse(node.relay.is_confirmed)
        while not node.relay.is_confirmed:
            await trio.sleep(0.001)
        self.assertNotIn(gone, node.view.instances)
        for other in fleet.nodes.values():
            self.assertNotIn(gone, other.view.instances)

    @with_fleet
    async def test_reader_that_was_never_confirmed_confirms_nobody(self, fleet):
        """Guards against a restarted node that trusts its first, stale read."""
        for name in list(fleet.nodes):
            fleet.kill(name)
        fleet.start_all()
        for _ in range(400):
            await trio.sleep(0.001)
            # Every node makes its first read, and no other call succeeds.
            for node in fleet.nodes.values():
                node.source.is_cut = bool(node.relay.state.items)
        await trio.sleep(5.0)
        nodes = fleet.nodes.values()
        self.assertEqual(len([node for node in nodes if node.view.instances]), FLEET)
        self.assertFalse([node for node in nodes if node.relay.is_confirmed])
        for node in nodes:
            node.source.is_cut = False
        await trio.sleep(5.0)
        self.assertTrue(all(node.relay.is_confirmed for node in nodes))

    @with_fleet
    async def test_node_restarted_during_an_outage_learns_from_its_peers(self, fleet):
        """Guards against nodes that run calls whose child calls they must refuse."""
        fleet.platform.stop_answering()
        await trio.sleep(3.0)
        name = next(name for name in fleet.nodes if name not in fleet.get_readers())
        fleet.kill(name)
        await fleet.start(name)
        await trio.sleep(5.0)
        relay = fleet.nodes[name].relay
        self.assertEqual(len(relay.view.instances), FLEET)
        self.assertTrue(relay.is_confirmed)
        fleet.platform.is_down = False
        fleet.platform.put("config", b"next")
        seconds = await fleet.wait_until_known(fleet.platform.revision)
        self.assertLess(seconds, PROPAGATION_S)

    @with_fleet
    async def test_nodes_that_all_restart_during_an_outage_know_nothing(self, fleet):
        """Guards against nodes that confirm each other what none has read."""
        fleet.platform.stop_answering()
        for name in list(fleet.nodes):
            fleet.kill(name)
        fleet.start_all()
        await trio.sleep(5.0)
        for node in fleet.nodes.values():
            self.assertEqual(node.view.instances, {})
            self.assertFalse(node.relay.is_confirmed)

    @with_fleet
    async def test_state_of_a_peer_confirms_nothing_while_the_platform_answers(
        self, fleet
    ):
        """A restarted node waits for a reading, as its peers may lag."""
        name = next(name for name in fleet.nodes if name not in fleet.get_readers())
        relay = fleet.nodes[name].relay
        relay.selector.confirmed_at = -math.inf
        page = fleet.nodes["node-0"].relay.build_page(since=NO_REVISION)
        page = msgspec.structs.replace(page, age_us=-1)
        self.assertTrue(page.is_confirmed)
        relay.on_page(EmulatedLink(fleet, name, relay.selected[0]), page)
        self.assertFalse(relay.is_confirmed)

    @with_fleet
    async def test_confirmations_from_before_a_pause_do_not_count(self, fleet):
        reader = fleet.nodes[fleet.get_readers()[0]]
        reader.relay.on_pause()
        page = reader.relay.build_page(since=0)
        self.assertLess(page.age_us, 0)
        await trio.sleep(2.0)
        self.assertGreaterEqual(reader.relay.build_page(since=0).age_us, 0)

    @with_fleet
    async def test_brief_failure_long_ago_is_no_outage_of_the_platform(self, fleet):
        follower = next(
            node for node in fleet.nodes.values() if not node.relay.must_read
        )
        follower.relay.record_failure(UNREACHABLE)
        await trio.sleep(60.0)
        follower.relay.record_success()
        self.assertIsNone(follower.relay.recovered_at)

    @with_fleet
    async def test_nodes_that_follow_each_other_do_not_confirm_each_other(self, fleet):
        fleet.platform.stop_answering()
        await trio.sleep(20.0)
        newest = max(node.relay.selector.confirmed_at for node in fleet.nodes.values())
        self.assertGreater(trio.current_time() - newest, 15.0)
        messages = fleet.messages
        await trio.sleep(10.0)
        self.assertLess((fleet.messages - messages) / 10.0 / FLEET, 20)

    async def lose_writes(self, fleet, writes=3):
        """Restore the platform to before some writes that every node knows."""
        copy = fleet.platform.copy()
        for number in range(writes):
            fleet.platform.put("config", b"lost %d" % number)
        await fleet.wait_until_known(fleet.platform.revision)
        fleet.platform.restore(copy)

    @params(0, 1, 2, 3, 4)
    def test_change_after_a_restore_is_known_in_time(self, other_writes):
        self.check_restore(other_writes)

    @with_fleet
    async def check_restore(self, fleet, other_writes):
        await self.lose_writes(fleet)
        for number in range(other_writes):
            fleet.platform.put("other", b"%d" % number)
        fleet.platform.put("config", b"next")
        seconds = await fleet.wait_until_known(fleet.platform.revision)
        self.assertLess(seconds, PROPAGATION_S)
        for node in fleet.nodes.values():
            self.assertEqual(node.relay.state.items["config"].value, b"next")
        await trio.sleep(5.0)
        self.assertEqual(len(fleet.get_readers()), REGIONS * READERS_PER_REGION)

    @params("cut off", "started", "cut off and started")
    def test_nodes_in_both_eras_end_in_the_new_one(self, how):
        """Guards against peers that pass on what was known before a restore."""
        self.check_eras(how)

    @with_fleet
    async def check_eras(self, fleet, how):
        late = [*fleet.get_readers()[:2], *fleet.names[-3:]]
        if "cut off" in how:
            for name in late:
                fleet.nodes[name].source.is_cut = True
        await self.lose_writes(fleet)
        fleet.platform.put("config", b"next")
        if "started" in how:
            for name in fleet.names[10:20]:
                fleet.kill(name)
                await fleet.start(name)
        await trio.sleep(PROPAGATION_S)
        for node in fleet.nodes.values():
            self.assertEqual(node.relay.state.items["config"].value, b"next")
            self.assertEqual(node.relay.state.era, fleet.platform.era)
            self.assertEqual(len(node.view.instances), FLEET)

    @params(6.0, 7.1, 7.8)
    def test_restore_after_an_outage_is_read_at_the_first_answer(self, outage_s):
        """Guards against a wait between the first answer, 410, and the snapshot."""
        self.check_restore_after_outage(outage_s)

    @with_fleet
    async def check_restore_after_outage(self, fleet, outage_s):
        copy = fleet.platform.copy()
        fleet.platform.put("config", b"lost")
        await fleet.wait_until_known(fleet.platform.revision)
        fleet.platform.stop_answering()
        await trio.sleep(outage_s)
        fleet.platform.restore(copy)
        fleet.platform.put("config", b"next")
        fleet.platform.is_down = False
        seconds = await fleet.wait_until_known(fleet.platform.revision)
        self.assertLess(seconds, 1.25)

    @with_fleet
    async def test_restored_platform_is_not_read_again_and_again(self, fleet):
        await self.lose_writes(fleet)
        await trio.sleep(2.0)
        calls = count_calls(fleet)
        await trio.sleep(10.0)
        self.assertLessEqual(count_calls(fleet) - calls, 10 * 4 * 1.2)

    @with_fleet
    async def test_peers_without_eras_are_followed_until_a_restore(self, fleet):
        """One reader of each region is of a release that names no era."""
        readers = fleet.get_readers()
        regions = {fleet.nodes[name].relay.region: name for name in readers}
        old = list(regions.values())
        for name in old:
            relay = fleet.nodes[name].relay
            relay.publisher.build_page = functools.partial(
                lambda build, since, era: msgspec.structs.replace(
                    build(since, era), era=None
                ),
                relay.publisher.build_page,
            )
        fleet.platform.put("config", b"before")
        seconds = await fleet.wait_until_known(fleet.platform.revision)
        self.assertLess(seconds, 0.5)
        self.assertEqual(fleet.get_readers(), readers)
        copy = fleet.platform.copy()
        fleet.platform.put("config", b"lost")
        await fleet.wait_until_known(fleet.platform.revision)
        fleet.platform.restore(copy)
        await trio.sleep(5.0)
        fleet.platform.put("config", b"next")
        await trio.sleep(PROPAGATION_S)
        for node in fleet.nodes.values():
            self.assertEqual(node.relay.state.items["config"].value, b"next")

    @with_fleet
    async def test_random_cuts_and_restarts_keep_every_change_in_time(self, fleet):
        rng = random.Random(3)
        for version in range(40):
            name = rng.choice(fleet.names)
            if name not in fleet.nodes:
                await fleet.start(name)
            elif rng.random() < 0.5:
                fleet.kill(name)
            else:
                source = fleet.nodes[name].source
                source.is_cut = not source.is_cut
            fleet.platform.put("config", b"%d" % version)
            revision = fleet.platform.revision
            self.assertLess(await fleet.wait_until_known(revision), PROPAGATION_S)
            await trio.sleep(rng.uniform(0.0, 3.0))

    @params(0, 1)
    def test_random_cuts_restarts_and_restores_keep_every_change(self, seed):
        with_fleet(TestRelay.check_random_restores, seed=seed)(self)

    async def check_random_restores(self, fleet):
        rng = random.Random(5)
        copy = fleet.platform.copy()
        for version in range(30):
            name = rng.choice(fleet.names)
            if name not in fleet.nodes:
                await fleet.start(name)
            elif rng.random() < 0.5:
                fleet.kill(name)
            else:
                source = fleet.nodes[name].source
                source.is_cut = not source.is_cut
            if rng.random() < 0.4:
                fleet.platform.restore(copy)
            elif rng.random() < 0.5:
                copy = fleet.platform.copy()
            for _ in range(rng.randrange(4)):
                fleet.platform.put("other", b"")
            fleet.platform.put("config", b"%d" % version)
            await trio.sleep(PROPAGATION_S)
            for node in fleet.nodes.values():
                value = node.relay.state.items["config"].value
                self.assertEqual(value, b"%d" % version)


class TestKnownTime(unittest.TestCase):
    """The time up to which a node knows all changes, which bounds the use of keys."""

    def check_nodes(self, fleet, writes):
        """Check that a node knows all writes before the time that it tells."""
        for node in fleet.nodes.values():
            known_at = node.relay.known_at
            revision = sum(at < known_at for at in writes) + FLEET
            self.assertGreaterEqual(node.relay.state.revision, revision)

    @params(0, 1, 2, 3)
    def test_known_time_is_never_too_late(self, seed):
        with_fleet(TestKnownTime.check_random, seed=seed)(self)

    async def check_random(self, fleet):
        """Messages between nodes are up to 4 s on their way, readers are cut off."""
        send = EmulatedSession.send_notification

        async def send_late(session, message):
            await trio.sleep(random.choice([0.0, 0.0, 0.1, random.uniform(0, 4)]))
            return await send(session, message)

        writes = []
        with mock.patch.object(EmulatedSession, "send_notification", send_late):
            for number in range(200):
                fleet.platform.put("config", b"%d" % number)
                writes.append(trio.current_time())
                node = random.choice(list(fleet.nodes.values()))
                node.source.is_cut = random.random() < 0.3
                await trio.sleep(random.uniform(0, 0.4))
                self.check_nodes(fleet, writes)

    @with_fleet
    async def test_known_time_is_young_on_each_node(self, fleet):
        for _ in range(100):
            await trio.sleep(0.1)
            now = trio.current_time()
            ages = [now - node.relay.known_at for node in fleet.nodes.values()]
            self.assertLess(max(ages), 2 * fleet.settings.wait_s)

    @with_fleet
    async def test_known_time_stands_still_while_the_platform_is_away(self, fleet):
        fleet.platform.stop_answering()
        stopped_at = trio.current_time()
        await trio.sleep(20.0)
        for node in fleet.nodes.values():
            self.assertLessEqual(node.relay.known_at, stopped_at)
