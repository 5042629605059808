"""Several nodes in one process, with fake links and backend servers."""

import functools
import math

import trio
import trio.testing

from catkinpost.coordination.access.authenticator import Authenticator
from catkinpost.coordination.admission.admission import Admission, RunWindow
from catkinpost.coordination.admission.crash_guard import CrashGuard
from catkinpost.coordination.admission.executor import Executor
from catkinpost.coordination.admission.fixed_limit import FixedLimits
from catkinpost.coordination.admission.server_monitor import ServerMonitor
from catkinpost.coordination.admission.throttle import Throttle
from catkinpost.coordination.at_most_once.once import OnceGuard
from catkinpost.coordination.at_most_once.replicas import ServiceReplicas
from catkinpost.coordination.peers.identity import Identity
from catkinpost.coordination.routing.attempt import AttemptSender
from catkinpost.coordination.routing.dialect import NativeDialect
from catkinpost.coordination.routing.dispatcher import Dispatcher
from catkinpost.coordination.routing.ejection import Ejector
from catkinpost.coordination.routing.hedge import Hedging
from catkinpost.coordination.routing.region_budget import RegionBudget
from catkinpost.coordination.routing.router import NodeLocation, Router
from catkinpost.protocol.header import PARENT_HEADER
from catkinpost.protocol.http import HttpRequest, HttpResponse, find_header
from catkinpost.protocol.message import KeyFence
from catkinpost.protocol.outcome import Failure, Outcome, Reason
from catkinpost.protocol.settings import Address
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.instance_view import Instance, InstanceState, InstanceView
from catkinpost.state.metric import Metrics
from catkinpost.state.peer_stat import PeerStats
from catkinpost.state.policy_age import PolicyAge
from catkinpost.state.policy_store import PolicyStore
from catkinpost.state.running import RunningCalls
from catkinpost.state.server_notice import ServerNotices

__all__ = ["SENDING_HEADER", "Cluster"]

SERVICE_S = 0.05
LATENCY_S = 0.001
ADDRESS = Address("127.0.0.1", 1)
# Number of a sending, so that a run can be attributed to one of several.
SENDING_HEADER = b"test-sending"
LOST = Failure(reason=Reason.PEER_CONNECTION_LOST, outcome=Outcome.UNKNOWN)
BACKEND_LOST = Failure(reason=Reason.BACKEND_CONNECTION_LOST, outcome=Outcome.UNKNOWN)
BACKEND_DOWN = Failure(reason=Reason.BACKEND_UNREACHABLE)


class FakeBackend:
    """Backend server that counts runs, makes child calls and can stall or be down."""

    def __init__(self, cluster, node):
        self.cluster = cluster
        self.node = node
        self.down = False
        self.stalled = False
        self.idle_closed = 0

    async def send_request(self, request):
        if self.down:
            return BACKEND_DOWN
        root = request.target.rpartition(b"/")[2].decode()
        sending = find_header(request.headers, SENDING_HEADER)
        self.cluster.note_run(self.node.service, root, sending)
        self.cluster.note_arrival(self.node.name)
        await trio.sleep(SERVICE_S)
        while self.stalled:
            await trio.sleep(SERVICE_S)
        if self.down:
            return BACKEND_LOST
        child = self.cluster.children.get(self.node.service)
        if child is not None:
            answer = await self.call_child(child, root, request)
            if answer.status != 200:
                return HttpResponse(502, [], b"child failed")
        notice = self.cluster.notice_headers.get(self.node.name, [])
        return HttpResponse(200, list(notice), request.target)

    async def call_child(self, service, root, request):
        parent = find_header(request.headers, PARENT_HEADER)
        headers = [(b"host", service.encode()), (PARENT_HEADER, parent)]
        self.cluster.logical[root] = self.cluster.logical.get(root, 0) + 1
        return await self.node.dispatcher.handle(
            HttpRequest(b"GET", f"/{service}/{root}".encode(), headers)
        )

    async def connect(self):
        return BACKEND_DOWN if self.down else trio.testing.memory_stream_pair()[0]

    def close_idle_connections(self):
        self.idle_closed += 1


