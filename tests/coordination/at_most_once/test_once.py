"""Tests of the at-most-once guard."""

import unittest

import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from catkinpost.coordination.at_most_once.once import OnceGuard
from catkinpost.coordination.at_most_once.replicas import ServiceReplicas
from catkinpost.coordination.pause import PauseWatch
from catkinpost.coordination.peers.identity import Identity
from catkinpost.protocol.message import Answer, Call, KeyFence, KeyRecords, Load
from catkinpost.protocol.outcome import Failure, Outcome, Reason
from catkinpost.protocol.settings import Address
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.instance_view import Instance, InstanceState, InstanceView
from tests.clock import TrioDriver, on_mock_clock, wait_all_tasks_blocked

LIFETIME_S = 120.0
NAMES = ["orders-1", "orders-2", "orders-3"]


def make_instance(name, state=InstanceState.LIVE):
    address = Address("127.0.0.1", 1)
    return Instance(
        name=name,
        service="orders",
        data_centre="kurzeme-1",
        region="kurzeme",
        calls=address,
        peers=address,
        operators=address,
        state=state,
    )


def make_call(key, attempt, body=b"set"):
    return Call(
        id=1,
        service="orders",
        call_class="place-order",
        tenant="shop",
        rank=0,
        budget_us=10**7,
        allowance=1,
        attempt=attempt,
        key=key,
        method=b"POST",
        target=b"/orders",
        headers=[],
        body=body,
    )


class FakeLink:
    """Link that queries the other node directly, or fails if it is unreachable."""

    def __init__(self, cluster, source, target):
        self.cluster = cluster
        self.source = source
        self.instance = target

    async def send_request(self, fence, pending):
        if not self.cluster.is_connected(self.source, self.instance):
            pending.resolve(Failure(reason=Reason.PEER_UNREACHABLE))
            return
        await trio.lowlevel.checkpoint()
        if self.instance in self.cluster.lost_replies:
            self.cluster.nodes[self.instance].guard.handle_key_fence(fence)
            return
        pending.resolve(self.cluster.nodes[self.instance].guard.handle_key_fence(fence))


class FakeLinks:
    def __init__(self, cluster, name):
        self.cluster = cluster
        self.name = name

    def get_or_open_link(self, instance):
        return FakeLink(self.cluster, self.name, instance.name)


class Node:
    """At-most-once guard of one node with its dependencies."""

    def __init__(self, cluster, name, lifetime=LIFETIME_S):
        self.identity = Identity(instance=name, service="orders", secret=b"s")
        self.view = InstanceView()
        self.replicas = ServiceReplicas(
            instance=name,
            service="orders",
            view=self.view,
            links=FakeLinks(cluster, name),
        )
        self.scopes = []
        self.cluster = cluster
        self.guard = OnceGuard(
            holder=self.identity.holder,
            lifetime_s=lifetime,
            replicas=self.replicas,
            run_call=self.run_call,
            spawn=self.spawn,
            decisions=DecisionLog(),
        )

    def spawn(self, function, *args):
        self.cluster.nursery.start_soon(self.run_until_crash, function, *args)

    async def run_until_crash(self, function, *args):
        with trio.CancelScope() as scope:
            self.scopes.append(scope)
            return await function(*args)

    def crash(self):
        for scope in self.scopes:
            scope.cancel()

    async def run_call(self, call):
        self.cluster.runs[call.key] = self.cluster.runs.get(call.key, 0) + 1
        await trio.sleep(self.cluster.service_time)
        return Answer(call.id, 200, [], b"done " + call.key.encode(), 0, Load())


