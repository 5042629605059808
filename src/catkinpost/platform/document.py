"""Operator's configuration, and its translation into a policy document."""

from typing import Annotated

import msgspec
from eliot import log_message

from catkinpost.platform.model import PlatformModel
from catkinpost.protocol.credential import compute_key_digest
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.protocol.policy import Importance

__all__ = ["Configuration", "hash_keys", "parse_configuration", "render_policy"]

POLICY_OWNER = "operator"
SAFE_KIND = "safe"
# A node that refuses a request has not given it to its server, so a move to another
# server of the service costs no arrival; this bounds the moves.
MAX_MOVES = 3
MAX_RETRIES = 16
# The platform's servers queue some requests themselves; the node's queue holds
# requests whose response would still be of use.
MAX_QUEUED_REQUESTS = 512
# Traffic between zones and between regions is paid by the byte: a cross-zone or
# cross-region call must save its caller at least this wait.
CENTRE_WAIT_S = 0.05
REGION_WAIT_S = 0.5
# Crashes after which a request is refused; it may reach servers a few times after
# its third crash.
CRASH_LIMIT = 3
LOWEST_IMPORTANCE = Importance.SHEDDABLE
IMPORTANCE_BY_PRIORITY = {0: Importance.CRITICAL, 1: Importance.NORMAL}

Seconds = Annotated[float, msgspec.Meta(gt=0)]
KeyDigest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
NonEmptyWord = Annotated[str, msgspec.Meta(pattern=r"^\S+$")]


class WeightedService(PlatformModel):
    """Service that gets a share of a route's requests."""

    service: NonEmptyWord
    weight: Annotated[float, msgspec.Meta(ge=0)]


class Route(PlatformModel):
    """Requests to one host whose path has one prefix."""

    name: NonEmptyWord
    host: NonEmptyWord
    prefix: Annotated[str, msgspec.Meta(pattern=r"^/\S*$")]
    kind: str
    timeout_s: Seconds
    target_latency_s: Seconds | None = None
    priority: int = 0
    max_attempts: Annotated[int, msgspec.Meta(ge=1)] = 1
    service: NonEmptyWord | None = None
    traffic_split: list[WeightedService] = []
    public: bool = False

    @property
    def weighted_services(self) -> list[WeightedService]:
        """Services that get requests of the route, each with its weight."""
        if self.service is not None:
            return [WeightedService(service=self.service, weight=1.0)]
        return [part for part in self.traffic_split if part.weight > 0]


class Tenant(PlatformModel):
    """Customer whose requests bear one of its keys.

    :param api_keys: keys as the operator writes them.
    :param key_digests: their digests, in the place of keys that were read already.
    :param rate_per_s: requests per second over all nodes; 0 for no limit.
    :param burst: requests beyond that at once.
    """

    name: NonEmptyWord
    api_keys: list[str] = []
    key_digests: list[KeyDigest] = []
    priority: int | None = None
    rate_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    burst: Annotated[float, msgspec.Meta(ge=0)] = 0.0

    @property
    def digests(self) -> list[str]:
        """Digests of all keys."""
        keys = [compute_key_digest(key.encode()) for key in self.api_keys]
        return keys + self.key_digests


class Service(PlatformModel):
    """One service."""

    name: NonEmptyWord
    health_check_path: str = "/health"
    max_connections: int = 0


class Limits(PlatformModel):
    """Limits of the requests that callers may send."""

    max_header_bytes: Annotated[int, msgspec.Meta(ge=256)] = 16384
    max_body_bytes: Annotated[int, msgspec.Meta(ge=0)] = 64 * 1024 * 1024
    header_timeout_s: Seconds = 3.0
    idle_timeout_s: Seconds = 15.0


class Configuration(PlatformModel):
    """One version of the operator's whole configuration.

    :param tenants: customers with keys; without the field nobody needs a key.
    """

    version: Annotated[int, msgspec.Meta(ge=0)]
    routes: list[Route]
    services: list[Service]
    limits: Limits = Limits()
    tenants: list[Tenant] | msgspec.UnsetType = msgspec.UNSET

    @property
    def uses_keys(self) -> bool:
        """Whether requests on routes that are not public need a key."""
        return self.tenants is not msgspec.UNSET

    @property
    def listed_tenants(self) -> list[Tenant]:
        """Customers with keys."""
        return self.tenants if self.uses_keys else []