class FakeLink:
    """Link to another node, with the messages in flight."""

    def __init__(self, cluster, source, target):
        self.cluster = cluster
        self.source = source
        self.instance = target
        self.flying = {}

    async def send_request(self, request, pending):
        await trio.sleep(LATENCY_S)
        node = self.cluster.reach(self.source, self.instance)
        if node is None:
            pending.resolve(Failure(reason=Reason.PEER_UNREACHABLE))
            return
        scope = trio.CancelScope()
        pending.cancel = scope.cancel
        if not isinstance(request, KeyFence):
            pending.withdraw = functools.partial(node.executor.withdraw, request)
        pending.sent = True
        self.flying[pending] = scope
        node.spawn(self.deliver, node, request, pending, scope)

    async def deliver(self, node, request, pending, scope):
        try:
            with scope:
                if isinstance(request, KeyFence):
                    result = node.once.handle_key_fence(request)
                else:
                    result = await node.executor.run(request)
                await trio.sleep(LATENCY_S)
                if self.cluster.reach(self.source, self.instance) is node:
                    pending.resolve(result)
        finally:
            self.flying.pop(pending, None)

    def lose(self):
        """Lose the connection: fail pending requests and cancel running ones."""
        flying, self.flying = self.flying, {}
        for pending, scope in flying.items():
            scope.cancel()
            pending.resolve(LOST)


class FakeLinks:
    def __init__(self, cluster, name):
        self.cluster = cluster
        self.name = name

    def get_or_open_link(self, instance):
        return self.cluster.link(self.name, instance.name)


class ClusterNode:
    """Coordination code of one node."""

    def __init__(self, cluster, name, policy):
        self.cluster = cluster
        self.name = name
        self.service = name.rpartition("-")[0]
        self.scopes = []
        self.leaving = False
        self.identity = Identity(instance=name, service=self.service, secret=b"s")
        self.decisions = DecisionLog()
        self.store = PolicyStore()
        self.store.accept_document(1, policy, now=0.0, source="test")
        self.view = InstanceView()
        self.stats = PeerStats()
        self.notices = ServerNotices()
        self.dialect = NativeDialect()
        self.running = RunningCalls()
        self.throttle = Throttle()
        self.backend = FakeBackend(cluster, self)
        self.links = FakeLinks(cluster, name)
        self.replicas = ServiceReplicas(
            instance=name, service=self.service, view=self.view, links=self.links
        )
        self.build_target()
        self.build_entry()

    def build_target(self):
        section = self.store.policy.services[self.service]
        admission = Admission(section, self.decisions)
        self.spawn(admission.run)
        self.executor = Executor(
            service=self.service,
            client=self.backend,
            admission=admission,
            store=self.store,
            running_calls=self.running,
            fixed_limits=FixedLimits(self.decisions),
            crash_guard=CrashGuard(
                instance=self.name,
                broadcast=lambda message: None,
                decisions=self.decisions,
            ),
            monitor=ServerMonitor(
                instance=self.name,
                notices=self.notices,
                admission=admission,
                dialect=self.dialect,
                on_leaving=self.start_leaving,
            ),
            throttle=self.throttle,
            decisions=self.decisions,
            dialect=self.dialect,
            is_leaving=lambda: self.leaving,
        )
        self.once = OnceGuard(
            holder=self.identity.holder,
            lifetime_s=self.cluster.lifetime,
            replicas=self.replicas,
            run_call=self.executor.run_unguarded,
            spawn=self.spawn,
            decisions=self.decisions,
        )
        self.executor.once_guard = self.once

    def build_entry(self):
        shared = {"store": self.store, "decisions": self.decisions}
        self.ejector = Ejector(view=self.view, stats=self.stats, **shared)
        budget = RegionBudget(region="r", count_nodes=lambda: 1, **shared)
        self.router = Router(
            location=NodeLocation(instance=self.name, data_centre="c", region="r"),
            view=self.view,
            stats=self.stats,
            notices=self.notices,
            store=self.store,
            ejector=self.ejector,
            budget=budget,
        )
        self.sender = AttemptSender(
            instance=self.name,
            router=self.router,
            links=self.links,
            executor=self.executor,
            notices=self.notices,
            throttle=self.throttle,
            hedging=Hedging(),
            metrics=Metrics(),
            spawn=self.spawn,
            **shared,
        )
        self.dispatcher = Dispatcher(
            is_ready=lambda: True,
            running=self.running,
            sender=self.sender,
            authenticator=Authenticator(store=self.store, age=PolicyAge()),
            throttle=self.throttle,
            metrics=Metrics(),
            **shared,
        )
        self.count_attempts()

    def count_attempts(self):
        original = self.sender.start_attempt

        async def start(call, *args, **options):
            root = call.request.target.rpartition(b"/")[2].decode()
            self.cluster.attempts[root] = self.cluster.attempts.get(root, 0) + 1
            await original(call, *args, **options)

        self.sender.start_attempt = start

    def start_leaving(self):
        self.leaving = True

    def start_stop(self, seconds):
        """Bound the calls of the node and of its callers as a planned stop does."""
        ends_at = trio.current_time() + seconds
        self.executor.admission.set_window("stop", RunWindow(ends_at=ends_at))
        self.sender.ends_at = ends_at
        self.sender.withdraw_late_attempts()

    def end_stop(self):
        self.dispatcher.end_calls()

    def take_work(self):
        """Take new work again after a stop or leaving."""
        self.leaving = False
        self.executor.admission.set_window("stop", None)
        self.sender.ends_at = math.inf
        self.dispatcher.is_ended = False

    def spawn(self, function, *args):
        self.cluster.nursery.start_soon(self.run_until_crash, function, *args)

    async def run_until_crash(self, function, *args):
        with trio.CancelScope() as scope:
            self.scopes.append(scope)
            return await function(*args)


