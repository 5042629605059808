"""The policy in force at one node, whose version never decreases."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from catkinpost.protocol.ini import Problem
from catkinpost.protocol.message import PolicyContent, SectionCopy
from catkinpost.protocol.policy import (
    AcceptedSection,
    Policy,
    Section,
    build_policy,
    check_document,
    parse_accepted_section,
)

__all__ = ["PolicyChange", "PolicyStore"]

NO_VERSION = -1
DIGEST_BYTES = 16
MAX_TOMBSTONES = 1000


@dataclass(frozen=True, kw_only=True)
class PolicyChange:
    """Effect of a document or of a peer's sections.

    :param version: version in force afterwards.
    :param changed: names of sections that changed.
    :param removed: names of sections that were removed.
    :param problems: errors of the document that was read.
    """

    version: int
    changed: list[str] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)
    problems: list[Problem] = field(default_factory=list)


class PolicyStore:
    """Accepted sections, each with the version that introduced it.

    A document with a lower version than the one in force is ignored. A broken
    section keeps its last good form. Two stores that exchange their contents
    become equal: the document in force determines each section that it contains
    in a good form, and each broken section takes the form with the highest last
    good version. A removed section leaves a tombstone, a copy with an empty text.
    """

    def __init__(self) -> None:
        self.version = NO_VERSION
        self.declared: dict[str, int] = {}
        self.removed: dict[str, int] = {}
        self.broken: dict[str, int] = {}
        self.copies: dict[str, SectionCopy] = {}
        self.known_sections: dict[str, AcceptedSection] = {}
        self.policy = Policy()
        self.problems: list[Problem] = []
        self.digest = b""
        self.in_force_at: float | None = None
        self.source = ""

    @property
    def has_policy(self) -> bool:
        """Whether any version is in force."""
        return self.version != NO_VERSION

    def accept_document(
        self, version: int, text: str, *, now: float, source: str
    ) -> PolicyChange | None:
        """Bring a document into force.

        :param version: version that the platform gave to the document.
        :param text: the whole document.
        :param now: time on the node's clock.
        :param source: name of the place from which the document was read.
        :return: the change, or ``None`` when the version is already superseded.
        """
        if version < self.version:
            return None
        checked = check_document(text, self.known_sections)
        changed = {
            name: section
            for name, section in checked.accepted.items()
            if section is not self.known_sections.get(name)
        }
        copies = {
            name: SectionCopy(name, version, section.text)
            for name, section in changed.items()
        }
        self.known_sections.update(changed)
        broken = {
            name: self.get_last_good_version(name)
            for name in checked.declared
            if name not in checked.accepted
        }
        declared = set(checked.declared)
        change = self.apply_sections(version, declared, broken, copies, now, source)
        self.problems = checked.problems
        return PolicyChange(
            version=self.version,
            changed=change.changed,
            removed=change.removed,
            problems=checked.problems,
        )

    def get_last_good_version(self, name: str) -> int:
        """Return the last version known here that determined a section's form."""
        if name in self.broken:
            return self.broken[name]
        if name in self.declared:
            return self.version
        return self.removed.get(name, NO_VERSION)

    def merge_content(
        self, content: PolicyContent, *, now: float, source: str
    ) -> PolicyChange | None:
        """Apply the sections that a peer has accepted and this store lacks.

        :param content: the peer's sections.
        :param now: time on the node's clock.
        :param source: name of the peer.
        :return: the change, or ``None`` when there is nothing new.
        """
        newer = content.policy_version > self.version
        if newer and content.since > self.version:
            return None
        declared = self.compute_declared(content) if newer else set(self.declared)
        broken = content.broken if newer else self.broken
        broken, copies = self.select_broken_forms(content, broken)
        if newer:
            copies |= {
                copy.name: copy
                for copy in content.sections
                if copy.name in declared and copy.name not in broken
            }
        copies = {
            name: copy
            for name, copy in copies.items()
            if self.has_other_text(name, copy)
        }
        if not copies and not newer:
            return None
        digest = compute_digest(declared, self.copies | copies)
        if newer and content.since != NO_VERSION and digest != content.digest:
            # The peer may have skipped versions that this store has applied: the
            # difference is applied only when the result equals the peer's sections.
            return None
        copies = {name: copy for name, copy in copies.items() if self.accept_copy(copy)}
        version = max(self.version, content.policy_version)
        return self.apply_sections(version, declared, broken, copies, now, source)

    def compute_declared(self, content: PolicyContent) -> set[str]:
        if content.since == NO_VERSION:
            return set(content.declared)
        return (set(self.declared) | set(content.declared)) - set(content.removed)

    def select_broken_forms(
        self, content: PolicyContent, names: Iterable[str]
    ) -> tuple[dict[str, int], dict[str, SectionCopy]]:
        """Select the form with the higher last good version for broken sections."""
        broken: dict[str, int] = {}
        copies: dict[str, SectionCopy] = {}
        peer_copies = {copy.name: copy for copy in content.sections}
        for name in names:
            own_form = (self.get_last_good_version(name), self.get_text(name))
            peer_version = content.broken.get(name, content.policy_version)
            copy = peer_copies.get(name)
            if copy is not None and (peer_version, copy.text) > own_form:
                copies[name] = copy
                broken[name] = peer_version
            else:
                broken[name] = own_form[0]
        return broken, copies

    def get_text(self, name: str) -> str:
        copy = self.copies.get(name)
        return "" if copy is None else copy.text

    def has_other_text(self, name: str, copy: SectionCopy) -> bool:
        own_copy = self.copies.get(name)
        return own_copy is None or own_copy.text != copy.text

    def accept_copy(self, copy: SectionCopy) -> bool:
        """Accept a peer's copy.

        :return: whether it is a valid section or a tombstone.
        """
        if not copy.text:
            self.known_sections.pop(copy.name, None)
            return True
        section = parse_accepted_section(copy.text)
        if section is None:
            return False
        self.known_sections[copy.name] = section
        return True

    def apply_sections(
        self,
        version: int,
        declared: set[str],
        broken: dict[str, int],
        copies: dict[str, SectionCopy],
        now: float,
        source: str,
    ) -> PolicyChange:
        removed = [name for name in self.declared if name not in declared]
        for name in removed:
            del self.declared[name]
            self.removed[name] = version
            self.copies[name] = SectionCopy(name, version, "")
            self.known_sections.pop(name, None)
        for name in declared:
            self.declared.setdefault(name, version)
            self.removed.pop(name, None)
        self.copies.update(copies)
        self.broken = broken
        self.remove_oldest_tombstones()
        version_changed = version != self.version
        self.version = version
        self.policy = build_policy(self.section_models)
        self.digest = compute_digest(declared, self.copies)
        if version_changed or self.in_force_at is None:
            self.in_force_at = now
            self.source = source
        return PolicyChange(version=version, changed=sorted(copies), removed=removed)

    @property
    def section_models(self) -> dict[str, Section]:
        """Models of the sections in force by full name."""
        return {name: item.model for name, item in self.known_sections.items()}

    def remove_oldest_tombstones(self) -> None:
        """Remove the oldest tombstones beyond the largest number."""
        while len(self.removed) > MAX_TOMBSTONES:
            name = next(iter(self.removed))
            del self.removed[name]
            self.copies.pop(name, None)

    def build_content_since(self, version: int) -> PolicyContent:
        """Build the difference for a store at the given version.

        :param version: version of the receiving store; -1 for the whole policy.
        """
        return PolicyContent(
            since=version,
            policy_version=self.version,
            declared=[name for name, at in self.declared.items() if at > version],
            removed=[name for name, at in self.removed.items() if at > version],
            sections=[copy for copy in self.copies.values() if copy.version > version],
            broken=self.broken,
            digest=self.digest,
        )

    def format_document(self) -> str:
        """Return the document in force as text."""
        return "\n".join(copy.text for copy in self.copies.values() if copy.text)


def compute_digest(declared: set[str], copies: dict[str, SectionCopy]) -> bytes:
    """Return a digest over the names and texts of all declared sections."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for name in sorted(declared):
        copy = copies.get(name)
        text = copy.text if copy is not None else ""
        digest.update(f"{name}\0{text}\0".encode())
    return digest.digest()