class FakeCluster:
    """Several nodes of one service, their list of instances and their links."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.nodes = {}
        self.lost_links = set()
        self.lost_replies = set()
        self.runs = {}
        self.service_time = 1.0
        self.list_version = 0
        self.listed = set()

    def start(self, name):
        self.nodes[name] = Node(self, name)
        self.listed.add(name)

    def stop(self, name):
        node = self.nodes.pop(name)
        node.crash()
        for other in self.nodes.values():
            other.replicas.on_replica_lost(name)

    def is_connected(self, one, other):
        pair = frozenset({one, other})
        return one in self.nodes and other in self.nodes and pair not in self.lost_links

    def publish(self):
        self.list_version += 1

    def read_list(self, name):
        node = self.nodes[name]
        instances = [make_instance(item) for item in sorted(self.listed)]
        node.view.apply_list(self.list_version, instances, trio.current_time())
        node.replicas.update_watch()
        self.connect(name)

    def connect(self, name):
        for other in self.nodes:
            if other != name and self.is_connected(name, other):
                self.nodes[name].replicas.on_replica_connected(other)
                self.nodes[other].replicas.on_replica_connected(name)

    def read_lists(self):
        for name in self.nodes:
            self.read_list(name)


async def open_cluster(nursery, names=NAMES):
    cluster = FakeCluster(nursery)
    for name in names:
        cluster.start(name)
    cluster.publish()
    cluster.read_lists()
    await trio.sleep(LIFETIME_S + 1)
    return cluster


class TestOnceGuard(unittest.TestCase):
    @on_mock_clock
    async def test_first_sending_runs_and_repetition_gets_its_answer(self):
        async with trio.open_nursery() as nursery:
            cluster = await open_cluster(nursery)
            guard = cluster.nodes["orders-1"].guard
            answer = await guard.run(make_call("k", 0))
            again = await guard.run(make_call("k", 1))
            self.assertEqual((answer.body, answer.replayed), (b"done k", False))
            self.assertEqual((again.body, again.replayed), (b"done k", True))
            self.assertEqual(cluster.runs, {"k": 1})

    @on_mock_clock
    async def test_repetition_during_the_run_joins_it(self):
        async with trio.open_nursery() as nursery:
            cluster = await open_cluster(nursery)
            guard = cluster.nodes["orders-1"].guard
            nursery.start_soon(guard.run, make_call("k", 0))
            await wait_all_tasks_blocked()
            again = await guard.run(make_call("k", 1))
            self.assertEqual(again.body, b"done k")
            self.assertEqual(cluster.runs, {"k": 1})

    @on_mock_clock
    async def test_run_goes_on_when_its_caller_is_gone(self):
        async with trio.open_nursery() as nursery:
            cluster = await open_cluster(nursery)
            guard = cluster.nodes["orders-1"].guard
            with trio.move_on_after(0.1):
                await guard.run(make_call("k", 0))
            again = await guard.run(make_call("k", 1))
            self.assertEqual(again.body, b"done k")
            self.assertEqual(cluster.runs, {"k": 1})

    @on_mock_clock
    async def test_repetition_elsewhere_is_sent_to_the_holder(self):
        async with trio.open_nursery() as nursery:
            cluster = await open_cluster(nursery)
            await cluster.nodes["orders-1"].guard.run(make_call("k", 0))
            for attempt in (1, -1):
                refusal = await cluster.nodes["orders-2"].guard.run(
                    make_call("k", attempt)
                )
                self.assertEqual(refusal.outcome, Outcome.UNKNOWN)
                self.assertTrue(refusal.holder.startswith("orders-1#"))

    @on_mock_clock
    async def test_repetition_that_nobody_remembers_is_unknown_not_run(self):
        async with trio.open_nursery() as nursery:
            cluster = await open_cluster(nursery)
            refusal = await cluster.nodes["orders-1"].guard.run(make_call("k", 1))
            self.assertEqual(refusal.outcome, Outcome.UNKNOWN)
            self.assertEqual(cluster.runs, {})

    @on_mock_clock
    async def test_same_key_for_another_request_is_refused(self):
        async with trio.open_nursery() as nursery:
            cluster = await open_cluster(nursery)
            guard = cluster.nodes["orders-1"].guard
            await guard.run(make_call("k", 0))
            refusal = await guard.run(make_call("k", 1, body=b"other"))
            self.assertEqual(refusal.reason, Reason.KEY_CONFLICT)

    @on_mock_clock
    async def test_unmarked_sending_runs_when_all_replicas_grant_a_fence(self):
        async with trio.open_nursery() as nursery:
            cluster = await open_cluster(nursery)
            answer = await cluster.nodes["orders-1"].guard.run(make_call("k", -1))
            self.assertEqual(answer.body, b"done k")

    @on_mock_clock
    async def test_unmarked_sending_is_unknown_while_a_replica_is_cut_off(self):
        async with trio.open_nursery() as nursery:
            cluster = await open_cluster(nursery)
            cluster.lost_links.add(frozenset({"orders-1", "orders-3"}))
            refusal = await cluster.nodes["orders-1"].guard.run(make_call("k", -1))
            self.assertEqual(refusal.outcome, Outcome.UNKNOWN)
            self.assertEqual(cluster.runs, {})

    @on_mock_clock
    async def test_unmarked_sending_after_its_holder_was_replaced_is_unknown(self):
        async with trio.open_nursery() as nursery:
            cluster = await open_cluster(nursery)
            await cluster.nodes["orders-1"].guard.run(make_call("k", -1))
            cluster.stop("orders-1")
            cluster.start("orders-1")
            cluster.publish()
            cluster.read_lists()
            refusal = await cluster.nodes["orders-1"].guard.run(make_call("k", -1))
            self.assertEqual(refusal.outcome, Outcome.UNKNOWN)
            self.assertEqual(cluster.runs, {"k": 1})

    @on_mock_clock
    async def test_service_that_was_replaced_as_a_whole_allows_no_run(self):
        async with trio.open_nursery() as nursery:
            cluster = await open_cluster(nursery)
            await cluster.nodes["orders-1"].guard.run(make_call("k", -1))
            for name in NAMES:
                cluster.stop(name)
            for name in NAMES:
                cluster.start(name)
            cluster.publish()
            cluster.read_lists()
            refusal = await cluster.nodes["orders-2"].guard.run(make_call("k", -1))
            self.assertEqual(refusal.outcome, Outcome.UNKNOWN)
            self.assertEqual(cluster.runs, {"k": 1})

    @on_mock_clock
    async def test_keys_of_a_leaving_node_are_answered_by_its_replicas(self):
        async with trio.open_nursery() as nursery:
            cluster = await open_cluster(nursery)
            leaving = cluster.nodes["orders-1"].guard
            await leaving.run(make_call("k", 0))
            replica = cluster.nodes["orders-2"].guard
            records = KeyRecords(leaving.records.build_copies())
            for copy in records.records:
                replica.records.apply_copy(copy, replica.holder)
            cluster.stop("orders-1")
            answer = await replica.run(make_call("k", 1))
            self.assertEqual(answer.body, b"done k")

    @on_mock_clock
    async def test_two_claims_at_once_run_at_most_once(self):
        async with trio.open_nursery() as nursery:
            cluster = await open_cluster(nursery)
            for name in NAMES:
                nursery.start_soon(cluster.nodes[name].guard.run, make_call("k", -1))
            await trio.sleep(10)
            self.assertLessEqual(cluster.runs.get("k", 0), 1)

    @on_mock_clock
    async def test_claim_that_lost_to_another_does_not_run(self):
        async with trio.open_nursery() as nursery:
            cluster = await open_cluster(nursery)
            guard = cluster.nodes["orders-2"].guard
            nursery.start_soon(guard.run, make_call("k", -1))
            while "k" not in guard.pending_claims:
                await trio.lowlevel.checkpoint()
            report = guard.handle_key_fence(KeyFence(1, "k", "orders-1#other"))
            await trio.sleep(10)
            self.assertTrue(report.granted)
            self.assertEqual(cluster.runs, {})

    @on_mock_clock
    async def test_node_that_was_cut_off_allows_no_run(self):
        async with trio.open_nursery() as nursery:
            cluster = await open_cluster(nursery)
            for replica in ("orders-2", "orders-3"):
                cluster.lost_links.add(frozenset({"orders-1", replica}))
                cluster.nodes["orders-1"].replicas.on_replica_lost(replica)
            cluster.listed.discard("orders-1")
            cluster.publish()
            cluster.read_list("orders-2")
            cluster.read_list("orders-3")
            await cluster.nodes["orders-2"].guard.run(make_call("k", -1))
            for replica in ("orders-2", "orders-3"):
                cluster.nodes[replica].crash()
                cluster.start(replica)
            cluster.lost_links.clear()
            cluster.listed.add("orders-1")
            cluster.publish()
            cluster.read_lists()
            refusal = await cluster.nodes["orders-1"].guard.run(make_call("k", -1))
            self.assertEqual(refusal.outcome, Outcome.UNKNOWN)
            self.assertEqual(cluster.runs, {"k": 1})

    @on_mock_clock
    async def test_paused_node_restarts_its_watch(self):
        async with trio.open_nursery() as nursery:
            cluster = await open_cluster(nursery)
            replicas = cluster.nodes["orders-1"].replicas
            pause = PauseWatch(DecisionLog())
            pause.listeners.append(replicas.on_pause)
            pause.check_for_pause()
            self.assertGreater(replicas.get_watched_s(), LIFETIME_S)
            await trio.sleep(30)
            pause.check_for_pause()
            self.assertEqual(replicas.get_watched_s(), 0.0)

    @on_mock_clock
    async def test_delisted_node_has_watched_nothing(self):
        async with trio.open_nursery() as nursery:
            cluster = await open_cluster(nursery)
            cluster.listed.discard("orders-1")
            cluster.publish()
            cluster.read_lists()
            self.assertEqual(cluster.nodes["orders-1"].replicas.get_watched_s(), 0.0)
            cluster.listed.add("orders-1")
            cluster.publish()
            cluster.read_lists()
            await trio.sleep(1.0)
            self.assertEqual(cluster.nodes["orders-1"].replicas.get_watched_s(), 1.0)

    @on_mock_clock
    async def test_fence_is_not_granted_to_another_run_of_its_holder(self):
        async with trio.open_nursery() as nursery:
            cluster = await open_cluster(nursery)
            guard = cluster.nodes["orders-2"].guard
            holder = cluster.nodes["orders-1"].identity.holder
            replaced = Node(cluster, "orders-1").identity.holder
            self.assertTrue(guard.handle_key_fence(KeyFence(1, "k", holder)).granted)
            self.assertTrue(guard.handle_key_fence(KeyFence(2, "k", holder)).granted)
            self.assertFalse(guard.handle_key_fence(KeyFence(3, "k", replaced)).granted)

    @on_mock_clock
    async def test_one_of_two_claims_at_once_runs(self):
        async with trio.open_nursery() as nursery:
            cluster = await open_cluster(nursery, NAMES[:2])
            for name in NAMES[:2]:
                nursery.start_soon(cluster.nodes[name].guard.run, make_call("k", -1))
            await trio.sleep(10)
            self.assertEqual(cluster.runs, {"k": 1})

    @on_mock_clock
    async def test_question_without_claim_leaves_no_fence(self):
        async with trio.open_nursery() as nursery:
            cluster = await open_cluster(nursery)
            guard = cluster.nodes["orders-1"].guard
            self.assertTrue(guard.handle_key_fence(KeyFence(1, "k", "")).granted)
            self.assertIsNone(guard.records.find("k"))


class OnceMachine(RuleBasedStateMachine):
    """Attempts of keys under crashes, lost links, stale lists and lost responses."""

    names = st.sampled_from(NAMES)
    marked = st.sampled_from(["marked-a", "marked-b"])
    unmarked = st.sampled_from(["plain-a", "plain-b"])
    groups = st.lists(names, min_size=1, max_size=3, unique=True)

    def __init__(self):
        super().__init__()
        self.driver = TrioDriver()
        self.driver.run(self.open)
        self.first_sent = {}
        self.answers = []

    async def open(self):
        self.cluster = FakeCluster(self.driver.nursery)

    def teardown(self):
        self.driver.stop()

    @initialize()
    def begin(self):
        async def start():
            for name in NAMES:
                self.cluster.start(name)
            self.cluster.publish()
            self.cluster.read_lists()

        self.driver.run(start)
        self.driver.advance(LIFETIME_S + 1)

    def is_in_lifetime(self, key):
        now = self.driver.clock.current_time()
        sent = self.first_sent.setdefault(key, now)
        return now - sent < LIFETIME_S

    def send(self, name, key, attempt):
        if name in self.cluster.nodes:
            node = self.cluster.nodes[name]
            self.driver.spawn(self.call, node, make_call(key, attempt))

    async def call(self, node, call):
        result = await node.run_until_crash(node.guard.run, call)
        self.answers.append((call.key, result))

    @rule(name=names, key=marked)
    def send_marked(self, name, key):
        first = key not in self.first_sent
        if self.is_in_lifetime(key):
            self.send(name, key, 0 if first else 1)

    @rule(name=names, key=unmarked)
    def send_unmarked(self, name, key):
        if self.is_in_lifetime(key):
            self.send(name, key, -1)

    @rule(group=groups, key=unmarked)
    def send_unmarked_at_once(self, group, key):
        async def start():
            for name in group:
                if name in self.cluster.nodes:
                    call = make_call(key, -1)
                    node = self.cluster.nodes[name]
                    self.driver.nursery.start_soon(self.call, node, call)

        if self.is_in_lifetime(key):
            self.driver.run(start)

    @rule(group=groups, key=unmarked, seconds=st.sampled_from([0.0, 2.0]))
    def send_then_replace(self, group, key, seconds):
        """Replace instances under the same names soon after an attempt."""
        self.send_unmarked(group[0], key)
        self.driver.advance(seconds)
        self.replace(group)

    @rule(group=groups)
    def replace(self, group):
        async def restart():
            for name in group:
                if name in self.cluster.nodes:
                    self.cluster.stop(name)
                self.cluster.start(name)
            self.cluster.publish()
            self.cluster.read_lists()

        self.driver.run(restart)

    @rule(name=names, key=unmarked)
    def send_while_delisted(self, name, key):
        """Send to a node that is no longer listed, then list it again."""
        self.delist(name)
        self.read_all()
        self.send_unmarked(name, key)
        self.driver.advance(2.0)
        self.relist(name)

    @rule()
    def read_all(self):
        async def read():
            self.cluster.read_lists()

        self.driver.run(read)

    @rule(name=names)
    def crash(self, name):
        if name in self.cluster.nodes:
            self.driver.run(self.stop_node, name)

    async def stop_node(self, name):
        self.cluster.stop(name)

    @rule(name=names, read=st.booleans())
    def restart(self, name, read):
        async def start():
            if name not in self.cluster.nodes:
                self.cluster.start(name)
                self.cluster.publish()
                if read:
                    self.cluster.read_list(name)

        self.driver.run(start)

    @rule(name=names)
    def delist(self, name):
        self.cluster.listed.discard(name)
        self.cluster.publish()

    @rule(name=names)
    def relist(self, name):
        if name in self.cluster.nodes:
            self.cluster.listed.add(name)
            self.cluster.publish()

    @rule(name=names)
    def read_list(self, name):
        async def read():
            if name in self.cluster.nodes:
                self.cluster.read_list(name)

        self.driver.run(read)

    @rule(one=names, other=names)
    def cut(self, one, other):
        if one != other:
            self.cluster.lost_links.add(frozenset({one, other}))
            for name, replica in ((one, other), (other, one)):
                if name in self.cluster.nodes:
                    self.cluster.nodes[name].replicas.on_replica_lost(replica)

    @rule()
    def heal(self):
        async def connect():
            self.cluster.lost_links.clear()
            self.cluster.lost_replies.clear()
            for name in self.cluster.nodes:
                self.cluster.connect(name)

        self.driver.run(connect)

    @rule(name=names)
    def lose_replies(self, name):
        self.cluster.lost_replies.add(name)

    @rule(seconds=st.sampled_from([0.5, 2.0, 60.0, 130.0]))
    def advance(self, seconds):
        self.driver.advance(seconds)

    @invariant()
    def no_key_runs_twice(self):
        for key, runs in self.cluster.runs.items():
            assert runs <= 1, f"{key} ran {runs} times"

    @invariant()
    def not_run_is_true(self):
        for key, result in self.answers:
            outcome = getattr(result, "outcome", None)
            if outcome is Outcome.NOT_RUN:
                assert self.cluster.runs.get(key, 0) == 0, f"{key} did run"


TestOnceMachine = OnceMachine.TestCase
TestOnceMachine.settings = settings(max_examples=400, stateful_step_count=40)
