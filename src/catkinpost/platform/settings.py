"""Settings that the platform gives one process, and the node settings from them."""

import tomllib
from dataclasses import dataclass
from typing import Annotated

import msgspec

from catkinpost.coordination.feed import FeedSettings
from catkinpost.platform.model import PlatformModel
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.protocol.settings import (
    FULL_CONNECTION_BYTES,
    AddressText,
    BackendSection,
    BoundsSection,
    ListenSection,
    NodeSection,
    NodeSettings,
    PeersSection,
    PlatformSection,
)

__all__ = ["PlatformSettings", "SettingsFile", "parse_platform_settings"]

# The platform gives its processes no shared secret: any process that can reach the
# internal ports can act as a peer (docs/design/platform.md lists what that allows).
PEER_SECRET = "no-secret-is-given"
# A silent link is dropped well before the shortest usual deadline of a call.
PEER_SILENCE_S = 0.8
# Child calls of a repeated request count as repeats at the services that they call:
# this many services in a chain may each repeat requests, and the ratio still holds
# at the last one.
SERVICES_PER_CHAIN = 4
# Share of the extra repeats that the node uses: a repeated request makes several child
# calls, and a restarted node starts with its full budget.
REPEAT_EXTRA_SHARE = 0.1
# The platform probes readiness once a second and takes a machine out after two
# failed probes.
LEAVE_NOTICE_S = 2.5
# A call takes about a second at most, so calls that peers send until then end in
# time.
PEER_NOTICE_S = 1.5
# Two nodes poll four times for one call: the added latency stays under a tenth of the
# shortest objective, 250 ms.
POLL_INTERVAL_S = 0.005
# A change must be in force within a bound. Watches are shorter, so that a silent one
# is noticed, and a node whose feeds are stale still has time to find another one.
WATCH_WAIT_SHARE = 0.4
MAX_AGE_SHARE = 0.7
# Clocks of machines differ in rate by less than the rest.
KEY_AGE_SHARE = 0.99
# A shorter time lets a node that takes over count in full sooner.
LIMIT_AGE_SHARE = 0.7
# Heartbeats that a server misses before its entry lapses.
LEASE_HEARTBEATS = 3
# Share of the grace period: responses must be sent before the platform kills the
# process.
STOP_TIMEOUT_SHARE = 0.9
# What follows is the end of the process, which needs 0.1 s on a crowded machine.
DELIVERY_TIMEOUT_SHARE = 0.06
# Share of the process's memory for bodies of requests. A body is copied once more while
# it is assembled or decoded, one at a time; the rest is for answers and the process.
REQUEST_MEMORY_SHARE = 1 / 3
# Answers that wait for slow callers; a peer's answer exists twice while it is decoded.
ANSWER_MEMORY_SHARE = 1 / 6
# Heads as parsed, of which each connection has some room besides.
HEAD_MEMORY_SHARE = 1 / 8
# The parts above are not all full at the same time. Beside them are the process itself,
# what its allocator keeps between them, and copies of what is being decoded.
PROCESS_BYTES = 40 * 1024 * 1024
USABLE_SHARE = 0.75
MIN_HELD_SHARE = 1 / 8
# Share of the memory beside process and answers for connections that nobody has
# accepted yet, each with the input that the system holds of it.
BACKLOG_SHARE = 1 / 8
WAITING_CONNECTION_BYTES = 24 * 1024
MIN_BACKLOG, MAX_BACKLOG = 128, 1024
MIN_CONNECTIONS = 64
MEGABYTE = 1_000_000
# Room for one body of the largest size.
DEFAULT_REQUEST_MEMORY_BYTES = 80 * 1024 * 1024
DEFAULT_ANSWER_MEMORY_BYTES = 40 * 1024 * 1024
DEFAULT_HEAD_MEMORY_BYTES = 30 * 1024 * 1024
DEFAULT_HELD_MEMORY_BYTES = 128 * 1024 * 1024


Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]


class LimitsTable(PlatformModel):
    """``[self.limits]``: limits of the machine; ``_mb`` means megabytes."""

    memory_mb: Annotated[float, msgspec.Meta(gt=0)] | None = None


class SelfTable(PlatformModel):
    """``[self]``: the process and its backend server."""

    ip_address: str
    zone: str
    region: str
    application_address: AddressText
    service: str
    limits: LimitsTable = LimitsTable()


