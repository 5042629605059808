"""Scenarios: deployment, load, trigger and measured window."""

from collections.abc import Callable
from dataclasses import dataclass, field

from catkinpost_standins.backend import Faults
from catkinpost_standins.bench.load import Kind
from catkinpost_standins.bench.workload import (
    BAD_KIND,
    DEPOT,
    DEPOT_CLASSES,
    DEPOT_KIND,
    LONG,
    SHORT,
    SKAIDAS_CAPACITY,
    SKAIDAS_CLASSES,
    SKAIDAS_KINDS,
    SKAIDAS_SLOTS,
    YARD_CLASSES,
    YARD_SLOTS,
    depot_rate,
    depot_specs,
    skaidas_specs,
    steady,
    surge,
    swing,
    yard_rate,
    yard_specs,
)
from catkinpost_standins.fleet import MemberSpec
from catkinpost_standins.platform import Control

__all__ = ["SCENARIOS", "VARIANTS", "Scenario", "Trigger", "policy_text"]

VARIANTS = {
    "all on": {},
    "baseline": None,
    "no admission": {"admission": "off"},
    "no reserve": {"reserve": "off"},
    "no routing": {"routing": "off"},
    "no ejection": {"ejection": "off"},
    "no hedging": {"hedging": "off"},
    "no crash guard": {"crash_guard": "off"},
}


@dataclass(frozen=True, kw_only=True)
class Trigger:
    """Fault that is set at one time and taken back at another.

    :param service: service that is hit.
    :param members: how many of its instances.
    :param faults: fault of the backend servers.
    :param platform: fault of the platform.
    :param relay: ports whose connections are hit, ``peers`` or ``backend``.
    :param cut: whether these pass nothing; else open ones go silent.
    :param turn_s: seconds after which the fault moves on to the next instance;
        0 when it stays.
    """

    service: str
    members: int = 0
    faults: Faults | None = None
    platform: Control | None = None
    relay: str = ""
    cut: bool = False
    turn_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """One experiment.

    :param name: shown name.
    :param specs: backend servers.
    :param classes: policy sections of the request classes.
    :param kinds: kinds of requests.
    :param rate: requests per second at a time; the second argument is the length
        of the trigger.
    :param calm_s: seconds before the trigger.
    :param after_s: seconds after it.
    :param capacity: whole requests per second that the slots allow.
    :param trigger: fault, if any.
    :param variants: variants that say something here.
    """

    name: str
    specs: Callable[[], list[MemberSpec]]
    classes: str
    kinds: list[Kind]
    rate: Callable[[float, float], float]
    calm_s: float = 8.0
    after_s: float = 12.0
    capacity: float = 0.0
    trigger: Trigger | None = None
    variants: tuple[str, ...] = ("all on", "baseline")
    queue_wait: float = 0.4
    slots: dict[str, int] = field(default_factory=dict)


def policy_text(scenario: Scenario, switches: dict[str, str]) -> str:
    """Return the policy of a scenario with some mechanisms switched.

    :param scenario: the scenario.
    :param switches: mode by mechanism.
    """
    parts = []
    for service, slots in scenario.slots.items():
        lines = [f"[service {service}]", "owner = bench", f"slots = {slots}"]
        lines += [f"queue_wait = {scenario.queue_wait}", "slow_start = 0"]
        lines += [f"{name} = {mode}" for name, mode in switches.items()]
        parts.append("\n".join(lines))
    return "\n\n".join([*parts, scenario.classes])


SLOWED = Trigger(service="depot-finder", members=1, faults=Faults(slow_factor=10.0))
SLOW_CERTS = Trigger(service="certs", members=2, faults=Faults(slow_factor=4.0))


def skaidas_scenario(name: str, **options) -> Scenario:
    return Scenario(
        name=name,
        specs=skaidas_specs,
        classes=SKAIDAS_CLASSES,
        kinds=SKAIDAS_KINDS,
        capacity=SKAIDAS_CAPACITY,
        slots=SKAIDAS_SLOTS,
        **options,
    )


def yard_scenario(name: str, kinds: list[Kind], **options) -> Scenario:
    return Scenario(
        name=name,
        specs=yard_specs,
        classes=YARD_CLASSES,
        kinds=kinds,
        rate=yard_rate,
        slots={"yard-board": YARD_SLOTS},
        after_s=2.0,
        **options,
    )


def depot_scenario(
    name: str, kinds: tuple[Kind, ...] = (DEPOT_KIND,), **options
) -> Scenario:
    return Scenario(
        name=name,
        specs=depot_specs,
        classes=DEPOT_CLASSES,
        kinds=list(kinds),
        rate=depot_rate,
        slots={"depot-finder": 12},
        after_s=2.0,
        **options,
    )


SCENARIOS = {
    item.name: item
    for item in (
        skaidas_scenario(
            "surge", rate=surge, variants=("all on", "baseline", "no admission")
        ),
        skaidas_scenario(
            "slow-service",
            rate=steady,
            trigger=SLOW_CERTS,
            variants=("all on", "baseline", "no admission"),
        ),
        skaidas_scenario(
            "crest", rate=swing, variants=("all on", "baseline", "no admission")
        ),
        yard_scenario(
            "blocking",
            [SHORT, LONG],
            variants=("all on", "baseline", "no reserve", "no routing"),
        ),
        yard_scenario("blocking-none", [SHORT], variants=("all on", "baseline")),
        depot_scenario(
            "stragglers",
            trigger=SLOWED,
            variants=(
                "all on",
                "baseline",
                "no routing",
                "no ejection",
                "no hedging",
            ),
        ),
        depot_scenario("stragglers-none", variants=("all on", "baseline")),
        depot_scenario(
            "brief-stragglers",
            trigger=Trigger(
                service=DEPOT, members=4, faults=Faults(slow_factor=10.0), turn_s=0.5
            ),
            variants=(
                "all on",
                "baseline",
                "no routing",
                "no ejection",
                "no hedging",
            ),
        ),
        depot_scenario(
            "freeze",
            trigger=Trigger(service=DEPOT, members=1, faults=Faults(frozen=True)),
        ),
        depot_scenario(
            "crash",
            kinds=(DEPOT_KIND, BAD_KIND),
            trigger=Trigger(
                service=DEPOT, members=4, faults=Faults(crash_path="/depot/bad")
            ),
            variants=("all on", "baseline", "no crash guard"),
        ),
        depot_scenario(
            "silent-links",
            trigger=Trigger(service=DEPOT, members=1, relay="peers"),
            variants=("all on", "no hedging"),
        ),
        depot_scenario(
            "silent-backend",
            trigger=Trigger(service=DEPOT, members=1, relay="backend"),
            variants=("all on", "no hedging"),
        ),
        depot_scenario(
            "cut-off",
            trigger=Trigger(service=DEPOT, members=1, relay="peers", cut=True),
            variants=("all on",),
        ),
        depot_scenario(
            "platform-down",
            trigger=Trigger(service=DEPOT, platform=Control(down=True)),
            variants=("all on",),
        ),
    )
}
