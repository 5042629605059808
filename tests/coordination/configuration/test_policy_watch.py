"""Tests of the policy watch, the policy exchange and the readiness of new nodes."""

import unittest

import trio

from catkinpost.coordination.configuration.policy_confirmation import (
    PolicyConfirmation,
)
from catkinpost.coordination.configuration.policy_exchange import PolicyExchange
from catkinpost.coordination.configuration.policy_watch import (
    READERS_PER_DATA_CENTRE,
    PolicyGate,
    PolicyWatch,
    compute_reader_rank,
)
from catkinpost.protocol.message import PolicyContent, PolicyFetch, PolicyNotice
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.protocol.settings import PlatformSection
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.instance_view import InstanceView
from catkinpost.state.policy_age import PolicyAge
from catkinpost.state.policy_store import PolicyStore
from catkinpost.transport.platform_client import PolicyDocument
from tests.clock import on_mock_clock, wait_all_tasks_blocked
from tests.coordination.at_most_once.test_once import make_instance

TEXT = "[service orders]\nowner = sales\nslots = {slots}\n"
DOWN = Failure(reason=Reason.PLATFORM_UNREACHABLE, detail="down")


def make_view(count):
    view = InstanceView()
    view.apply_list(1, [make_instance(f"orders-{n}") for n in range(count)], 0.0)
    return view


class FakePlatform:
    """Platform that serves one version or is down."""

    def __init__(self):
        self.settings = PlatformSection(address="127.0.0.1:1")
        self.version = 1
        self.down = False
        self.document_reads = 0

    async def watch_version(self, after):
        with trio.move_on_after(5):
            while self.version <= after and not self.down:
                await trio.sleep(0.1)
        return DOWN if self.down else self.version

    async def read_policy(self):
        self.document_reads += 1
        if self.down:
            return DOWN
        return PolicyDocument(self.version, TEXT.format(slots=self.version))


class Node:
    """Store, exchange and watch of one node; peers are called directly."""

    def __init__(self, name, platform, view, fleet):
        self.instance = name
        self.fleet = fleet
        self.store = PolicyStore()
        self.cut = False
        self.exchange = PolicyExchange(
            store=self.store,
            broadcast=self.announce,
            on_policy_changed=lambda: None,
            decisions=DecisionLog(),
        )
        self.watch = PolicyWatch(
            confirmation=PolicyConfirmation(
                exchange=self.exchange, view=view, instance=name, age=PolicyAge()
            ),
            client=platform,
            exchange=self.exchange,
            view=view,
            instance=name,
        )
        self.gate = PolicyGate(
            exchange=self.exchange,
            view=view,
            instance=name,
            start_wait=3.0,
            get_partners=lambda: set(view.instances) - {name},
        )

    def announce(self, message):
        for peer in self.fleet.values():
            if peer is not self:
                self.fleet.nursery.start_soon(
                    Sender(peer, self).send_notification, message
                )


class Sender:
    """One direction of a connection between two nodes."""

    def __init__(self, target, source):
        self.target = target
        self.source = source
        self.instance = target.instance

    async def send_notification(self, message):
        if self.target.cut or self.source.cut:
            return False
        await trio.lowlevel.checkpoint()
        exchange = self.target.exchange
        back = Sender(self.source, self.target)
        if isinstance(message, PolicyNotice):
            await exchange.handle_peer_version(
                back, message.policy_version, message.policy_digest
            )
        elif isinstance(message, PolicyFetch):
            await back.send_notification(
                self.target.store.build_content_since(message.since)
            )
        elif isinstance(message, PolicyContent):
            await exchange.apply_content(back, message)
        return True


class Fleet(dict):
    """Nodes by name that share one platform."""

    def __init__(self, nursery, count):
        super().__init__()
        self.nursery = nursery
        self.platform = FakePlatform()
        self.view = make_view(count)
        for name in self.view.instances:
            self[name] = Node(name, self.platform, self.view, self)

    def start(self):
        for node in self.values():
            self.nursery.start_soon(node.watch.run)

    def versions(self):
        return {node.store.version for node in self.values()}


