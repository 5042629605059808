"""Small copies of the two deployments: services, call chains and policies."""

from catkinpost_standins.backend import BackendSpec, Child, Route
from catkinpost_standins.fleet import MemberSpec

__all__ = ["SKAIDAS_POLICY", "skaidas", "skaidas_specs"]

SKAIDAS_CENTRES = [
    ("kurzeme-1", "kurzeme"),
    ("kurzeme-2", "kurzeme"),
    ("latgale-1", "latgale"),
    ("latgale-2", "latgale"),
]

SKAIDAS_POLICY = """\
[service orders]
owner = sales
slots = 16
queue = 32
queue_wait = 0.4

[service sets]
owner = catalogue
slots = 8
queue = 32
queue_wait = 0.4

[service offcut-stock]
owner = stock
slots = 16
queue = 32
queue_wait = 0.4

[service certs]
owner = safety
slots = 16
queue = 32
queue_wait = 0.4

[class place-order]
owner = sales
service = orders
match = POST /orders
importance = critical
repeatable = no
timeout = 5
retries = 3

[class browse-stock]
owner = stock
service = offcut-stock
match = GET /stock
importance = sheddable
repeatable = yes
timeout = 2
retries = 2

[class lookup-set]
owner = catalogue
service = sets
match = GET /sets
importance = normal
repeatable = yes
timeout = 2
retries = 2

[class mill-batch]
owner = catalogue
service = sets
match = GET /batches
importance = normal
repeatable = yes
timeout = 10
retries = 1

[class check-certificate]
owner = safety
service = certs
match = GET /certs
importance = normal
repeatable = yes
timeout = 2
retries = 2

[link kurzeme]
owner = network
bytes_per_second = 3000000

[link latgale]
owner = network
bytes_per_second = 3000000
"""


def skaidas(time_scale: float = 1.0) -> dict[str, tuple[int, list[Route]]]:
    """Return slots and routes of each service.

    :param time_scale: factor on all service times.
    """
    return {
        "orders": (
            16,
            [
                Route(
                    method="POST",
                    path="/orders",
                    mean_ms=20 * time_scale,
                    children=[Child(service="sets", path="/sets/birch-12")],
                )
            ],
        ),
        "sets": (
            8,
            [
                Route(
                    path="/sets",
                    mean_ms=10 * time_scale,
                    children=[Child(service="offcut-stock", path="/stock/birch")],
                ),
                Route(path="/batches", mean_ms=300 * time_scale),
            ],
        ),
        "offcut-stock": (
            16,
            [
                Route(
                    path="/stock",
                    mean_ms=10 * time_scale,
                    children=[Child(service="certs", path="/certs/b7")],
                )
            ],
        ),
        "certs": (16, [Route(path="/certs", mean_ms=8 * time_scale)]),
    }


def skaidas_specs(per_service: int = 4, time_scale: float = 1.0) -> list[MemberSpec]:
    """Return the members of a small Skaidas.

    :param per_service: backend servers of each service.
    :param time_scale: factor on all service times.
    """
    specs = []
    for service, (slots, routes) in skaidas(time_scale).items():
        for number in range(per_service):
            data_centre, region = SKAIDAS_CENTRES[number % len(SKAIDAS_CENTRES)]
            specs.append(
                MemberSpec(
                    name=f"{service}-{number + 1}",
                    service=service,
                    data_centre=data_centre,
                    region=region,
                    backend=BackendSpec(service=service, slots=slots, routes=routes),
                )
            )
    return specs
