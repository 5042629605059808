"""Assembly of a node from its parts, and its life from start to planned stop."""

from collections.abc import Awaitable, Callable
from functools import partial

import msgspec
import trio
from eliot import log_message

from catkinpost.coordination.access.authenticator import Authenticator, KeyBounds
from catkinpost.coordination.admission.admission import Admission, RunWindow
from catkinpost.coordination.admission.crash_guard import CrashGuard
from catkinpost.coordination.admission.executor import Executor
from catkinpost.coordination.admission.fixed_limit import FixedLimits
from catkinpost.coordination.admission.server_monitor import ServerMonitor
from catkinpost.coordination.admission.throttle import Throttle
from catkinpost.coordination.at_most_once.once import OnceGuard
from catkinpost.coordination.at_most_once.replicas import ServiceReplicas
from catkinpost.coordination.configuration.policy_confirmation import (
    PolicyConfirmation,
)
from catkinpost.coordination.configuration.policy_exchange import PolicyExchange
from catkinpost.coordination.environment import Environment
from catkinpost.coordination.limits.client import LimitClient
from catkinpost.coordination.limits.keeper import KeeperBounds, LimitKeeper
from catkinpost.coordination.limits.ring import KeeperRings
from catkinpost.coordination.limits.use import WorkspaceUse
from catkinpost.coordination.memory_watch import MemoryWatch
from catkinpost.coordination.pause import PauseWatch
from catkinpost.coordination.peers.identity import Identity
from catkinpost.coordination.peers.link import LinkSettings
from catkinpost.coordination.peers.link_table import LinkTable, find_partners
from catkinpost.coordination.peers.peer_handler import PeerHandler
from catkinpost.coordination.peers.peer_server import PeerServer
from catkinpost.coordination.routing.attempt import AttemptSender
from catkinpost.coordination.routing.dispatcher import Dispatcher
from catkinpost.coordination.routing.ejection import Ejector
from catkinpost.coordination.routing.entry import EntryCall
from catkinpost.coordination.routing.hedge import Hedging
from catkinpost.coordination.routing.region_budget import RegionBudget
from catkinpost.coordination.routing.router import NodeLocation, Router
from catkinpost.log import log_exception
from catkinpost.protocol.message import Message, Pong
from catkinpost.protocol.outcome import Failure
from catkinpost.protocol.policy import ServiceSection
from catkinpost.protocol.settings import (
    FULL_CONNECTION_BYTES,
    BoundsSection,
    NodeSettings,
    parse_address,
)
from catkinpost.state.answer_memory import AnswerMemory
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.head_memory import HeadMemory
from catkinpost.state.instance_view import InstanceState, InstanceView, ListChange
from catkinpost.state.memory_account import MemoryAccount
from catkinpost.state.metric import Metrics
from catkinpost.state.peer_stat import PeerStats
from catkinpost.state.policy_age import PolicyAge
from catkinpost.state.policy_store import PolicyStore
from catkinpost.state.request_memory import RequestMemory
from catkinpost.state.retry_budget import RetryBudget, build_retry_bound
from catkinpost.state.running import RunningCalls
from catkinpost.state.server_notice import ServerNotices
from catkinpost.stop import PlannedStop
from catkinpost.transport.acceptor import Acceptor
from catkinpost.transport.http_client import BackendClient
from catkinpost.transport.http_connection import RECEIVE_BUFFER_BYTES
from catkinpost.transport.http_server import HttpServer

__all__ = ["Node"]

# Delays double from the first to the second, which bounds the log lines of a task that
# fails at once each time.
TASK_RESTART_DELAY_S, MAX_TASK_RESTART_DELAY_S = 0.1, 1.0
MESSAGE_OVERHEAD_BYTES = 4096
# Shares of the time for which a leaving backend server continues to serve. Runs may
# last longer than expected, and the start of that time may be known late: a silent feed
# is noticed after 0.4 of it.
DRAIN_END_SHARE = 0.8
DRAIN_START_SHARE = 0.6
DRAIN = "drain"
UNKNOWN_SERVICE_SECTION = ServiceSection(owner="default")