class TestPolicyWatch(unittest.TestCase):
    @on_mock_clock
    async def test_change_is_in_force_everywhere_within_14_s_with_few_reads(self):
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, 30)
            fleet.start()
            await trio.sleep(20)
            reads = fleet.platform.document_reads
            fleet.platform.version = 2
            await trio.sleep(14)
            self.assertEqual(fleet.versions(), {2})
            self.assertLessEqual(
                fleet.platform.document_reads - reads, READERS_PER_DATA_CENTRE + 1
            )
            nursery.cancel_scope.cancel()

    @on_mock_clock
    async def test_node_cut_off_from_its_peers_reads_for_itself(self):
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, 10)
            fleet.start()
            await trio.sleep(20)
            fleet["orders-3"].cut = True
            fleet.platform.version = 2
            await trio.sleep(14)
            self.assertEqual(fleet.versions(), {2})
            nursery.cancel_scope.cancel()

    @on_mock_clock
    async def test_policy_stays_while_the_platform_is_down_or_stale(self):
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, 4)
            fleet.platform.version = 5
            fleet.start()
            await trio.sleep(20)
            fleet.platform.down = True
            await trio.sleep(600)
            fleet.platform.down = False
            fleet.platform.version = 3
            await trio.sleep(600)
            self.assertEqual(fleet.versions(), {5})
            nursery.cancel_scope.cancel()

    @on_mock_clock
    async def test_platform_that_is_down_is_not_asked_in_a_tight_loop(self):
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, 1)
            fleet.platform.down = True
            asked = []

            async def watch_version(after):
                asked.append(after)
                return DOWN

            fleet.platform.watch_version = watch_version
            fleet.start()
            await trio.sleep(60)
            self.assertLess(len(asked), 130)
            nursery.cancel_scope.cancel()

    def test_turns_to_read_are_shared(self):
        view = make_view(20)
        readers = set()
        for version in range(200):
            ranks = {
                name: compute_reader_rank(view, name, version)
                for name in view.instances
            }
            self.assertEqual(sorted(ranks.values()), list(range(20)))
            readers |= {name for name, rank in ranks.items() if rank == 0}
        self.assertEqual(len(readers), 20)


class TestPolicyGate(unittest.TestCase):
    @on_mock_clock
    async def test_new_node_waits_for_a_peer_and_never_shows_an_older_version(self):
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, 3)
            fleet.platform.version = 9
            fleet.start()
            await trio.sleep(20)
            new = Node("orders-1", fleet.platform, fleet.view, fleet)
            fleet["orders-1"] = new
            new.exchange.apply_document(4, TEXT.format(slots=4))
            self.assertFalse(new.gate.is_ready())
            await Sender(fleet["orders-2"], new).send_notification(
                PolicyNotice(new.store.version, new.store.digest)
            )
            await wait_all_tasks_blocked()
            await trio.sleep(4)
            self.assertTrue(new.gate.is_ready())
            self.assertEqual(new.store.version, 9)
            nursery.cancel_scope.cancel()

    @on_mock_clock
    async def test_node_that_hears_of_a_newer_version_is_not_ready_yet(self):
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, 3)
            node = fleet["orders-0"]
            node.exchange.apply_document(4, TEXT.format(slots=4))
            node.exchange.peer_versions = {"orders-1": 5, "orders-2": 4}
            self.assertFalse(node.gate.is_ready())
            node.exchange.apply_document(5, TEXT.format(slots=5))
            self.assertTrue(node.gate.is_ready())

    @on_mock_clock
    async def test_isolated_new_node_is_not_ready(self):
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, 3)
            node = fleet["orders-0"]
            node.cut = True
            node.exchange.apply_document(4, TEXT.format(slots=4))
            node.gate.is_ready()
            await trio.sleep(600)
            self.assertFalse(node.gate.is_ready())

    @on_mock_clock
    async def test_only_instance_is_ready_with_the_platform_alone(self):
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, 1)
            node = fleet["orders-0"]
            self.assertFalse(node.gate.is_ready())
            node.exchange.apply_document(1, TEXT.format(slots=1))
            self.assertTrue(node.gate.is_ready())