class ListenTable(PlatformModel):
    """``[network.listen-addresses]``: addresses at which the platform expects it."""

    outbound: AddressText
    ready: AddressText


class NetworkTable(PlatformModel):
    """``[network]``: addresses, ports for peers, and the regions of zones."""

    internal_port_range: tuple[int, int]
    listen_addresses: ListenTable
    zones: dict[str, str] = {}


class StoreTable(PlatformModel):
    """``[platform.platform]``: the platform's store."""

    address: AddressText


class PlatformTable(PlatformModel):
    """``[platform]``."""

    platform: StoreTable
    heartbeat_interval_s: float = 1.5


class BoundsTable(PlatformModel):
    """``[terms.bounds]``: limits set by the platform's rules; ``_s`` means seconds."""

    grace_period_s: float = 6.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    budget_extra_retries: float = 0.0
    drain_s: float = 2.5
    config_propagation_s: float = 2.5
    revoke_when_partitioned: bool = False
    revocation_s: Seconds = 5.0
    quota_overshoot: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.25
    quota_slack: Annotated[float, msgspec.Meta(ge=0)] = 20.0


class TermsTable(PlatformModel):
    """``[terms]``."""

    bounds: BoundsTable = BoundsTable()


class SettingsFile(PlatformModel):
    """The whole settings file."""

    process: SelfTable = msgspec.field(name="self")
    network: NetworkTable
    platform: PlatformTable
    terms: TermsTable = TermsTable()


@dataclass(frozen=True, kw_only=True)
class PlatformSettings:
    """Settings of the platform in the form that the node uses.

    :param text: content of the file that they were read from.
    :param node: settings in the product's own form.
    :param readiness_address: IP:port at which readiness is probed.
    :param peer_port: port at which every node accepts connections of peers.
    :param regions: region by data centre.
    :param feed: bounds on the age of what the node knows of the store.
    :param lease_s: seconds of silence of a server after which its entry lapses.
    """

    text: str
    node: NodeSettings
    readiness_address: str
    peer_port: int
    regions: dict[str, str]
    feed: FeedSettings = FeedSettings()
    lease_s: float = 4.5


def parse_platform_settings(text: str) -> PlatformSettings | Failure:
    """Parse and check the platform's settings file.

    :param text: content of the file, in TOML.
    :return: the settings, or the reason why they can't be used.
    """
    try:
        file = msgspec.convert(tomllib.loads(text), SettingsFile)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        return Failure(reason=Reason.BAD_SETTINGS, detail=str(error))
    except RecursionError:
        return Failure(reason=Reason.BAD_SETTINGS, detail="values nest too deeply")
    first_port, last_port = file.network.internal_port_range
    if last_port <= first_port:
        detail = (
            f"internal-port-range [{first_port}, {last_port}] has room for no two ports"
        )
        return Failure(reason=Reason.BAD_SETTINGS, detail=detail)
    return PlatformSettings(
        text=text,
        node=build_node_settings(file),
        readiness_address=file.network.listen_addresses.ready,
        peer_port=first_port,
        regions=file.network.zones,
        feed=build_feed_settings(file.terms.bounds),
        lease_s=LEASE_HEARTBEATS * file.platform.heartbeat_interval_s,
    )


def build_feed_settings(bounds: BoundsTable) -> FeedSettings:
    bound_s = min(bounds.config_propagation_s, bounds.drain_s)
    return FeedSettings(
        wait_s=WATCH_WAIT_SHARE * bound_s, max_age_s=MAX_AGE_SHARE * bound_s
    )


def compute_key_age(bounds: BoundsTable) -> float | None:
    """Return the seconds for which keys are accepted without news of the store."""
    if not bounds.revoke_when_partitioned:
        return None
    return bounds.revocation_s * KEY_AGE_SHARE


def compute_request_memory(limits: LimitsTable) -> int:
    """Return the bytes for bodies of requests."""
    if limits.memory_mb is None:
        return DEFAULT_REQUEST_MEMORY_BYTES
    return int(limits.memory_mb * MEGABYTE * REQUEST_MEMORY_SHARE)


def compute_held_memory(limits: LimitsTable) -> int:
    """Return the bytes for all that can be refused, besides answers."""
    if limits.memory_mb is None:
        return DEFAULT_HELD_MEMORY_BYTES
    all_bytes = limits.memory_mb * MEGABYTE
    usable_bytes = all_bytes * USABLE_SHARE - PROCESS_BYTES
    held_bytes = usable_bytes - compute_answer_memory(limits)
    return int(max(held_bytes, all_bytes * MIN_HELD_SHARE))


