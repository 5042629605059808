"""Instances of the platform's list, as this node has read it."""

import enum
from dataclasses import dataclass, field
from typing import Annotated

import msgspec

from catkinpost.protocol.settings import Address, AddressText, Name, parse_address

__all__ = ["Instance", "InstanceState", "InstanceView", "ListChange", "parse_instances"]


class InstanceState(enum.StrEnum):
    """State of an instance on the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One entry of the platform's list; unknown fields are ignored."""

    instance: Name
    service: Name
    data_centre: Name
    region: Name
    calls: AddressText
    peers: AddressText
    operators: AddressText
    state: InstanceState = InstanceState.LIVE


class RawList(msgspec.Struct, frozen=True, kw_only=True):
    """The list before each entry is validated."""

    version: Annotated[int, msgspec.Meta(ge=0)]
    instances: list[msgspec.Raw]


@dataclass(frozen=True, kw_only=True, slots=True)
class Instance:
    """A backend server with its node, as listed by the platform.

    :param incarnation: identity of the running backend server, where the list
        contains it; another process at the same address has another.
    :param slots: requests that the backend server runs at once, where listed.
    :param cold_until: end of the backend server's warm-up on this node's clock.
    :param leaving_since: time on this node's clock at which it was read that the
        backend server leaves, where known.
    """

    name: str
    service: str
    data_centre: str
    region: str
    calls: Address
    peers: Address
    operators: Address
    state: InstanceState
    incarnation: str = ""
    slots: int | None = None
    cold_until: float = 0.0
    leaving_since: float | None = None


def parse_instances(body: bytes) -> tuple[int, list[Instance], list[str]] | None:
    """Parse the platform's list and leave out invalid entries.

    :param body: JSON document.
    :return: version, valid entries and one error text per invalid entry, or
        ``None`` when the document itself is invalid.
    """
    try:
        document = msgspec.json.decode(body, type=RawList)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
    instances: list[Instance] = []
    errors: list[str] = []
    for raw in document.instances:
        try:
            entry = msgspec.json.decode(raw, type=InstanceEntry)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            errors.append(str(error))
            continue
        instances.append(
            Instance(
                name=entry.instance,
                service=entry.service,
                data_centre=entry.data_centre,
                region=entry.region,
                calls=parse_address(entry.calls),
                peers=parse_address(entry.peers),
                operators=parse_address(entry.operators),
                state=entry.state,
            )
        )
    return document.version, instances, errors


@dataclass(frozen=True, kw_only=True)
class ListChange:
    """Difference between two versions of the list."""

    added: list[str] = field(default_factory=list)
    removed: list[Instance] = field(default_factory=list)
    leaving: list[str] = field(default_factory=list)
    restarted: list[str] = field(default_factory=list)

    @property
    def is_empty(self) -> bool:
        """Whether the lists do not differ."""
        return not (self.added or self.removed or self.leaving or self.restarted)


class InstanceView:
    """Instances by name and by service, from the newest list that was applied."""

    def __init__(self) -> None:
        self.version = -1
        self.read_at: float | None = None
        self.instances: dict[str, Instance] = {}
        self.by_service: dict[str, list[Instance]] = {}

    def apply_list(
        self, version: int, instances: list[Instance], now: float
    ) -> ListChange | None:
        """Apply a list unless a newer one has been applied.

        :param version: version of the list.
        :param instances: all entries.
        :param now: time at which the list was read.
        :return: the difference, or ``None`` when the list is stale.
        """
        if version < self.version:
            return None
        self.version = version
        self.read_at = now
        old = self.instances
        new = {instance.name: instance for instance in instances}
        change = ListChange(
            added=[name for name in new if name not in old],
            removed=[item for name, item in old.items() if name not in new],
            leaving=[
                name
                for name, item in new.items()
                if item.state is InstanceState.LEAVING
                and (name not in old or old[name].state is InstanceState.LIVE)
            ],
            restarted=[
                name
                for name, item in new.items()
                if name in old and old[name].incarnation != item.incarnation
            ],
        )
        self.instances = new
        self.by_service = {}
        for instance in instances:
            self.by_service.setdefault(instance.service, []).append(instance)
        return change

    def get_service_instances(self, service: str) -> list[Instance]:
        """Return every listed instance of a service, leaving ones included."""
        return self.by_service.get(service, [])
