"""Reports that the operator API returns as JSON."""

import msgspec

__all__ = [
    "HistogramReport",
    "LatencyRow",
    "OutcomeRow",
    "PeerReport",
    "PolicyReport",
    "StatusReport",
]


class PolicyReport(msgspec.Struct, frozen=True, kw_only=True):
    """Policy in force at one node.

    :param version: version in force; -1 when there is none.
    :param digest: hexadecimal digest of all sections in force.
    :param in_force_s: seconds for which the version has been in force.
    :param source: origin from which the version was read.
    :param platform_version: version that the platform last reported.
    :param platform_error: reason why reads of the platform fail; empty when they
        succeed.
    :param problems: errors of the document that was read most recently.
    """

    version: int
    digest: str
    in_force_s: float | None
    source: str
    platform_version: int | None
    platform_error: str
    problems: list[str]


class PeerReport(msgspec.Struct, frozen=True, kw_only=True):
    """State of one peer from the perspective of this node."""

    instance: str
    service: str
    state: str
    connected: bool
    round_trip_ms: float | None = None
    policy_version: int | None = None
    slowness: float = 1.0
    in_flight: int = 0
    limit: int = 0
    ejected: bool = False
    on_trial: bool = False
    leaving: bool = False


class OutcomeRow(msgspec.Struct, frozen=True, kw_only=True):
    """Number of requests of one class and tenant with one outcome."""

    service: str
    request_class: str
    tenant: str
    outcome: str
    reason: str
    count: int


class ShareRow(msgspec.Struct, frozen=True, kw_only=True):
    """Share of a workspace's limit that the node keeps.

    :param share: number of the share.
    :param credit: requests that it would give now.
    :param rate: requests per second that it gains.
    :param settled: whether the node counts with all of it.
    """

    share: int
    credit: float
    rate: float
    settled: bool
    granted: int
    refused: int


class WorkspaceRow(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one workspace at the node, and its limit.

    :param rate: requests per second over all nodes, ``None`` without a limit.
    :param keepers: instance that keeps each share of the limit.
    :param events: what happened to its requests at this node, with their number.
    :param shares: shares that this node keeps.
    """

    workspace: str
    rate: float | None
    burst: float
    keepers: list[str | None]
    events: dict[str, int]
    shares: list[ShareRow]


class StatusReport(msgspec.Struct, frozen=True, kw_only=True):
    """State of one node.

    :param request_bytes: bytes reserved for the bodies of requests.
    :param held_bytes: bytes of bodies, heads, unfinished answers and connections.
    :param head_bytes: bytes of requests as parsed, without large bodies, of connections
        that hold more than their own room.
    :param answer_bytes: bytes of the answers that callers have not taken, of those that
        hold more than their own room.
    :param list_age_s: age in seconds of the list of instances, ``None`` before it is
        known.
    """

    instance: str
    incarnation: str
    service: str
    data_centre: str
    region: str
    ready: bool
    leaving: bool
    policy: PolicyReport
    list_version: int
    limit: int
    in_flight: int
    long_in_flight: int
    queued: int
    entry_calls: int
    request_bytes: int
    held_bytes: int
    head_bytes: int
    answer_bytes: int
    backend_reachable: bool
    backend_reported_in_flight: int
    pauses: int
    platform_bytes: int
    platform_reads: int
    counters: dict[str, int]
    outcomes: list[OutcomeRow]
    peers: list[PeerReport]
    list_age_s: float | None = None
    workspaces: list[WorkspaceRow] = []


class LatencyRow(msgspec.Struct, frozen=True, kw_only=True):
    """Latency of one class and tenant in milliseconds."""

    service: str
    request_class: str
    tenant: str
    count: int
    mean_ms: float
    max_ms: float
    percentiles_ms: dict[str, float]


class HistogramReport(msgspec.Struct, frozen=True, kw_only=True):
    """All histograms of one node."""

    latencies: list[LatencyRow]