def compute_head_memory(limits: LimitsTable) -> int:
    """Return the bytes for heads of requests as parsed."""
    if limits.memory_mb is None:
        return DEFAULT_HEAD_MEMORY_BYTES
    return int(limits.memory_mb * MEGABYTE * HEAD_MEMORY_SHARE)


def compute_answer_memory(limits: LimitsTable) -> int:
    """Return the bytes for bodies of answers that callers have not taken."""
    if limits.memory_mb is None:
        return DEFAULT_ANSWER_MEMORY_BYTES
    return int(limits.memory_mb * MEGABYTE * ANSWER_MEMORY_SHARE)


def compute_machine_memory(limits: LimitsTable) -> int | None:
    """Return the bytes beyond which the platform kills the process, if any."""
    if limits.memory_mb is None:
        return None
    return int(limits.memory_mb * MEGABYTE)


def compute_connection_memory(limits: LimitsTable) -> int:
    """Return the bytes beside the process and answers."""
    all_bytes = int(limits.memory_mb * MEGABYTE)
    return max(0, all_bytes - PROCESS_BYTES - compute_answer_memory(limits))


def compute_backlog(limits: LimitsTable) -> int:
    """Return how many connections may wait to be accepted."""
    if limits.memory_mb is None:
        return MAX_BACKLOG
    backlog_bytes = compute_connection_memory(limits) * BACKLOG_SHARE
    backlog = int(backlog_bytes // WAITING_CONNECTION_BYTES)
    return min(MAX_BACKLOG, max(MIN_BACKLOG, backlog))


def compute_max_connections(limits: LimitsTable) -> int | None:
    """Return how many connections of callers fit beside the process and answers."""
    if limits.memory_mb is None:
        return None
    waiting_bytes = compute_backlog(limits) * WAITING_CONNECTION_BYTES
    free_bytes = compute_connection_memory(limits) - waiting_bytes
    return max(MIN_CONNECTIONS, free_bytes // FULL_CONNECTION_BYTES)


def build_node_settings(file: SettingsFile) -> NodeSettings:
    process = file.process
    first_port = file.network.internal_port_range[0]
    bounds = file.terms.bounds
    return NodeSettings(
        node=NodeSection(
            instance=process.ip_address,
            service=process.service,
            data_centre=process.zone,
            region=process.region,
        ),
        listen=ListenSection(
            calls=file.network.listen_addresses.outbound,
            peers=f"{process.ip_address}:{first_port}",
            operators=f"{process.ip_address}:{first_port + 1}",
        ),
        backend=BackendSection(address=process.application_address),
        platform=PlatformSection(address=file.platform.platform.address),
        peers=PeersSection(secret=PEER_SECRET, silence=PEER_SILENCE_S),
        bounds=BoundsSection(
            max_body_bytes=64 * 1024 * 1024,
            request_memory_bytes=compute_request_memory(process.limits),
            held_memory_bytes=compute_held_memory(process.limits),
            head_memory_bytes=compute_head_memory(process.limits),
            answer_memory_bytes=compute_answer_memory(process.limits),
            machine_memory_bytes=compute_machine_memory(process.limits),
            accept_backlog=compute_backlog(process.limits),
            max_connections=compute_max_connections(process.limits),
            stop_timeout=bounds.grace_period_s * STOP_TIMEOUT_SHARE,
            delivery_timeout=bounds.grace_period_s * DELIVERY_TIMEOUT_SHARE,
            leave_notice=LEAVE_NOTICE_S,
            peer_notice=PEER_NOTICE_S,
            server_drain=bounds.drain_s,
            workspace_key_age=compute_key_age(bounds),
            unknown_key_age=bounds.config_propagation_s,
            workspace_limit_age=bounds.revocation_s * LIMIT_AGE_SHARE,
            workspace_limit_overshoot=bounds.quota_overshoot,
            workspace_limit_slack=bounds.quota_slack,
            repeat_ratio=(1 + bounds.retry_budget_ratio) ** (1 / SERVICES_PER_CHAIN)
            - 1,
            repeat_window=bounds.budget_window_s,
            repeat_extra=bounds.budget_extra_retries * REPEAT_EXTRA_SHARE,
            poll_interval=POLL_INTERVAL_S,
            unsized_answers=True,
        ),
    )
