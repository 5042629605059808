"""Services, requests and demand of the experiments, scaled to one machine."""

import math

from catkinpost_standins.backend import BackendSpec, Child, Route
from catkinpost_standins.bench.load import Kind
from catkinpost_standins.fleet import MemberSpec

CENTRES = [
    ("near-1", "near"),
    ("near-2", "near"),
    ("near-1", "near"),
    ("near-2", "near"),
]


def members(
    service: str, count: int, slots: int, routes: list[Route], backlog: int = 1000
) -> list[MemberSpec]:
    """Return the backend servers of one service."""
    return [
        MemberSpec(
            name=f"{service}-{number + 1}",
            service=service,
            data_centre=CENTRES[number % len(CENTRES)][0],
            region=CENTRES[number % len(CENTRES)][1],
            backend=BackendSpec(
                service=service, slots=slots, backlog=backlog, routes=routes
            ),
        )
        for number in range(count)
    ]


SKAIDAS_SLOTS = {"orders": 8, "sets": 8, "offcut-stock": 12, "certs": 2}
SKAIDAS_CLASSES = """
[class place-order]
owner = bench
service = orders
match = POST /orders
importance = critical
timeout = 2
retries = 3

[class lookup-set]
owner = bench
service = sets
match = GET /sets
importance = normal
repeatable = yes
timeout = 2
retries = 2

[class browse-stock]
owner = bench
service = offcut-stock
match = GET /stock
importance = sheddable
repeatable = yes
timeout = 2
retries = 2

[class check-certificate]
owner = bench
service = certs
match = GET /certs
importance = normal
repeatable = yes
timeout = 2
retries = 2
"""
SKAIDAS_KINDS = [
    Kind(
        name="place-order",
        service="orders",
        method="POST",
        path="/orders",
        share=0.25,
        once=True,
    ),
    Kind(name="lookup-set", service="sets", method="GET", path="/sets", share=0.25),
    Kind(
        name="browse-stock",
        service="offcut-stock",
        method="GET",
        path="/stock",
        share=0.5,
    ),
]
CERT_MS = 80.0
SKAIDAS_CAPACITY = 2 * SKAIDAS_SLOTS["certs"] / (CERT_MS / 1000)


def skaidas_specs() -> list[MemberSpec]:
    """Return two servers of each service; every chain ends at certs."""
    stock = [Child(service="offcut-stock", path="/stock/x")]
    certs = [Child(service="certs", path="/certs/x")]
    sets = [Child(service="sets", path="/sets/x")]
    slots = SKAIDAS_SLOTS
    return [
        *members(
            "orders",
            2,
            slots["orders"],
            [Route(method="POST", path="/orders", mean_ms=20, children=sets)],
        ),
        *members(
            "sets",
            2,
            slots["sets"],
            [Route(path="/sets", mean_ms=10, children=stock)],
        ),
        *members(
            "offcut-stock",
            2,
            slots["offcut-stock"],
            [Route(path="/stock", mean_ms=10, children=certs)],
        ),
        *members("certs", 2, slots["certs"], [Route(path="/certs", mean_ms=CERT_MS)]),
    ]


def surge(time: float, length: float) -> float:
    """Demand at 0.6 of the capacity, and at twice the capacity in the trigger."""
    inside = 8.0 <= time < 8.0 + length
    return SKAIDAS_CAPACITY * (2.0 if inside else 0.6)


def steady(time: float, length: float) -> float:
    """Demand at 0.6 of the capacity."""
    return SKAIDAS_CAPACITY * 0.6


SWING_PERIOD_S = 8.0
SWING_RISE_S = 2.0


def swing(time: float, length: float) -> float:
    """Demand that rises to four times its trough within two seconds."""
    trough = SKAIDAS_CAPACITY * 0.5
    if not 8.0 <= time < 8.0 + length:
        return trough
    phase = math.fmod(time - 8.0, SWING_PERIOD_S)
    if phase < SWING_RISE_S:
        return trough * (1 + 3 * phase / SWING_RISE_S)
    if phase < SWING_PERIOD_S - SWING_RISE_S:
        return trough * 4
    return trough * (1 + 3 * (SWING_PERIOD_S - phase) / SWING_RISE_S)


YARD_CLASSES = """
[class yard-question]
owner = bench
service = yard-board
match = GET /board
importance = normal
repeatable = yes
timeout = 2
retries = 2

[class yard-job]
owner = bench
service = yard-board
match = GET /jobs
importance = normal
repeatable = yes
timeout = 6
retries = 1
"""
YARD_SLOTS = 6
SHORT = Kind(
    name="yard-question",
    service="yard-board",
    method="GET",
    path="/board",
    share=0.96,
)
LONG = Kind(
    name="yard-job", service="yard-board", method="GET", path="/jobs", share=0.04
)


def yard_specs() -> list[MemberSpec]:
    """Return two servers with few slots and jobs that run forty times longer."""
    routes = [
        Route(path="/board", mean_ms=25),
        Route(path="/jobs", mean_ms=1000),
    ]
    return members("yard-board", 2, YARD_SLOTS, routes)


def yard_rate(time: float, length: float) -> float:
    """Demand that takes most slots when long jobs are present."""
    return 120.0


DEPOT_CLASSES = """
[class depot-question]
owner = bench
service = depot-finder
match = GET /depot
importance = normal
repeatable = yes
timeout = 2
retries = 2
"""
DEPOT_KIND = Kind(
    name="depot-question",
    service="depot-finder",
    method="GET",
    path="/depot",
    share=1.0,
)


def depot_specs() -> list[MemberSpec]:
    """Return four servers of one service."""
    return members("depot-finder", 4, 12, [Route(path="/depot", mean_ms=30)])


def depot_rate(time: float, length: float) -> float:
    """Demand well below the capacity."""
    return 120.0


BAD_KIND = Kind(
    name="bad-question",
    service="depot-finder",
    method="GET",
    path="/depot/bad",
    share=0.01,
    same=True,
)
DEPOT = "depot-finder"
