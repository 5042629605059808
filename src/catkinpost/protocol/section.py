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
]

PositiveInt = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Count = Annotated[int, msgspec.Meta(ge=0, le=100_000)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
WaitSeconds = Annotated[float, msgspec.Meta(ge=0, le=60)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
ShortText = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
RetryCount = Annotated[int, msgspec.Meta(ge=0, le=16)]
WEIGHTED_SERVICES_PATTERN = r"^\S+:\d+(\.\d+)?( \S+:\d+(\.\d+)?)*$"


class Mode(enum.StrEnum):
    """How far a mechanism may act."""

    ON = "on"
    OBSERVE = "observe"
    OFF = "off"


class Importance(enum.StrEnum):
    """Order in which requests are shed; sheddable requests go first."""

    CRITICAL = "critical"
    NORMAL = "normal"
    SHEDDABLE = "sheddable"

    @property
    def rank(self) -> int:
        """Position in the order of shedding; 0 is shed last."""
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
    :param slots: requests that one backend server runs at once, at most.
    :param min_slots: lowest value that the learned limit may reach.
    :param queue: requests that may wait at one node, at most.
    :param queue_wait: seconds that a request may wait, at most; critical ones wait
        for as long as their answer is of use.
    :param admission: mode of the learned concurrency limit and the queue.
    :param early_refusal: mode of refusing at once what would wait for longer than
        its answer is of use.
    :param class_limiting: mode of the limit on the running sheddable requests of a
        class, which falls when they take too long or fail.
    :param reserve: mode of the slots kept free for short work.
    :param reserve_share: share of the slots that long work cannot take.
    :param routing: mode of routing by expected wait.
    :param centre_wait: seconds by which an instance in another data centre of the
        region must be expected to answer earlier to be chosen.
    :param region_wait: the same for an instance in another region.
    :param ejection: mode of ejecting slow backend servers.
    :param ejection_share: share of a service that may be ejected at once.
    :param hedging: mode of second attempts for slow repeatable requests.
    :param throttle: mode of refusing at the sender what targets refuse anyway.
    :param crash_guard: mode of stopping requests that crash backend servers.
    :param crash_limit: crashes after which a request is stopped.
    :param isolate_suspects: whether requests that have met a crash run one at a
        time, so that the next crash can't be blamed on another.
    :param slow_start: seconds in which a new backend server is given its share.
    :param sheds_before_running: whether a 503 that carries
        ``Catkinpost-Outcome: not-run`` is a promise that nothing was run.
    :param limit_learning: whether the limit follows service times; otherwise it
        stays at ``slots``.
    :param freeze: keeps every learned value of the service as it is.
    """

    owner: ShortText
    slots: PositiveInt = 64
    min_slots: PositiveInt = 2
    queue: Count = 64
    queue_wait: Seconds = 0.5
    admission: Mode = Mode.ON
    early_refusal: Mode = Mode.OFF
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
    """``[class NAME]``: how the requests of one class are treated.

    :param owner: team that owns the section.
    :param service: service that the class belongs to.
    :param match: method and path prefix, for requests that name no class.
    :param host: host whose requests belong to the class when their path has the
        ``prefix``; such a class is found before any service is known.
    :param prefix: path prefix below ``host``.
    :param split: services that share the class, each with its weight, written
        ``NAME:WEIGHT NAME:WEIGHT``; without it all requests go to ``service``.
    :param importance: order of shedding.
    :param repeatable: whether a request may run more than once.
    :param timeout: seconds after which the answer is of no use.
    :param objective: seconds within which an answer is of full use; as long as
        ``timeout`` when absent.
    :param retries: retries for one request over the whole call chain.
    :param moves: times that a request may go to another instance, besides its
        retries, when an instance refused it without giving it to its server.
    :param tenant: tenant of requests that name none.
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

    @property
    def weighted_services(self) -> list[tuple[str, float]]:
        """Services that the class's requests go to, each with its weight."""
        if self.split is None:
            return [(self.service, 1.0)]
        parts = [part.rpartition(":") for part in self.split.split()]
        return [(name, float(weight)) for name, _, weight in parts]


class LimitSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """``[limit NAME]``: a fixed bound on requests running at one node.

    :param owner: team that owns the section.
    :param service: service that the limit applies to.
    :param in_flight: requests that may run or wait at once at one node.
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
    """``[link REGION]``: budget for calls that leave one region.

    :param owner: team that owns the section.
    :param bytes_per_second: bytes that all nodes of the region may send.
    :param mode: mode of the budget.
    """

    owner: ShortText
    bytes_per_second: Annotated[int, msgspec.Meta(ge=1)]
    mode: Mode = Mode.ON


class EntrySection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """``[entry NAME]``: what callers may send to any node.

    :param owner: team that owns the section.
    :param max_head_bytes: largest head of a request.
    :param max_body_bytes: largest body of a request.
    :param head_timeout: seconds in which a started request must be whole.
    :param idle_timeout: seconds for which an idle connection is kept.
    """

    owner: ShortText
    max_head_bytes: Annotated[int, msgspec.Meta(ge=256, le=1024 * 1024)]
    max_body_bytes: Annotated[int, msgspec.Meta(ge=0, le=1024 * 1024 * 1024)]
    head_timeout: Seconds
    idle_timeout: Seconds

    def override_limits(self, limits: HttpLimits) -> HttpLimits:
        """Return limits of messages with those of this section in force."""
        return replace(
            limits,
            max_head_bytes=self.max_head_bytes,
            max_body_bytes=self.max_body_bytes,
            head_timeout=self.head_timeout,
            idle_timeout=self.idle_timeout,
        )
