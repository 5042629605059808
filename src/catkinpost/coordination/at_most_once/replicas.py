"""Replicas: the other nodes of this node's service, which hold idempotency keys."""

import trio

from catkinpost.coordination.peers.link import PeerLink
from catkinpost.coordination.peers.link_table import LinkTable
from catkinpost.coordination.peers.peer_server import PeerServer
from catkinpost.coordination.peers.pending import PendingRequest
from catkinpost.protocol.message import KeyFence, KeyReport
from catkinpost.protocol.outcome import Failure, Outcome, Reason
from catkinpost.protocol.settings import parse_address
from catkinpost.state.instance_view import InstanceState, InstanceView

__all__ = ["ServiceReplicas"]

QUERY_TIMEOUT_S = 1.0


class ServiceReplicas:
    """Other instances of the service that are listed or connected.

    :param instance: name of this node's instance.
    :param service: service of this node.
    :param view: list of instances.
    :param links: links to peers.
    """

    def __init__(
        self, *, instance: str, service: str, view: InstanceView, links: LinkTable
    ) -> None:
        self.instance = instance
        self.service = service
        self.view = view
        self.links = links
        self.server: PeerServer | None = None
        self.watch_started_at: float | None = None
        self.connected_names: set[str] = set()

    def is_listed(self) -> bool:
        """Return whether the list contains this node and not as leaving."""
        own = self.view.instances.get(self.instance)
        return own is not None and own.state is InstanceState.LIVE

    def get_watched_s(self) -> float:
        """Return the seconds for which this node has watched all listed replicas.

        The watch needs this node on the list and a connection to every listed replica
        at its start. It ends when one that is not leaving is lost.
        """
        if self.watch_started_at is None:
            return 0.0
        return trio.current_time() - self.watch_started_at

    def update_watch(self) -> None:
        """Start or reset the watch after a change of the list or of a connection."""
        names = self.get_listed_names()
        self.connected_names &= names
        if not self.is_listed():
            self.watch_started_at = None
        elif self.watch_started_at is None and self.connected_names >= names:
            self.watch_started_at = trio.current_time()

    def get_listed_names(self) -> set[str]:
        listed = {item.name for item in self.view.get_service_instances(self.service)}
        return listed - {self.instance}

    def on_replica_connected(self, name: str) -> None:
        """Record that a replica has connected."""
        self.connected_names.add(name)
        self.update_watch()

    def on_replica_lost(self, name: str) -> None:
        """Record that a replica was lost, and reset the watch unless it was leaving."""
        self.connected_names.discard(name)
        replica = self.view.instances.get(name)
        if replica is None or replica.service != self.service:
            return
        if replica.state is InstanceState.LIVE:
            self.watch_started_at = None

    def on_pause(self) -> None:
        """Restart the watch, because a paused process has watched nothing."""
        self.watch_started_at = None
        self.update_watch()

    def get_links(self) -> list[PeerLink]:
        """Return a link to every replica, listed or merely connected."""
        names = self.get_listed_names()
        links = [
            self.links.get_or_open_link(self.view.instances[name]) for name in names
        ]
        sessions = list(self.server.sessions.values()) if self.server else []
        for hello in [session.hello for session in sessions]:
            has_link = hello.instance in names or hello.instance == self.instance
            if has_link or hello.service != self.service or not hello.peers_address:
                continue
            address = parse_address(hello.peers_address)
            links.append(self.links.open_link(hello.instance, address))
        return links

    async def query_all(self, fence: KeyFence) -> list[KeyReport | Failure]:
        """Query every replica about a key.

        :param fence: query or request for a fence.
        :return: one report for each replica, or a failure if it did not respond.
        """
        reports: list[KeyReport | Failure] = []

        async def query(link: PeerLink) -> None:
            reports.append(await query_replica(link, fence))

        async with trio.open_nursery() as nursery:
            for link in self.get_links():
                nursery.start_soon(query, link)
        return reports


async def query_replica(link: PeerLink, fence: KeyFence) -> KeyReport | Failure:
    done = trio.Event()
    pending = PendingRequest(done.set)
    with trio.move_on_after(QUERY_TIMEOUT_S):
        await link.send_request(fence, pending)
        await done.wait()
    if isinstance(pending.result, (KeyReport, Failure)):
        return pending.result
    pending.cancel()
    return Failure(
        reason=Reason.PEER_SILENT,
        outcome=Outcome.UNKNOWN,
        detail=f"{link.instance} did not answer about a key",
    )
