"""The platform's settings of one process, and the node's settings from them."""

import tomllib
from dataclasses import dataclass

import msgspec

from catkinpost.platform.model import PlatformModel
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.protocol.settings import (
    AddressText,
    BackendSection,
    BoundsSection,
    ListenSection,
    NodeSection,
    NodeSettings,
    PeersSection,
    PlatformSection,
)

__all__ = ["PlatformSettings", "parse_platform_settings"]

# The platform gives its processes no common secret: whoever reaches the internal
# ports can speak as a peer (docs/design/platform.md says what that allows).
PEER_SECRET = "no-secret-is-given"
# A silent link is dropped well before the shortest usual deadline of a call.
PEER_SILENCE_S = 0.8
# Child calls of a repeated request count as repeats at the services that they call:
# as many services in a chain may each repeat without exceeding the ratio at the last.
SERVICES_PER_CHAIN = 4
# Part of the extra repeats that is used: a repeated request makes several child calls,
# and restarted nodes begin anew.
REPEAT_EXTRA_SHARE = 0.1
# Readiness is asked for once a second, and two misses take a machine out.
LEAVE_NOTICE_S = 2.5
# A call takes about a second at the most: what peers send until then ends by itself.
PEER_NOTICE_S = 1.5
# Two nodes poll four times for a call: the time added stays under a tenth of the
# shortest objective, 250 ms.
POLL_INTERVAL_S = 0.005
# Answers must be out before the platform kills the process.
STOP_TIMEOUT_SHARE = 0.9


class SelfTable(PlatformModel):
    """``[self]``: this process and its backend server."""

    node_name: str
    ip_address: str
    zone: str
    region: str
    application_address: AddressText
    service: str


class ListenTable(PlatformModel):
    """``[network.listen-addresses]``: where the platform expects the process."""

    outbound: AddressText
    ready: AddressText
    inbound: AddressText | None = None


class NetworkTable(PlatformModel):
    """``[network]``: addresses, ports for peers, and the regions of zones."""

    internal_port_range: tuple[int, int]
    listen_addresses: ListenTable
    zones: dict[str, str] = {}


class StoreTable(PlatformModel):
    """``[platform.platform]``: the store that is read."""

    address: AddressText
    history_s: float = 20.0


class PlatformTable(PlatformModel):
    """``[platform]``."""

    platform: StoreTable
    heartbeat_interval_s: float = 1.5


class BoundsTable(PlatformModel):
    """``[terms.bounds]``: figures of the platform's rules, in seconds."""

    grace_period_s: float = 6.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    budget_extra_retries: float = 0.0
    drain_s: float = 2.5
    config_propagation_s: float = 2.5


class TermsTable(PlatformModel):
    """``[terms]``."""

    bounds: BoundsTable = BoundsTable()


class SettingsFile(PlatformModel):
    """The whole file."""

    process: SelfTable = msgspec.field(name="self")
    network: NetworkTable
    platform: PlatformTable
    terms: TermsTable = TermsTable()


@dataclass(frozen=True, kw_only=True)
class PlatformSettings:
    """What the node needs of the platform's settings.

    :param node: settings in the product's own form.
    :param ready: IP:port of the readiness probe.
    :param peer_port: port at which every node accepts its peers.
    :param regions: region of each data centre.
    """

    node: NodeSettings
    readiness_address: str
    peer_port: int
    regions: dict[str, str]


def parse_platform_settings(text: str) -> PlatformSettings | Failure:
    """Check the platform's settings file.

    :param text: the file, in TOML.
    :return: the settings, or the reason why they can't be used.
    """
    try:
        file = msgspec.convert(tomllib.loads(text), SettingsFile)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        return Failure(reason=Reason.BAD_SETTINGS, detail=str(error))
    first_port, last_port = file.network.internal_port_range
    if last_port <= first_port:
        detail = (
            f"internal-port-range [{first_port}, {last_port}] has room for no two ports"
        )
        return Failure(reason=Reason.BAD_SETTINGS, detail=detail)
    return PlatformSettings(
        node=build_node_settings(file),
        readiness_address=file.network.listen_addresses.ready,
        peer_port=first_port,
        regions=file.network.zones,
    )


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
            stop_timeout=bounds.grace_period_s * STOP_TIMEOUT_SHARE,
            leave_notice=LEAVE_NOTICE_S,
            peer_notice=PEER_NOTICE_S,
            repeat_ratio=(1 + bounds.retry_budget_ratio) ** (1 / SERVICES_PER_CHAIN)
            - 1,
            repeat_window=bounds.budget_window_s,
            repeat_extra=bounds.budget_extra_retries * REPEAT_EXTRA_SHARE,
            poll_interval=POLL_INTERVAL_S,
            unsized_answers=True,
        ),
    )
