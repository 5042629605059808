"""Validation of the policy document and the policy built from its sections."""

from collections.abc import Container, Mapping
from dataclasses import dataclass, field
from functools import cached_property
from types import MappingProxyType

from catkinpost.protocol.ini import (
    IniSection,
    Problem,
    convert_section,
    parse_section,
    split_into_sections,
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
    WorkspaceSection,
    get_weakest_mode,
)

__all__ = [
    "IMPORTANCE_RANK",
    "CheckedDocument",
    "ClassSection",
    "EntrySection",
    "Importance",
    "AcceptedSection",
    "LimitSection",
    "LinkSection",
    "Mode",
    "Policy",
    "ServiceSection",
    "WorkspaceSection",
    "build_policy",
    "check_document",
    "get_weakest_mode",
    "build_default_class",
    "parse_accepted_section",
]

MAX_HINT_NAMES = 20

Section = (
    ServiceSection
    | ClassSection
    | LimitSection
    | LinkSection
    | EntrySection
    | WorkspaceSection
)
MODEL_BY_SECTION_KIND = {
    "service": ServiceSection,
    "class": ClassSection,
    "limit": LimitSection,
    "link": LinkSection,
    "entry": EntrySection,
    "workspace": WorkspaceSection,
}
DEFAULT_CLASS_PREFIX = "default:"
REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


@dataclass(frozen=True, kw_only=True)
class Policy:
    """All sections that are in force, by kind and name.

    :param services: service sections.
    :param classes: class sections.
    :param limits: limit sections.
    :param links: budgets by region.
    :param entries: limits on the requests of callers.
    :param workspaces: keys of callers.
    :param match_rules: method, path prefix and class by service, longest prefix first.
    :param host_routes: path prefix and class by host, longest prefix first.
    :param workspace_by_digest: workspace by the digest of each key that one alone has.
    """

    services: dict[str, ServiceSection] = field(default_factory=dict)
    classes: dict[str, ClassSection] = field(default_factory=dict)
    limits: dict[str, LimitSection] = field(default_factory=dict)
    links: dict[str, LinkSection] = field(default_factory=dict)
    entries: dict[str, EntrySection] = field(default_factory=dict)
    workspaces: dict[str, WorkspaceSection] = field(default_factory=dict)
    match_rules: dict[str, list[tuple[str, str, str]]] = field(default_factory=dict)
    host_routes: dict[str, list[tuple[str, str]]] = field(default_factory=dict)
    workspace_by_digest: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for name, section in self.classes.items():
            if section.host is not None and section.prefix is not None:
                self.host_routes.setdefault(section.host, []).append(
                    (section.prefix, name)
                )
            if section.match is not None:
                method, _, prefix = section.match.partition(" ")
                rules = self.match_rules.setdefault(section.service, [])
                rules.append((method, prefix, name))
        for rules in self.match_rules.values():
            rules.sort(key=lambda rule: -len(rule[1]))
        for routes in self.host_routes.values():
            routes.sort(key=lambda route: -len(route[0]))
        holders: dict[str, set[str]] = {}
        for name, workspace in self.workspaces.items():
            for digest in workspace.digests:
                holders.setdefault(digest, set()).add(name)
        for digest, names in holders.items():
            # A key of two workspaces tells neither.
            if len(names) == 1:
                self.workspace_by_digest[digest] = min(names)

    @cached_property
    def uses_keys(self) -> bool:
        """Whether credentials of requests concern the nodes."""
        needed = any(section.needs_key for section in self.classes.values())
        return needed or bool(self.workspaces)

    @cached_property
    def has_workspace_limits(self) -> bool:
        """Whether some workspace has a limit."""
        return any(section.rate is not None for section in self.workspaces.values())

    def find_limited_workspace(self, name: str | None) -> WorkspaceSection | None:
        """Return the section of a workspace with a limit, ``None`` for any other."""
        section = None if name is None else self.workspaces.get(name)
        return None if section is None or section.rate is None else section

    def needs_key(self, section: ClassSection) -> bool:
        """Return whether requests of a class need the key of a workspace."""
        if section.needs_key is not None:
            return section.needs_key
        return bool(self.workspaces)

    def find_workspace(self, digest: str | None) -> str | None:
        """Return the workspace that holds a key, if there is one.

        The time of the look-up tells of the digest, but nothing of the key.

        :param digest: digest of the key, ``None`` for no key.
        """
        return None if digest is None else self.workspace_by_digest.get(digest)

    def find_class_by_host(self, host: str, path: str) -> str | None:
        """Find the class of a request by its host and path.

        :return: the class with the longest matching prefix, or ``None``.
        """
        for prefix, name in self.host_routes.get(host, ()):
            if path.startswith(prefix):
                return name
        return None

    def get_class_name(self, service: str, method: str, path: str) -> str:
        """Return the class of a request that does not specify one.

        :return: the class with the longest matching prefix, or the name of the
            service's default class.
        """
        for rule_method, prefix, name in self.match_rules.get(service, ()):
            if method == rule_method and path.startswith(prefix):
                return name
        return f"{DEFAULT_CLASS_PREFIX}{service}:{method}"

    def find_class_section(self, name: str) -> ClassSection | None:
        """Return the section of a class, including default classes, or ``None``."""
        section = self.classes.get(name)
        if section is None and name.startswith(DEFAULT_CLASS_PREFIX):
            _, service, method = name.split(":", 2)
            return build_default_class(service, method)
        return section


