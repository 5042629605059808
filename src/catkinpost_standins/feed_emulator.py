"""Emulation of the feed between many nodes, on trio's mocked clock.

The nodes run the product's relay and selection; the platform and the links between
nodes are objects in memory with a latency.
"""

import math
import random
from collections import deque
from dataclasses import dataclass
from functools import partial
from typing import Annotated

import trio
import trio.testing
import typer
from hdrh.histogram import HdrHistogram

from catkinpost.coordination.feed import FeedRelay, FeedSettings
from catkinpost.protocol.message import (
    FeedCancel,
    FeedFetch,
    FeedPage,
    FeedSubscribe,
    Hello,
    Welcome,
    encode_message,
)
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.protocol.settings import Address
from catkinpost.state.feed_state import ChangePage, KeyChange, Snapshot
from catkinpost.state.instance_view import Instance, InstanceState, InstanceView
from catkinpost.state.peer_clock import PeerClock

__all__ = ["UNREACHABLE", "EmulatedFleet", "EmulatedNode", "EmulatedPlatform", "main"]

LINK_LATENCY_S = 0.001
CALL_LATENCY_S = 0.004
CALL_TIMEOUT_S = 0.5
REGIONS = ("kurzeme", "latgale")
ADDRESS = Address("127.0.0.1", 1)
MAX_AGE_MS = 600_000
DEFAULT_COUNTS = (30, 100, 300, 1000)
# Peers that keep a link to a node whether or not they follow it.
LINKED_PEERS = 6
HELLO = Hello(1, "", "", "", 0, b"", b"", b"", feeds=True)
WELCOME = Welcome(1, "", "", "", 0, b"", b"", feeds=True)
HISTORY_GONE = Failure(reason=Reason.PLATFORM_HISTORY_GONE, detail="unknown revision")
UNREACHABLE = Failure(reason=Reason.PLATFORM_UNREACHABLE, detail="cut off")


class EmulatedPlatform:
    """Keys with revisions, and the times at which they were read.

    :ivar era: number of times that the platform was restored from a copy.
    :ivar is_down: whether every call fails.
    :ivar call_times: times of all calls but those that accept an older state.
    """

    def __init__(self) -> None:
        self.items: dict[str, KeyChange] = {}
        self.history: list[KeyChange] = []
        self.revision = 0
        self.era = 1
        self.changed = trio.Event()
        self.is_down = False
        self.call_times: list[float] = []
        self.stale_calls = 0

    def put(self, key: str, value: bytes | None) -> None:
        """Write a key, ``None`` to delete it."""
        self.revision += 1
        change = KeyChange(key=key, value=value, revision=self.revision)
        self.history.append(change)
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = change
        self.wake_watches()

    def copy(self) -> "PlatformCopy":
        """Copy the current state, for :meth:`restore`."""
        return PlatformCopy(dict(self.items), list(self.history), self.revision)

    def restore(self, copy: "PlatformCopy") -> None:
        """Come back from a copy: what was written since is gone."""
        self.items = dict(copy.items)
        self.history = list(copy.history)
        self.revision = copy.revision
        self.era += 1
        self.wake_watches()

    def count_busiest_second(self) -> int:
        """Return the most calls in any span of one second."""
        window: deque[float] = deque()
        busiest = 0
        for called_at in self.call_times:
            window.append(called_at)
            while window[0] <= called_at - 1.0:
                window.popleft()
            busiest = max(busiest, len(window))
        return busiest

    def stop_answering(self) -> None:
        """Fail every call, also those that wait."""
        self.is_down = True
        self.wake_watches()

    def wake_watches(self) -> None:
        """Let waiting watches look again."""
        self.changed.set()
        self.changed = trio.Event()


@dataclass(frozen=True)
class PlatformCopy:
    """State of the platform at one time."""

    items: dict[str, KeyChange]
    history: list[KeyChange]
    revision: int


@dataclass(eq=False)
class EmulatedSource:
    """The platform as one node reaches it.

    :param is_cut: whether calls of this node get no answer.
    """

    platform: EmulatedPlatform
    is_cut: bool = False

    async def call(self) -> bool:
        await trio.sleep(CALL_TIMEOUT_S if self.is_cut else CALL_LATENCY_S)
        return not (self.is_cut or self.platform.is_down)

    async def read_snapshot(self, *, may_be_stale: bool = False) -> Snapshot | Failure:
        """Read every key."""
        asked_at = trio.current_time()
        if may_be_stale:
            self.platform.stale_calls += 1
        else:
            self.platform.call_times.append(trio.current_time())
        if not await self.call():
            return UNREACHABLE
        return Snapshot(
            changes=list(self.platform.items.values()),
            revision=self.platform.revision,
            era=self.platform.era,
            known_at=-math.inf if may_be_stale else asked_at,
        )

    async def watch(self, after: int, *, wait_s: float) -> ChangePage | Failure:
        """Wait for changes after a revision."""
        asked_at = trio.current_time()
        self.platform.call_times.append(asked_at)
        if not await self.call():
            return UNREACHABLE
        platform = self.platform
        if after > platform.revision:
            return HISTORY_GONE
        with trio.move_on_after(wait_s):
            while platform.revision <= after and not platform.is_down:
                await platform.changed.wait()
        if self.is_cut:
            await trio.sleep(CALL_TIMEOUT_S)
        if self.is_cut or platform.is_down:
            return UNREACHABLE
        changes = [item for item in platform.history if item.revision > after]
        return ChangePage(
            changes=changes,
            revision=platform.revision,
            era=platform.era,
            known_at=asked_at,
        )


