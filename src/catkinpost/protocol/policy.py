"""Models of the policy document's sections and their checks."""

import enum
from dataclasses import dataclass, field
from typing import Annotated

import msgspec

from catkinpost.protocol.ini import IniSection, Problem, convert_section, read_ini

__all__ = [
    "ClassSection",
    "Importance",
    "LimitSection",
    "LinkSection",
    "Mode",
    "Policy",
    "ServiceSection",
    "build_policy",
    "check_document",
    "default_class",
]

PositiveInt = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Count = Annotated[int, msgspec.Meta(ge=0, le=100_000)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Retries = Annotated[int, msgspec.Meta(ge=0, le=16)]


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
IMPORTANCE_BY_RANK = {rank: item for item, rank in IMPORTANCE_RANK.items()}


class ServiceSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """``[service NAME]``: limits and mechanisms of one service.

    :param owner: team that owns the section.
    :param slots: requests that one backend server runs at once, at most.
    :param min_slots: lowest value that the learned limit may reach.
    :param queue: requests that may wait at one node, at most.
    :param queue_wait: seconds that a request may wait, at most.
    :param admission: mode of the learned concurrency limit and the queue.
    :param reserve: mode of the slots kept free for short work.
    :param reserve_share: share of the slots that long work cannot take.
    :param routing: mode of routing by expected wait.
    :param ejection: mode of ejecting slow backend servers.
    :param ejection_share: share of a service that may be ejected at once.
    :param hedging: mode of second attempts for slow repeatable requests.
    :param crash_guard: mode of stopping requests that crash backend servers.
    :param slow_start: seconds in which a new backend server is given its share.
    :param sheds_before_running: whether a 503 that carries
        ``Catkinpost-Outcome: not-run`` is a promise that nothing was run.
    :param freeze: keeps every learned value of the service as it is.
    """

    owner: Text
    slots: PositiveInt = 64
    min_slots: PositiveInt = 2
    queue: Count = 64
    queue_wait: Seconds = 0.5
    admission: Mode = Mode.ON
    reserve: Mode = Mode.ON
    reserve_share: Fraction = 0.4
    routing: Mode = Mode.ON
    ejection: Mode = Mode.ON
    ejection_share: Fraction = 0.34
    hedging: Mode = Mode.ON
    crash_guard: Mode = Mode.ON
    slow_start: Annotated[float, msgspec.Meta(ge=0, le=3600)] = 10.0
    sheds_before_running: bool = False
    freeze: bool = False


class ClassSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """``[class NAME]``: how the requests of one class are treated.

    :param owner: team that owns the section.
    :param service: service that the class belongs to.
    :param match: method and path prefix, for requests that name no class.
    :param importance: order of shedding.
    :param repeatable: whether a request may run more than once.
    :param timeout: seconds after which the answer is of no use.
    :param retries: retries for one request over the whole call chain.
    :param tenant: tenant of requests that name none.
    """

    owner: Text
    service: Text
    match: Annotated[str, msgspec.Meta(pattern=r"^[A-Z]+ /\S*$")] | None = None
    importance: Importance = Importance.NORMAL
    repeatable: bool = False
    timeout: Seconds = 10.0
    retries: Retries = 2
    tenant: Text = "default"


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

    owner: Text
    service: Text
    in_flight: Count
    tenant: Text | None = None
    request_class: Text | None = None


class LinkSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """``[link REGION]``: budget for calls that leave one region.

    :param owner: team that owns the section.
    :param bytes_per_second: bytes that all nodes of the region may send.
    :param mode: mode of the budget.
    """

    owner: Text
    bytes_per_second: Annotated[int, msgspec.Meta(ge=1)]
    mode: Mode = Mode.ON


Section = ServiceSection | ClassSection | LimitSection | LinkSection
MODEL_BY_KIND = {
    "service": ServiceSection,
    "class": ClassSection,
    "limit": LimitSection,
    "link": LinkSection,
}
DEFAULT_CLASS_PREFIX = "default:"
REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


@dataclass(frozen=True, kw_only=True)
class Policy:
    """All sections that are in force, by name.

    :param services: service sections.
    :param classes: class sections.
    :param limits: limit sections.
    :param links: budgets by region.
    """

    services: dict[str, ServiceSection] = field(default_factory=dict)
    classes: dict[str, ClassSection] = field(default_factory=dict)
    limits: dict[str, LimitSection] = field(default_factory=dict)
    links: dict[str, LinkSection] = field(default_factory=dict)
    matches: dict[str, list[tuple[str, str, str]]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for name, section in self.classes.items():
            if section.match is not None:
                method, _, prefix = section.match.partition(" ")
                rules = self.matches.setdefault(section.service, [])
                rules.append((method, prefix, name))
        for rules in self.matches.values():
            rules.sort(key=lambda rule: -len(rule[1]))

    def class_of(self, service: str, method: str, path: str) -> str:
        """Name the class of a request that names none itself.

        :return: the class with the longest matching prefix, or the name of the
            service's default class.
        """
        for rule_method, prefix, name in self.matches.get(service, ()):
            if method == rule_method and path.startswith(prefix):
                return name
        return f"{DEFAULT_CLASS_PREFIX}{service}:{method}"

    def class_section(self, name: str) -> ClassSection | None:
        """Look up a class, default classes included."""
        section = self.classes.get(name)
        if section is None and name.startswith(DEFAULT_CLASS_PREFIX):
            _, service, method = name.split(":", 2)
            return default_class(service, method)
        return section


def default_class(service: str, method: str) -> ClassSection:
    """Return the class of requests that no section matches.

    :param service: wanted service.
    :param method: HTTP method; only safe methods are repeatable.
    """
    return ClassSection(
        owner="default", service=service, repeatable=method in REPEATABLE_METHODS
    )


def section_model(section: IniSection) -> Section | Problem:
    """Check one section on its own.

    :param section: section as written.
    :return: the section's model, or the problem that rejects it.
    """
    kind, _, name = section.name.partition(" ")
    model = MODEL_BY_KIND.get(kind)
    if model is None:
        return section.problem(
            f"unknown kind of section {kind!r}",
            hint=f"the kinds are {', '.join(MODEL_BY_KIND)}",
        )
    if not name:
        return section.problem("section has no name", hint=f"write [{kind} NAME]")
    return convert_section(section, model)


def reference_problem(
    section: IniSection, model: Section, services: set[str], classes: set[str]
) -> Problem | None:
    """Check the names that a section refers to."""
    service = getattr(model, "service", None)
    if service is not None and service not in services:
        return section.problem(
            f"service {service!r} has no section",
            option="service",
            hint=f"the services are {', '.join(sorted(services)) or 'none'}",
        )
    wanted = getattr(model, "request_class", None)
    if wanted is not None and wanted not in classes:
        return section.problem(
            f"class {wanted!r} has no section",
            option="request_class",
            hint=f"the classes are {', '.join(sorted(classes)) or 'none'}",
        )
    return None


def build_policy(models: dict[str, Section]) -> Policy:
    """Arrange checked sections by kind.

    :param models: sections by full name, such as ``service orders``.
    """
    by_kind: dict[str, dict] = {kind: {} for kind in MODEL_BY_KIND}
    for full_name, model in models.items():
        kind, _, name = full_name.partition(" ")
        by_kind[kind][name] = model
    return Policy(
        services=by_kind["service"],
        classes=by_kind["class"],
        limits=by_kind["limit"],
        links=by_kind["link"],
    )


@dataclass(frozen=True, kw_only=True)
class CheckedDocument:
    """Result of checking a document.

    :param sections: accepted sections as written, by full name.
    :param models: their models, by full name.
    :param declared: names of all sections in the document, broken ones included.
    :param problems: every error, in the order of lines.
    """

    sections: dict[str, IniSection]
    models: dict[str, Section]
    declared: frozenset[str]
    problems: list[Problem]


def check_document(
    text: str, fallback: dict[str, Section] | None = None
) -> CheckedDocument:
    """Check every section of a policy document.

    :param text: the whole document.
    :param fallback: sections in force, which other sections may refer to while
        their new form is broken.
    """
    sections, problems = read_ini(text)
    declared = {section.name for section in sections}
    declared |= {problem.section for problem in problems if problem.section}
    models: dict[str, Section] = {}
    accepted: dict[str, IniSection] = {}
    for section in sections:
        model = section_model(section)
        if isinstance(model, Problem):
            problems.append(model)
            continue
        models[section.name] = model
        accepted[section.name] = section
    kept = {name for name in fallback or {} if name in declared}
    names = kept | set(models)
    services = {name[8:] for name in names if name.startswith("service ")}
    classes = {name[6:] for name in names if name.startswith("class ")}
    for name, section in list(accepted.items()):
        problem = reference_problem(section, models[name], services, classes)
        if problem is not None:
            problems.append(problem)
            del accepted[name], models[name]
    problems.sort(key=lambda problem: problem.line)
    return CheckedDocument(
        sections=accepted,
        models=models,
        declared=frozenset(declared),
        problems=problems,
    )