def build_default_class(service: str, method: str) -> ClassSection:
    """Build the class for requests that match no class section.

    :param service: service that the request is addressed to.
    :param method: HTTP method; only safe methods are repeatable.
    """
    return ClassSection(
        owner="default", service=service, repeatable=method in REPEATABLE_METHODS
    )


def validate_section(section: IniSection) -> Section | Problem:
    """Validate one section without its references to other sections.

    :param section: parsed section.
    :return: the model of the section, or the problem for which it is rejected.
    """
    kind, _, name = section.name.partition(" ")
    model = MODEL_BY_SECTION_KIND.get(kind)
    if model is None:
        return section.build_problem(
            f"unknown kind of section {kind!r}",
            hint=f"the kinds are {', '.join(MODEL_BY_SECTION_KIND)}",
        )
    if not name:
        return section.build_problem("section has no name", hint=f"write [{kind} NAME]")
    return convert_section(section, model)


def find_dangling_option(model: Section, names: Container[str]) -> str | None:
    """Find the option that refers to a section that does not exist.

    :param model: section to check.
    :param names: full names of all sections.
    """
    service = getattr(model, "service", None)
    if service is not None and f"service {service}" not in names:
        return "service"
    weighted_services = (
        model.weighted_services if isinstance(model, ClassSection) else []
    )
    if any(f"service {name}" not in names for name, _ in weighted_services):
        return "split"
    request_class = getattr(model, "request_class", None)
    if request_class is not None and f"class {request_class}" not in names:
        return "request_class"
    return None


def build_dangling_problem(
    section: IniSection, option: str, names: set[str]
) -> Problem:
    kind = "class" if option == "request_class" else "service"
    existing_names = sorted(
        name.partition(" ")[2] for name in names if name.startswith(kind)
    )
    return section.build_problem(
        f"{kind} {section.options[option]!r} has no section",
        option=option,
        hint=f"name one of {', '.join(existing_names[:MAX_HINT_NAMES]) or 'none yet'}",
    )


def find_shared_keys(models: Mapping[str, Section]) -> dict[str, str]:
    """Find workspaces that have a key of another one.

    :param models: sections by full name.
    :return: full name of the first workspace with the key, by that of each later one.
    """
    holders: dict[str, str] = {}
    shared: dict[str, str] = {}
    for full_name, model in models.items():
        digests = model.digests if isinstance(model, WorkspaceSection) else []
        for digest in digests:
            holder = holders.setdefault(digest, full_name)
            if holder != full_name:
                shared[full_name] = holder
    return shared


def build_shared_key_problem(section: IniSection, holder: str) -> Problem:
    return section.build_problem(
        f"[{holder}] has one of the keys as well",
        option="key_digests",
        hint="give each workspace keys of its own",
    )


