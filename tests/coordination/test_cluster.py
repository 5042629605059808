"""Property tests of several nodes under simultaneous and repeated faults."""

import random
import unittest

import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from nose2.tools import params

from catkinpost.coordination.routing.dispatcher import MAX_REDIRECTS
from catkinpost.coordination.routing.entry import get_node_retries
from catkinpost.protocol.header import OUTCOME_HEADER
from catkinpost.protocol.http import HttpRequest, find_header
from catkinpost.state.instance_view import InstanceState
from tests.clock import TrioDriver
from tests.coordination.cluster import SENDING_HEADER, Cluster

LIFETIME_S = 60.0
RETRIES = 2
NAMES = ["orders-1", "orders-2", "orders-3", "certs-1", "certs-2"]
POLICY = f"""\
[service orders]
owner = sales
slots = 3
min_slots = 1
slow_start = 0
queue = 3

[service certs]
owner = safety
slots = 3
min_slots = 1
slow_start = 0
queue = 3

[class place-order]
owner = sales
service = orders
match = POST /orders
importance = critical
timeout = 5
retries = {RETRIES}

[class show-order]
owner = sales
service = orders
match = GET /orders
importance = sheddable
repeatable = yes
timeout = 5
retries = {RETRIES}

[class check-certificate]
owner = safety
service = certs
match = GET /certs
repeatable = yes
timeout = 5
retries = {RETRIES}
"""


