"""INI parser that keeps the line number of every section and option."""

import configparser
import re
from dataclasses import dataclass, field

import msgspec

__all__ = [
    "UnparsedSection",
    "IniSection",
    "Problem",
    "convert_section",
    "parse_section",
    "parse_ini",
    "split_into_sections",
]

SECTION_HEAD_PATTERN = re.compile(r"^\[(?P<name>[^\]]*)\]\s*$")
OPTION_LINE_PATTERN = re.compile(r"^(?P<name>[^\s#;\[=:][^=:]*?)\s*[=:]")
VALIDATION_ERROR_PATTERN = re.compile(
    r"^(?P<message>.*?)(?: - at `\$\.?(?P<option>[^`]*)`)?$"
)
# Values that may hold a secret by mistake are not shown; each with its hint.
SECRET_OPTIONS = {
    "key_digests": "write the SHA-256 digest of each key, in 64 hexadecimal digits"
}
UNKNOWN_FIELD_PATTERN = re.compile(r"unknown field `(?P<option>[^`]+)`")
MISSING_FIELD_PATTERN = re.compile(r"missing required field `(?P<option>[^`]+)`")


@dataclass(frozen=True, kw_only=True)
class Problem:
    """One error in a document, with its location and a hint on how to fix it.

    :param line: line number, counted from 1.
    :param section: name of the section, empty outside of sections.
    :param option: name of the option, empty when the error concerns the section.
    :param message: description of the error.
    :param hint: correction to make.
    """

    line: int
    section: str = ""
    option: str = ""
    message: str
    hint: str = ""

    def format(self, file: str) -> str:
        """Format the problem on one line.

        :param file: name of the document, printed as the location.
        """
        place = f"{file}:{self.line}: [{self.section}]"
        if self.option:
            place += f" {self.option}"
        hint = f"; {self.hint}" if self.hint else ""
        return f"{place}: {self.message}{hint}"


@dataclass(kw_only=True)
class IniSection:
    """One section whose options are parsed but not validated.

    :param name: text between the brackets.
    :param line: line number of the section head.
    :param text: lines of the section, including the head.
    :param options: values by option name.
    :param option_lines: line numbers by option name.
    """

    name: str
    line: int
    text: str
    options: dict[str, str] = field(default_factory=dict)
    option_lines: dict[str, int] = field(default_factory=dict)

    def build_problem(
        self, message: str, *, option: str = "", hint: str = ""
    ) -> Problem:
        """Build a problem that refers to this section or one of its options."""
        return Problem(
            line=self.option_lines.get(option, self.line),
            section=self.name,
            option=option,
            message=message,
            hint=hint,
        )


@dataclass(frozen=True, kw_only=True)
class UnparsedSection:
    """Lines of one section whose options have not been parsed.

    :param line: line number of the section head.
    :param name: text between the brackets; empty when the head is malformed.
    :param text: lines of the section, including the head.
    """

    line: int
    name: str
    text: str


def parse_ini(text: str) -> tuple[list[IniSection], list[Problem]]:
    """Parse a document section by section.

    An error in one section does not prevent the others from being parsed.

    :param text: the whole document.
    :return: the sections that could be parsed, and the problems of all others.
    """
    unparsed_sections, problems = split_into_sections(text)
    sections: list[IniSection] = []
    for unparsed in unparsed_sections:
        section = parse_section(unparsed)
        if isinstance(section, Problem):
            problems.append(section)
        else:
            sections.append(section)
    return sections, problems