class Cluster:
    """Nodes of several services, their links and a count of their runs."""

    def __init__(self, nursery, names, policy, children, lifetime):
        self.nursery = nursery
        self.policy = policy
        self.children = children
        self.lifetime = lifetime
        self.nodes = {}
        self.links = {}
        self.cuts = set()
        self.states = dict.fromkeys(names, InstanceState.LIVE)
        self.list_version = 0
        self.runs = {}
        self.run_sendings = {}
        self.arrivals = {}
        self.notice_headers = {}
        self.attempts = {}
        self.logical = {}
        for name in names:
            self.start(name)
        self.read_lists()

    def note_run(self, service, root, sending):
        key = (service, root)
        self.runs[key] = self.runs.get(key, 0) + 1
        if sending is not None:
            self.run_sendings.setdefault(key, []).append(int(sending))

    def note_arrival(self, name):
        self.arrivals.setdefault(name, []).append(trio.current_time())

    def link(self, source, target):
        key = (source, target)
        if key not in self.links:
            self.links[key] = FakeLink(self, source, target)
        return self.links[key]

    def reach(self, source, target):
        if frozenset({source, target}) in self.cuts or source not in self.nodes:
            return None
        return self.nodes.get(target)

    def start(self, name):
        self.nodes[name] = ClusterNode(self, name, self.policy)
        for other in self.nodes.values():
            # The welcome of another process ends the observations of the one before.
            other.stats.remove(name)
        self.states[name] = InstanceState.LIVE
        self.list_version += 1

    def crash(self, name):
        node = self.nodes.pop(name)
        for scope in node.scopes:
            scope.cancel()
        for (source, target), link in self.links.items():
            if name in (source, target):
                link.lose()
        for other in self.nodes.values():
            other.replicas.on_replica_lost(name)

    def cut(self, one, other):
        self.cuts.add(frozenset({one, other}))
        for source, target in ((one, other), (other, one)):
            self.link(source, target).lose()
            if source in self.nodes:
                self.nodes[source].replicas.on_replica_lost(target)

    def heal(self):
        self.cuts.clear()
        self.connect()

    def read_lists(self, names=None):
        instances = [
            Instance(
                name=name,
                service=name.rpartition("-")[0],
                data_centre="c",
                region="r",
                calls=ADDRESS,
                peers=ADDRESS,
                operators=ADDRESS,
                state=state,
            )
            for name, state in self.states.items()
        ]
        for name in names or list(self.nodes):
            node = self.nodes[name]
            node.view.apply_list(self.list_version, instances, trio.current_time())
            node.replicas.update_watch()
        self.connect()

    def connect(self):
        for name, node in self.nodes.items():
            for other in self.nodes.values():
                same = other.service == node.service and other is not node
                if same and self.reach(name, other.name):
                    node.replicas.on_replica_connected(other.name)