def build_policy(models: dict[str, Section]) -> Policy:
    """Build a policy from valid sections, omitting those with dangling references.

    :param models: sections by full name, such as ``service orders``.
    """
    by_kind: dict[str, dict] = {kind: {} for kind in MODEL_BY_SECTION_KIND}
    for full_name, model in models.items():
        if find_dangling_option(model, models) is None:
            kind, _, name = full_name.partition(" ")
            by_kind[kind][name] = model
    return Policy(
        services=by_kind["service"],
        classes=by_kind["class"],
        limits=by_kind["limit"],
        links=by_kind["link"],
        entries=by_kind["entry"],
        workspaces=by_kind["workspace"],
    )


@dataclass(frozen=True, kw_only=True)
class AcceptedSection:
    """Section that passed validation: its text and its model."""

    text: str
    model: Section


@dataclass(frozen=True, kw_only=True)
class CheckedDocument:
    """Result of the validation of a document.

    :param accepted: accepted sections, by full name.
    :param parsed_sections: accepted sections that are new or changed, before
        conversion to their models.
    :param declared: names of all sections in the document, including invalid ones.
    :param problems: all errors, ordered by line.
    """

    accepted: dict[str, AcceptedSection]
    parsed_sections: dict[str, IniSection]
    declared: frozenset[str]
    problems: list[Problem]

    @property
    def models(self) -> dict[str, Section]:
        """Models of the accepted sections, by full name."""
        return {name: section.model for name, section in self.accepted.items()}


def parse_accepted_section(text: str) -> AcceptedSection | None:
    """Parse one section that another node has accepted.

    :func:`build_policy` resolves references to other sections.

    :param text: text of the section.
    :return: the section, or ``None`` when the text is not exactly one valid section.
    """
    unparsed_sections, problems = split_into_sections(text)
    if problems or len(unparsed_sections) != 1:
        return None
    section = parse_section(unparsed_sections[0])
    model = section if isinstance(section, Problem) else validate_section(section)
    if isinstance(model, Problem):
        return None
    return AcceptedSection(text=unparsed_sections[0].text, model=model)


NO_ACCEPTED_SECTIONS: Mapping[str, AcceptedSection] = MappingProxyType({})


def check_document(
    text: str, accepted_before: Mapping[str, AcceptedSection] = NO_ACCEPTED_SECTIONS
) -> CheckedDocument:
    """Validate every section of a policy document.

    :param text: the whole document.
    :param accepted_before: sections in force. A section with unchanged text is not
        parsed again. References to a section in force whose new text is invalid
        remain valid.
    """
    unparsed_sections, problems = split_into_sections(text)
    declared = {unparsed.name for unparsed in unparsed_sections}
    declared |= {problem.section for problem in problems if problem.section}
    accepted: dict[str, AcceptedSection] = {}
    parsed_sections: dict[str, IniSection] = {}
    for unparsed in unparsed_sections:
        previous = accepted_before.get(unparsed.name)
        if previous is not None and previous.text == unparsed.text:
            accepted[unparsed.name] = previous
            continue
        section = parse_section(unparsed)
        model = section if isinstance(section, Problem) else validate_section(section)
        if isinstance(model, Problem):
            problems.append(model)
            continue
        parsed_sections[unparsed.name] = section
        accepted[unparsed.name] = AcceptedSection(text=unparsed.text, model=model)
    names = set(accepted) | (declared & set(accepted_before))
    for name, section in list(parsed_sections.items()):
        option = find_dangling_option(accepted[name].model, names)
        if option is not None:
            problems.append(build_dangling_problem(section, option, names))
            del accepted[name], parsed_sections[name]
    models = {name: item.model for name, item in accepted.items()}
    for name, holder in find_shared_keys(models).items():
        # A section in force was accepted before the other one had the key.
        faulty = name if name in parsed_sections else holder
        if faulty in parsed_sections:
            other = holder if faulty == name else name
            problems.append(build_shared_key_problem(parsed_sections[faulty], other))
            del accepted[faulty], parsed_sections[faulty]
    problems.sort(key=lambda problem: problem.line)
    return CheckedDocument(
        accepted=accepted,
        parsed_sections=parsed_sections,
        declared=frozenset(declared),
        problems=problems,
    )