def split_into_sections(text: str) -> tuple[list[UnparsedSection], list[Problem]]:
    """Split a document into its sections without parsing their options.

    :param text: the whole document.
    :return: the sections in document order, each name once, and the problems of heads
        and of text before the first head.
    """
    problems: list[Problem] = []
    by_name: dict[str, UnparsedSection] = {}
    for line, lines in group_lines_by_section(text.splitlines(), problems):
        head = SECTION_HEAD_PATTERN.match(lines[0])
        if head is None:
            problems.append(
                Problem(
                    line=line,
                    section=lines[0].strip("[] "),
                    message="not a section head",
                    hint="write [kind name] alone on the line",
                )
            )
            continue
        name = " ".join(head["name"].split())
        if name in by_name:
            problems.append(
                Problem(
                    line=line,
                    section=name,
                    message=f"section stands already at line {by_name[name].line}",
                    hint="merge the two sections or rename one",
                )
            )
            continue
        by_name[name] = UnparsedSection(line=line, name=name, text="\n".join(lines))
    return list(by_name.values()), problems


def group_lines_by_section(
    lines: list[str], problems: list[Problem]
) -> list[tuple[int, list[str]]]:
    groups: list[tuple[int, list[str]]] = []
    for number, line in enumerate(lines, start=1):
        if line.startswith("["):
            groups.append((number, [line]))
        elif groups:
            groups[-1][1].append(line)
        elif line.strip() and line[0] not in "#;":
            problems.append(
                Problem(
                    line=number,
                    message="text before the first section",
                    hint="start the document with a [section] line",
                )
            )
    return groups


def parse_section(unparsed: UnparsedSection) -> IniSection | Problem:
    """Parse the options of one section."""
    section = IniSection(name=unparsed.name, line=unparsed.line, text=unparsed.text)
    lines = unparsed.text.split("\n")[1:]
    for number, line in enumerate(lines, start=unparsed.line + 1):
        option = OPTION_LINE_PATTERN.match(line)
        if option:
            section.option_lines.setdefault(option["name"].lower(), number)
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        parser.read_string("\n".join(["[section]", *lines]))
    except configparser.DuplicateOptionError as error:
        return Problem(
            line=unparsed.line + (error.lineno or 1) - 1,
            section=unparsed.name,
            option=error.option,
            message="option is given twice",
            hint="delete one of the two lines",
        )
    except configparser.ParsingError as error:
        number = error.errors[0][0] if error.errors else 1
        return Problem(
            line=unparsed.line + number - 1,
            section=unparsed.name,
            message="not an option",
            hint="write option = value",
        )
    section.options = dict(parser["section"])
    return section


def convert_section(section: IniSection, model: type, **head_fields: str):
    """Validate a section against its model.

    :param section: parsed section.
    :param model: ``msgspec.Struct`` type that forbids unknown fields.
    :param head_fields: field values taken from the section head.
    :return: an instance of the model, or the first problem found.
    """
    fields = {name.replace("-", "_"): text for name, text in section.options.items()}
    fields = {name: normalize_boolean(text) for name, text in fields.items()}
    try:
        return msgspec.convert({**fields, **head_fields}, model, strict=False)
    except msgspec.ValidationError as error:
        return build_conversion_problem(section, model, str(error))


def normalize_boolean(text: str) -> str:
    """Convert the INI spelling of a boolean to the one that the models accept."""
    return {"yes": "true", "on": "on", "no": "false"}.get(text.lower(), text)


def build_conversion_problem(section: IniSection, model: type, text: str) -> Problem:
    match = VALIDATION_ERROR_PATTERN.match(text)
    message = match["message"] if match else text
    option = (match["option"] or "") if match else ""
    option_names = sorted(item.name for item in msgspec.structs.fields(model))
    unknown = UNKNOWN_FIELD_PATTERN.search(text)
    if unknown:
        return section.build_problem(
            "unknown option",
            option=unknown["option"],
            hint=f"the options of this section are {', '.join(option_names)}",
        )
    missing = MISSING_FIELD_PATTERN.search(text)
    if missing:
        option = missing["option"]
        return section.build_problem(
            f"option {option} is missing", hint=f"add a line {option} = ..."
        )
    if option in SECRET_OPTIONS:
        return section.build_problem(
            "bad value", option=option, hint=SECRET_OPTIONS[option]
        )
    return section.build_problem(
        f"bad value {section.options.get(option, '')!r}",
        option=option,
        hint=message[0].lower() + message[1:],
    )
