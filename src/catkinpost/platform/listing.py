"""Servers on the platform's list, and the instances built from them."""

import enum
from collections import OrderedDict
from collections.abc import Container
from dataclasses import dataclass, field
from typing import Annotated

import msgspec

from catkinpost.platform.model import PlatformModel
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.protocol.settings import Address, AddressText, parse_address
from catkinpost.state.instance_view import Instance, InstanceState

__all__ = ["ServerList", "parse_server_entry"]

# Live servers list themselves again within two seconds after the store's recovery.
REAPPEARANCE_TIMEOUT_S = 2.2
# An entry that is listed for longer than its lease is written by a live server.
LEASE_MARGIN_S = 1.0
MAX_REMOVED_SERVERS = 4096
# Stands for addresses at which no part of the product listens on the platform.
UNUSED_ADDRESS = Address("0.0.0.0", 0)


class ServerState(enum.StrEnum):
    """State that a server reports about itself."""

    READY = "ready"
    DRAINING = "draining"


class ServerEntry(PlatformModel):
    """Entry of one server in the store; unknown fields are ignored."""

    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: AddressText
    zone: str
    state: ServerState
    slots: Annotated[int, msgspec.Meta(ge=1)]
    sequence: Annotated[int, msgspec.Meta(ge=0)] = 0
    born: Annotated[int, msgspec.Meta(ge=0)] = 0
    cold_remaining_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0

    @property
    def recency(self) -> tuple[int, int]:
        """Place of the entry in the order in which its server wrote them.

        A server that starts again counts from the beginning.
        """
        return self.born, self.sequence


def parse_server_entry(value: bytes) -> ServerEntry | Failure:
    """Parse and check one entry of the store.

    :param value: JSON document.
    """
    try:
        return msgspec.json.decode(value, type=ServerEntry)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError) as error:
        return Failure(reason=Reason.PLATFORM_BAD_DOCUMENT, detail=str(error))


@dataclass(frozen=True, kw_only=True)
class ListedServer:
    """Entry of a server and the time at which it was read.

    :param server: the entry.
    :param read_at: time of the read on the node's clock.
    """

    server: ServerEntry
    read_at: float


@dataclass(eq=False)
class ServerList:
    """Entries of servers by identity.

    An entry that expired during an outage of the store may belong to a live server:
    it stays until servers have had time to list themselves again. A store that was
    restored from an older copy may list a server that has left: an entry that is no
    newer than the one that was removed is not used while it may lapse.

    :param peer_port: port at which every node accepts connections of peers.
    :param regions: region by data centre.
    :param lease_s: seconds of silence of a server after which its entry lapses.
    """

    peer_port: int
    regions: dict[str, str]
    lease_s: float = 4.5
    entries: dict[str, ListedServer] = field(default_factory=dict)
    expiry_times: dict[str, float] = field(default_factory=dict)
    removed: OrderedDict[str, ServerEntry] = field(default_factory=OrderedDict)
    held: dict[str, tuple[float, ListedServer]] = field(default_factory=dict)

    def accept_entry(
        self,
        identity: str,
        server: ServerEntry,
        now: float,
        *,
        recovered_at: float | None = None,
    ) -> None:
        """Add or replace an entry.

        :param identity: identity of the server.
        :param server: the entry.
        :param now: time of the read on the node's clock.
        :param recovered_at: time of the store's last recovery from an outage, ``None``
            without an outage so far.
        """
        listed = ListedServer(server=server, read_at=now)
        removed = self.removed.get(identity)
        is_older = removed is not None and server.recency <= removed.recency
        if is_older and recovered_at is not None:
            lapses_at = recovered_at + self.lease_s + LEASE_MARGIN_S
            if now < lapses_at:
                self.held[identity] = (lapses_at, listed)
                return
        self.removed.pop(identity, None)
        self.held.pop(identity, None)
        self.entries[identity] = listed
        self.expiry_times.pop(identity, None)

    def use_held_entries(self, now: float) -> bool:
        """Use entries that have outlasted the lease of a server that has left.

        :return: whether there was any.
        """
        due = [name for name, (until, _) in self.held.items() if until <= now]
        for name in due:
            _, self.entries[name] = self.held.pop(name)
            self.removed.pop(name, None)
        return bool(due)

    def remove_entry(
        self, identity: str, now: float, *, recovered_at: float | None
    ) -> None:
        """Remove an entry, after a delay if the store has just recovered.

        :param identity: identity of the server.
        :param now: time on the node's clock.
        :param recovered_at: time of the store's last recovery from an outage, ``None``
            without an outage so far.
        """
        self.held.pop(identity, None)
        if identity not in self.entries:
            return
        if recovered_at is not None and now - recovered_at < REAPPEARANCE_TIMEOUT_S:
            self.expiry_times.setdefault(
                identity, recovered_at + REAPPEARANCE_TIMEOUT_S
            )
        else:
            self.record_removal(identity, self.entries.pop(identity).server)
            self.expiry_times.pop(identity, None)

    def record_removal(self, identity: str, server: ServerEntry) -> None:
        self.removed[identity] = server
        self.removed.move_to_end(identity)
        if len(self.removed) > MAX_REMOVED_SERVERS:
            self.removed.popitem(last=False)

    def drop_expired_entries(self, now: float) -> bool:
        """Drop removed entries whose servers have not listed themselves again in time.

        :return: whether any entry was dropped.
        """
        expired = [name for name, until in self.expiry_times.items() if until <= now]
        for name in expired:
            self.entries.pop(name, None)
            del self.expiry_times[name]
        return bool(expired)

    def build_instances(self, services: Container[str] = ()) -> list[Instance]:
        """Return the newest server of each machine as an instance.

        :param services: services of the configuration; an entry with another service
            was not written by a server, and must not replace one that was.
        """
        newest: dict[str, tuple[tuple[bool, int, float], str, ListedServer]] = {}
        for identity, item in self.entries.items():
            host = parse_address(item.server.address).host
            is_known_service = item.server.service in services
            recency = (is_known_service, item.server.born, item.read_at)
            current = newest.get(host)
            if current is None or current[0] < recency:
                newest[host] = (recency, identity, item)
        return [
            self.build_instance(host, identity, item)
            for host, (_, identity, item) in newest.items()
        ]

    def build_instance(self, host: str, identity: str, item: ListedServer) -> Instance:
        server = item.server
        is_draining = server.state is ServerState.DRAINING
        return Instance(
            name=host,
            service=server.service,
            data_centre=server.zone,
            region=self.regions.get(server.zone, server.zone),
            calls=UNUSED_ADDRESS,
            peers=Address(host, self.peer_port),
            operators=UNUSED_ADDRESS,
            state=InstanceState.LEAVING if is_draining else InstanceState.LIVE,
            incarnation=f"{identity}#{server.born}",
            slots=server.slots,
            cold_until=item.read_at + server.cold_remaining_s,
            leaving_since=item.read_at if is_draining else None,
        )
