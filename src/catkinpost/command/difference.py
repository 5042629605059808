"""Comparison of a policy document with the one in force."""

import msgspec

from catkinpost.protocol.policy import check_document

__all__ = ["SectionDifference", "compare_documents"]


class SectionDifference(msgspec.Struct, frozen=True, kw_only=True):
    """One section that a new document would change.

    :param section: name of the section.
    :param action: ``add``, ``remove`` or ``change``.
    :param options: old and new value of each option that changes.
    """

    section: str
    action: str
    options: dict[str, tuple[str | None, str | None]]

    def format(self) -> str:
        """Render the difference on one line."""
        values = ", ".join(
            f"{name}: {'(default)' if old is None else old}"
            f" -> {'(default)' if new is None else new}"
            for name, (old, new) in self.options.items()
        )
        return f"{self.action} [{self.section}] {values}".rstrip()


def compare_documents(in_force: str, proposed: str) -> list[SectionDifference]:
    """List what a proposed document would change.

    An invalid section of the proposed document changes nothing: the section in force
    stays.

    :param in_force: document in force.
    :param proposed: document to compare with it.
    """
    old = check_document(in_force).parsed_sections
    checked = check_document(proposed)
    differences = []
    for name in sorted(set(old) | checked.declared):
        before = old[name].options if name in old else {}
        if name not in checked.declared:
            after = {}
            action = "remove"
        elif name not in checked.parsed_sections:
            continue
        else:
            after = checked.parsed_sections[name].options
            action = "change" if name in old else "add"
        options = {
            option: (before.get(option), after.get(option))
            for option in sorted(set(before) | set(after))
            if before.get(option) != after.get(option)
        }
        if options or action != "change":
            differences.append(
                SectionDifference(section=name, action=action, options=options)
            )
    return differences