def parse_configuration(body: bytes) -> Configuration | Failure:
    """Parse and check a configuration from the store.

    :param body: JSON document.
    """
    try:
        config = msgspec.json.decode(body, type=Configuration)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return build_bad_document_failure(str(error))
    names = {service.name for service in config.services}
    for route in config.routes:
        unknown = [
            part.service
            for part in route.weighted_services
            if part.service not in names
        ]
        if unknown or not route.weighted_services:
            return build_bad_document_failure(
                f"route {route.name} names no listed service"
            )
    if has_shared_key(config.listed_tenants):
        return build_bad_document_failure("two tenants have one key")
    return config


def has_shared_key(tenants: list[Tenant]) -> bool:
    digests = [digest for tenant in tenants for digest in set(tenant.digests)]
    return len(set(digests)) < len(digests)


def hash_keys(value: bytes) -> bytes:
    """Replace the keys of a configuration by their digests.

    :param value: configuration from the store or from a peer.
    :return: the same configuration without keys; a value that can't be parsed may hold
        them anywhere, and is dropped.
    """
    try:
        document = msgspec.json.decode(value)
        tenants = msgspec.convert(document, Configuration).listed_tenants
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        log_message("store: configuration ignored", why=str(error))
        return b""
    if not any(tenant.api_keys for tenant in tenants):
        return value
    for fields, tenant in zip(document["tenants"], tenants, strict=True):
        fields.pop("api-keys", None)
        fields["key-digests"] = tenant.digests
    return msgspec.json.encode(document)


def build_bad_document_failure(detail: str) -> Failure:
    return Failure(reason=Reason.PLATFORM_BAD_DOCUMENT, detail=detail)


def render_policy(config: Configuration) -> str:
    """Format a configuration as a policy document.

    :param config: checked configuration.
    """
    parts = [render_entry(config.limits)]
    parts += [render_service(service) for service in config.services]
    parts += [render_route(route, config.uses_keys) for route in config.routes]
    parts += [render_workspace(tenant) for tenant in config.listed_tenants]
    return "\n".join(parts)


def render_entry(limits: Limits) -> str:
    return f"""\
[entry callers]
owner = {POLICY_OWNER}
max_head_bytes = {limits.max_header_bytes}
max_body_bytes = {limits.max_body_bytes}
head_timeout = {limits.header_timeout_s:g}
idle_timeout = {limits.idle_timeout_s:g}
"""


def render_service(service: Service) -> str:
    return f"""\
[service {service.name}]
owner = {POLICY_OWNER}
queue = {MAX_QUEUED_REQUESTS}
queue_wait = 3600
slow_start = 0
limit_learning = no
centre_wait = {CENTRE_WAIT_S:g}
region_wait = {REGION_WAIT_S:g}
crash_limit = {CRASH_LIMIT}
isolate_suspects = no
early_refusal = on
class_limiting = on
reserve = off
hedging = off
ejection = off
throttle = off
sheds_before_running = yes
"""


def render_workspace(tenant: Tenant) -> str:
    lines = [f"[workspace {tenant.name}]", f"owner = {POLICY_OWNER}"]
    if tenant.digests:
        lines.append(f"key_digests = {' '.join(tenant.digests)}")
    if tenant.priority is not None:
        lines.append(f"importance = {find_importance(tenant.priority)}")
    if tenant.rate_per_s:
        lines.append(f"rate = {tenant.rate_per_s}")
        lines.append(f"burst = {tenant.burst}")
    return "\n".join(lines) + "\n"


def find_importance(priority: int) -> Importance:
    return IMPORTANCE_BY_PRIORITY.get(priority, LOWEST_IMPORTANCE)


def render_route(route: Route, uses_keys: bool) -> str:
    importance = find_importance(route.priority)
    objective = min(route.target_latency_s or route.timeout_s, route.timeout_s)
    lines = [
        f"[class {route.name}]",
        f"owner = {POLICY_OWNER}",
        f"service = {route.weighted_services[0].service}",
        f"host = {route.host}",
        f"prefix = {route.prefix}",
        f"importance = {importance}",
        f"repeatable = {'yes' if route.kind == SAFE_KIND else 'no'}",
        f"timeout = {route.timeout_s:g}",
        f"objective = {objective:g}",
        f"retries = {min(MAX_RETRIES, route.max_attempts - 1)}",
        f"moves = {MAX_MOVES}",
    ]
    if uses_keys:
        lines.append(f"needs_key = {'no' if route.public else 'yes'}")
    if len(route.weighted_services) > 1:
        split = " ".join(
            f"{part.service}:{part.weight:g}" for part in route.weighted_services
        )
        lines.append(f"split = {split}")
    return "\n".join(lines) + "\n"