class ClusterMachine(RuleBasedStateMachine):
    """State machine of five nodes under crashes, cuts, stalls and leaving."""

    names = st.sampled_from(NAMES)

    def __init__(self):
        super().__init__()
        self.driver = TrioDriver()
        self.driver.run(self.open)
        self.driver.advance(LIFETIME_S + 1)
        self.number = 0
        self.sent = {}
        self.sendings = 0
        self.answers = []

    async def open(self):
        self.cluster = Cluster(
            self.driver.nursery, NAMES, POLICY, {"orders": "certs"}, LIFETIME_S
        )

    def teardown(self):
        self.driver.stop()

    def send(self, name, method, root, attempt):
        node = self.cluster.nodes.get(name)
        if node is None:
            return
        self.sendings += 1
        headers = [
            (b"host", b"orders"),
            (b"idempotency-key", root.encode()),
            (SENDING_HEADER, b"%d" % self.sendings),
        ]
        if attempt is not None:
            headers.append((b"catkinpost-attempt", b"%d" % attempt))
        request = HttpRequest(method, f"/orders/{root}".encode(), headers)
        self.cluster.logical[root] = self.cluster.logical.get(root, 0) + 1
        self.sent.setdefault(root, []).append(attempt)
        self.driver.spawn(self.call, node, request, root)

    async def call(self, node, request, root):
        response = await node.run_until_crash(node.dispatcher.handle, request)
        if response is not None:
            outcome = find_header(response.headers, OUTCOME_HEADER).decode()
            self.answers.append((root, outcome, response, self.sendings))

    def next_root(self, kind):
        self.number += 1
        return f"{kind}{self.number}"

    @rule(name=names)
    def order(self, name):
        self.send(name, b"POST", self.next_root("marked"), 0)

    @rule(name=names)
    def order_without_mark(self, name):
        self.send(name, b"POST", self.next_root("plain"), None)

    @rule(name=names, count=st.integers(1, 4))
    def look_up(self, name, count):
        for _ in range(count):
            self.send(name, b"GET", self.next_root("lookup"), 0)

    @rule(
        name=names,
        kind=st.sampled_from(["marked", "plain", "lookup"]),
        fault=st.sampled_from(["crash", "cut", "down", "stall", "leave"]),
        victims=st.lists(names, min_size=1, max_size=4, unique=True),
        seconds=st.sampled_from([0.06, 0.3, 6.0]),
        first=st.booleans(),
    )
    def send_into_fault(self, name, kind, fault, victims, seconds, first):
        """Send one request just before or just after a fault of some nodes."""
        method = b"GET" if kind == "lookup" else b"POST"
        attempt = None if kind == "plain" else 0
        if first:
            self.send(name, method, self.next_root(kind), attempt)
            self.driver.advance(0.01)
        for victim in victims:
            self.hit(name, victim, fault)
        if not first:
            self.send(name, method, self.next_root(kind), attempt)
        self.driver.advance(seconds)
        for _ in range(8):
            self.driver.advance(0.03)

    def hit(self, name, victim, fault):
        if fault == "crash" and victim != name:
            self.crash(victim)
        elif fault == "cut":
            self.cut(name, victim)
        elif fault == "leave":
            self.leave(victim)
        else:
            self.backend_fault(victim, fault == "down", fault == "stall")

    @rule()
    def restore(self):
        """Restore all nodes, so that the next faults hit a healthy system."""

        async def restore():
            for name in NAMES:
                if name not in self.cluster.nodes:
                    self.cluster.start(name)
                node = self.cluster.nodes[name]
                node.backend.down = node.backend.stalled = False
                node.leaving = False
                self.cluster.states[name] = InstanceState.LIVE
            self.cluster.list_version += 1
            self.cluster.cuts.clear()
            self.cluster.read_lists()

        self.driver.run(restore)
        self.driver.advance(1.0)

    @rule(name=names, index=st.integers(0, 5))
    def send_again(self, name, index):
        """Resubmit one of the latest orders with the attempt number of its caller."""
        orders = [root for root in self.sent if not root.startswith("lookup")]
        if orders:
            root = orders[-1 - index % len(orders)]
            attempt = 1 if root.startswith("marked") else None
            self.send(name, b"POST", root, attempt)

    @rule(name=names)
    def crash(self, name):
        async def crash():
            if name in self.cluster.nodes:
                self.cluster.crash(name)

        self.driver.run(crash)

    @rule(name=names, read=st.booleans())
    def start(self, name, read):
        async def start():
            if name not in self.cluster.nodes:
                self.cluster.start(name)
                self.cluster.read_lists(None if read else [name])

        self.driver.run(start)

    @rule(one=names, other=names)
    def cut(self, one, other):
        async def cut():
            if one != other:
                self.cluster.cut(one, other)

        self.driver.run(cut)

    @rule()
    def heal(self):
        async def heal():
            self.cluster.heal()

        self.driver.run(heal)

    @rule(name=names, down=st.booleans(), stalled=st.booleans())
    def backend_fault(self, name, down, stalled):
        if name in self.cluster.nodes:
            backend = self.cluster.nodes[name].backend
            backend.down, backend.stalled = down, stalled

    @rule(name=names)
    def leave(self, name):
        async def leave():
            if name in self.cluster.nodes:
                self.cluster.nodes[name].leaving = True
                self.cluster.states[name] = InstanceState.LEAVING
                self.cluster.list_version += 1

        self.driver.run(leave)

    @rule()
    def read_lists(self):
        async def read():
            self.cluster.read_lists()

        self.driver.run(read)

    @rule(seconds=st.sampled_from([0.01, 0.06, 0.3, 3.0, 6.0]))
    def advance(self, seconds):
        self.driver.advance(seconds)

    @invariant()
    def orders_run_at_most_once(self):
        for (service, root), runs in self.cluster.runs.items():
            if service == "orders" and not root.startswith("lookup"):
                assert runs <= 1, f"{root} ran {runs} times"

    @invariant()
    def not_run_is_true(self):
        """No sending of the request has run, and none of those on their way will.

        A caller that has this answer may send the request again, and that one may run.
        """
        for root, outcome, _, sendings in self.answers:
            if outcome == "not-run":
                ran = self.cluster.run_sendings.get(("orders", root), [])
                assert len(ran) == self.cluster.runs.get(("orders", root), 0), root
                assert all(number > sendings for number in ran), root

    @invariant()
    def answers_belong_to_their_requests(self):
        for root, outcome, response, _ in self.answers:
            if outcome == "done" and response.status == 200:
                assert response.body == f"/orders/{root}".encode()

    @invariant()
    def retries_stay_within_the_bound(self):
        for root, attempts in self.cluster.attempts.items():
            sendings = len(self.sent[root])
            # A redirect of a resubmission to the holder of its key is not a retry.
            bound = get_node_retries(RETRIES) + MAX_REDIRECTS * (sendings - 1)
            if root.startswith("plain"):
                bound = (get_node_retries(RETRIES) + MAX_REDIRECTS) * sendings
            assert attempts - self.cluster.logical[root] <= bound, root


TestClusterMachine = ClusterMachine.TestCase
TestClusterMachine.settings = settings(max_examples=200, stateful_step_count=40)


class TestResubmission(unittest.TestCase):
    @params(*range(6))
    def test_order_that_has_not_run_may_run_when_it_is_sent_again(self, seed):
        """Guards against a refusal that promises more than its own sendings."""
        random.seed(seed)
        trio._core._run._r.seed(seed)
        machine = ClusterMachine()
        victims = ["orders-1", "orders-2"]
        machine.send_into_fault("orders-1", "plain", "down", victims, 0.06, True)
        machine.restore()
        machine.send_again("orders-1", 0)
        for _ in range(12):
            machine.advance(0.03)
        outcomes = [outcome for _, outcome, *_ in machine.answers]
        runs = machine.cluster.run_sendings.get(("orders", "plain1"), [])
        machine.teardown()
        machine.not_run_is_true()
        self.assertEqual(outcomes[-1], "done")
        self.assertEqual(runs, [2] if outcomes[0] == "not-run" else [1])
