"""All links of one node: to the targets of its calls, its replicas and partners."""

import hashlib
from collections.abc import Callable

import trio
from eliot import log_message

from catkinpost.coordination.pause import PauseWatch
from catkinpost.coordination.peers.identity import Identity
from catkinpost.coordination.peers.link import LinkEvents, LinkSettings, PeerLink
from catkinpost.protocol.message import Message
from catkinpost.protocol.settings import Address
from catkinpost.state.instance_view import Instance, InstanceState, InstanceView
from catkinpost.state.policy_store import PolicyStore

__all__ = ["LinkTable", "find_partners"]

CENTRE_PARTNERS = 2
FLEET_PARTNERS = 1


class LinkTable:
    """Opens links when they are needed and drops those of gone instances.

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

    def of(self, instance: Instance) -> PeerLink:
        """Return the link to an instance and open it when there is none."""
        return self.open(instance.name, instance.peers)

    def open(self, name: str, address: Address) -> PeerLink:
        """Return the link to a named instance at an address."""
        link = self.links.get(name)
        if link is not None and link.address == address:
            return link
        if link is not None:
            link.stop()
        link = PeerLink(
            name,
            address,
            identity=self.identity,
            store=self.store,
            events=self.events,
            pause=self.pause,
            settings=self.settings,
            spawn=self.spawn,
        )
        self.links[name] = link
        self.spawn(link.run)
        return link

    def refresh(self) -> None:
        """Follow the list: drop gone instances, open replicas and partners."""
        for name in list(self.links):
            if name not in self.view.instances:
                self.drop(name)
        own = self.identity.instance
        for instance in self.view.get_service_instances(self.identity.service):
            if instance.name != own:
                self.of(instance)
        for instance in find_partners(self.view, own):
            self.of(instance)

    def reachable(self, name: str) -> bool:
        """Tell whether nothing speaks against sending to an instance."""
        link = self.links.get(name)
        return link is None or not link.unreachable

    def probe_all(self) -> None:
        """Ask every peer for a sign of life, as one link has gone silent.

        What makes one connection silent often hits others at the same time.
        """
        for link in self.links.values():
            link.probe_due = True

    def drop(self, name: str) -> None:
        """Give up the link to an instance."""
        link = self.links.pop(name, None)
        if link is not None:
            log_message("links: dropped", peer=name)
            link.stop()

    async def disconnect(self) -> None:
        """Close every connection, whatever is being sent."""
        for link in list(self.links.values()):
            if link.frames is not None:
                await link.frames.close()

    async def broadcast(self, message: Message) -> None:
        """Send a notice over every link that is up."""
        async with trio.open_nursery() as nursery:
            for link in list(self.links.values()):
                if link.up:
                    nursery.start_soon(link.notice, message)


def find_partners(view: InstanceView, own: str) -> list[Instance]:
    """Return the fixed partners of an instance.

    Partners are the successors on a ring of hashed names, two within the data
    centre and one over the whole fleet, so that notices reach every instance
    over few links whatever the calls look like.

    :param view: list of instances.
    :param own: name of the instance that asks.
    """
    me = view.instances.get(own)
    if me is None:
        # Not listed yet: every ring has a place for a name that joins it.
        live = [item for item in view.instances.values()]
        return successors(live, own, CENTRE_PARTNERS + FLEET_PARTNERS)
    live = [
        item
        for item in view.instances.values()
        if item.state is InstanceState.LIVE and item.name != own
    ]
    near = [item for item in live if item.data_centre == me.data_centre]
    found = successors(near, own, CENTRE_PARTNERS)
    far = [item for item in live if item not in found]
    return found + successors(far, own, FLEET_PARTNERS)


def successors(items: list[Instance], own: str, count: int) -> list[Instance]:
    start = ring_position(own)
    ring = sorted(
        items,
        key=lambda item: (ring_position(item.name) <= start, ring_position(item.name)),
    )
    return ring[:count]


def ring_position(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
