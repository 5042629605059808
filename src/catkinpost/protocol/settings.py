"""Settings of one node, read from its own INI file."""

import re
from dataclasses import dataclass
from typing import Annotated

import msgspec

from catkinpost.protocol.http import HttpLimits
from catkinpost.protocol.ini import Problem, convert_section, parse_ini

__all__ = ["Address", "NodeSettings", "parse_address", "parse_settings"]

AddressText = Annotated[
    str,
    msgspec.Meta(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$"),
]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
SizeBytes = Annotated[int, msgspec.Meta(ge=256, le=64 * 1024 * 1024)]
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
    """Split an address of the form ``IP:port``.

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
    """``[node]``: identity and place of the node.

    :param instance: name of the instance, unique over the fleet.
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

    :param calls: IP:port for callers and for the backend server's child calls.
    :param peers: IP:port for other nodes.
    :param operators: IP:port for status, decisions, histograms and metrics.
    """

    calls: AddressText
    peers: AddressText
    operators: AddressText


class BackendSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """``[backend]``: the backend server beside the node.

    :param address: IP:port of the backend server.
    :param health_path: path that answers ``{"state": "serving"}`` or "draining".
    :param load_path: path that answers ``{"in_flight": 3, "slots": 16}``.
    :param poll_interval: seconds between two looks at both.
    """

    address: AddressText
    health_path: str = "/health"
    load_path: str = "/load"
    poll_interval: Seconds = 1.0


class PlatformSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """``[platform]``: where policy and list of instances are read.

    :param address: IP:port of the platform's service.
    :param policy_path: path of the policy document; its version is watched below.
    :param instances_path: path of the list of instances.
    :param watch_wait: seconds for which one watch is held open.
    :param retry_interval: seconds until a failed read is tried again.
    """

    address: AddressText
    policy_path: str = "/policy"
    instances_path: str = "/instances"
    watch_wait: Seconds = 20.0
    retry_interval: Seconds = 1.0


class PeersSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """``[peers]``: exchange with the other nodes.

    :param secret: key that proves membership; the same for all nodes.
    :param silence: seconds for which a peer may leave a ping unanswered.
    :param start_wait: seconds that a new node waits for peers' versions.
    """

    secret: Annotated[str, msgspec.Meta(min_length=16)]
    silence: Seconds = 3.0
    start_wait: Seconds = 3.0


class BoundsSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """``[bounds]``: bounds on messages and on the planned stop.

    :param max_head_bytes: largest head of an HTTP message.
    :param max_body_bytes: largest body of an HTTP message.
    :param head_timeout: seconds in which a started request must be whole.
    :param idle_timeout: seconds for which an idle connection is kept.
    :param stop_timeout: seconds that a planned stop waits for running requests.
    :param leave_notice: seconds for which a planned stop serves on at least, as
        callers learn of it late.
    :param peer_notice: seconds of these in which calls of peers are still taken, so
        that a backend server that runs on is out of reach for less time.
    :param key_lifetime: seconds for which callers may repeat an idempotency key.
    :param repeat_ratio: repeated arrivals at a service for each request to it that
        this node has seen; no bound besides the classes' own when absent.
    :param repeat_window: seconds over which both are counted.
    :param repeat_extra: repeated arrivals that all nodes together may add.
    :param poll_interval: seconds by which the event loop may keep its polls apart
        under load; a call over two nodes may take four times as long more.
    :param unsized_answers: whether the end of a connection may end an answer.
    """

    max_head_bytes: SizeBytes = 32 * 1024
    max_body_bytes: SizeBytes = 1024 * 1024
    head_timeout: Seconds = 10.0
    idle_timeout: Seconds = 120.0
    stop_timeout: Seconds = 600.0
    leave_notice: Seconds = 2.0
    peer_notice: Annotated[float, msgspec.Meta(ge=0, le=3600)] = 0.0
    key_lifetime: Seconds = 120.0
    repeat_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] | None = None
    repeat_window: Seconds = 10.0
    repeat_extra: Annotated[float, msgspec.Meta(ge=0)] = 10.0
    poll_interval: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    unsized_answers: bool = False


@dataclass(frozen=True, kw_only=True)
class NodeSettings:
    """All sections of a node's settings file."""

    node: NodeSection
    listen: ListenSection
    backend: BackendSection
    platform: PlatformSection
    peers: PeersSection
    bounds: BoundsSection

    @property
    def http_limits(self) -> HttpLimits:
        """Bounds on HTTP messages."""
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
    """Check a settings file.

    :param text: the whole file.
    :return: the settings, or every problem found.
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