class Node:
    """Process beside one backend server.

    :param settings: checked settings.
    :param environment: sources of policy and instances, and the operators' interface.
    """

    def __init__(self, settings: NodeSettings, environment: Environment) -> None:
        self.environment = environment
        self.settings = settings
        self.nursery: trio.Nursery | None = None
        self.is_leaving = False
        self.planned_stop = PlannedStop(self)
        self.call_acceptor = Acceptor(
            settings.bounds.accept_backlog, receive_buffer_bytes=RECEIVE_BUFFER_BYTES
        )
        self.peer_acceptor = Acceptor()
        self.nodes_in_region = 1
        self.build_state()
        self.build_peers()
        self.build_limits()
        self.build_target()
        self.build_entry()
        self.build_control()
        self.environment.attach(self)

    def build_state(self) -> None:
        section = self.settings.node
        self.identity = Identity(
            instance=section.instance,
            service=section.service,
            secret=self.settings.peers.secret.encode(),
            peers_address=self.settings.listen.peers,
        )
        self.decisions = DecisionLog()
        self.metrics = Metrics()
        self.store = PolicyStore()
        self.policy_age = PolicyAge()
        self.list_age = PolicyAge()
        self.view = InstanceView()
        self.stats = PeerStats()
        self.notices = ServerNotices()
        self.running = RunningCalls()
        self.pause_watch = PauseWatch(self.decisions)
        bounds = self.settings.bounds
        self.memory_account = MemoryAccount(bounds.held_memory_bytes)
        self.request_memory = RequestMemory(
            bounds.request_memory_bytes,
            self.decisions,
            account=self.memory_account,
            largest_bytes=bounds.max_body_bytes + compute_overhead(bounds),
        )
        self.head_memory = HeadMemory(
            bounds.head_memory_bytes, self.decisions, self.memory_account
        )
        self.answer_memory = AnswerMemory(bounds.answer_memory_bytes, self.decisions)
        self.retry_budget = RetryBudget(build_retry_bound(self.settings.bounds))

    def build_peers(self) -> None:
        bounds = self.settings.bounds
        self.link_settings = LinkSettings(
            ping_timeout_s=self.settings.peers.silence,
            max_frame_bytes=2 * bounds.max_body_bytes + compute_overhead(bounds),
        )
        self.links = LinkTable(
            identity=self.identity,
            store=self.store,
            view=self.view,
            pause=self.pause_watch,
            settings=self.link_settings,
            spawn=self.spawn,
        )
        self.replicas = ServiceReplicas(
            instance=self.identity.instance,
            service=self.identity.service,
            view=self.view,
            links=self.links,
        )
        self.exchange = PolicyExchange(
            store=self.store,
            broadcast=self.broadcast,
            on_policy_changed=self.on_policy_changed,
            decisions=self.decisions,
        )
        self.policy_confirmation = PolicyConfirmation(
            exchange=self.exchange,
            view=self.view,
            instance=self.identity.instance,
            age=self.policy_age,
        )
        self.crash_guard = CrashGuard(
            instance=self.identity.instance,
            broadcast=self.broadcast,
            decisions=self.decisions,
        )

    def build_limits(self) -> None:
        section = self.settings.node
        bounds = KeeperBounds.build(self.settings.bounds)
        self.workspace_use = WorkspaceUse()
        self.limit_keeper = LimitKeeper(
            store=self.store,
            policy_age=self.policy_age,
            list_age=self.list_age,
            rings=KeeperRings(section.instance, bounds.max_age_s),
            bounds=bounds,
        )
        self.limits = LimitClient(
            instance=section.instance,
            data_centre=section.data_centre,
            region=section.region,
            keeper=self.limit_keeper,
            view=self.view,
            links=self.links,
            spawn=self.spawn,
            use=self.workspace_use,
        )

    def build_target(self) -> None:
        settings = self.settings
        backend = parse_address(settings.backend.address)
        self.throttle = Throttle()
        admission = Admission(UNKNOWN_SERVICE_SECTION, self.decisions)
        self.backend_client = BackendClient(
            backend.host,
            backend.port,
            limits=settings.http_limits,
            is_matching_response=self.environment.dialect.is_response_to,
        )
        self.executor = Executor(
            service=self.identity.service,
            client=self.backend_client,
            admission=admission,
            store=self.store,
            running_calls=self.running,
            fixed_limits=FixedLimits(self.decisions),
            crash_guard=self.crash_guard,
            monitor=ServerMonitor(
                instance=self.identity.instance,
                notices=self.notices,
                admission=admission,
                dialect=self.environment.dialect,
                on_leaving=partial(
                    self.start_draining, "the backend server says that it leaves"
                ),
            ),
            throttle=self.throttle,
            decisions=self.decisions,
            is_leaving=lambda: self.is_leaving,
            dialect=self.environment.dialect,
        )
        self.executor.once_guard = OnceGuard(
            holder=self.identity.holder,
            lifetime_s=settings.bounds.key_lifetime,
            replicas=self.replicas,
            run_call=self.executor.run_unguarded,
            spawn=self.spawn,
            decisions=self.decisions,
        )

    def build_entry(self) -> None:
        settings = self.settings
        self.ejector = Ejector(
            view=self.view,
            stats=self.stats,
            store=self.store,
            decisions=self.decisions,
        )
        self.router = Router(
            location=NodeLocation(
                instance=settings.node.instance,
                data_centre=settings.node.data_centre,
                region=settings.node.region,
            ),
            view=self.view,
            stats=self.stats,
            notices=self.notices,
            store=self.store,
            ejector=self.ejector,
            budget=RegionBudget(
                region=settings.node.region,
                store=self.store,
                count_nodes=lambda: self.nodes_in_region,
                decisions=self.decisions,
            ),
            is_reachable=self.links.is_reachable,
        )
        self.sender = AttemptSender(
            instance=self.identity.instance,
            store=self.store,
            router=self.router,
            links=self.links,
            executor=self.executor,
            notices=self.notices,
            throttle=self.throttle,
            hedging=Hedging(),
            metrics=self.metrics,
            decisions=self.decisions,
            spawn=self.spawn,
            retry_budget=self.retry_budget,
        )
        self.authenticator = Authenticator(
            store=self.store,
            age=self.policy_age,
            bounds=KeyBounds.build(settings.bounds),
        )
        self.dispatcher = Dispatcher(
            store=self.store,
            is_ready=self.environment.is_ready,
            running=self.running,
            sender=self.sender,
            authenticator=self.authenticator,
            throttle=self.throttle,
            metrics=self.metrics,
            decisions=self.decisions,
            dialect=self.environment.dialect,
            retry_budget=self.retry_budget,
            workspace_use=self.workspace_use,
            limits=self.limits,
        )

    def build_control(self) -> None:
        settings = self.settings
        self.peer_handler = PeerHandler(
            exchange=self.exchange,
            stats=self.stats,
            notices=self.notices,
            replicas=self.replicas,
            once=self.executor.once_guard,
            crash_guard=self.crash_guard,
            limits=self.limits,
        )
        self.links.events = self.peer_handler
        self.peer_server = PeerServer(
            identity=self.identity,
            store=self.store,
            run_call=self.executor.run,
            withdraw_call=self.executor.withdraw,
            events=self.peer_handler,
            get_load=self.executor.get_load,
            pause=self.pause_watch,
            settings=self.link_settings,
            memory=self.request_memory,
            answer_memory=self.answer_memory,
        )
        self.replicas.server = self.peer_server
        self.pause_watch.listeners.append(self.replicas.on_pause)
        self.http_server = HttpServer(
            self.dispatcher.handle,
            limits=settings.http_limits,
            report_failure=self.report_bad_request,
            build_refusal=self.environment.dialect.build_failure_response,
            memory=self.request_memory,
            head_memory=self.head_memory,
            answer_memory=self.answer_memory,
            max_connections=settings.bounds.max_connections,
        )
        self.memory_account.parts += [
            self.request_memory,
            self.head_memory,
            self.backend_client.buffer,
            self.http_server,
        ]
        self.memory_watch = MemoryWatch(self)
        self.call_acceptor.make_room = self.http_server.make_room
        self.call_acceptor.gate = self.http_server.gate
        self.http_server.gate.count_taken = self.count_taken_connections

    def count_taken_connections(self) -> int:
        """Return how many connections the memory of bodies and heads would hold."""
        used_bytes = self.memory_account.used_bytes - self.http_server.used_bytes
        return used_bytes // FULL_CONNECTION_BYTES

    async def run(self) -> None:
        """Run until a planned stop is complete."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.supervise, self.planned_stop.log_held)
            await self.run_until_stopped()
            nursery.cancel_scope.cancel()
        log_message(
            "node: stopped",
            instance=self.identity.instance,
            **self.planned_stop.describe_step(),
        )

    async def run_until_stopped(self) -> None:
        """Run all tasks of the node, and end them after a planned stop."""
        listen = self.settings.listen
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self.supervise, self.planned_stop.watch_signals)
            nursery.start_soon(self.supervise, self.pause_watch.run)
            nursery.start_soon(self.supervise, self.memory_watch.run)
            nursery.start_soon(self.supervise, self.http_server.watch_connections)
            await self.listen(
                listen.peers, self.peer_server.serve_connection, self.peer_acceptor
            )
            await self.listen(
                listen.calls, self.http_server.serve_connection, self.call_acceptor
            )
            nursery.start_soon(self.supervise, self.environment.run)
            nursery.start_soon(self.supervise, self.ejector.run)
            nursery.start_soon(self.supervise, self.executor.admission.run)
            nursery.start_soon(self.supervise, self.workspace_use.run)
            log_message("node: started", instance=self.identity.instance)
            await self.planned_stop.run()
            await self.planned_stop.repeat(self.close_links)
            await self.planned_stop.repeat(self.close_peers)
            await self.planned_stop.repeat(self.planned_stop.wait_for_callers)
            nursery.cancel_scope.cancel()

    async def close_links(self) -> None:
        """Close the connections to peers."""
        # A send to a peer that does not read would outlast the cancellation.
        await self.links.close_connections()
        log_message("node: links closed", **self.planned_stop.describe_step())

    async def close_peers(self) -> None:
        """Close the connections of peers."""
        self.peer_acceptor.start_end()
        await self.peer_server.close_connections(
            self.planned_stop.compute_step_end(), self.planned_stop.delivery_ends_at
        )
        log_message("node: peers closed", **self.planned_stop.describe_step())

    async def listen(
        self,
        address: str,
        serve: Callable[[trio.abc.Stream], Awaitable[None]],
        acceptor: Acceptor | None = None,
    ) -> None:
        """Accept connections at an address, now or as soon as it can be had.

        :param address: IP:port.
        :param serve: serves one connection.
        :param acceptor: stopping it stops accepting; open connections continue.
        """
        acceptor = acceptor or Acceptor()
        guarded_serve = partial(self.guard, serve)
        await self.nursery.start(
            acceptor.listen, parse_address(address), guarded_serve, self.nursery
        )

    def spawn(self, function: Callable[..., Awaitable[None]], *args) -> None:
        """Start a background task whose exceptions do not end the process."""
        self.nursery.start_soon(self.guard, function, *args, name=function)

    async def guard(self, function: Callable[..., Awaitable[None]], *args) -> None:
        """Run a function whose exceptions must not end the process."""
        try:
            await function(*args)
        except* Exception:
            self.report_internal_error()

    async def supervise(self, function: Callable[[], Awaitable[None]]) -> None:
        """Run a task of the whole node, and start it again after an exception.

        The end of the process would cut all its requests, whatever the task is for.

        :param function: runs until it is cancelled.
        """
        delay_s = TASK_RESTART_DELAY_S
        while True:
            started_at = trio.current_time()
            try:
                await function()
                return
            except* Exception:
                self.report_internal_error()
            if trio.current_time() - started_at > MAX_TASK_RESTART_DELAY_S:
                delay_s = TASK_RESTART_DELAY_S
            log_message("node: task failed", task=repr(function), again_in_s=delay_s)
            await trio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_TASK_RESTART_DELAY_S)

    def report_internal_error(self) -> None:
        self.metrics.counters["internal-error"] += 1
        log_exception()

    def report_bad_request(self, failure: Failure) -> None:
        self.metrics.counters[f"rejected:{failure.reason.value}"] += 1
        log_message("http: bad request", reason=failure.reason, why=failure.detail)

    def broadcast(self, message: Message) -> None:
        """Send a notification to every connected peer."""
        self.spawn(self.links.broadcast, message)
        self.spawn(self.peer_server.broadcast, message)

    def on_policy_changed(self) -> None:
        """Apply a new policy to the parts that keep a copy of its sections."""
        section = self.store.policy.services.get(self.identity.service)
        section = self.apply_listed_slots(section or UNKNOWN_SERVICE_SECTION)
        self.executor.admission.update_section(section)
        self.crash_guard.update_section(section)
        for entry in self.store.policy.entries.values():
            self.http_server.limits = entry.override_limits(self.settings.http_limits)
        self.sender.withdraw_attempts(self.has_withdrawn_key)
        self.update_limits()

    def update_limits(self) -> None:
        """Apply policy and list to the limits of workspaces, if there are any."""
        if not self.store.policy.has_workspace_limits:
            return
        names = [
            item.name
            for item in self.view.instances.values()
            if item.state is InstanceState.LIVE
        ]
        self.limit_keeper.update(names, trio.current_time())

    def has_withdrawn_key(self, call: EntryCall) -> bool:
        """Return whether the key of a call is not valid any more."""
        return self.authenticator.check_again(call.caller) is not None

    def apply_listed_slots(self, section: ServiceSection) -> ServiceSection:
        """Replace the slots of a section by those listed for this backend server."""
        own_instance = self.view.instances.get(self.identity.instance)
        if own_instance is None or own_instance.slots is None:
            return section
        return msgspec.structs.replace(section, slots=own_instance.slots)

    def on_list_changed(self, change: ListChange) -> None:
        """Apply a change of the instance list to all parts that depend on it."""
        for instance in change.removed:
            self.stats.remove(instance.name)
        for name in change.restarted:
            self.stats.remove(name)
        for name in (*change.added, *change.restarted):
            self.notices.record_listed(name, self.view.instances[name].incarnation)
        self.retry_budget.node_count = len(self.view.instances)
        if self.identity.instance in (*change.added, *change.restarted):
            # It may have been off the list in between.
            self.limit_keeper.rings.forget(trio.current_time())
        region = self.settings.node.region
        self.nodes_in_region = sum(
            item.region == region for item in self.view.instances.values()
        )
        self.links.refresh()
        self.replicas.update_watch()
        self.on_policy_changed()
        self.apply_own_entry(change)

    def apply_own_entry(self, change: ListChange) -> None:
        """Stop or resume taking new work, as the list says of this instance."""
        name = self.identity.instance
        own_instance = self.view.instances.get(name)
        if own_instance is None:
            if any(item.name == name for item in change.removed):
                self.start_draining("the list of instances no longer has this instance")
        elif self.notices.is_leaving(own_instance):
            self.start_draining(
                "the list or the backend server says that it leaves",
                own_instance.leaving_since,
            )
        elif name in change.restarted or name in change.added:
            self.stop_leaving("the list of instances has this instance again")

    def get_partner_names(self) -> set[str]:
        return {item.name for item in find_partners(self.view, self.identity.instance)}

    def start_draining(self, reason: str, since: float | None = None) -> None:
        """Refuse new work, and bound all runs, as the backend server leaves.

        :param since: time at which the leaving was read, now when ``None``.
        """
        admission = self.executor.admission
        if DRAIN not in admission.windows:
            if since is None:
                since = trio.current_time()
            drain_s = self.settings.bounds.server_drain
            window = RunWindow(
                ends_at=since + DRAIN_END_SHARE * drain_s,
                last_start_at=since + DRAIN_START_SHARE * drain_s,
            )
            admission.set_window(DRAIN, window)
        self.start_leaving(reason)

    def start_leaving(self, reason: str) -> None:
        """Refuse new work from now on, and notify the peers."""
        if self.is_leaving:
            return
        self.is_leaving = True
        self.decisions.add("leaving", "refuse new work", "this node", reason=reason)
        self.broadcast_load()

    def stop_leaving(self, reason: str) -> None:
        """Take new work again, unless the node stops, and notify the peers."""
        self.executor.admission.set_window(DRAIN, None)
        if not self.is_leaving or self.planned_stop.is_requested:
            return
        self.is_leaving = False
        self.decisions.add("leaving", "take new work", "this node", reason=reason)
        self.broadcast_load()

    def broadcast_load(self) -> None:
        self.broadcast(
            Pong(0, self.executor.get_load(), self.store.version, self.store.digest)
        )


def compute_overhead(bounds: BoundsSection) -> int:
    """Return the most bytes that a message of a peer has in addition to bodies."""
    return 2 * bounds.max_head_bytes + MESSAGE_OVERHEAD_BYTES
