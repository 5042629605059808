"""The policy document: checks of its sections, and what they say together."""

from collections.abc import Container, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from catkinpost.protocol.ini import (
    IniSection,
    Problem,
    convert_section,
    read_chunk,
    split_ini,
)
from catkinpost.protocol.section import (
    IMPORTANCE_RANK,
    ClassSection,
    EntrySection,
    Importance,
    LimitSection,
    LinkSection,
    Mode,
    ServiceSection,
)

__all__ = [
    "IMPORTANCE_RANK",
    "CheckedDocument",
    "ClassSection",
    "EntrySection",
    "Importance",
    "KnownSection",
    "LimitSection",
    "LinkSection",
    "Mode",
    "Policy",
    "ServiceSection",
    "build_policy",
    "check_document",
    "default_class",
    "read_known_section",
]

MAX_HINTS = 20

Section = ServiceSection | ClassSection | LimitSection | LinkSection | EntrySection
MODEL_BY_KIND = {
    "service": ServiceSection,
    "class": ClassSection,
    "limit": LimitSection,
    "link": LinkSection,
    "entry": EntrySection,
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
    :param entries: bounds on what callers may send.
    """

    services: dict[str, ServiceSection] = field(default_factory=dict)
    classes: dict[str, ClassSection] = field(default_factory=dict)
    limits: dict[str, LimitSection] = field(default_factory=dict)
    links: dict[str, LinkSection] = field(default_factory=dict)
    entries: dict[str, EntrySection] = field(default_factory=dict)
    matches: dict[str, list[tuple[str, str, str]]] = field(default_factory=dict)
    routes: dict[str, list[tuple[str, str]]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for name, section in self.classes.items():
            if section.host is not None and section.prefix is not None:
                self.routes.setdefault(section.host, []).append((section.prefix, name))
            if section.match is not None:
                method, _, prefix = section.match.partition(" ")
                rules = self.matches.setdefault(section.service, [])
                rules.append((method, prefix, name))
        for rules in self.matches.values():
            rules.sort(key=lambda rule: -len(rule[1]))
        for routes in self.routes.values():
            routes.sort(key=lambda route: -len(route[0]))

    def class_at(self, host: str, path: str) -> str | None:
        """Name the class of a request by its host and path.

        :return: the class with the longest prefix of the path, ``None`` for none.
        """
        for prefix, name in self.routes.get(host, ()):
            if path.startswith(prefix):
                return name
        return None

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


def read_section(section: IniSection) -> Section | Problem:
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


def dangling_option(model: Section, names: Container[str]) -> str | None:
    """Name the option by which a section refers to one that does not exist.

    :param model: the section.
    :param names: full names of all sections.
    """
    service = getattr(model, "service", None)
    if service is not None and f"service {service}" not in names:
        return "service"
    shares = model.shares if isinstance(model, ClassSection) else []
    if any(f"service {name}" not in names for name, _ in shares):
        return "split"
    wanted = getattr(model, "request_class", None)
    if wanted is not None and f"class {wanted}" not in names:
        return "request_class"
    return None


def dangling_problem(section: IniSection, option: str, names: set[str]) -> Problem:
    kind = "class" if option == "request_class" else "service"
    known = sorted(name.partition(" ")[2] for name in names if name.startswith(kind))
    return section.problem(
        f"{kind} {section.options[option]!r} has no section",
        option=option,
        hint=f"name one of {', '.join(known[:MAX_HINTS]) or 'none yet'}",
    )


def build_policy(models: dict[str, Section]) -> Policy:
    """Arrange checked sections by kind; dangling ones are left out.

    :param models: sections by full name, such as ``service orders``.
    """
    by_kind: dict[str, dict] = {kind: {} for kind in MODEL_BY_KIND}
    for full_name, model in models.items():
        if dangling_option(model, models) is None:
            kind, _, name = full_name.partition(" ")
            by_kind[kind][name] = model
    return Policy(
        services=by_kind["service"],
        classes=by_kind["class"],
        limits=by_kind["limit"],
        links=by_kind["link"],
        entries=by_kind["entry"],
    )


@dataclass(frozen=True, kw_only=True)
class KnownSection:
    """Accepted section: its text as written and its model."""

    text: str
    model: Section


@dataclass(frozen=True, kw_only=True)
class CheckedDocument:
    """Result of checking a document.

    :param accepted: accepted sections, by full name.
    :param sections: those that were read anew, as written.
    :param declared: names of all sections in the document, broken ones included.
    :param problems: every error, in the order of lines.
    """

    accepted: dict[str, KnownSection]
    sections: dict[str, IniSection]
    declared: frozenset[str]
    problems: list[Problem]

    @property
    def models(self) -> dict[str, Section]:
        """Models of the accepted sections, by full name."""
        return {name: known.model for name, known in self.accepted.items()}


def read_known_section(text: str) -> KnownSection | None:
    """Read one section that another node has accepted.

    References to other sections are left for :func:`build_policy`.

    :param text: the section as written.
    :return: the section, or ``None`` when it is not exactly one good section.
    """
    chunks, problems = split_ini(text)
    if problems or len(chunks) != 1:
        return None
    section = read_chunk(chunks[0])
    model = section if isinstance(section, Problem) else read_section(section)
    if isinstance(model, Problem):
        return None
    return KnownSection(text=chunks[0].text, model=model)


NOTHING_KNOWN: Mapping[str, KnownSection] = MappingProxyType({})


def check_document(
    text: str, known: Mapping[str, KnownSection] = NOTHING_KNOWN
) -> CheckedDocument:
    """Check every section of a policy document.

    :param text: the whole document.
    :param known: sections in force. One whose text is the same is not read
        again, and one whose new form is broken may still be referred to.
    """
    chunks, problems = split_ini(text)
    declared = {chunk.name for chunk in chunks}
    declared |= {problem.section for problem in problems if problem.section}
    accepted: dict[str, KnownSection] = {}
    sections: dict[str, IniSection] = {}
    for chunk in chunks:
        before = known.get(chunk.name)
        if before is not None and before.text == chunk.text:
            accepted[chunk.name] = before
            continue
        section = read_chunk(chunk)
        model = section if isinstance(section, Problem) else read_section(section)
        if isinstance(model, Problem):
            problems.append(model)
            continue
        sections[chunk.name] = section
        accepted[chunk.name] = KnownSection(text=chunk.text, model=model)
    names = set(accepted) | (declared & set(known))
    for name, section in list(sections.items()):
        option = dangling_option(accepted[name].model, names)
        if option is not None:
            problems.append(dangling_problem(section, option, names))
            del accepted[name], sections[name]
    problems.sort(key=lambda problem: problem.line)
    return CheckedDocument(
        accepted=accepted,
        sections=sections,
        declared=frozenset(declared),
        problems=problems,
    )
