"""Settings of one node, parsed from an INI file."""

import re
from dataclasses import dataclass
from typing import Annotated

import msgspec

from catkinpost.protocol.http import HttpLimits
from catkinpost.protocol.ini import Problem, convert_section, parse_ini

__all__ = [
    "FULL_CONNECTION_BYTES",
    "Address",
    "NodeSettings",
    "parse_address",
    "parse_settings",
]

# Memory of a connection with its task, a small request and the input that the system
# holds of it.
FULL_CONNECTION_BYTES = 48 * 1024

AddressText = Annotated[
    str,
    msgspec.Meta(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$"),
]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
SizeBytes = Annotated[int, msgspec.Meta(ge=256, le=64 * 1024 * 1024)]
MemoryBytes = Annotated[int, msgspec.Meta(ge=1024 * 1024)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
ADDRESS_PATTERN = re.compile(r"^\[?(?P<host>[^\]]+?)\]?:(?P<port>\d+)$")


@dataclass(frozen=True, slots=True)
class Address:
    """IP address and TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse an address of the form ``IP:port``.

    :param text: text that matches :data:`AddressText`.
    :raises ValueError: when the text is not an address.
    """
    match = ADDRESS_PATTERN.match(text)
    if match is None:
        raise ValueError(f"{text!r} is not of the form IP:port")
    return Address(match["host"], int(match["port"]))


class NodeSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """``[node]``: identity and location of the node.

    :param instance: name of the instance, unique within the fleet.
    :param service: service of the backend server.
    :param data_centre: data centre in which the instance runs.
    :param region: region of the data centre.
    """

    instance: Name
    service: Name
    data_centre: Name
    region: Name


class ListenSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """``[listen]``: addresses on which the node accepts connections.

    :param calls: IP:port for callers and for the child calls of the backend server.
    :param peers: IP:port for other nodes.
    :param operators: IP:port for status, decisions, histograms and metrics.
    """

    calls: AddressText
    peers: AddressText
    operators: AddressText


class BackendSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """``[backend]``: the backend server on the machine of the node.

    :param address: IP:port of the backend server.
    :param health_path: path that returns ``{"state": "serving"}`` or "draining".
    :param load_path: path that returns ``{"in_flight": 3, "slots": 16}``.
    :param poll_interval: seconds between two polls of both paths.
    """

    address: AddressText
    health_path: str = "/health"
    load_path: str = "/load"
    poll_interval: Seconds = 1.0


class PlatformSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """``[platform]``: source of the policy and the list of instances.

    :param address: IP:port of the platform service.
    :param policy_path: path of the policy document; its version is watched at the
        subpath ``/version``.
    :param instances_path: path of the list of instances.
    :param watch_wait: maximum duration of one watch in seconds.
    :param retry_interval: seconds after which a failed read is retried.
    """

    address: AddressText
    policy_path: str = "/policy"
    instances_path: str = "/instances"
    watch_wait: Seconds = 20.0
    retry_interval: Seconds = 1.0


class PeersSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """``[peers]``: communication with the other nodes.

    :param secret: shared key that authenticates the nodes of the fleet to each other.
    :param silence: seconds without a response to a ping after which a peer counts as
        silent.
    :param start_wait: seconds for which a new node waits for the policy versions of its
        peers.
    """

    secret: Annotated[str, msgspec.Meta(min_length=16)]
    silence: Seconds = 3.0
    start_wait: Seconds = 3.0


class BoundsSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """``[bounds]``: limits on messages, repeated arrivals and the graceful shutdown.

    :param max_head_bytes: maximum size of the head of an HTTP message.
    :param max_body_bytes: maximum size of the body of an HTTP message.
    :param request_memory_bytes: maximum size of the bodies of all requests that the
        node holds together; bodies of up to 8 KiB are not counted. A body above it is
        refused with 503, as another node may have more memory.
    :param held_memory_bytes: maximum memory for all that can be refused together:
        bodies, heads, unfinished answers and connections.
    :param head_memory_bytes: maximum memory for the heads of all requests as parsed,
        with bodies of up to 8 KiB; 16 KiB of each connection are not counted. Beyond it
        incomplete requests are dropped, the largest first, or the new one is refused,
        both with 503.
    :param answer_memory_bytes: maximum memory for all answers that callers have not
        taken yet; 16 KiB of each caller are not counted. Beyond it callers that take
        nothing are closed, and then further answers are replaced by 502.
    :param machine_memory_bytes: memory beyond which the machine ends the process; the
        log tells when the node has passed half of it, three quarters and nine tenths.
        It bounds nothing.
    :param max_connections: maximum number of connections of callers, of which each
        48 KiB of bodies and heads take the place of one; further callers wait until
        others are closed. Only descriptors bound it when absent.
    :param accept_backlog: maximum number of connections that wait to be accepted.
    :param head_timeout: seconds within which a started request must be complete.
    :param idle_timeout: seconds for which an idle connection is kept open.
    :param stop_timeout: maximum time in seconds that a graceful shutdown waits for
        running requests.
    :param delivery_timeout: seconds after ``stop_timeout`` in which callers may still
        take answers that are ready.
    :param leave_notice: minimum time in seconds for which a graceful shutdown continues
        to serve, because callers are informed with a delay.
    :param peer_notice: seconds of ``leave_notice`` in which calls of peers are still
        accepted, so that a backend server that continues to run is unreachable for a
        shorter time.
    :param server_drain: seconds for which the backend server continues to serve after
        it was announced that it leaves.
    :param key_lifetime: seconds for which callers may resubmit an idempotency key.
    :param workspace_key_age: maximum age of the policy in seconds at which a node
        accepts keys of workspaces, which bounds the use of a withdrawn one; older nodes
        refuse requests with a key as not run. No bound when absent.
    :param unknown_key_age: maximum age of the policy in seconds at which a node refuses
        an unknown key for good; older nodes refuse the request as not run, as the key
        may have been added. No bound when absent.
    :param workspace_limit_age: maximum age in seconds of the list of instances at which
        a node counts requests for the limits of workspaces, and the time in
        which a node that has just taken over counts a part only.
    :param workspace_limit_overshoot: share of a limit of a workspace that may be
        exceeded while nodes take over.
    :param workspace_limit_slack: requests by which a limit of a workspace may be
        exceeded in addition, for all nodes together.
    :param repeat_ratio: maximum ratio of repeated arrivals at a service (retries and
        resubmissions) to the requests for it that this node has received; only the
        limits of the classes apply when absent.
    :param repeat_window: seconds over which repeated arrivals and requests are counted.
    :param repeat_extra: repeated arrivals allowed in addition, for all nodes together.
    :param poll_interval: maximum time in seconds between polls of the event loop
        under load; a call over two nodes may take up to four such intervals longer.
    :param unsized_answers: whether the end of a connection may end a response.
    """

    max_head_bytes: SizeBytes = 32 * 1024
    max_body_bytes: SizeBytes = 1024 * 1024
    request_memory_bytes: MemoryBytes = 64 * 1024 * 1024
    held_memory_bytes: MemoryBytes = 128 * 1024 * 1024
    head_memory_bytes: MemoryBytes = 24 * 1024 * 1024
    answer_memory_bytes: MemoryBytes = 32 * 1024 * 1024
    machine_memory_bytes: MemoryBytes | None = None
    max_connections: Annotated[int, msgspec.Meta(ge=16)] | None = None
    accept_backlog: Annotated[int, msgspec.Meta(ge=16, le=65535)] = 1024
    head_timeout: Seconds = 10.0
    idle_timeout: Seconds = 120.0
    stop_timeout: Seconds = 600.0
    delivery_timeout: Annotated[float, msgspec.Meta(ge=0, le=3600)] = 0.0
    leave_notice: Seconds = 2.0
    peer_notice: Annotated[float, msgspec.Meta(ge=0, le=3600)] = 0.0
    server_drain: Seconds = 10.0
    key_lifetime: Seconds = 120.0
    workspace_key_age: Seconds | None = None
    unknown_key_age: Seconds | None = None
    workspace_limit_age: Seconds = 30.0
    workspace_limit_overshoot: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.25
    workspace_limit_slack: Annotated[float, msgspec.Meta(ge=0)] = 18.0
    repeat_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] | None = None
    repeat_window: Seconds = 10.0
    repeat_extra: Annotated[float, msgspec.Meta(ge=0)] = 10.0
    poll_interval: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    unsized_answers: bool = False


@dataclass(frozen=True, kw_only=True)
class NodeSettings:
    """All sections of the settings file of a node."""

    node: NodeSection
    listen: ListenSection
    backend: BackendSection
    platform: PlatformSection
    peers: PeersSection
    bounds: BoundsSection

    @property
    def http_limits(self) -> HttpLimits:
        """Limits on HTTP messages."""
        return HttpLimits(
            max_head_bytes=self.bounds.max_head_bytes,
            max_body_bytes=self.bounds.max_body_bytes,
            head_timeout=self.bounds.head_timeout,
            idle_timeout=self.bounds.idle_timeout,
            unsized_answers=self.bounds.unsized_answers,
        )


MODEL_BY_SECTION = {
    "node": NodeSection,
    "listen": ListenSection,
    "backend": BackendSection,
    "platform": PlatformSection,
    "peers": PeersSection,
    "bounds": BoundsSection,
}


def parse_settings(text: str) -> NodeSettings | list[Problem]:
    """Parse and validate a settings file.

    :param text: the whole file.
    :return: the settings, or all problems found.
    """
    sections, problems = parse_ini(text)
    models: dict[str, msgspec.Struct] = {}
    for section in sections:
        model = MODEL_BY_SECTION.get(section.name)
        if model is None:
            hint = f"the sections are {', '.join(MODEL_BY_SECTION)}"
            problems.append(section.build_problem("unknown section", hint=hint))
            continue
        checked = convert_section(section, model)
        if isinstance(checked, Problem):
            problems.append(checked)
        else:
            models[section.name] = checked
    if not problems and "bounds" not in models:
        models["bounds"] = BoundsSection()
    declared = {section.name for section in sections}
    for name in MODEL_BY_SECTION:
        if name not in models and name not in declared and name != "bounds":
            problems.append(Problem(line=1, section=name, message="section is missing"))
    if problems:
        return problems
    return NodeSettings(**models)
