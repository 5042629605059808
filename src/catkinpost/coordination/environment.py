"""Interfaces between a node's parts and the sources of its policy and instances."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

from catkinpost.coordination.access.authenticator import Authenticator
from catkinpost.coordination.admission.executor import Executor
from catkinpost.coordination.at_most_once.replicas import ServiceReplicas
from catkinpost.coordination.configuration.policy_confirmation import (
    PolicyConfirmation,
)
from catkinpost.coordination.configuration.policy_exchange import PolicyExchange
from catkinpost.coordination.limits.client import LimitClient
from catkinpost.coordination.pause import PauseWatch
from catkinpost.coordination.peers.identity import Identity
from catkinpost.coordination.peers.link_table import LinkTable
from catkinpost.coordination.peers.peer_handler import PeerHandler
from catkinpost.coordination.peers.peer_server import PeerServer
from catkinpost.coordination.routing.attempt import AttemptSender
from catkinpost.coordination.routing.dialect import Dialect
from catkinpost.coordination.routing.dispatcher import Dispatcher
from catkinpost.protocol.outcome import Failure
from catkinpost.protocol.settings import NodeSettings
from catkinpost.state.answer_memory import AnswerMemory
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.head_memory import HeadMemory
from catkinpost.state.instance_view import InstanceView, ListChange
from catkinpost.state.memory_account import MemoryAccount
from catkinpost.state.metric import Metrics
from catkinpost.state.peer_stat import PeerStats
from catkinpost.state.policy_age import PolicyAge
from catkinpost.state.policy_store import PolicyStore
from catkinpost.state.request_memory import RequestMemory
from catkinpost.transport.acceptor import Acceptor
from catkinpost.transport.http_client import BackendClient
from catkinpost.transport.http_server import HttpServer

__all__ = ["Environment", "NodeParts", "StopState"]


class StopState(Protocol):
    """State of a planned stop."""

    @property
    def is_requested(self) -> bool:
        """Whether a stop of the node has been requested."""


class NodeParts(Protocol):
    """Parts of a node that its environment and its planned stop use."""

    settings: NodeSettings
    environment: "Environment"
    identity: Identity
    decisions: DecisionLog
    metrics: Metrics
    store: PolicyStore
    policy_age: PolicyAge
    list_age: PolicyAge
    view: InstanceView
    stats: PeerStats
    pause_watch: PauseWatch
    request_memory: RequestMemory
    memory_account: MemoryAccount
    head_memory: HeadMemory
    answer_memory: AnswerMemory
    links: LinkTable
    exchange: PolicyExchange
    policy_confirmation: PolicyConfirmation
    peer_handler: PeerHandler
    peer_server: PeerServer
    backend_client: BackendClient
    executor: Executor
    sender: AttemptSender
    authenticator: Authenticator
    limits: LimitClient
    dispatcher: Dispatcher
    replicas: ServiceReplicas
    http_server: HttpServer
    call_acceptor: Acceptor
    planned_stop: StopState
    is_leaving: bool
    nursery: trio.Nursery | None

    async def listen(
        self,
        address: str,
        serve: Callable[[trio.abc.Stream], Awaitable[None]],
        acceptor: Acceptor | None = None,
    ) -> None:
        """Accept connections at an address, now or as soon as it can be had."""

    def spawn(self, function: Callable[..., Awaitable[None]], *args) -> None:
        """Start a background task whose exceptions do not end the process."""

    async def supervise(self, function: Callable[[], Awaitable[None]]) -> None:
        """Run a task of the whole node, and start it again after an exception."""

    def report_internal_error(self) -> None:
        """Count and log the exception that is being handled."""

    def report_bad_request(self, failure: Failure) -> None:
        """Count and log a request that is not valid."""

    def on_list_changed(self, change: ListChange) -> None:
        """Apply a change of the instance list to all parts that depend on it."""

    def get_partner_names(self) -> set[str]:
        """Return the names of the node's partners."""

    def start_draining(self, reason: str, since: float | None = None) -> None:
        """Refuse new work, and bound all runs, as the backend server leaves."""

    def start_leaving(self, reason: str) -> None:
        """Refuse new work from now on, and notify the peers."""


class Environment(Protocol):
    """Sources of policy and instances, and the interface for operators.

    :ivar dialect: meaning of headers and statuses of callers and backend servers.
    """

    dialect: Dialect

    def attach(self, node: NodeParts) -> None:
        """Build the watches of a node.

        :param node: node whose other parts are built.
        """

    def is_ready(self) -> bool:
        """Return whether the node has the policy and the instances that it needs."""

    async def run(self) -> None:
        """Follow all sources until cancelled."""
