"""Reference page of every option, built from the models that check them."""

import re

import msgspec

from catkinpost.protocol.policy import MODEL_BY_SECTION_KIND as POLICY_MODELS
from catkinpost.protocol.settings import MODEL_BY_SECTION as SETTINGS_MODELS

__all__ = ["build_reference"]

PARAM_PATTERN = re.compile(
    r":param (?P<name>\w+): (?P<text>.*?)(?=\n\s*:param|\Z)", re.S
)
PAGE_HEADER = """\
# Options

This page is built from the models that check the documents; a test keeps it up to
date (`python -m catkinpost.command.reference`). Seconds may have fractions; yes and
no spell a switch; a mode is `on`, `observe` (decides and logs, changes nothing) or
`off`. An unknown option, an option given twice and a value out of range are errors.
"""


def parse_param_texts(model: type) -> dict[str, str]:
    """Return the text of each field in the docstring of a model."""
    return {
        match["name"]: " ".join(match["text"].split())
        for match in PARAM_PATTERN.finditer(model.__doc__ or "")
    }


def format_default(item: msgspec.structs.FieldInfo) -> str:
    if item.required:
        return "required"
    if item.default is None:
        return "none"
    if isinstance(item.default, bool):
        return "yes" if item.default else "no"
    return str(getattr(item.default, "value", item.default))


def build_table(model: type) -> list[str]:
    """Return the table of one section's options."""
    texts = parse_param_texts(model)
    lines = ["| option | default | meaning |", "| --- | --- | --- |"]
    for item in msgspec.structs.fields(model):
        text = texts.get(item.name, "")
        lines.append(f"| `{item.name}` | {format_default(item)} | {text} |")
    return lines


def build_reference() -> str:
    """Return the whole page as Markdown."""
    parts = [PAGE_HEADER, "## Policy document\n"]
    for kind, model in POLICY_MODELS.items():
        parts.append(f"### `[{kind} NAME]`\n")
        parts.append("\n".join(build_table(model)) + "\n")
    parts.append("## Settings of a node\n")
    for section, model in SETTINGS_MODELS.items():
        parts.append(f"### `[{section}]`\n")
        parts.append("\n".join(build_table(model)) + "\n")
    return "\n".join(parts)


if __name__ == "__main__":
    print(build_reference(), end="")