class EmulatedLink:
    """Link from one node to another, which is also the other's session."""

    welcome = WELCOME

    def __init__(self, fleet: "EmulatedFleet", source: str, target: str) -> None:
        self.fleet = fleet
        self.source = source
        self.instance = target
        self.connect_requested = trio.Event()
        self.clock = PeerClock()
        self.clock.record(0.0, 0.0)
        self.session = EmulatedSession(self)

    @property
    def is_up(self) -> bool:
        """Whether both nodes run and reach each other."""
        fleet = self.fleet
        return fleet.is_running(self.source) and fleet.is_running(self.instance)

    async def send_notification(self, message) -> bool:
        """Deliver a message to the target."""
        await trio.sleep(LINK_LATENCY_S)
        if not self.is_up:
            return False
        self.fleet.count_message(message)
        relay = self.fleet.nodes[self.instance].relay
        if isinstance(message, FeedSubscribe):
            relay.on_subscribe(self.session, message)
        elif isinstance(message, FeedCancel):
            relay.on_cancel(self.session)
        elif isinstance(message, FeedPage):
            relay.on_page(self.session, message)
        return True


@dataclass(eq=False)
class EmulatedSession:
    """The accepting side of a link."""

    link: EmulatedLink
    hello: Hello = HELLO

    @property
    def instance(self) -> str:
        """Name of the subscriber."""
        return self.link.source

    @property
    def is_up(self) -> bool:
        """Whether the link is up."""
        return self.link.is_up

    async def send_notification(self, message) -> bool:
        """Deliver a message to the subscriber."""
        await trio.sleep(LINK_LATENCY_S)
        if not self.link.is_up:
            return False
        self.link.fleet.count_message(message)
        relay = self.link.fleet.nodes[self.link.source].relay
        if isinstance(message, FeedFetch):
            relay.on_fetch(self.link, message)
        else:
            relay.on_page(self.link, message)
        return True


class EmulatedLinks:
    """Links of one node."""

    def __init__(self, fleet: "EmulatedFleet", name: str) -> None:
        self.fleet = fleet
        self.name = name
        self.links: dict[str, EmulatedLink] = {}

    def get_or_open_link(self, instance: Instance) -> EmulatedLink:
        """Return the link to an instance."""
        if instance.name not in self.links:
            self.links[instance.name] = EmulatedLink(
                self.fleet, self.name, instance.name
            )
        return self.links[instance.name]


class EmulatedNode:
    """One node's relay, and the list that it has read."""

    def __init__(self, fleet: "EmulatedFleet", name: str, region: str) -> None:
        self.fleet = fleet
        self.source = EmulatedSource(fleet.platform)
        self.view = InstanceView()
        self.list_version = 0
        self.scope = trio.CancelScope()
        self.relay = FeedRelay(
            instance=name,
            region=region,
            view=self.view,
            links=EmulatedLinks(fleet, name),
            source=self.source,
            is_older=is_older_number,
            hide_secrets=lambda key, value: value,
            on_changes=self.apply_changes,
            on_known=lambda at: None,
            spawn=fleet.nursery.start_soon,
            settings=fleet.settings,
            get_sessions=lambda: fleet.get_sessions(name),
        )

    async def run(self) -> None:
        """Run until the node is killed."""
        with self.scope:
            await self.relay.run()

    def apply_changes(self, changes: list[KeyChange]) -> None:
        """Apply the list of instances."""
        self.list_version += 1
        instances = [
            build_instance(key, item.value.decode())
            for key, item in self.relay.state.items.items()
            if not key.startswith("config")
        ]
        self.view.apply_list(self.list_version, instances, trio.current_time())


