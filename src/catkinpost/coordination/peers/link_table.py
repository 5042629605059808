"""All links of one node: to the targets of its calls, its replicas and partners."""

import hashlib
from collections.abc import Callable

import trio
from eliot import log_message

from catkinpost.coordination.pause import PauseWatch
from catkinpost.coordination.peers.bulk import BulkEvents
from catkinpost.coordination.peers.identity import Identity
from catkinpost.coordination.peers.link import LinkEvents, LinkSettings, PeerLink
from catkinpost.protocol.message import Message
from catkinpost.protocol.settings import Address
from catkinpost.state.instance_view import Instance, InstanceState, InstanceView
from catkinpost.state.policy_store import PolicyStore
from catkinpost.transport.frame import close_all

__all__ = ["LinkTable", "compute_ring_position", "find_partners"]

CENTRE_PARTNERS = 2
FLEET_PARTNERS = 1


class LinkTable:
    """Opens links on demand and retires the links to removed instances.

    :param identity: identity of this node.
    :param store: policy in force.
    :param view: list of instances.
    :param pause: detection of pauses of this process.
    :param settings: bounds of each link.
    :param spawn: starts a background task.
    """

    def __init__(
        self,
        *,
        identity: Identity,
        store: PolicyStore,
        view: InstanceView,
        pause: PauseWatch,
        settings: LinkSettings,
        spawn: Callable[..., None],
    ) -> None:
        self.identity = identity
        self.store = store
        self.view = view
        self.pause = pause
        self.settings = settings
        self.spawn = spawn
        self.events: LinkEvents | None = None
        self.links: dict[str, PeerLink] = {}
        self.bulk_links: dict[str, PeerLink] = {}
        self.running_links: set[PeerLink] = set()

    def get_or_open_link(self, instance: Instance) -> PeerLink:
        """Return the link to an instance, opened if there is none."""
        return self.open_link(instance.name, instance.peers)

    def get_or_open_bulk_link(self, instance: Instance) -> PeerLink:
        """Return the link for large calls to an instance, opened if there is none."""
        return self.open_link_in(
            self.bulk_links, instance.name, instance.peers, BulkEvents(self.events)
        )

    def open_link(self, name: str, address: Address) -> PeerLink:
        """Return the link to a named instance at an address, opened if needed.

        A link to another address of the same name is retired.
        """
        return self.open_link_in(self.links, name, address, self.events)

    def open_link_in(
        self,
        links: dict[str, PeerLink],
        name: str,
        address: Address,
        events: LinkEvents,
    ) -> PeerLink:
        link = links.get(name)
        if link is not None and link.address == address:
            return link
        if link is not None:
            link.retire()
        link = PeerLink(
            name,
            address,
            identity=self.identity,
            store=self.store,
            events=events,
            pause=self.pause,
            settings=self.settings,
            spawn=self.spawn,
        )
        links[name] = link
        self.spawn(self.run_link, link)
        return link

    async def run_link(self, link: PeerLink) -> None:
        """Run a link, which is known here until it has ended, also when retired.

        Its replaced connections may outlast it.
        """
        self.running_links.add(link)
        try:
            await link.run()
            await link.wait_for_replaced()
        finally:
            self.running_links.discard(link)

    def describe_busy(self) -> dict[str, int]:
        """Return the number of pending requests by peer, for each link in use.

        A link that is sending is in use.
        """
        busy: dict[str, int] = {}
        for link in self.running_links:
            tables = [
                link.pending,
                *(item.waiting for item in link.replaced_connections),
            ]
            count = sum(len(table.requests) for table in tables)
            if count or link.is_sending:
                busy[link.instance] = busy.get(link.instance, 0) + count
        return busy

    def refresh(self) -> None:
        """Retire links to removed instances; open links to replicas and partners."""
        for name in {*self.links, *self.bulk_links}:
            if name not in self.view.instances:
                self.retire_link(name)
        own_name = self.identity.instance
        for instance in self.view.get_service_instances(self.identity.service):
            if instance.name != own_name:
                self.get_or_open_link(instance)
        for instance in find_partners(self.view, own_name):
            self.get_or_open_link(instance)

    def is_reachable(self, name: str) -> bool:
        """Return ``False`` when the latest connect to an instance failed."""
        link = self.links.get(name)
        return link is None or not link.is_unreachable

    def request_pings(self) -> None:
        """Make every link send a ping soon, after a ping timeout on one link.

        The cause of one silent connection often affects others at the same time.
        """
        for link in self.links.values():
            link.ping_due = True

    def retire_link(self, name: str) -> None:
        """Open no new requests to an instance; its pending requests continue."""
        for links in (self.links, self.bulk_links):
            link = links.pop(name, None)
            if link is None:
                continue
            log_message("links: retired", peer=name, pending=len(link.pending.requests))
            link.retire()

    async def close_stalled(self) -> None:
        """Close every connection whose peer has not taken a whole message yet."""
        for link in list(self.running_links):
            for connection in link.get_connections():
                if connection.send_lock.locked():
                    log_message("link: closed while sending", peer=link.instance)
                    await connection.close()

    async def close_connections(self) -> None:
        """Close every connection for good, also while a message is being sent."""
        connections = []
        for link in self.running_links:
            link.cancel_scope.cancel()
            connections += link.get_connections()
        await close_all(connections)

    async def broadcast(self, message: Message) -> None:
        """Send a notification over every link that is up."""
        async with trio.open_nursery() as nursery:
            for link in list(self.links.values()):
                if link.is_up:
                    nursery.start_soon(link.send_notification, message)


def find_partners(view: InstanceView, own_name: str) -> list[Instance]:
    """Return the fixed partners of an instance.

    Partners are the successors on a ring of hashed names, two within the data
    centre and one over the whole fleet. Notifications thereby reach every
    instance over few links, independently of the traffic between instances.

    :param view: list of instances.
    :param own_name: name of the instance whose partners are returned.
    """
    own_entry = view.instances.get(own_name)
    if own_entry is None:
        # Not listed yet: the ring position depends on the name alone.
        live = [item for item in view.instances.values()]
        return find_successors(live, own_name, CENTRE_PARTNERS + FLEET_PARTNERS)
    live = [
        item
        for item in view.instances.values()
        if item.state is InstanceState.LIVE and item.name != own_name
    ]
    same_data_centre = [
        item for item in live if item.data_centre == own_entry.data_centre
    ]
    found = find_successors(same_data_centre, own_name, CENTRE_PARTNERS)
    others = [item for item in live if item not in found]
    return found + find_successors(others, own_name, FLEET_PARTNERS)


def find_successors(
    instances: list[Instance], own_name: str, count: int
) -> list[Instance]:
    start = compute_ring_position(own_name)
    ring = sorted(
        instances,
        key=lambda item: (
            compute_ring_position(item.name) <= start,
            compute_ring_position(item.name),
        ),
    )
    return ring[:count]


def compute_ring_position(name: str) -> bytes:
    """Return the position of an instance in the order that all nodes agree on."""
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
