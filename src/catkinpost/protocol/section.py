"""Models of the policy document's sections."""

import enum
from dataclasses import replace
from typing import Annotated

import msgspec

from catkinpost.protocol.http import HttpLimits

__all__ = [
    "IMPORTANCE_RANK",
    "ClassSection",
    "EntrySection",
    "Importance",
    "LimitSection",
    "LinkSection",
    "Mode",
    "ServiceSection",
    "WorkspaceSection",
    "get_weakest_mode",
]

PositiveInt = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Count = Annotated[int, msgspec.Meta(ge=0, le=100_000)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
WaitSeconds = Annotated[float, msgspec.Meta(ge=0, le=60)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
ShortText = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
RetryCount = Annotated[int, msgspec.Meta(ge=0, le=16)]
KEY_DIGESTS_PATTERN = r"^[0-9a-f]{64}( [0-9a-f]{64})*$"
WEIGHTED_SERVICES_PATTERN = r"^\S+:\d+(\.\d+)?( \S+:\d+(\.\d+)?)*$"


class Mode(enum.StrEnum):
    """Whether a mechanism acts, only logs its decisions, or is disabled."""

    ON = "on"
    OBSERVE = "observe"
    OFF = "off"


MODE_ORDER = [Mode.OFF, Mode.OBSERVE, Mode.ON]


def get_weakest_mode(*modes: Mode) -> Mode:
    """Return the mode of a mechanism that depends on others."""
    return min(modes, key=MODE_ORDER.index)


class Importance(enum.StrEnum):
    """Order of load shedding; sheddable requests are shed first."""

    CRITICAL = "critical"
    NORMAL = "normal"
    SHEDDABLE = "sheddable"

    @property
    def rank(self) -> int:
        """Position in the order of load shedding; 0 is shed last."""
        return IMPORTANCE_RANK[self]


IMPORTANCE_RANK = {
    Importance.CRITICAL: 0,
    Importance.NORMAL: 1,
    Importance.SHEDDABLE: 2,
}


class ServiceSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """``[service NAME]``: limits and mechanisms of one service.

    :param owner: team that owns the section.
    :param slots: maximum number of requests that one backend server runs at once.
    :param min_slots: lower bound of the learned concurrency limit.
    :param queue: maximum number of requests that wait at one node.
    :param queue_wait: maximum time in seconds that a request waits; critical requests
        wait until their response is no longer of use.
    :param admission: mode of the learned concurrency limit and the queue.
    :param early_refusal: mode of refusing a request at once when it is expected to
        wait until its response is no longer of use.
    :param rate_limiting: mode of keeping the rate limit that a backend server names in
        its responses; it cannot exceed ``admission``.
    :param class_limiting: mode of the limit on the running sheddable requests of a
        class, which is lowered when they take too long or fail.
    :param reserve: mode of the slots kept free for short requests.
    :param reserve_share: share of the slots that long requests cannot occupy.
    :param routing: mode of routing by expected wait.
    :param centre_wait: seconds by which the expected response of an instance in another
        data centre of the region must be earlier for the instance to be chosen.
    :param region_wait: the same for an instance in another region.
    :param ejection: mode of ejecting slow backend servers.
    :param ejection_share: maximum share of the instances of a service that are ejected
        at once.
    :param hedging: mode of hedged requests for slow repeatable requests.
    :param throttle: mode of refusing requests at the sender while targets refuse them.
    :param crash_guard: mode of stopping requests that crash backend servers.
    :param crash_limit: number of crashes after which a request is stopped.
    :param isolate_suspects: whether suspects (requests to which a crash is attributed)
        run one at a time, so that the next crash is not attributed to another one.
    :param slow_start: seconds of warm-up until a new backend server gets its full
        share of the requests.
    :param sheds_before_running: whether a 503 with ``Catkinpost-Outcome: not-run``
        guarantees that the request was not run.
    :param limit_learning: whether the limit follows service times; otherwise it
        stays at ``slots``.
    :param freeze: whether every learned value of the service stays unchanged.
    """

    owner: ShortText
    slots: PositiveInt = 64
    min_slots: PositiveInt = 2
    queue: Count = 64
    queue_wait: Seconds = 0.5
    admission: Mode = Mode.ON
    early_refusal: Mode = Mode.OFF
    rate_limiting: Mode = Mode.ON
    class_limiting: Mode = Mode.OFF
    reserve: Mode = Mode.ON
    reserve_share: Fraction = 0.4
    routing: Mode = Mode.ON
    centre_wait: WaitSeconds = 0.003
    region_wait: WaitSeconds = 0.040
    ejection: Mode = Mode.ON
    ejection_share: Fraction = 0.34
    hedging: Mode = Mode.ON
    throttle: Mode = Mode.ON
    crash_guard: Mode = Mode.ON
    crash_limit: Annotated[int, msgspec.Meta(ge=1, le=16)] = 2
    isolate_suspects: bool = True
    slow_start: Annotated[float, msgspec.Meta(ge=0, le=3600)] = 10.0
    sheds_before_running: bool = False
    limit_learning: bool = True
    freeze: bool = False


class ClassSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """``[class NAME]``: routing, importance and retries of the requests of a class.

    :param owner: team that owns the section.
    :param service: service that the class belongs to.
    :param match: method and path prefix of requests without a class header that
        belong to the class.
    :param host: host whose requests belong to the class when their path has the
        ``prefix``; the class is found before the service is determined.
    :param prefix: path prefix below ``host``.
    :param split: services that share the requests of the class, with their weights, as
        ``NAME:WEIGHT NAME:WEIGHT``; without it all requests go to ``service``.
    :param importance: order of load shedding.
    :param repeatable: whether a request may run more than once.
    :param timeout: seconds after which the response is of no use.
    :param objective: seconds within which a response is of full use; equal to
        ``timeout`` when absent.
    :param retries: maximum number of retries of one request over the whole call chain.
    :param moves: maximum number of times that a request goes to another instance, in
        addition to its retries, after an instance refused it without passing it to
        its backend server.
    :param tenant: tenant of requests without a tenant header.
    :param needs_key: whether requests need the key of a workspace; by default they do
        if the document has a workspace section.
    """

    owner: ShortText
    service: ShortText
    match: Annotated[str, msgspec.Meta(pattern=r"^[A-Z]+ /\S*$")] | None = None
    host: ShortText | None = None
    prefix: Annotated[str, msgspec.Meta(pattern=r"^/\S*$")] | None = None
    split: Annotated[str, msgspec.Meta(pattern=WEIGHTED_SERVICES_PATTERN)] | None = None
    importance: Importance = Importance.NORMAL
    repeatable: bool = False
    timeout: Seconds = 10.0
    objective: Seconds | None = None
    retries: RetryCount = 2
    moves: RetryCount = 0
    tenant: ShortText = "default"
    needs_key: bool | None = None

    @property
    def weighted_services(self) -> list[tuple[str, float]]:
        """Services that receive the requests of the class, with their weights."""
        if self.split is None:
            return [(self.service, 1.0)]
        parts = [part.rpartition(":") for part in self.split.split()]
        return [(name, float(weight)) for name, _, weight in parts]


class WorkspaceSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """``[workspace NAME]``: keys of the callers that act for one customer.

    :param owner: team that owns the section.
    :param key_digests: SHA-256 digests of its keys in hexadecimal, separated by spaces;
        no key is valid when absent.
    :param importance: order of load shedding of its requests, in place of that of their
        classes.
    :param rate: requests per second that it may send to all nodes together; no limit
        when absent.
    :param burst: requests that it may send at once in addition.
    """

    owner: ShortText
    key_digests: Annotated[str, msgspec.Meta(pattern=KEY_DIGESTS_PATTERN)] | None = None
    importance: Importance | None = None
    rate: Annotated[float, msgspec.Meta(gt=0)] | None = None
    burst: Annotated[float, msgspec.Meta(ge=0)] = 0.0

    @property
    def digests(self) -> list[str]:
        """Digests of the keys."""
        return [] if self.key_digests is None else self.key_digests.split()


class LimitSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """``[limit NAME]``: fixed limit on the requests in flight at one node.

    :param owner: team that owns the section.
    :param service: service that the limit applies to.
    :param in_flight: maximum number of requests that run or wait at one node.
    :param tenant: tenant that the limit applies to; all when absent.
    :param request_class: class that the limit applies to; all when absent.
    """

    owner: ShortText
    service: ShortText
    in_flight: Count
    tenant: ShortText | None = None
    request_class: ShortText | None = None


class LinkSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """``[link REGION]``: budget for cross-region calls from one region.

    :param owner: team that owns the section.
    :param bytes_per_second: maximum bytes per second that all nodes of the region send.
    :param mode: mode of the budget.
    """

    owner: ShortText
    bytes_per_second: Annotated[int, msgspec.Meta(ge=1)]
    mode: Mode = Mode.ON


class EntrySection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """``[entry NAME]``: limits on the requests of callers at every node.

    :param owner: team that owns the section.
    :param max_head_bytes: maximum size of the head of a request.
    :param max_body_bytes: maximum size of the body of a request.
    :param head_timeout: seconds within which a started request must be complete.
    :param idle_timeout: seconds for which an idle connection is kept open.
    """

    owner: ShortText
    max_head_bytes: Annotated[int, msgspec.Meta(ge=256, le=1024 * 1024)]
    max_body_bytes: Annotated[int, msgspec.Meta(ge=0, le=1024 * 1024 * 1024)]
    head_timeout: Seconds
    idle_timeout: Seconds

    def override_limits(self, limits: HttpLimits) -> HttpLimits:
        """Replace HTTP limits with those of this section."""
        return replace(
            limits,
            max_head_bytes=self.max_head_bytes,
            max_body_bytes=self.max_body_bytes,
            head_timeout=self.head_timeout,
            idle_timeout=self.idle_timeout,
        )
