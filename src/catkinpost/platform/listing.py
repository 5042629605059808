"""Servers that the platform lists, and the instances that they are."""

import enum
from collections.abc import Container
from dataclasses import dataclass, field
from typing import Annotated

import msgspec

from catkinpost.platform.model import PlatformModel
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.protocol.settings import Address, AddressText, parse_address
from catkinpost.state.instance_view import Instance, InstanceState

__all__ = ["ServerList", "read_server"]

# After the store has come back, live servers are listed again within two seconds.
REAPPEAR_S = 2.2
# Nothing of the product listens there on the platform.
NO_ADDRESS = Address("0.0.0.0", 0)


class ServerState(enum.StrEnum):
    """State that a server reports of itself."""

    READY = "ready"
    DRAINING = "draining"


class Server(PlatformModel):
    """One server's entry; unknown fields are ignored."""

    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: AddressText
    zone: str
    state: ServerState
    slots: Annotated[int, msgspec.Meta(ge=1)]
    born: Annotated[int, msgspec.Meta(ge=0)] = 0
    cold_remaining_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0


def read_server(value: bytes) -> Server | Failure:
    """Check one entry of the store.

    :param value: JSON document.
    """
    try:
        return msgspec.json.decode(value, type=Server)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError) as error:
        return Failure(reason=Reason.PLATFORM_BAD_DOCUMENT, detail=str(error))


@dataclass(frozen=True, kw_only=True)
class Listed:
    """A server's entry and when it was read.

    :param server: the entry.
    :param read_at: time on the node's clock.
    """

    server: Server
    read_at: float


@dataclass(eq=False)
class ServerList:
    """Entries by the server's identity.

    An entry that lapsed while the store was away may be that of a live server:
    it holds until servers have had time to list themselves again.

    :param peer_port: port at which every node accepts its peers.
    :param regions: region of each data centre.
    """

    peer_port: int
    regions: dict[str, str]
    listed: dict[str, Listed] = field(default_factory=dict)
    lapsed: dict[str, float] = field(default_factory=dict)

    def put(self, identity: str, server: Server, now: float) -> None:
        """Take over an entry."""
        self.listed[identity] = Listed(server=server, read_at=now)
        self.lapsed.pop(identity, None)

    def remove(self, identity: str, now: float, *, back_since: float | None) -> None:
        """Take note that an entry is gone.

        :param identity: the server.
        :param now: time on the node's clock.
        :param back_since: time at which the store came back, ``None`` when it has
            not been away lately.
        """
        if identity not in self.listed:
            return
        if back_since is not None and now - back_since < REAPPEAR_S:
            self.lapsed.setdefault(identity, back_since + REAPPEAR_S)
        else:
            self.listed.pop(identity)
            self.lapsed.pop(identity, None)

    def expire(self, now: float) -> bool:
        """Drop the lapsed entries whose time is over.

        :return: whether any was dropped.
        """
        over = [name for name, until in self.lapsed.items() if until <= now]
        for name in over:
            self.listed.pop(name, None)
            del self.lapsed[name]
        return bool(over)

    def instances(self, services: Container[str] = ()) -> list[Instance]:
        """Return the newest server of each machine as an instance.

        :param services: services of the configuration; an entry that names none of
            them was not written by a server, and does not hide one that was.
        """
        newest: dict[str, tuple[tuple[bool, int, float], str, Listed]] = {}
        for identity, item in self.listed.items():
            host = parse_address(item.server.address).host
            known_service = item.server.service in services
            age = (known_service, item.server.born, item.read_at)
            known = newest.get(host)
            if known is None or known[0] < age:
                newest[host] = (age, identity, item)
        return [
            self.build(host, identity, item)
            for host, (_, identity, item) in newest.items()
        ]

    def build(self, host: str, identity: str, item: Listed) -> Instance:
        server = item.server
        draining = server.state is ServerState.DRAINING
        return Instance(
            name=host,
            service=server.service,
            data_centre=server.zone,
            region=self.regions.get(server.zone, server.zone),
            calls=NO_ADDRESS,
            peers=Address(host, self.peer_port),
            operators=NO_ADDRESS,
            state=InstanceState.LEAVING if draining else InstanceState.LIVE,
            incarnation=f"{identity}#{server.born}",
            slots=server.slots,
            cold_until=item.read_at + server.cold_remaining_s,
        )