class EmulatedFleet:
    """Nodes that follow one platform.

    :param nursery: nursery of all tasks.
    :param count: number of nodes.
    """

    settings = FeedSettings()

    def __init__(self, nursery: trio.Nursery, count: int) -> None:
        self.nursery = nursery
        self.platform = EmulatedPlatform()
        self.nodes: dict[str, EmulatedNode] = {}
        self.messages = 0
        self.message_bytes = 0
        self.names = [f"node-{number}" for number in range(count)]
        for number, name in enumerate(self.names):
            self.platform.put(name, REGIONS[number % len(REGIONS)].encode())

    def count_message(self, message) -> None:
        self.messages += 1
        self.message_bytes += len(encode_message(message))

    def is_running(self, name: str) -> bool:
        """Return whether a node runs."""
        return name in self.nodes

    async def start(self, name: str) -> None:
        """Start a node, which knows nothing."""
        await trio.sleep(random.uniform(0, 0.3))
        region = self.platform.items[name].value.decode()
        node = self.nodes[name] = EmulatedNode(self, name, region)
        others = [node for other, node in self.nodes.items() if other != name]
        for other in others[:LINKED_PEERS]:
            other.relay.links.get_or_open_link(build_instance(name, region))
        for other in others:
            link = other.relay.links.links.get(name)
            if link is not None:
                other.relay.on_link_up(link)
        self.nursery.start_soon(node.run)

    def get_sessions(self, name: str) -> list[EmulatedSession]:
        """Return the connections that peers have opened to a node."""
        links = (node.relay.links.links.get(name) for node in self.nodes.values())
        return [link.session for link in links if link is not None and link.is_up]

    def start_all(self) -> None:
        """Start all nodes within a fraction of a second."""
        for name in self.names:
            self.nursery.start_soon(self.start, name)

    def kill(self, name: str) -> None:
        """Kill a node; its peers see their connections break."""
        self.nodes.pop(name).scope.cancel()
        for other in self.nodes.values():
            if name in other.relay.links.links:
                other.relay.on_link_down(name)

    def get_readers(self) -> list[str]:
        """Return the nodes that read the platform now."""
        return [name for name, node in self.nodes.items() if node.relay.must_read]

    def measure_oldest_s(self) -> float:
        """Return the age of what the node that lags most knows."""
        now = trio.current_time()
        return max(
            now - node.relay.selector.confirmed_at for node in self.nodes.values()
        )

    async def wait_until_known(self, revision: int) -> float:
        """Return the seconds until every node knows a revision of the current era."""
        started_at = trio.current_time()
        position = (self.platform.era, revision)
        while any(
            (node.relay.state.era, node.relay.state.revision) < position
            for node in self.nodes.values()
        ):
            await trio.sleep(0.01)
        return trio.current_time() - started_at


def is_older_number(key: str, value: bytes, other: bytes) -> bool:
    """Return whether a value is a lower number than another one."""
    return value.isdigit() and other.isdigit() and int(value) < int(other)


def build_instance(name: str, region: str) -> Instance:
    return Instance(
        name=name,
        service="sets",
        data_centre=region,
        region=region,
        calls=ADDRESS,
        peers=ADDRESS,
        operators=ADDRESS,
        state=InstanceState.LIVE,
    )


async def emulate(count: int, duration_s: float) -> None:
    """Run a fleet with a change every other second, and print what it cost."""
    random.seed(0)
    ages_ms = HdrHistogram(1, MAX_AGE_MS, 3)
    async with trio.open_nursery() as nursery:
        fleet = EmulatedFleet(nursery, count)
        fleet.start_all()
        await trio.sleep(5.0)
        start_calls = len(fleet.platform.call_times)
        fleet.messages = fleet.message_bytes = 0
        started_at = trio.current_time()
        slowest_s = 0.0
        while trio.current_time() - started_at < duration_s:
            fleet.platform.put("config", b"x" * 250)
            revision = fleet.platform.revision
            slowest_s = max(slowest_s, await fleet.wait_until_known(revision))
            await trio.sleep(2.0)
            now = trio.current_time()
            for node in fleet.nodes.values():
                age_s = now - node.relay.selector.confirmed_at
                ages_ms.record_value(max(1, math.ceil(age_s * 1000)))
        elapsed_s = trio.current_time() - started_at
        calls = len(fleet.platform.call_times) - start_calls
        nursery.cancel_scope.cancel()
    print(
        f"nodes {count}: cheap reads at the start {fleet.platform.stale_calls}, "
        f"calls in the first 5 s {start_calls}, later {calls / elapsed_s:.2f} "
        "a second, "
        f"most in one second {fleet.platform.count_busiest_second()}; "
        f"messages {fleet.messages / elapsed_s / count:.2f} a node and second, "
        f"bytes {fleet.message_bytes / elapsed_s / count:.0f}; "
        f"change known everywhere after {slowest_s * 1000:.0f} ms, "
        f"age at the 99th percentile {ages_ms.get_value_at_percentile(99)} ms"
    )


def run(
    counts: Annotated[list[int] | None, typer.Argument(help="numbers of nodes")] = None,
    duration_s: Annotated[float, typer.Option(help="emulated seconds")] = 60.0,
) -> None:
    """Emulate the feed between nodes, and print calls, messages and ages."""
    for count in counts or DEFAULT_COUNTS:
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(partial(emulate, count, duration_s), clock=clock)


def main() -> None:
    """Run the command."""
    typer.run(run)
